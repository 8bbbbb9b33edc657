"""The check of contents that end engines sees a planted fault, and no more."""

import curio
import pytest

from pondtiller.address import Address
from pondtiller.httpio.client import HttpClient
from pondtiller.httpio.client_errors import NotSentError
from pondtiller.httpio.server import bind_tcp
from pondtiller.soak.ending_rules import (
    KNOWN_SECONDS,
    MAX_LATER,
    EndingRule,
    EndingRun,
    StoreReach,
)
from pondtiller.soak.promises import Promises
from pondtiller.soak.proxy import Proxy
from pondtiller.soak.trap import NAMES, Trap
from pondtiller.standins.store import StandInStore

NEVER = float("-inf")


def play(times: list[float], could_know_since: float = NEVER) -> Promises:
    promises = Promises()
    rule = EndingRule(promises)
    for at in times:
        rule.ran(b"c", EndingRun("a0", "g0", could_know_since, at))
    return promises


def test_runs_until_all_can_know_and_a_few_more_break_nothing() -> None:
    early = [0.0, 0.1, 0.2, *(0.2 + 0.1 * number for number in range(20))]
    late = [10.0 + number for number in range(MAX_LATER)]
    assert play([*early, *late]).breaches == []


def test_one_run_too_many_is_seen() -> None:
    late = [10.0 + number for number in range(MAX_LATER + 1)]
    (breach,) = play([0.0, 0.1, 0.2, *late]).breaches
    assert breach.promise == "a content that ends engines is held back"


def test_a_program_that_cannot_know_breaks_nothing() -> None:
    late = [10.0 + 0.1 * number for number in range(10)]
    assert play([0.0, 0.1, 0.2, *late], 11.0 - KNOWN_SECONDS).breaches == []


def test_a_program_reaches_the_store_since_it_last_did_not() -> None:
    sound = {"g0"}
    reach = StoreReach(lambda name: name in sound)
    reach.look(["g0", "g1"], 5.0)
    sound.add("g1")
    reach.look(["g0", "g1"], 6.0)
    assert (reach.since("g0"), reach.since("g1")) == (NEVER, 5.0)


def test_whoever_uses_an_entry_that_cannot_be_read_is_seen() -> None:
    async def main() -> None:
        promises, store = Promises(), StandInStore()
        trap = Trap(promises, store)
        trap.publish()
        assert set(store.kinds["servers"]) == set(NAMES)
        serving = await curio.spawn(trap.serve, daemon=True)
        host, _, port = trap.address.rpartition(":")
        await HttpClient().request(Address(host, int(port)), "POST", "/quote/7")
        trap.withdraw()
        await serving.cancel()
        assert store.kinds["servers"] == {}
        assert [each.promise for each in promises.breaches] == [
            "an entry that cannot be read names no engine"
        ]

    curio.run(main)


async def end_and_be_refused(proxy: Proxy, place: Address) -> None:
    """Connect, end the proxy, and see the connection break off and the port refuse."""
    client = HttpClient()
    connection = await client.open_plain(place)
    proxy.is_ended = True
    assert await curio.timeout_after(1.0, connection._socket.recv, 1) == b""
    with pytest.raises(NotSentError):
        await client.open_plain(place)
    await connection.close()


@pytest.mark.parametrize("head_start_seconds", [0.0, 0.05])
def test_an_ended_proxy_breaks_off_refuses_and_listens_again_at_its_place(
    head_start_seconds: float,
) -> None:
    # With a head start the kernel takes the connection, and it is served only after the end.
    async def main() -> None:
        target = bind_tcp("127.0.0.1", 0)
        proxy = Proxy(Address(*target.getsockname()))
        serving = await curio.spawn(proxy.run, daemon=True)
        host, _, port = proxy.address.rpartition(":")
        place = Address(host, int(port))
        await curio.sleep(head_start_seconds)
        await end_and_be_refused(proxy, place)
        proxy.is_ended = False
        await curio.sleep(0.1)
        again = await HttpClient().open_plain(place)
        await again.close()
        await serving.cancel()

    curio.run(main)


def test_a_connection_that_an_ended_proxy_has_not_passed_on_yet_breaks_off(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a connection that stays open for its opener after the proxy ended."""
    usual = curio.open_connection

    async def main() -> None:
        target = bind_tcp("127.0.0.1", 0)
        proxy = Proxy(Address(*target.getsockname()))

        async def open_slowly(host: str, port: int) -> object:
            if Address(host, port) == proxy.target:
                await curio.sleep(0.5)
            return await usual(host, port)

        monkeypatch.setattr(curio, "open_connection", open_slowly)
        serving = await curio.spawn(proxy.run, daemon=True)
        host, _, port = proxy.address.rpartition(":")
        client = HttpClient()
        connection = await client.open_plain(Address(host, int(port)))
        await curio.sleep(0.05)
        proxy.is_ended = True
        assert await curio.timeout_after(1.0, connection._socket.recv, 1) == b""
        await connection.close()
        await serving.cancel()

    curio.run(main)
