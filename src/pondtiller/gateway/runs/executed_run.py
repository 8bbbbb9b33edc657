"""A run that this gateway executes: its order, what its engine made, and who gets the news.

Owns what was made in this run, in memory alone; earlier events of the text are the leader's. Does
not talk to the engine (`sample_runner.py`).
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from pondtiller.gateway.runs.sample_runner import RunOrder, RunOutcome, ScoreOutcome
from pondtiller.process import clock
from pondtiller.rollouts.run_news import EndedRun, RunEvent, ScoredRun
from pondtiller.rollouts.sample_work import NO_RUN, RunName


class RunListener(Protocol):
    """Who gets the news of a run: the link of a leader."""

    def take_event(self, event: RunEvent) -> None:
        """Take an event."""

    async def take_end(self, ended: EndedRun) -> None:
        """Take the end of a run."""

    async def take_score(self, scored: ScoredRun) -> None:
        """Take what became of scoring a whole text."""


class RunTask(Protocol):
    """The task that carries a run out."""

    async def cancel(self, *, blocking: bool) -> bool:
        """End it; `blocking` waits until it has ended."""


@dataclass
class ExecutedRun:
    """A run that goes on here, whoever leads.

    Attributes
    ----------
    order, epoch
        What the leader asked for, and its epoch; they change with the leader.
    began_after, text_by
        The event after which the run began, and the run that made it.
    earlier_names
        Names that it had under earlier leaders.
    events
        What the engine made in this run.
    listener
        Who gets the news; None while its leader is lost.
    outcome, score
        How the run ended, and what became of scoring its text; None before.
    is_dropped
        Whether nobody wants it any more.
    task
        Carries it out; None before it is spawned.
    running_seconds
        Returns the seconds in which this process ran, by which events are timed.
    """

    order: RunOrder
    epoch: int
    listener: RunListener | None
    began_after: int = 0
    text_by: RunName = NO_RUN
    earlier_names: list[RunName] = field(default_factory=list)
    events: list[RunEvent] = field(default_factory=list)
    outcome: RunOutcome | None = None
    score: ScoreOutcome | None = None
    is_dropped: bool = False
    task: RunTask | None = None
    running_seconds: Callable[[], float] = clock.monotonic

    @property
    def name(self) -> RunName:
        """Return its name among the runs of all leaders."""
        return RunName(self.epoch, self.order.run)

    def take(self, _run: int, number: int, data: str, version: int, _now: float) -> bool:
        """Take an event of the engine; False where the run is to stop."""
        if self.is_dropped:
            return False
        event = RunEvent(self.order.run, number, data, version, self.running_seconds())
        self.events.append(event)
        if self.listener is not None:
            self.listener.take_event(event)
        return True

    async def ended(self, outcome: RunOutcome) -> None:
        """Take that the engine has ended."""
        self.outcome = outcome
        if self.listener is not None:
            await self.listener.take_end(EndedRun(self.order.run, outcome.end, outcome.detail))

    async def scored(self, score: ScoreOutcome) -> None:
        """Take what became of scoring."""
        self.score = score
        if self.listener is not None:
            await self.listener.take_score(scored_run(self.order.run, score))

    async def go_on(self, order: RunOrder, epoch: int, listener: RunListener) -> None:
        """Go on under another leader, which gets what it does not know yet."""
        before = self.name
        self.order, self.epoch, self.listener = order, epoch, listener
        if self.name != before:
            self.earlier_names.append(before)
        self.events = [event._replace(run=order.run) for event in self.events]
        for event in self.events:
            if event.number > order.last_event:
                listener.take_event(event)
        if self.outcome is not None:
            await self.ended(self.outcome)
        if self.score is not None:
            await self.scored(self.score)

    async def drop(self, waits: bool = False) -> None:
        """Stop, since nobody wants it any more; `waits` until its engine has been left."""
        self.is_dropped = True
        self.listener = None
        if self.task is not None:
            await self.task.cancel(blocking=waits)


def scored_run(run: int, score: ScoreOutcome) -> ScoredRun:
    """Return the news of a score for a leader."""
    return ScoredRun(run, score.end, score.score, score.detail, score.attempts, score.request)
