"""Runs that are dropped end at once, wherever they wait."""

import socket
from collections.abc import Callable
from typing import Any

import curio
import pytest

from pondtiller.address import Address
from pondtiller.gateway.callers.forward import Forwarder
from pondtiller.gateway.engines import cold_sends, engine_ends
from pondtiller.gateway.engines.cold_sends import ColdSends
from pondtiller.gateway.engines.engine_pool import EnginePool
from pondtiller.gateway.metrics import GatewayMetrics
from pondtiller.gateway.runs.run_host import RunHost
from pondtiller.gateway.runs.sample_runner import EventSink, RunOrder, RunOutcome, SampleRunner
from pondtiller.gateway.tests.test_runs_elsewhere import FakeLink
from pondtiller.peers.share_asker import ShareAsker
from pondtiller.process import clock
from pondtiller.rollouts.run_news import read_ends
from pondtiller.rollouts.sample_work import RunEnd
from pondtiller.routes import live_attempts
from pondtiller.routes.cold import ColdBound, ColdEngines
from pondtiller.routes.engines import EngineDirectory, EngineEntry, EngineState
from pondtiller.routes.send_gate import SendGate
from pondtiller.routes.table import RequestKind, RouteRow, RouteTable, ServiceRow, ServiceShare
from pondtiller.wire.steplog import BeginRun, DropRun, RunNews, Sample, Scorer

RUNS = 200
ENGINES = 4
DROP_SECONDS = 3.0
"""Time for all drops of a step: that within which its requests may still arrive."""
WAIT_SECONDS = 30.0
"""Time limit of the waits in which the runs are dropped: much longer than all drops may take."""
ROUTE = RouteRow("r", "h", "/", RequestKind.SAFE, (ServiceShare("llm", 1.0),), attempts=3)
SERVICE = ServiceRow("llm", cold_seconds=3.0, cold_rate=14.0)
TABLE = RouteTable(1, (ROUTE,), services={"llm": SERVICE})


class Engines:
    """Listeners with enough room for all connections; none of them answers."""

    def __init__(self, slots: int = RUNS) -> None:
        self.slots = slots
        self.listeners = [
            socket.create_server(("127.0.0.1", 0), backlog=2 * RUNS) for _ in range(ENGINES)
        ]
        self.fillers: list[socket.socket] = []

    @property
    def entries(self) -> list[EngineEntry]:
        return [
            EngineEntry(
                f"e{number}",
                "llm",
                Address(*each.getsockname()),
                "z",
                self.slots,
                EngineState.READY,
            )
            for number, each in enumerate(self.listeners)
        ]

    def make_dark(self) -> None:
        """Fill the queues of new connections, so that further ones get no answer."""
        for listener in self.listeners:
            listener.listen(0)
            for _ in range(3):
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex(listener.getsockname())
                self.fillers.append(filler)

    def close(self) -> None:
        for each in (*self.listeners, *self.fillers):
            each.close()


async def break_off(engines: Engines) -> None:
    """Close all connections on which a request arrived, and answer no new ones."""
    taken = []
    for listener in engines.listeners:
        listener.setblocking(False)
        while True:
            try:
                taken.append(listener.accept()[0])
            except BlockingIOError:
                break
    engines.make_dark()
    for each in taken:
        each.close()


class Scoring(SampleRunner):
    """A runner whose texts are complete at once."""

    async def run(self, _order: RunOrder, _take: EventSink) -> RunOutcome:
        return RunOutcome(RunEnd.WHOLE, "200")


def runner(
    engines: Engines, is_cold: bool = False, kind: type[SampleRunner] = SampleRunner
) -> SampleRunner:
    directory = EngineDirectory()
    directory.replace_entries(engines.entries, clock.monotonic())
    pool, metrics, gate = EnginePool(), GatewayMetrics(), SendGate(directory)
    asker = ShareAsker("me", lambda *_: None, lambda: None)  # type: ignore[arg-type,return-value]
    known = ColdEngines(directory, ColdBound(1.5, 5.0), lambda: TABLE)
    cold = ColdSends(known, asker, metrics) if is_cold else None
    forwarder = Forwarder("z", directory, pool, metrics, gate, cold)
    return kind(gate, pool, forwarder, lambda: TABLE, cold)


async def nothing(_engines: Engines) -> None:
    """Leave the engines as they are."""


async def begin_runs(
    host: RunHost, link: FakeLink, engines: Engines, is_cold: bool = False
) -> None:
    scorer = Scorer(id="q", host="h", path="/")
    for number in range(RUNS):
        entry = engines.entries[number % ENGINES]
        begin = BeginRun(
            epoch=5,
            run=number + 1,
            engine=entry.identifier,
            engine_host=entry.address.host,
            engine_port=entry.address.port,
            is_cold=is_cold,
            content=bytes(Sample(id=f"s{number}", path="/", scorer=scorer)),
        )
        await host.handle(link, begin)


async def drop_runs(host: RunHost, link: FakeLink) -> None:
    """Drop all runs, one after the other as they arrive on a link; each is confirmed."""
    began = clock.monotonic()
    for number in range(RUNS):
        await host.handle(link, DropRun(run=number + 1))
    seconds = clock.monotonic() - began
    assert seconds < DROP_SECONDS
    await curio.sleep(0.1)
    ends = [each for news in link.of(RunNews) for each in read_ends(news)]
    dropped = [each.run for each in ends if each.end is RunEnd.STALE]
    assert dropped == list(range(1, RUNS + 1))
    assert (host.runs, host.by_link[link].judged) == (0, {})


@pytest.mark.parametrize(
    ("is_dark", "is_cold", "before"),
    [
        (False, False, nothing),
        (True, False, nothing),
        (False, True, nothing),
        (False, False, break_off),
    ],
    ids=["engines hang", "engines are dark", "engines are cold", "runs have broken off"],
)
def test_the_runs_of_a_step_are_dropped_at_once(
    is_dark: bool, is_cold: bool, before: Callable[[Engines], Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(cold_sends, "WAIT_SECONDS", WAIT_SECONDS)
    monkeypatch.setattr(engine_ends, "PORT_CHECK_SECONDS", WAIT_SECONDS)
    engines = Engines()
    if is_dark:
        engines.make_dark()

    async def main() -> None:
        host, link = RunHost(runner(engines, is_cold), lambda: 5), FakeLink()
        await begin_runs(host, link, engines, is_cold)
        await curio.sleep(0.15)
        await before(engines)
        await curio.sleep(0.1)
        assert host.runs == RUNS
        await drop_runs(host, link)

    try:
        curio.run(main)
    finally:
        engines.close()


@pytest.mark.parametrize("is_dark", [False, True])
@pytest.mark.parametrize("slots", [RUNS, 1], ids=["free", "full"])
def test_the_scores_of_a_step_are_dropped_at_once(
    slots: int, is_dark: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    # All of them wait, also where no engine has room.
    monkeypatch.setattr(Forwarder, "has_room", lambda *_: True)
    monkeypatch.setattr(live_attempts, "MIN_SCORER_SECONDS", WAIT_SECONDS)
    engines = Engines(slots)
    if is_dark:
        engines.make_dark()

    async def main() -> None:
        host, link = RunHost(runner(engines, kind=Scoring), lambda: 5), FakeLink()
        await begin_runs(host, link, engines)
        await curio.sleep(0.2)
        assert len(host.by_link[link].judged) == RUNS
        await drop_runs(host, link)

    try:
        curio.run(main)
    finally:
        engines.close()
