"""Runs samples for leaders elsewhere: reads the engines' streams and reports their events.

A run belongs to the link on which it was started (`leader_runs.py`). If its leader is lost it is
kept for the next one (`leaderless_runs.py`), or ends if there is none in time.

Holds the runs in progress here in memory; they end with this gateway. Persisting what a run made is
the leader's task. Does not choose engines and does not continue a broken run: both are done by the
leader.
"""

import math
from collections.abc import Callable

from betterproto import Message

from pondtiller.gateway.runs.executed_run import ExecutedRun, RunListener
from pondtiller.gateway.runs.leader_runs import LeaderRuns
from pondtiller.gateway.runs.leaderless_runs import LeaderlessRuns
from pondtiller.gateway.runs.sample_runner import RunOrder, RunOutcome, SampleRunner, ScoreOutcome
from pondtiller.links.link import Link
from pondtiller.process import logs
from pondtiller.process.spawner import Spawner
from pondtiller.process.stalls import StallWatch
from pondtiller.rollouts.run_holding import LeaveReason, LostLeader, begin_refusal
from pondtiller.rollouts.sample_work import NO_RUN, RunEnd, ScoreEnd
from pondtiller.wire.steplog import BeginRun, DropRun, KeepRuns, ScoreAnswer, ScoreSample

RUN_MESSAGES = (BeginRun, DropRun, KeepRuns)


class RunHost:
    """Handles the messages of leaders to this gateway as a runner.

    Parameters
    ----------
    highest_epoch
        Returns the highest epoch that replicas have reported to this gateway.
    held
        Keeps runs whose leader is lost; None if they end with it.
    stalls
        Measures pauses of this process; by default a new watch.

    Attributes
    ----------
    by_link
        Runs of each leader's link.
    """

    def __init__(
        self,
        runner: SampleRunner,
        highest_epoch: Callable[[], int],
        held: LeaderlessRuns | None = None,
        stalls: StallWatch | None = None,
    ) -> None:
        self.runner = runner
        self.by_link: dict[Link, LeaderRuns] = {}
        self.is_stopping = False
        self.held = held
        self.stalls = stalls or StallWatch(lambda: self.runs > 0)
        self._highest_epoch = highest_epoch
        self._group = Spawner()

    @property
    def runs(self) -> int:
        """Number of runs in progress here."""
        held = len(self.held.runs) if self.held is not None else 0
        return held + sum(len(each.runs) for each in self.by_link.values())

    async def handle(self, link: Link, message: Message) -> None:
        """Handle a message that starts, drops or keeps runs."""
        of_leader = self._of_leader(link)
        match message:
            case BeginRun():
                if await self._may_begin(link, message):
                    await of_leader.begin(message)
            case DropRun():
                await of_leader.drop(message.run)

    async def begin_score(self, link: Link, call: int, message: ScoreSample) -> None:
        """Begin to score a finished sample; the call is answered when that is done."""
        await self._of_leader(link).begin_score(call, message)

    def _of_leader(self, link: Link) -> LeaderRuns:
        """Return the runs of a link on which a message has just arrived."""
        of_leader = self.by_link.get(link)
        if of_leader is None:
            of_leader = self.by_link[link] = LeaderRuns(self, link)
        of_leader.note_message()
        return of_leader

    async def start(self, order: RunOrder, listener: RunListener, epoch: int) -> ExecutedRun:
        """Start a run at its engine."""
        await self.stalls.begin()
        run = ExecutedRun(order, epoch, listener, order.last_event, order.text_by)
        run.running_seconds = self.stalls.running_seconds
        run.task = await self._group.spawn(self._run, run)
        return run

    async def _run(self, run: ExecutedRun) -> None:
        """Run a sample; a text that is completed here is scored at once."""
        try:
            outcome = await self.runner.run(run.order, run.take_event)
        except Exception as error:
            outcome = RunOutcome(RunEnd.BROKEN, _log_error(run.order.run, run.order.engine, error))
        if run.is_dropped:
            return
        await run.ended(outcome)
        if outcome.end is not RunEnd.WHOLE:
            return
        try:
            score = await self.runner.score(run.order.run, run.order.content)
        except Exception as error:
            reason = _log_error(run.order.run, run.order.engine, error)
            score = ScoreOutcome(ScoreEnd.LOST, "", reason)
        await run.scored(score)

    def take_held_run(self, order: RunOrder) -> ExecutedRun | None:
        """Return the held run of an order's sample; it is no longer held.

        The leader may notice the end of a link first; the run is then still at that link.
        """
        held = self.held.pop(order.sample) if self.held is not None else None
        if held is not None or order.held == NO_RUN:
            return held
        at_links = (each.release(order.held) for each in self.by_link.values())
        return next((run for run in at_links if run is not None), None)

    async def leave_runs(
        self, runs: list[ExecutedRun], lost: LostLeader, reason: LeaveReason
    ) -> None:
        """Hold runs whose leader is lost, or end them."""
        if self.held is not None and not self.is_stopping:
            await self.held.hold(runs, lost, reason)
            return
        if runs:
            logs.decision("hosted_runs_ended", runs=len(runs), reason=reason)
        for run in runs:
            await run.drop()

    async def _may_begin(self, link: Link, message: BeginRun) -> bool:
        """Return whether a run may start; the link of a deposed leader is closed."""
        highest = self._highest_epoch()
        reason = begin_refusal(message.epoch, highest, self.is_stopping)
        if reason is None:
            return True
        await self.by_link[link].refuse(message.run, reason)
        logs.decision(
            "hosted_run_refused",
            run=message.run,
            engine=message.engine,
            epoch=message.epoch,
            highest_epoch=highest,
            reason=reason,
        )
        await link.drop()
        return False

    async def lost(self, link: Link) -> None:
        """Handle the end of a link."""
        of_leader = self.by_link.pop(link, None)
        if of_leader is not None:
            await of_leader.end()

    async def stop(self) -> None:
        """End all runs, since this daemon stops; their leaders continue them elsewhere."""
        self.is_stopping = True
        if self.held is not None:
            await self.held.end(LeaveReason.STOPS)
        for link, of_leader in list(self.by_link.items()):
            await of_leader.send_ends(LeaveReason.STOPS)
            await link.drop()

    async def close(self) -> None:
        """End all tasks, since the process ends."""
        await self._group.__aexit__()
        if self.held is not None:
            await self.held.close()

    async def score(self, message: ScoreSample) -> ScoreAnswer:
        """Have a finished sample scored."""
        longest_seconds = message.wait_milliseconds / 1000 or math.inf
        try:
            outcome = await self.runner.score(message.run, message.content, longest_seconds)
        except Exception as error:
            outcome = ScoreOutcome(ScoreEnd.LOST, "", _log_error(message.run, "", error))
        return ScoreAnswer(
            end=outcome.end.value,
            score=outcome.score,
            detail=outcome.detail,
            attempts=outcome.attempts,
            request=outcome.request,
        )


def _log_error(run: int, engine: str, error: Exception) -> str:
    """Log an internal error and return its text; the leader continues the sample elsewhere."""
    reason = f"{type(error).__name__}: {error}"
    logs.decision("hosted_run_failed", run=run, engine=engine, reason=reason)
    return reason
