"""Leader's link to one gateway that runs samples for it.

Holds the runs and scores in progress there, as long as the link lasts; the gateway keeps its state
longer than that (`reattach.py`). Which gateways are connected, and which one serves an engine, is
decided in `runner_directory.py`; the gateway's side is `gateway/runs/run_host.py`.
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

KEEP_RUNS_SECONDS = 0.3
"""Interval of the messages that keep a runner's runs alive; as often as a leader renews its
lease."""
LEASE_CHECK_SECONDS = 0.02
"""Interval at which a leader that must not send `KeepRuns` checks whether its lease is renewed.
After a pause of both sides a runner waits 0.2 s for a message of its leader."""
RUNNER_SILENT_SECONDS = 1.1
"""Time without a message after which a runner is given up. A runner with runs sends a message every
`NEWS_SECONDS`, the last one up to that long before a disconnection. It ends its runs 1.0 s to 1.2 s
after the disconnection (`LEADER_SILENT_SECONDS` plus the replicas' answer), so they overlap with
the leader's new runs by 0.35 s at most."""
SCORE_CALL_SECONDS = 6.0
"""Longest wait for a score that a runner was asked for: the runner may have become silent."""
SCORE_ANSWER_SECONDS = 0.5
"""Part of that wait for the runner's answer, so that its request has ended when the wait ends."""
RUNNER_LOST = RunOutcome(RunEnd.STALE, "the runner is lost")
"""Outcome of a run whose runner was lost: neither the engine nor the sample is at fault, and the
run continues elsewhere from its text."""

SCORE_LOST = ScoreOutcome(ScoreEnd.LOST, "", "the runner is lost")


class Runner(Protocol):
    """Executes runs, in this process or at another gateway."""

    async def run(self, order: RunOrder, take: EventSink) -> RunOutcome:
        """Run a sample on an engine; `take` receives each event and returns whether to continue."""

    async def score(self, run: int, content: bytes) -> ScoreOutcome:
        """Have the sample scored that a run has completed.

        Parameters
        ----------
        run
            Number in the `ScoreText`.
        """


@dataclass
class RemoteScore:
    """A text that is being scored at the runner that completed it."""

    done: curio.Event = field(default_factory=curio.Event)
    outcome: ScoreOutcome = SCORE_LOST


@dataclass
class RemoteRun:
    """A run in progress at a runner.

    Attributes
    ----------
    dropped_at
        When the runner was asked to end it, in running time of this process; None while it is
        wanted.
    drop_reason
        Reason, for logs.
    """

    take: EventSink
    done: curio.Event = field(default_factory=curio.Event)
    outcome: RunOutcome = RUNNER_LOST
    dropped_at: float | None = None
    drop_reason: str = ""


class RunnerLink:
    """Link to one gateway that runs samples for this leader.

    Parameters
    ----------
    checked
        Called with the numbers of the runs that a message covers, and its time: no other events of
        these runs have happened until then.
    runner_stalled
        Called before that with the runs, seconds and the time if the runner reports a pause.
    stalls
        Measures pauses of this process; without it no pauses are seen.
    holds_lease
        Returns whether no other gateway can be the leader now: only then may a runner be told to
        keep its runs.

    Attributes
    ----------
    last_message_at
        When its last message arrived, in running time of this process
        (`StallWatch.running_seconds`); when its first run started if none has arrived.
    scores
        Scores of texts that the runner has completed, by the number of the run.
    asked
        Numbers of the scores that the runner was asked for.
    has_received
        Whether any message has arrived on this link.
    was_given_up
        Whether the link was closed here because the runner was silent.
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
        self.asked: set[int] = set()
        self.link = link
        self._epoch = epoch
        self._checked = checked
        self._runner_stalled = runner_stalled
        self._stalls = stalls or StallWatch()
        self._holds_lease = holds_lease
        self.last_message_at = self._stalls.running_seconds()
        self.has_received = False
        self.was_given_up = False

    async def serve(self) -> None:
        """Process the runner's messages until the link ends; then all of its runs have ended."""
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

        Returns once the runner reports the end of the run, even if it was dropped, or is lost.
        """
        if self.link.is_lost:
            return RUNNER_LOST
        run = RemoteRun(take)
        if not self.runs:
            self.last_message_at = self._stalls.running_seconds()
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
        """Have a run ended that is no longer wanted; return False if the runner does not have it.

        `run` returns once it is over: until then an engine may be working on the sample. If the
        runner is scoring its text already, that is cancelled.
        """
        if self.scores.pop(run, None) is not None:
            await self.link.send(DropRun(run=run))
        dropped = self.runs.get(run)
        if dropped is None or self.link.is_lost:
            return False
        await self._drop(run, dropped, "dropped")
        return True

    async def _drop(self, run: int, dropped: RemoteRun, reason: str) -> None:
        if dropped.dropped_at is None:
            dropped.dropped_at, dropped.drop_reason = self._stalls.running_seconds(), reason
            await self.link.send(DropRun(run=run))

    async def score(self, run: int, content: bytes) -> ScoreOutcome:
        """Wait for a sample's score; the runner that completed it scores it without being asked.

        Once nobody waits for the score, the runner is told to cancel it.
        """
        waiting = self.scores.get(run)
        has_ended = False
        try:
            if waiting is None:
                outcome = await self._ask_score(run, content)
            else:
                outcome = await self._await_score(waiting)
            has_ended = True
            return outcome
        except LinkLostError as error:
            return ScoreOutcome(ScoreEnd.LOST, "", str(error))
        finally:
            self.scores.pop(run, None)
            self.asked.discard(run)
            if not has_ended:
                await self.link.send(DropRun(run=run))

    async def _await_score(self, waiting: RemoteScore) -> ScoreOutcome:
        if not self.link.is_lost:
            await waiting.done.wait()
        return waiting.outcome

    async def _ask_score(self, run: int, content: bytes) -> ScoreOutcome:
        """Return the runner's answer; raises `LinkLostError` if there is none in time."""
        runner_seconds = SCORE_CALL_SECONDS - SCORE_ANSWER_SECONDS
        message = ScoreSample(content, run, round(runner_seconds * 1000))
        self.asked.add(run)
        answer = await self.link.call(message, SCORE_CALL_SECONDS)
        if not isinstance(answer, ScoreAnswer):
            return ScoreOutcome(ScoreEnd.LOST, "", "no answer to a score")
        return ScoreOutcome(
            ScoreEnd(answer.end), answer.score, answer.detail, answer.attempts, answer.request
        )

    async def _take(self, _link: Link, _call: int, message: Message) -> None:
        if not isinstance(message, RunNews):
            return
        now = clock.monotonic()
        self.last_message_at = self._stalls.running_seconds()
        self.has_received = True
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
            run.outcome = RunOutcome(RunEnd.STALE, run.drop_reason)
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
        """Tell the runner to keep its runs while there are any; close the link if it is silent."""
        while not self.link.is_lost:
            if self.asked or self._expects_news():
                while not self._holds_lease() and not self.link.is_lost:
                    await curio.sleep(LEASE_CHECK_SECONDS)
                await self.link.send(KeepRuns(epoch=self._epoch))
                if self._is_silent():
                    # Messages that arrived while this process was paused are read first.
                    await self._stalls.read_first()
                if self._is_silent():
                    logs.decision("runner_silent", runner=self.daemon.name, runs=len(self.runs))
                    self.was_given_up = True
                    await self.link.drop()
            await curio.sleep(KEEP_RUNS_SECONDS)

    def _expects_news(self) -> bool:
        """Return whether the runner sends messages at intervals."""
        return bool(self.runs) or any(not each.done.is_set() for each in self.scores.values())

    def _is_silent(self) -> bool:
        if not self._expects_news():
            return False
        return is_silent(self.last_message_at, self._dropped_at(), self._stalls.running_seconds())

    def _dropped_at(self) -> list[float]:
        """Return when the runner was asked to end runs that have not ended yet."""
        return [each.dropped_at for each in self.runs.values() if each.dropped_at is not None]


def is_silent(last_message_at: float, dropped_at: Iterable[float], now: float) -> bool:
    """Return whether a runner is given up; its runs are then started elsewhere.

    Pauses of the leader's process do not count: a runner paused together with it has sent nothing
    either.

    Parameters
    ----------
    last_message_at
        When its last message arrived, in running time of the leader's process, as all times here.
    dropped_at
        When it was asked to end runs that have not ended yet. It may still send messages about
        other runs.
    """
    return now > min([last_message_at, *dropped_at]) + RUNNER_SILENT_SECONDS


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
