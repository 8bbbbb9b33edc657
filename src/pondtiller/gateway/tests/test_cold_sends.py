"""One gateway's gate for cold engines, with and without a leader that answers."""

from collections.abc import Awaitable, Callable

import curio
import pytest

from pondtiller.address import Address
from pondtiller.gateway.engines import cold_sends
from pondtiller.gateway.engines.cold_sends import ColdSends
from pondtiller.gateway.metrics import GatewayMetrics
from pondtiller.peers.replicas import KnownLeader
from pondtiller.peers.share_asker import ShareAsker
from pondtiller.process import clock
from pondtiller.process.spawner import Spawner
from pondtiller.routes import cold
from pondtiller.routes.cold import ColdBound, ColdEngines
from pondtiller.routes.engines import EngineDirectory, EngineEntry, EngineState
from pondtiller.routes.send_gate import BlockReason, SendGate
from pondtiller.routes.table import RouteTable, ServiceRow
from pondtiller.wire.steplog import AskShares, SharesGranted

LEADER = KnownLeader("leader", Address("10.0.0.9", 1), 7)
TABLE = RouteTable(1, services={"llm": ServiceRow("llm", cold_seconds=3.0, cold_rate=14.0)})


def entry(name: str, seconds: float) -> EngineEntry:
    return EngineEntry(name, "llm", Address("10.0.0.1", 1), "z", 6, EngineState.READY, {}, seconds)


class Gateway:
    """A gate with shares; the leader gives configured answers."""

    def __init__(self, leader: KnownLeader | None = LEADER) -> None:
        self.asked: list[AskShares] = []
        self.most = 100
        engines = EngineDirectory()
        engines.replace_entries([entry("cold", 9.0), entry("warm", 0.0)], clock.monotonic())
        known = ColdEngines(engines, ColdBound(1.5, 5.0), lambda: TABLE)
        self.shares = ShareAsker("me", self.ask, lambda: leader)
        self.sends = ColdSends(known, self.shares, GatewayMetrics())
        self.gate = SendGate(engines)
        self.gate.rules.append(self.sends.rule)
        self.gate.unknown_rule = self.sends.unknown_rule

    async def ask(self, message: AskShares, _seconds: float) -> SharesGranted:
        self.asked.append(message)
        granted = [min(each, self.most) for each in message.wanted]
        return SharesGranted(granted=granted, totals=[14] * len(granted))

    async def send(self, engine: str) -> BlockReason | None:
        await self.sends.prepare(engine, clock.monotonic() + 9.0)
        return self.gate.check(engine, clock.monotonic())


def run(gateway: Gateway, test: Callable[[], Awaitable[None]]) -> None:
    async def main() -> None:
        async with Spawner() as group:
            await group.spawn(gateway.shares.run)
            await curio.timeout_after(10.0, test)

    curio.run(main)


def test_a_request_waits_for_the_leader_only_where_its_engine_is_cold() -> None:
    gateway = Gateway()

    async def test() -> None:
        assert await gateway.send("warm") is None
        assert not gateway.asked
        assert await gateway.send("cold") is None
        assert [each.epoch for each in gateway.asked][:1] == [LEADER.epoch]
        # Nothing waited again: the gate alone decides.
        assert gateway.gate.check("cold", clock.monotonic()) is BlockReason.COLD

    run(gateway, test)


def test_a_share_that_is_denied_holds_a_request_back_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(cold_sends, "WAIT_SECONDS", 5.0)
    gateway = Gateway()
    gateway.most = 0

    async def test() -> None:
        began = clock.monotonic()
        assert await gateway.send("cold") is BlockReason.COLD
        assert clock.monotonic() < began + 4.0

    run(gateway, test)


def test_without_a_leader_a_request_is_blocked_after_a_short_wait() -> None:
    gateway = Gateway(leader=None)

    async def test() -> None:
        assert await gateway.send("cold") is BlockReason.COLD
        assert not gateway.asked

    run(gateway, test)


def test_an_engine_that_only_the_leader_knows_as_cold_is_limited_too(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(cold, "COLD_REPORT_SECONDS", 60.0)
    gateway = Gateway()
    gateway.most = 2

    async def test() -> None:
        assert await gateway.send("new") is None
        for engine in ("new", "warm"):
            gateway.sends.note_cold_report(engine)
            held = [await gateway.send(engine) for _ in range(4)]
            assert held == [None, None, BlockReason.COLD, BlockReason.COLD]

    run(gateway, test)


def test_a_burst_gets_as_many_requests_as_the_leader_grants() -> None:
    """With one place in the first share, six waiting requests all woke, and five were refused."""
    gateway = Gateway()
    held: list[BlockReason | None] = []

    async def one() -> None:
        await gateway.sends.prepare("cold", clock.monotonic() + 9.0)
        await curio.sleep(0.05)  # Opening a connection.
        held.append(gateway.gate.check("cold", clock.monotonic()))

    async def test() -> None:
        async with Spawner() as group:
            for _ in range(6):
                await group.spawn(one)
                await curio.sleep(0.005)
            while len(held) < 6:
                await curio.sleep(0.01)
        assert held == [None] * 6

    run(gateway, test)
