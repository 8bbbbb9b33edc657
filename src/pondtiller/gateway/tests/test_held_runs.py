"""Runs continue when their leader is lost, and never at two engines for longer than 0.4 s."""

import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

import curio
import pytest

from pondtiller.gateway.leader import run_offers, unfinished_texts
from pondtiller.gateway.leader.run_links import RUNNER_LOST, RunnerLink
from pondtiller.gateway.leader.run_offers import RunOffers
from pondtiller.gateway.leader.unfinished_texts import UnfinishedTexts
from pondtiller.gateway.process import GatewayProcess
from pondtiller.gateway.runs import leaderless_runs
from pondtiller.gateway.runs.leaderless_runs import LeaderlessRuns
from pondtiller.gateway.runs.run_host import RunHost
from pondtiller.gateway.runs.sample_runner import EventSink, RunOrder, RunOutcome, ScoreOutcome
from pondtiller.gateway.tests.system import System, run_system
from pondtiller.gateway.tests.test_runs_elsewhere import Engine, FakeLink, connected, texts
from pondtiller.peers import replicas
from pondtiller.process import clock
from pondtiller.rollouts import moving, run_holding
from pondtiller.rollouts.run_news import read_ends, read_events, read_scores
from pondtiller.rollouts.sample_work import NO_RUN, CancelReason, RunEnd, ScoreEnd, Stage
from pondtiller.standins.engine import StandInEngine
from pondtiller.wire.steplog import BeginRun, OfferRuns, RunNews, RunsTaken, Subscribe

EVENTS = 60
MAX_OVERLAP_SECONDS = 0.4
"""How long an engine may work on a sample after another one has started it."""
ENGINE_LEFT_SECONDS = 0.2
"""An engine notices a closed connection within a few gaps between events."""
BEGIN = BeginRun(epoch=5, run=1, engine="e", engine_host="10.0.0.1", engine_port=1, sample="s")


class Working:
    """Records when engines work on which sample."""

    def __init__(self, engines: list[StandInEngine]) -> None:
        self.spans: list[tuple[str, float, float]] = []
        self.open: list[tuple[str, float]] = []
        for engine in engines:
            self._watch(engine)

    def _watch(self, engine: StandInEngine) -> None:
        stream = engine.stream

        async def noted(exchange: Any, *given: Any) -> None:
            work = (exchange.request.headers["request-id"], clock.monotonic())
            self.open.append(work)
            try:
                await stream(exchange, *given)
            finally:
                self.open.remove(work)
                self.spans.append((*work, clock.monotonic()))

        engine.stream = noted  # type: ignore[method-assign]

    def overlap_seconds(self) -> float:
        """Return the longest time that a sample was worked on after it was started elsewhere."""
        now = clock.monotonic()
        spans = [*self.spans, *((*work, now) for work in self.open)]
        longest = 0.0
        for sample, began, ended in spans:
            later = [each[1] for each in spans if each[0] == sample and each[1] > began]
            longest = max([longest, *(ended - each for each in later)])
        return longest


async def running(system: System, events: int = EVENTS) -> tuple[GatewayProcess, Working]:
    """Return the leader of four samples that others run, by default 3 s long each."""
    leader = await connected(system, 2)
    for engine in system.llm:
        engine.events, engine.event_seconds = events, 0.05
    working = Working(system.llm)
    assert await system.submit("s1", samples=4) == 202
    others = [each for each in system.gateways if each is not leader]
    await system.until(lambda: sum(each.run_host.runs for each in others) == 4)
    await curio.sleep(0.3)
    return leader, working


async def cut_from_replicas(system: System, leader: GatewayProcess) -> None:
    async def unheard(*_given: object) -> None:
        """Lose a message in transit."""

    for place in leader.leadership.replicas.replicas.values():
        place.link.send = place.link.request = unheard


async def end_process(system: System, leader: GatewayProcess) -> None:
    """End a leader without notice to a successor, as a kill does."""
    await system.tasks[leader].cancel()
    await leader.sockets.links.close()


LONG_SECONDS = 5.0


async def _nothing(*_given: object) -> None:
    """Do nothing."""


@pytest.mark.parametrize("lose", [cut_from_replicas, end_process])
@pytest.mark.parametrize("is_on", [True, False])
def test_runs_continue_under_the_next_leader(
    lose: Callable[[System, GatewayProcess], Any],
    is_on: bool,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    if not is_on:
        monkeypatch.setattr(run_holding, "MAX_SECONDS", 0.0)
    # All parts share this process: an offer may take longer than between machines.
    monkeypatch.setattr(run_offers, "OFFER_WAIT_SECONDS", 1.0)
    monkeypatch.setattr(run_offers, "FRESH_START_SECONDS", 0.0)

    async def test(system: System) -> None:
        leader, working = await running(system)
        others = [each for each in system.gateways if each is not leader]
        await lose(system, leader)
        await read_elsewhere(system, others)
        # Each engine was asked once for each of its samples: nothing was restarted.
        assert bool(sum(len(each.seen) for each in system.llm) == 4) is is_on
        assert working.overlap_seconds() < MAX_OVERLAP_SECONDS
        taken = sum(each.metrics.runs_taken_over for each in others)
        assert taken == (4 if is_on else 0)

    run_system(tmp_path, test, gateways=3)


def test_runs_continue_under_the_third_leader(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against restarted runs because their text still had a name of the first leader."""
    monkeypatch.setattr(run_offers, "OFFER_WAIT_SECONDS", 1.0)
    monkeypatch.setattr(run_offers, "FRESH_START_SECONDS", 0.0)
    # No event arrives in the second leader's term; no run is moved because of that.
    monkeypatch.setattr(moving, "MAX_MOVES", 0)
    # Its texts arrive too late for the third one, as if a pause had cost it the lease.
    monkeypatch.setattr(unfinished_texts, "MAX_RELAYS", 0)
    events = 40

    async def test(system: System) -> None:
        leader, working = await running(system, events)
        await system.until(lambda: any(len(each.texts.by_sample) == 4 for each in system.replicas))
        for engine in system.llm:
            engine.event_seconds = LONG_SECONDS
        # The event in transit is saved too.
        await curio.sleep(1.0)
        others = [each for each in system.gateways if each is not leader]
        await end_process(system, leader)
        await system.until(lambda: sum(each.metrics.runs_taken_over for each in others) == 4)
        second = next(each for each in others if each.duties.term)
        await cut_from_replicas(system, second)
        third = [each for each in others if each is not second]
        await system.until(lambda: any(each.duties.term for each in third), 6.0)
        for engine in system.llm:
            engine.event_seconds = 0.05
        await read_elsewhere(system, third, events)
        assert sum(len(each.seen) for each in system.llm) == 4
        assert working.overlap_seconds() < MAX_OVERLAP_SECONDS

    run_system(tmp_path, test, gateways=4)


def test_runs_that_were_offered_before_the_texts_were_read_are_waited_for(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The wait for offers ends before the texts are read; the runners were told to offer again."""
    monkeypatch.setattr(run_offers, "FRESH_START_SECONDS", 0.0)
    monkeypatch.setattr(run_offers, "OFFER_WAIT_SECONDS", 0.0)
    monkeypatch.setattr(run_offers, "REOFFER_SECONDS", 1.0)
    usual = UnfinishedTexts.read

    async def slowly(unfinished: UnfinishedTexts, samples: Iterable[str]) -> None:
        await usual(unfinished, samples)
        await curio.sleep(0.5)

    monkeypatch.setattr(UnfinishedTexts, "read", slowly)

    async def test(system: System) -> None:
        leader, working = await running(system)
        others = [each for each in system.gateways if each is not leader]
        await end_process(system, leader)
        await read_elsewhere(system, others)
        assert sum(len(each.seen) for each in system.llm) == 4
        assert working.overlap_seconds() < MAX_OVERLAP_SECONDS

    run_system(tmp_path, test, gateways=3)


def running_moment(offers: RunOffers, seconds: float) -> float:
    """Return the time at which a term has lasted so many seconds of running time."""
    return offers._began + (offers._stalls.stalled_seconds() - offers._stalled_before) + seconds


@pytest.mark.parametrize("pause_seconds", [0.0, 0.3])
def test_a_leader_that_has_just_started_waits_for_no_runs(
    pause_seconds: float, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a wait for runs that do not exist; a later leader's wait excludes pauses."""

    async def test(system: System) -> None:
        leader = await system.until_led()
        first = leader.duties.term
        await system.until(lambda: first.offers.has_texts)
        assert not first.offers.are_awaited(first.offers._began)
        monkeypatch.setattr(run_offers, "FRESH_START_SECONDS", 0.1)
        await system.tasks[leader].cancel()
        others = [each for each in system.gateways if each is not leader]
        await system.until(lambda: any(each.duties.term for each in others), 6.0)
        second = next(each.duties.term for each in others if each.duties.term)
        await system.until(lambda: second.offers.has_texts)
        time.sleep(pause_seconds)
        waited = run_offers.OFFER_WAIT_SECONDS
        assert second.offers.are_awaited(running_moment(second.offers, 0.0))
        assert second.offers.are_awaited(running_moment(second.offers, waited - 0.01))
        assert not second.offers.are_awaited(running_moment(second.offers, waited + 0.01))

    run_system(tmp_path, test, gateways=2)


def test_a_leader_that_lives_and_lost_its_links_has_no_sample_run_twice(tmp_path: Path) -> None:
    async def test(system: System) -> None:
        leader, working = await running(system)
        for runner in list(leader.duties.term.runners.links.values()):
            await runner.link.drop()
        texts(await system.read_all("s1", 4), EVENTS)
        assert working.overlap_seconds() < MAX_OVERLAP_SECONDS

    run_system(tmp_path, test, gateways=3)


def test_a_reset_of_a_runners_link_restarts_no_run(tmp_path: Path) -> None:
    """Guards against runs started at other engines while their runner still had them."""

    async def test(system: System) -> None:
        leader, working = await running(system)
        for runner in list(leader.duties.term.runners.links.values()):
            await runner.link.drop()
        texts(await system.read_all("s1", 4), EVENTS)
        assert sum(len(each.seen) for each in system.llm) == 4
        assert working.overlap_seconds() == 0.0

    run_system(tmp_path, test, gateways=3)


def test_a_run_that_is_cancelled_while_its_link_is_down_leaves_its_engine_first(
    tmp_path: Path,
) -> None:
    """Guards against a sample started elsewhere while its runner could not be told."""

    async def hangs(*_given: object) -> None:
        await curio.sleep(LONG_SECONDS)

    async def test(system: System) -> None:
        leader, working = await running(system)
        for each in system.gateways:
            each.run_host.held._ask_leader = hangs
        term = leader.duties.term
        for runner in list(term.runners.links.values()):
            await runner.link.drop()
        for work in list(term.scheduler.runs.values()):
            work.left[work.engine] = clock.monotonic()
            term.scheduler._stop_run(work, CancelReason.SLOW)
            work.stage = Stage.WAITING
        await term._carry_out()
        texts(await system.read_all("s1", 4), EVENTS)
        assert sum(len(each.seen) for each in system.llm) == 8
        assert working.overlap_seconds() < ENGINE_LEFT_SECONDS

    run_system(tmp_path, test, gateways=3)


def test_a_leader_that_reaches_no_runner_has_no_sample_run_twice(tmp_path: Path) -> None:
    """The links hang in both directions, also new ones; both sides reach the replicas."""

    async def test(system: System) -> None:
        leader, working = await running(system)
        others = [each for each in system.gateways if each is not leader]
        for runner in list(leader.duties.term.runners.links.values()):
            runner.link.send = _nothing

        async def hangs(*_given: object) -> None:
            await curio.sleep(LONG_SECONDS)

        for each in others:
            each.run_host.held._ask_leader = hangs
            for link in each.run_host.by_link:
                link.send = _nothing
        texts(await system.read_all("s1", 4), EVENTS)
        assert working.overlap_seconds() < MAX_OVERLAP_SECONDS

    run_system(tmp_path, test, gateways=3)


def test_a_successor_that_runners_do_not_reach_has_no_sample_run_twice(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(run_offers, "FRESH_START_SECONDS", 0.0)

    async def hangs(*_given: object) -> None:
        await curio.sleep(LONG_SECONDS)

    async def test(system: System) -> None:
        leader, working = await running(system)
        others = [each for each in system.gateways if each is not leader]
        for each in others:
            each.run_host.held._ask_leader = hangs
        await end_process(system, leader)
        await read_elsewhere(system, others)
        assert working.overlap_seconds() < MAX_OVERLAP_SECONDS

    run_system(tmp_path, test, gateways=3)


def test_a_link_that_is_lost_after_the_answer_has_no_sample_run_twice(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(run_offers, "FRESH_START_SECONDS", 0.0)
    monkeypatch.setattr(run_offers, "OFFER_WAIT_SECONDS", 0.4)
    run = RunnerLink.run

    async def is_reset(link: RunnerLink, order: RunOrder, take: EventSink) -> RunOutcome:
        if order.held == NO_RUN:
            return await run(link, order, take)
        await link.link.drop()
        return RUNNER_LOST

    monkeypatch.setattr(RunnerLink, "run", is_reset)

    async def test(system: System) -> None:
        leader, working = await running(system)
        others = [each for each in system.gateways if each is not leader]
        await end_process(system, leader)
        await read_elsewhere(system, others)
        assert working.overlap_seconds() < MAX_OVERLAP_SECONDS

    run_system(tmp_path, test, gateways=3)


def test_a_leader_that_stops_hands_its_runs_on_and_each_text_is_scored_once(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(run_offers, "OFFER_WAIT_SECONDS", 1.0)
    monkeypatch.setattr(run_offers, "FRESH_START_SECONDS", 0.0)

    async def test(system: System) -> None:
        leader, working = await running(system)
        others = [each for each in system.gateways if each is not leader]
        await curio.spawn(leader.stop, daemon=True)
        await read_elsewhere(system, others)
        assert sum(len(each.seen) for each in system.llm) == 4
        assert working.overlap_seconds() < MAX_OVERLAP_SECONDS
        scored = [headers["request-id"] for each in system.app for _, _, headers in each.seen]
        assert len(scored) == len(set(scored)) == 4
        second = next(each.duties.term for each in others if each.duties.term)
        assert not any(link.scores for link in second.runners.links.values())

    run_system(tmp_path, test, gateways=4)


def test_runs_end_with_their_process(tmp_path: Path) -> None:
    async def test(system: System) -> None:
        leader, _ = await running(system)
        others = [each for each in system.gateways if each is not leader]
        for each in others:
            await system.tasks[each].cancel()
        await curio.sleep(0.1)
        assert all(len(each.run_host._group) == 0 for each in others)

    run_system(tmp_path, test, gateways=3)


def test_a_leader_is_found_though_a_silent_replica_still_names_the_last_one(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A zone is disconnected with the leader and a replica in it: the links to both stay open."""
    monkeypatch.setattr(replicas, "SILENT_SECONDS", 60.0)

    async def test(system: System) -> None:
        leader = await connected(system, 2)
        others = [each for each in system.gateways if each is not leader]
        for link in system.replicas[0].server.subscribers:
            link.send = link.reply = _nothing
        await cut_from_replicas(system, leader)
        await system.until(lambda: any(each.duties.term for each in others), 6.0)

    run_system(tmp_path, test, gateways=3)


async def read_elsewhere(
    system: System, others: list[GatewayProcess], events: int = EVENTS
) -> None:
    """Read the complete step at a gateway that continues."""
    await system.until(lambda: any(each.duties.term for each in others), 6.0)
    number = next(each for each, one in enumerate(system.gateways) if one in others)
    texts(await system.read_all("s1", 4, gateway=number), events)


class World:
    """State known to a runner, and the leader to which it offers its runs."""

    def __init__(self) -> None:
        self.epoch: int | None = None
        self.hears = True
        self.leader_age: float | None = None
        self.takes = True
        self.offers: list[OfferRuns] = []
        self.held = LeaderlessRuns(
            lambda: Subscribe(daemon="d", zone="z", host="10.0.0.9", port=9, cores=1.0),
            lambda: self.epoch,
            lambda: self.hears,
            self._leader_age,
            self._offer,
        )
        self.engine = Whole()
        self.host = RunHost(self.engine, lambda: self.epoch or 5, self.held)

    async def _leader_age(self, _epoch: int) -> float | None:
        return self.leader_age

    async def _offer(self, message: OfferRuns, _seconds: float) -> RunsTaken | None:
        self.offers.append(message)
        return RunsTaken(status=1, taken=[self.takes] * len(message.samples))


class Whole(Engine):
    """An engine whose texts are scored."""

    async def score(self, _run: int, _content: bytes) -> ScoreOutcome:
        return ScoreOutcome(ScoreEnd.SCORED, "good", "200")


def test_a_held_run_sends_the_next_leader_the_missing_events() -> None:
    async def main() -> None:
        world, first, second = World(), FakeLink(), FakeLink()
        await world.host.handle(first, BEGIN)
        await curio.sleep(0.15)
        await world.host.lost(first)
        await curio.sleep(0.15)
        assert (world.host.runs, world.engine.working, world.offers) == (1, 1, [])
        world.epoch = 6
        await curio.sleep(2 * leaderless_runs.CHECK_SECONDS)
        assert [each.samples for each in world.offers] == [["s"]]
        assert [each.earlier_counts for each in world.offers] == [[0]]
        again = BeginRun(
            epoch=6, run=7, engine="e", sample="s", last_event=3, held_epoch=5, held_run=1
        )
        await world.host.handle(second, again)
        await curio.sleep(0.3)
        assert (world.host.runs, world.engine.working, world.held.runs) == (1, 1, {})
        told = [event for news in second.of(RunNews) for event in read_events(news, 0.0)]
        assert {event.run for event in told} == {7}
        assert [event.number for event in told] == list(range(4, 4 + len(told)))
        assert len(told) > 10
        await world.host.lost(second)
        world.epoch = 7
        await curio.sleep(2 * leaderless_runs.CHECK_SECONDS)
        offer = world.offers[-1]
        assert (offer.epochs, offer.runs) == ([6], [7])
        assert (offer.earlier_counts, offer.earlier_epochs, offer.earlier_runs) == ([1], [5], [1])

    curio.run(main)


def test_a_text_completed_without_a_leader_is_sent_with_its_score() -> None:
    async def main() -> None:
        world, first, second = World(), FakeLink(), FakeLink()
        await world.host.handle(first, BEGIN)
        await curio.sleep(0.1)
        await world.host.lost(first)
        held = world.held.runs["s"].run
        await held.ended(RunOutcome(RunEnd.WHOLE, "200"))
        await held.scored(ScoreOutcome(ScoreEnd.SCORED, "good", "200"))
        again = BeginRun(epoch=6, run=7, engine="e", sample="s", held_epoch=5, held_run=1)
        await world.host.handle(second, again)
        await curio.sleep(0.05)
        news = second.of(RunNews)
        assert [each[:2] for one in news for each in read_ends(one)] == [(7, RunEnd.WHOLE)]
        assert [each[:3] for one in news for each in read_scores(one)] == [
            (7, ScoreEnd.SCORED, "good")
        ]

    curio.run(main)


@pytest.mark.parametrize("why", ["not taken", "cut off", "never begun", "this daemon stops"])
def test_held_runs_end(why: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(leaderless_runs, "TAKE_OVER_START_SECONDS", 0.2)

    async def main() -> None:
        world, link = World(), FakeLink()
        await world.host.handle(link, BEGIN)
        await curio.sleep(0.05)
        world.takes = why == "never begun"
        if why != "cut off":
            world.epoch = 6
        await world.host.lost(link)
        if why == "cut off":
            world.hears = False
            await curio.sleep(run_holding.LEADER_SILENT_SECONDS)
        if why == "this daemon stops":
            await world.host.stop()
        await curio.sleep(0.4)
        assert (world.host.runs, world.engine.working) == (0, 0)

    curio.run(main)


def test_a_run_that_is_no_longer_held_is_reported_to_its_leader() -> None:
    async def main() -> None:
        world, link = World(), FakeLink()
        await world.host.handle(
            link, BeginRun(epoch=6, run=7, engine="e", sample="s", held_epoch=5, held_run=1)
        )
        await curio.sleep(0.05)
        ends = [each for news in link.of(RunNews) for each in read_ends(news)]
        assert [(each.run, each.end) for each in ends] == [(7, RunEnd.STALE)]
        assert world.engine.working == 0

    curio.run(main)


def test_a_run_continues_on_a_new_link_before_the_end_of_the_old_one_is_noticed() -> None:
    async def main() -> None:
        world, first, second = World(), FakeLink(), FakeLink()
        await world.host.handle(first, BEGIN)
        await curio.sleep(0.05)
        again = BeginRun(epoch=5, run=1, engine="e", sample="s", held_epoch=5, held_run=1)
        await world.host.handle(second, again)
        await world.host.lost(first)
        await curio.sleep(0.3)
        assert (world.host.runs, world.engine.working, world.held.runs) == (1, 1, {})
        told = [event for news in second.of(RunNews) for event in read_events(news, 0.0)]
        assert [event.number for event in told] == list(range(1, 1 + len(told)))
        assert len(told) > 5

    curio.run(main)


def test_a_stopping_gateway_reports_runs_that_it_does_not_have() -> None:
    """Guards against a leader that searches for them until the gateway counts as silent."""

    async def main() -> None:
        world, first, second = World(), FakeLink(), FakeLink()
        await world.host.handle(first, BEGIN)
        await world.host.stop()
        await world.host.handle(second, BEGIN)
        ends = [
            each
            for link in (first, second)
            for news in link.of(RunNews)
            for each in read_ends(news)
        ]
        assert [(each.run, each.end) for each in ends] == [(1, RunEnd.STALE)] * 2

    curio.run(main)


def test_a_held_run_ends_when_its_sample_is_restarted_here() -> None:
    async def main() -> None:
        world, first, second = World(), FakeLink(), FakeLink()
        await world.host.handle(first, BEGIN)
        await curio.sleep(0.05)
        await world.host.lost(first)
        await world.host.handle(second, BeginRun(epoch=6, run=7, engine="e", sample="s"))
        await curio.sleep(0.05)
        assert (world.host.runs, world.engine.working, world.held.runs) == (1, 1, {})

    curio.run(main)


def test_runs_of_one_name_are_not_left_running() -> None:
    """A link that the runner considers alive still has a run that the leader started again."""

    async def main() -> None:
        world, first, second = World(), FakeLink(), FakeLink()
        await world.host.handle(first, BEGIN)
        await world.host.handle(second, BeginRun(epoch=5, run=9, engine="e", sample="s"))
        await world.host.handle(second, BeginRun(epoch=5, run=10, engine="e"))
        await curio.sleep(0.05)
        assert world.engine.working == 3
        await world.host.lost(first)
        await world.host.lost(second)
        await curio.sleep(0.05)
        assert (world.host.runs, world.engine.working) == (1, 1)
        world.hears = False
        await curio.sleep(0.2)
        assert (world.host.runs, world.engine.working) == (0, 0)

    curio.run(main)


def test_a_leader_that_asks_for_another_run_than_the_held_one_gets_no_run() -> None:
    async def main() -> None:
        world, first, second = World(), FakeLink(), FakeLink()
        await world.host.handle(first, BEGIN)
        await curio.sleep(0.05)
        await world.host.lost(first)
        other = BeginRun(epoch=6, run=7, engine="e", sample="s", held_epoch=5, held_run=2)
        await world.host.handle(second, other)
        await curio.sleep(0.05)
        ends = [each for news in second.of(RunNews) for each in read_ends(news)]
        assert [(each.run, each.end) for each in ends] == [(7, RunEnd.STALE)]
        assert (world.host.runs, world.engine.working) == (0, 0)

    curio.run(main)


def test_an_offer_that_raises_ends_the_runs() -> None:
    async def main() -> None:
        world, link = World(), FakeLink()
        world.epoch = 6

        async def raises(*_given: object) -> None:
            raise ValueError("a fault")

        world.held._ask_leader = raises
        await world.host.handle(link, BEGIN)
        await curio.sleep(0.05)
        await world.host.lost(link)
        await curio.sleep(0.2)
        assert (world.host.runs, world.engine.working) == (0, 0)

    curio.run(main)


def test_a_leader_that_does_not_answer_is_waited_for_less_than_0_4_s() -> None:
    async def main() -> None:
        world, link = World(), FakeLink()
        world.epoch = 5

        async def hangs(*_given: object) -> None:
            await curio.sleep(LONG_SECONDS)

        world.held._ask_leader = hangs
        await world.host.handle(link, BEGIN)
        await curio.sleep(0.05)
        await world.host.lost(link)
        await curio.sleep(run_holding.SAME_LEADER_SECONDS + 2 * leaderless_runs.CHECK_SECONDS)
        assert (world.host.runs, world.engine.working) == (0, 0)

    assert run_holding.SAME_LEADER_SECONDS < MAX_OVERLAP_SECONDS
    curio.run(main)


@pytest.mark.parametrize("what", ["run", "score"])
def test_an_internal_error_of_a_run_or_its_scorer_is_reported_at_once(what: str) -> None:
    class Faulty:
        async def run(self, _order: RunOrder, _take: EventSink) -> RunOutcome:
            if what == "run":
                raise ValueError("a fault")
            return RunOutcome(RunEnd.WHOLE, "200")

        async def score(self, _run: int, _content: bytes) -> ScoreOutcome:
            raise ValueError("a fault")

    async def main() -> None:
        host, link = RunHost(Faulty(), lambda: 5), FakeLink()
        await host.handle(link, BEGIN)
        await curio.sleep(0.1)
        news = link.of(RunNews)
        ends = [each.end for one in news for each in read_ends(one)]
        assert ends == [RunEnd.BROKEN if what == "run" else RunEnd.WHOLE]
        scores = [each.end for one in news for each in read_scores(one)]
        assert scores == ([] if what == "run" else [ScoreEnd.LOST])
        assert (host.runs, host.by_link[link].judged) == (0, {})

    curio.run(main)
