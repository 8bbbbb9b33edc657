"""A leader's link to one gateway that runs samples for it.

Owns the runs and scores that go on there, as long as the link lasts; the gateway keeps what it has
beyond that (`reattach.py`). Which gateways are linked to, and which serves an engine, is decided in
`runner_directory.py`; the gateway's side is `gateway/runs/run_host.py`.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Protocol

import curio
from betterproto import Message

from pondtiller.gateway.runs.sample_runner import EventSink, RunOrder, RunOutcome, ScoreOutcome
from pondtiller.links.link import Link, LinkLostError
from pondtiller.process import clock, logs
from pondtiller.process.stalls import StallWatch
from pondtiller.rollouts.run_news import (
    EndedRun,
    ScoredRun,
    read_ends,
    read_events,
    read_scores,
)
from pondtiller.rollouts.runner_choice import Daemon
from pondtiller.rollouts.sample_work import RunEnd, ScoreEnd
from pondtiller.wire.steplog import (
    BeginRun,
    DropRun,
    KeepRuns,
    RunNews,
    ScoreAnswer,
    ScoreSample,
)

KEEP_SECONDS = 0.3
"""As often as a leader renews its lease."""
LEASE_LOOK_SECONDS = 0.02
"""Between two looks of a leader that may not keep its runners' runs until its lease is renewed, in
seconds: after a pause of both sides a runner waits 0.2 s for its leader's word."""
RUNNER_SILENT_SECONDS = 1.1
"""A runner with runs tells something each `NEWS_SECONDS`, the last time up to so long before a cut.
It ends its runs 1.0 s to 1.2 s after the cut (`LEADER_SILENT_SECONDS` and the replicas' answer), so
they go on for 0.35 s at most after the leader has begun them elsewhere."""
SCORE_CALL_SECONDS = 6.0
"""Longer than any scorer is given; a runner that is gone ends the call with its link."""
RUNNER_LOST = RunOutcome(RunEnd.STALE, "the runner is lost")
"""Neither the engine nor the sample is to blame: the run goes on elsewhere from its text."""

SCORE_LOST = ScoreOutcome(ScoreEnd.LOST, "", "the runner is lost")


class Runner(Protocol):
    """Carries out runs, here or at another gateway."""

    async def run(self, order: RunOrder, take: EventSink) -> RunOutcome:
        """Run a sample on an engine; `take` gets each event and says whether to go on."""

    async def score(self, run: int, content: bytes) -> ScoreOutcome:
        """Have the sample judged that a run has made whole."""


@dataclass
class RemoteScore:
    """A text that is judged at the runner that made it whole."""

    done: curio.Event = field(default_factory=curio.Event)
    outcome: ScoreOutcome = SCORE_LOST


@dataclass
class RemoteRun:
    """A run that goes on at a runner.

    Attributes
    ----------
    dropped_at
        When the runner was asked to end it, in seconds in which this process ran; None while it is
        wanted.
    dropped_for
        Why, for the logs.
    """

    take: EventSink
    done: curio.Event = field(default_factory=curio.Event)
    outcome: RunOutcome = RUNNER_LOST
    dropped_at: float | None = None
    dropped_for: str = ""


class RunnerLink:
    """One gateway that runs samples for this leader.

    Parameters
    ----------
    checked
        Called with the numbers of the runs of which news came, and the time: nothing else of them
        has happened until then.
    runner_stalled
        Called before with the runs, seconds and the time where the runner says that it was paused.
    stalls
        Knows how long this process was paused; a watch that sees no pause where it is None.
    holds_lease
        Returns whether no other gateway can lead now: only then a runner is to keep its runs.

    Attributes
    ----------
    heard_at
        When its last message came, in seconds in which this process ran
        (`StallWatch.running_seconds`); when its first run began where none has come.
    has_news
        Whether any message has come over this link.
    is_given_up
        Whether the link was ended here since the runner was silent.
    """

    def __init__(
        self,
        daemon: Daemon,
        link: Link,
        epoch: int,
        checked: Callable[[list[int], float], None],
        runner_stalled: Callable[[list[int], float, float], None] | None = None,
        stalls: StallWatch | None = None,
        holds_lease: Callable[[], bool] = lambda: True,
    ) -> None:
        self.daemon = daemon
        self.runs: dict[int, RemoteRun] = {}
        self.scores: dict[int, RemoteScore] = {}
        self.link = link
        self._epoch = epoch
        self._checked = checked
        self._runner_stalled = runner_stalled
        self._stalls = stalls or StallWatch()
        self._holds_lease = holds_lease
        self.heard_at = self._stalls.running_seconds()
        self.has_news = False
        self.is_given_up = False

    async def serve(self) -> None:
        """Take the runner's news until the link ends; then all its runs have ended."""
        keeper = await curio.spawn(self._keep, daemon=True)
        try:
            await self.link.run(self._take)
        finally:
            await keeper.cancel(blocking=False)
            for run in list(self.runs.values()):
                await run.done.set()
            for score in list(self.scores.values()):
                await score.done.set()

    async def run(self, order: RunOrder, take: EventSink) -> RunOutcome:
        """Run a sample on an engine.

        Returns once the runner says that the run is over, also one that was dropped, or is lost.
        """
        if self.link.is_lost:
            return RUNNER_LOST
        run = RemoteRun(take)
        if not self.runs:
            self.heard_at = self._stalls.running_seconds()
        self.runs[order.run] = run
        has_ended = False
        try:
            await self.link.send(_begin(order, self._epoch))
            if not order.is_wanted:
                await self._drop(order.run, run, "dropped")
            await run.done.wait()
            has_ended = True
            return run.outcome
        finally:
            self.runs.pop(order.run, None)
            if not has_ended:
                await self.link.send(DropRun(run=order.run))

    async def drop(self, run: int) -> bool:
        """Have a run ended that is wanted no more; False where the runner has none of this name.

        `run` returns once it is over: until then an engine may be at work on the sample.
        """
        dropped = self.runs.get(run)
        if dropped is None or self.link.is_lost:
            return False
        await self._drop(run, dropped, "dropped")
        return True

    async def _drop(self, run: int, dropped: RemoteRun, reason: str) -> None:
        if dropped.dropped_at is None:
            dropped.dropped_at, dropped.dropped_for = self._stalls.running_seconds(), reason
            await self.link.send(DropRun(run=run))

    async def score(self, run: int, content: bytes) -> ScoreOutcome:
        """Have a sample judged: the runner that made it whole does so unasked."""
        waiting = self.scores.get(run)
        if waiting is None:
            return await self._ask_score(content)
        try:
            if not self.link.is_lost:
                await waiting.done.wait()
            return waiting.outcome
        finally:
            self.scores.pop(run, None)

    async def _ask_score(self, content: bytes) -> ScoreOutcome:
        try:
            answer = await self.link.call(ScoreSample(content=content), SCORE_CALL_SECONDS)
        except LinkLostError as error:
            return ScoreOutcome(ScoreEnd.LOST, "", str(error))
        if not isinstance(answer, ScoreAnswer):
            return ScoreOutcome(ScoreEnd.LOST, "", "no answer to a score")
        return ScoreOutcome(
            ScoreEnd(answer.end), answer.score, answer.detail, answer.attempts, answer.request
        )

    async def _take(self, _link: Link, _call: int, message: Message) -> None:
        if not isinstance(message, RunNews):
            return
        now = clock.monotonic()
        self.heard_at = self._stalls.running_seconds()
        self.has_news = True
        try:
            events, ended = read_events(message, now), read_ends(message)
            scored = read_scores(message)
        except (TypeError, ValueError) as error:
            logs.decision("runner_news_refused", runner=self.daemon.name, reason=str(error))
            await self.link.drop()
            return
        if message.stalled_milliseconds and self._runner_stalled is not None:
            self._runner_stalled(list(self.runs), message.stalled_milliseconds / 1000.0, now)
        for event in events:
            run = self.runs.get(event.run)
            if run is None or run.dropped_at is not None:
                continue
            if not run.take(*event):
                await self._drop(event.run, run, f"event={event.number}")
        for each in ended:
            await self._end(each)
        for judged in scored:
            await self._take_score(judged)
        self._checked(list(self.runs), now)

    async def _end(self, ended: EndedRun) -> None:
        run = self.runs.pop(ended.run, None)
        if run is None:
            return
        if run.dropped_at is not None:
            run.outcome = RunOutcome(RunEnd.STALE, run.dropped_for)
        else:
            if ended.end is RunEnd.WHOLE:
                self.scores[ended.run] = RemoteScore()
            run.outcome = RunOutcome(ended.end, ended.detail)
        await run.done.set()

    async def _take_score(self, scored: ScoredRun) -> None:
        waiting = self.scores.get(scored.run)
        if waiting is not None:
            waiting.outcome = ScoreOutcome(*scored[1:])
            await waiting.done.set()

    async def _keep(self) -> None:
        """Say that the leader lives while there are runs; end the link of a silent runner."""
        while not self.link.is_lost:
            if self.runs or any(not each.done.is_set() for each in self.scores.values()):
                while not self._holds_lease() and not self.link.is_lost:
                    await curio.sleep(LEASE_LOOK_SECONDS)
                await self.link.send(KeepRuns(epoch=self._epoch))
                if self._is_silent():
                    # News that came while this process was paused are read first.
                    await self._stalls.read_first()
                if self._is_silent():
                    logs.decision("runner_silent", runner=self.daemon.name, runs=len(self.runs))
                    self.is_given_up = True
                    await self.link.drop()
            await curio.sleep(KEEP_SECONDS)

    def _is_silent(self) -> bool:
        return is_silent(self.heard_at, self._dropped_at(), self._stalls.running_seconds())

    def _dropped_at(self) -> list[float]:
        """Return when the runner was asked to end what it has not ended yet."""
        return [each.dropped_at for each in self.runs.values() if each.dropped_at is not None]


def is_silent(heard_at: float, dropped_at: Iterable[float], now: float) -> bool:
    """Return whether a runner is given up; its runs are begun elsewhere then.

    The leader's own pauses don't count: a runner that was paused with it has sent nothing yet.

    Parameters
    ----------
    heard_at
        When its last message came, in seconds in which the leader's process ran, as all times here.
    dropped_at
        When it was asked to end runs that it has not ended yet: it may send news of others all the
        same.
    """
    return now > min([heard_at, *dropped_at]) + RUNNER_SILENT_SECONDS


def _begin(order: RunOrder, epoch: int) -> BeginRun:
    return BeginRun(
        epoch=epoch,
        run=order.run,
        engine=order.engine,
        engine_host=order.address.host,
        engine_port=order.address.port,
        host=order.host,
        priority=order.priority,
        last_event=order.last_event,
        expected_version=order.expected_version or 0,
        content=order.content,
        tenant=order.tenant,
        is_cold=order.is_cold,
        sample=order.sample,
        held_epoch=order.held.epoch,
        held_run=order.held.run,
        text_epoch=order.text_by.epoch,
        text_run=order.text_by.run,
        table_version=order.table_version,
        step_path=order.step_path,
    )
