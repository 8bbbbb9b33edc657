"""Calls whose time is nearly over: those that can't be answered in time are not sent."""

import time
from typing import Any

import curio
import pytest

from pondtiller.errors import ErrorKind, Failure
from pondtiller.gateway.callers.attempts import WholeAnswer
from pondtiller.gateway.tests.test_live_load import FakeEngine, Gateway
from pondtiller.process import clock
from pondtiller.routes.engines import Engine
from pondtiller.routes.send_gate import BlockReason

WORK_SECONDS = 0.2


@pytest.mark.parametrize(("left_seconds", "is_sent"), [(0.05, False), (0.5, True)])
def test_a_call_that_could_not_be_answered_in_time_is_reported_as_not_run(
    left_seconds: float, is_sent: bool
) -> None:
    """Guards against a 504, and a wasted share of a cold engine, for a call sent just before it."""
    engine = FakeEngine(WORK_SECONDS)
    gateway = Gateway(engine)
    counted: list[float] = []
    take = gateway.forwarder._pool.take

    def count(_engine: Engine, now: float) -> BlockReason | None:
        counted.append(now)
        return None

    async def take_slowly(name: str, address: Any) -> Any:
        await curio.sleep(0.3)
        return await take(name, address)

    async def play() -> Any:
        assert isinstance(await gateway.ask("first"), WholeAnswer)
        gateway.forwarder._sender._gate.rules.append(count)
        gateway.forwarder._pool.take = take_slowly  # type: ignore[method-assign]
        began = clock.monotonic()
        answer = await gateway.ask("second", 0.3 + left_seconds)
        assert clock.monotonic() < began + 0.3 + left_seconds
        return answer

    answer = curio.run(play)
    assert engine.seen == (["first", "second"] if is_sent else ["first"])
    assert len(counted) == (1 if is_sent else 0)
    assert isinstance(answer, WholeAnswer) is is_sent
    if isinstance(answer, Failure):
        assert answer.kind is ErrorKind.NO_ENGINE
        assert answer.retry_after_seconds is not None


def test_an_answer_that_is_read_after_a_pause_and_before_its_deadline_goes_back() -> None:
    """Guards against a 504 instead of an answer that the gateway has."""
    gateway = Gateway(FakeEngine(WORK_SECONDS))

    async def play() -> Any:
        task = await curio.spawn(gateway.ask, "q", WORK_SECONDS + 0.25)
        await curio.sleep(0.05)
        # Sockets are read until the deadline after this pause, and the answer is among them.
        time.sleep(WORK_SECONDS + 0.1)
        return await task.join()

    assert isinstance(curio.run(play), WholeAnswer)
