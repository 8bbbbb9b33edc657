"""Limits of bodies that are read."""

from collections.abc import AsyncIterator

import curio
import pytest

from pondtiller.address import Address
from pondtiller.httpio import bodies
from pondtiller.httpio.bodies import BodyBuffer, discard
from pondtiller.httpio.client import HttpClient
from pondtiller.httpio.client_errors import BrokenError
from pondtiller.standins.endless_engine import PIECE_BYTES, Endless, EndlessEngine


async def pieces(length: int, count: int) -> AsyncIterator[bytes]:
    for _ in range(count):
        await curio.sleep(0)
        yield b"x" * length


@pytest.mark.parametrize(
    "kind",
    [Endless.HEADER, Endless.INTERIM, Endless.UNFRAMED, Endless.CHUNKED, Endless.LENGTH],
)
def test_an_answer_without_end_is_left_after_a_bounded_length(kind: Endless) -> None:
    """Guards against a call for a report that fills the memory."""
    engine = EndlessEngine(kind)

    async def main() -> None:
        with pytest.raises(BrokenError):
            await HttpClient().request(Address("127.0.0.1", engine.port), "GET", "/", seconds=5.0)

    try:
        curio.run(main)
        sent = engine.wait_sent()
    finally:
        engine.close()
    assert sent.was_closed
    assert sent.bytes_sent <= bodies.MAX_BODY_BYTES + 2 * PIECE_BYTES


def test_bodies_that_are_read_together_take_a_bounded_memory(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against many bodies without end, each of them below its own limit."""
    monkeypatch.setattr(bodies, "MAX_BUFFERED_BYTES", 10_000_000)
    buffer = BodyBuffer()
    most = 0

    async def read_long() -> int:
        nonlocal most
        try:
            return len(await buffer.read_whole(pieces(100_000, 40)))
        except BrokenError:
            return 0
        finally:
            most = max(most, buffer.held_bytes)

    async def main() -> list[int]:
        async with curio.TaskGroup() as group:
            for _ in range(10):
                await group.spawn(read_long)
            small = await curio.spawn(buffer.read_whole, pieces(100, 600))
        assert len(await small.join()) == 60_000
        return list(group.results)

    read = curio.run(main)
    assert sorted(set(read)) == [0, 4_000_000]
    assert most <= bodies.MAX_BUFFERED_BYTES
    assert buffer.held_bytes == 0


def test_a_body_up_to_the_limit_is_read() -> None:
    """Guards against a limit that cuts sound answers."""

    async def main() -> None:
        whole = await BodyBuffer().read_whole(pieces(bodies.MAX_BODY_BYTES // 16, 16))
        assert len(whole) == bodies.MAX_BODY_BYTES
        await discard(pieces(bodies.MAX_DISCARDED_BYTES, 1))
        with pytest.raises(BrokenError):
            await discard(pieces(bodies.MAX_DISCARDED_BYTES, 2))

    curio.run(main)
