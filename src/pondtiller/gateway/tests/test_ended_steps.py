"""Scorers' requests end with their step, with their sample, and with who waits for them."""

from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import curio
import pytest

from pondtiller.gateway.leader import run_links
from pondtiller.gateway.leader.run_links import RunnerLink
from pondtiller.gateway.leader.term import Term
from pondtiller.gateway.process import GatewayProcess
from pondtiller.gateway.runs.leader_runs import LeaderRuns
from pondtiller.gateway.tests.system import System, run_system
from pondtiller.httpio.messages import HttpResponse
from pondtiller.platform import names
from pondtiller.process import clock
from pondtiller.rollouts.run_news import EndedRun
from pondtiller.rollouts.sample_work import RunEnd, ScoreText
from pondtiller.routes import live_attempts

CANCEL_SECONDS = 3.0
"""Time after the acknowledgement of a step's end within which a request of it may still arrive."""
PLAN_SECONDS = 20.0
"""Duration of a scorer's request whose service is slow."""
SAMPLES = 4


@pytest.fixture(autouse=True)
def _slow_service(monkeypatch: pytest.MonkeyPatch) -> None:
    """Give scorers' requests the time that they have if their service is slow, and no hedges."""
    monkeypatch.setattr(live_attempts, "MIN_SCORER_SECONDS", PLAN_SECONDS)
    monkeypatch.setattr(live_attempts, "MAX_SCORER_ENGINES", 1)


Behaviour = Callable[[Any], Awaitable[None]]


class Scorers:
    """Engines of the scorers' service: none has room until it is released.

    Attributes
    ----------
    first_fails
        Whether the first request of each identifier is answered with a failure: the runner's own
        one, so that the leader asks for a second one.
    holds
        Whether requests stay without an answer; otherwise they are refused as not run.
    seen
        Identifiers of all requests.
    arrivals
        Time of each request, in monotonic time.
    at_work
        Requests in progress, by identifier.
    most_at_work
        Most requests of one identifier that were in progress at once.
    """

    def __init__(self, system: System, first_fails: bool = False, holds: bool = False) -> None:
        self.first_fails = first_fails
        self.holds = holds
        self.seen: set[str] = set()
        self.has_room = False
        self.arrivals: list[float] = []
        self.at_work: Counter[str] = Counter()
        self.most_at_work = 0
        for engine in system.app:
            engine.whole = self._behaviour(engine.whole)  # type: ignore[method-assign]

    def _behaviour(self, usual: Behaviour) -> Behaviour:
        async def whole(exchange: Any) -> None:
            identifier = exchange.request.headers[names.REQUEST_ID]
            self.arrivals.append(clock.monotonic())
            self.at_work[identifier] += 1
            self.most_at_work = max(self.most_at_work, self.at_work[identifier])
            try:
                await self._answer(exchange, identifier, usual)
            finally:
                self.at_work[identifier] -= 1

        return whole

    async def _answer(self, exchange: Any, identifier: str, usual: Behaviour) -> None:
        own = (names.REQUEST_ID, identifier)
        is_first = identifier not in self.seen
        self.seen.add(identifier)
        if is_first and self.first_fails:
            signature = (names.SIGNATURE, f"sig-{identifier}")
            await exchange.respond(HttpResponse(500, headers=(own, signature)))
        elif self.has_room:
            await usual(exchange)
        elif self.holds:
            await exchange.wait_closed()
        else:
            await exchange.respond(HttpResponse(503, headers=(own, (names.NOT_RUN, "1"))))

    def at_work_of(self, step: str) -> list[str]:
        return [each for each in self.at_work.elements() if each.startswith(f"{step}-")]

    def arrived_after(self, moment: float) -> int:
        return sum(each > moment for each in self.arrivals)


async def until_connected(system: System) -> tuple[GatewayProcess, Term]:
    """Return the leader and its term once it has links to all runners."""
    leader = await system.until_led()
    await system.until(lambda: all(each.is_ready() for each in system.gateways))
    term = leader.duties.term
    assert term is not None
    await system.until(lambda: len(term.runners.links) >= len(system.gateways) - 1)
    return leader, term


async def until_asked(system: System, scorers: Scorers) -> GatewayProcess:
    """Submit a step; return the leader once all of its samples wait for their scorers."""
    leader, _ = await until_connected(system)
    assert await system.submit("s1", samples=SAMPLES) == 202
    requests = SAMPLES * (2 if scorers.first_fails else 1)
    await system.until(lambda: len(scorers.arrivals) >= requests)
    assert len(scorers.seen) == SAMPLES
    return leader


async def end_step(system: System, gateway: int = 0) -> float:
    """End the step; return when that was acknowledged."""
    answer = await system.call("DELETE", "/pondtiller/lots/s1", b"", gateway, "train.example")
    assert answer.status == 200
    return clock.monotonic()


@pytest.mark.parametrize("first_fails", [False, True])
@pytest.mark.parametrize("gateways", [1, 3])
def test_no_scorers_request_arrives_after_the_end_of_its_step(
    tmp_path: Path, gateways: int, first_fails: bool
) -> None:
    async def test(system: System) -> None:
        scorers = Scorers(system, first_fails)
        await until_asked(system, scorers)
        acknowledged = await end_step(system)
        await curio.sleep(CANCEL_SECONDS)
        scorers.has_room = True
        await curio.sleep(1.0)
        assert scorers.arrived_after(acknowledged + CANCEL_SECONDS) == 0

    run_system(tmp_path, test, gateways=gateways)


@pytest.mark.parametrize("first_fails", [False, True])
def test_no_engine_works_on_a_scorers_request_of_an_ended_step(
    tmp_path: Path, first_fails: bool
) -> None:
    async def test(system: System) -> None:
        scorers = Scorers(system, first_fails, holds=True)
        await until_asked(system, scorers)
        await end_step(system)
        await system.until(lambda: not scorers.at_work.total(), CANCEL_SECONDS)

    run_system(tmp_path, test, gateways=3)


@pytest.mark.parametrize("first_fails", [False, True])
def test_the_end_of_a_step_ends_its_scorers_requests_beside_those_of_another_one(
    tmp_path: Path, first_fails: bool
) -> None:
    async def test(system: System) -> None:
        scorers = Scorers(system, first_fails, holds=True)
        await until_asked(system, scorers)
        assert await system.submit("s2", samples=SAMPLES) == 202
        await system.until(lambda: len(scorers.at_work_of("s2")) == SAMPLES)
        await end_step(system)
        await system.until(lambda: not scorers.at_work_of("s1"), CANCEL_SECONDS)
        assert len(scorers.at_work_of("s2")) == SAMPLES

    run_system(tmp_path, test, gateways=3)


async def silence_links(leader: GatewayProcess) -> None:
    """Lose what the leader sends to its runners from now on; the connections stay open."""

    async def lost(*_given: object) -> None:
        """Lose a message in transit."""

    term = leader.duties.term
    assert term is not None
    for runner in term.runners.links.values():
        runner.link.send = lost  # type: ignore[method-assign]


@pytest.mark.parametrize("first_fails", [False, True])
def test_no_scorers_request_outlives_its_step_although_the_leaders_links_are_silent(
    tmp_path: Path, first_fails: bool
) -> None:
    async def test(system: System) -> None:
        scorers = Scorers(system, first_fails, holds=True)
        leader = await until_asked(system, scorers)
        await silence_links(leader)
        await end_step(system, system.gateways.index(leader))
        await system.until(lambda: not scorers.at_work.total(), CANCEL_SECONDS)

    run_system(tmp_path, test, gateways=3)


@pytest.mark.parametrize("are_drops_lost", [False, True])
def test_a_scorers_request_that_takes_long_is_not_made_twice_at_once(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, are_drops_lost: bool
) -> None:
    monkeypatch.setattr(run_links, "SCORE_CALL_SECONDS", 1.0)
    usual = LeaderRuns.drop

    async def drop(runs: LeaderRuns, run: int) -> None:
        if not are_drops_lost:
            await usual(runs, run)

    monkeypatch.setattr(LeaderRuns, "drop", drop)

    async def test(system: System) -> None:
        scorers = Scorers(system, first_fails=True, holds=True)
        await until_asked(system, scorers)
        await curio.sleep(4.0)
        assert scorers.most_at_work == 1

    run_system(tmp_path, test, gateways=3)


def test_no_scorers_request_outlives_its_step_although_its_engine_got_another_runner(
    tmp_path: Path,
) -> None:
    async def test(system: System) -> None:
        scorers = Scorers(system, holds=True)
        _, term = await until_connected(system)
        for engine in system.llm:
            engine.events, engine.event_seconds = 20, 0.05
        assert await system.submit("s1", samples=SAMPLES) == 202
        links = list(term.runners.links.values())
        await system.until(lambda: sum(len(each.runs) for each in links) == SAMPLES)
        lost = next(each for each in links if each.runs)
        await lost.link.drop()
        for engine in system.llm:
            # As a sample that starts before the link is found again.
            term.runners.runner_for(engine.identifier)
        await system.until(lambda: len(scorers.seen) == SAMPLES)
        await curio.sleep(0.5)
        await end_step(system)
        await system.until(lambda: not scorers.at_work.total(), CANCEL_SECONDS)
        assert scorers.most_at_work == 1

    run_system(tmp_path, test, gateways=3)


def test_no_scorers_request_outlives_a_step_that_ends_as_a_text_is_completed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    usual = RunnerLink._end

    async def test(system: System) -> None:
        scorers, completed = Scorers(system, holds=True), list[int]()
        _, term = await until_connected(system)

        async def end_both(runner: RunnerLink, ended: EndedRun) -> None:
            await usual(runner, ended)
            if ended.end is RunEnd.WHOLE:
                completed.append(ended.run)
                await term.end_step("s1")

        monkeypatch.setattr(RunnerLink, "_end", end_both)
        assert await system.submit("s1", samples=SAMPLES) == 202
        await system.until(lambda: bool(completed) and not term.scheduler.work)
        await curio.sleep(0.5)
        await system.until(lambda: not scorers.at_work.total(), CANCEL_SECONDS)

    run_system(tmp_path, test, gateways=3)


@pytest.mark.parametrize("is_spawned", [False, True])
@pytest.mark.parametrize("gateways", [1, 3])
def test_a_score_whose_step_ends_before_the_leader_begins_it_is_not_asked(
    tmp_path: Path, gateways: int, is_spawned: bool
) -> None:
    async def test(system: System) -> None:
        scorers = Scorers(system, holds=True)
        _, term = await until_connected(system)
        usual, held_up = term._runs.score, list[ScoreText]()

        async def score_late(order: ScoreText) -> None:
            held_up.append(order)
            if is_spawned:
                await usual(order)
            if len(held_up) == 1:
                await term.end_step("s1")
            if not is_spawned:
                await usual(order)

        term._runs.score = score_late  # type: ignore[method-assign]
        assert await system.submit("s1", samples=SAMPLES) == 202
        await system.until(lambda: bool(held_up) and not term.scheduler.work)
        await curio.sleep(0.5)
        await system.until(lambda: not scorers.at_work.total(), CANCEL_SECONDS)

    run_system(tmp_path, test, gateways=gateways)
