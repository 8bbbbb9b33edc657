"""A suspended machine: timers stop, but the clock that leases and deadlines use continues.

Each test advances that clock and checks one guarantee right after the machine wakes up.
"""

import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import curio
import pytest

from pondtiller.address import Address
from pondtiller.coordination.rate_shares import RateTerms
from pondtiller.errors import ErrorKind, Failure
from pondtiller.gateway.callers.forward import Forwarder
from pondtiller.gateway.callers.key_freshness import KeyFreshness
from pondtiller.gateway.callers.request import ForwardedRequest
from pondtiller.gateway.engines.engine_pool import EnginePool
from pondtiller.gateway.metrics import GatewayMetrics
from pondtiller.gateway.tests.system import System, run_system
from pondtiller.httpio.client import HttpClient
from pondtiller.httpio.client_errors import NotSentError
from pondtiller.peers.share_asker import ShareAsker
from pondtiller.process import clock
from pondtiller.rollouts.run_holding import HoldStep, LostLeader, next_step
from pondtiller.routes.engines import EngineDirectory, EngineEntry, EngineState
from pondtiller.routes.send_gate import SendGate
from pondtiller.routes.table import RequestKind, RouteRow, ServiceShare
from pondtiller.settings import Keys
from pondtiller.standins.engine import StandInEngine
from pondtiller.store import mirror as mirrors
from pondtiller.wire.steplog import ReadResults

SLEPT = [1.0, 3.0, 10.0]
Sleep = Callable[[float], None]


@pytest.fixture
def sleep(monkeypatch: pytest.MonkeyPatch) -> Sleep:
    """Return a function that suspends the machine: no timer advances, the clock does."""
    real, slept = clock.monotonic, [0.0]
    monkeypatch.setattr(clock, "monotonic", lambda: real() + slept[0])

    def suspend(seconds: float) -> None:
        slept[0] += seconds

    return suspend


def test_the_clock_counts_the_time_of_a_suspension() -> None:
    assert abs(clock.monotonic() - time.clock_gettime(time.CLOCK_BOOTTIME)) < 0.5


@pytest.mark.parametrize("seconds", [3.0, 10.0])
def test_a_leader_suspended_beyond_its_lease_neither_leads_nor_answers(
    tmp_path: Path, sleep: Sleep, seconds: float
) -> None:
    async def test(system: System) -> None:
        leader = await system.until_led()
        assert await system.submit("s1") == 202
        await system.read_all("s1", 4)
        read = await curio.spawn(
            leader.duties.answer, ReadResults(id="s1", position=4, wait_milliseconds=600)
        )
        await curio.sleep(0.1)
        term = leader.duties.term
        assert term is not None
        term.orders._good_until["place"] = clock.monotonic() + 0.4
        assert term.orders.may_act("place")
        sleep(seconds)
        assert not leader.leadership.log.holds_lease(clock.monotonic())
        assert not term.orders.may_act("place")
        # A call received before the suspension is not answered under an expired lease.
        now_asked = await leader.duties.answer(ReadResults(id="s1"))
        assert now_asked.status != 1
        await read.cancel()
        # It leads again once the replicas have agreed, with all state present.
        await system.until_led()
        listed = await system.read_all("s1", 4)
        assert len(listed) == 4

    run_system(tmp_path, test)


@pytest.mark.parametrize("seconds", SLEPT)
def test_an_order_whose_connection_opened_during_a_suspension_is_not_sent(
    sleep: Sleep, seconds: float
) -> None:
    async def main() -> None:
        engine = StandInEngine("e", "llm")
        serving = await curio.spawn(engine.serve, daemon=True)
        good_until = clock.monotonic() + 0.5
        host, _, port = engine.address.rpartition(":")
        client = HttpClient()
        connect = client._connect

        async def asleep(address: Address) -> Any:
            found = await connect(address)
            sleep(seconds)
            return found

        client._connect = asleep  # type: ignore[method-assign]
        with pytest.raises(NotSentError):
            await client.request(
                Address(host, int(port)),
                "POST",
                "/pondtiller/order",
                b'{"if_rev": 0, "version": 2}',
                may_send=lambda: clock.monotonic() < good_until,
            )
        await serving.cancel()
        assert engine.orders == []

    curio.run(main)


def test_a_request_whose_deadline_passed_during_a_suspension_is_reported_as_not_run(
    sleep: Sleep,
) -> None:
    async def main() -> None:
        engine = StandInEngine("e", "app")
        serving = await curio.spawn(engine.serve, daemon=True)
        host, _, port = engine.address.rpartition(":")
        place = Address(host, int(port))
        engines = EngineDirectory()
        entry = EngineEntry("e", "app", place, "z", 4, EngineState.READY)
        engines.replace_entries([entry], clock.monotonic())
        pool = EnginePool()
        take = pool.take

        async def asleep(name: str, address: Address) -> Any:
            connection = await take(name, address)
            sleep(3.0)
            return connection

        pool.take = asleep  # type: ignore[method-assign]
        forwarder = Forwarder("z", engines, pool, GatewayMetrics(), SendGate(engines))
        shares = (ServiceShare("app", 1.0),)
        route = RouteRow("r", "h", "/", RequestKind.UNSAFE, shares, attempts=2)
        request = ForwardedRequest("q", "GET", "/", (), b"", clock.monotonic() + 1.5)
        answer = await forwarder.whole(request, route)
        await serving.cancel()
        assert engine.seen == []
        assert answer == Failure(ErrorKind.EXPIRED_IN_QUEUE)

    curio.run(main)


@pytest.mark.parametrize("seconds", SLEPT)
def test_a_share_of_a_rate_expires_during_a_suspension(sleep: Sleep, seconds: float) -> None:
    terms = RateTerms(100, 100, lease_seconds=0.9)
    asker = ShareAsker("g", lambda *_: None, lambda: None)  # type: ignore[arg-type,return-value]
    held = asker.held("tenant/a", terms)
    now = clock.monotonic()
    held.demand(now)
    held.receive(50, 100, now)
    assert asker.has_room("tenant/a", clock.monotonic())
    sleep(seconds)
    assert not asker.take("tenant/a", clock.monotonic())


def test_keys_are_not_trusted_after_a_long_suspension(sleep: Sleep) -> None:
    last_message_at = clock.monotonic()
    keys = KeyFreshness(Keys(fail_closed=True, unheard=5.0), lambda: last_message_at)
    assert keys.is_fresh()
    sleep(10.0)
    assert not keys.is_fresh()


@pytest.mark.parametrize("seconds", [3.0, 10.0])
def test_runs_of_a_leader_silent_during_a_suspension_are_checked(
    sleep: Sleep, seconds: float
) -> None:
    lost = LostLeader(epoch=5, last_message_at=clock.monotonic())
    sleep(seconds)
    choice = next_step(lost, 5, True, clock.monotonic())
    assert choice.step in (HoldStep.ASK, HoldStep.END)


def test_an_engine_whose_entry_was_removed_before_a_suspension_gets_nothing_after_it(
    sleep: Sleep,
) -> None:
    engines = EngineDirectory()
    entry = EngineEntry("e", "app", Address("10.0.0.1", 1), "z", 4, EngineState.READY)
    engines.replace_entries([entry], clock.monotonic())
    engines.remove_entry("e", clock.monotonic())
    sleep(3.0)
    assert engines.usable("app", clock.monotonic()) == []
    assert SendGate(engines).check("e", clock.monotonic()) is not None


def test_a_mirror_answers_nothing_after_a_suspension_until_the_store_has_answered(
    tmp_path: Path, sleep: Sleep, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(mirrors, "MIN_FOLLOWERS", 0.5)

    async def test(system: System) -> None:
        await system.until_led()
        replica = system.replicas[0].server.mirror
        await system.until(replica.is_fresh)
        sleep(3.0)
        assert not replica.is_fresh()
        await system.until(replica.is_fresh)

    run_system(tmp_path, test, gateways=2)
