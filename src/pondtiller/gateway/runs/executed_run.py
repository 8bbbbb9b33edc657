"""A run that this gateway executes: its order, its engine's events, and its listener.

Holds the events of this run in memory; earlier events of the text are kept by the leader. Does not
communicate with the engine (`sample_runner.py`).
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from pondtiller.gateway.runs.sample_runner import RunOrder, RunOutcome, ScoreOutcome
from pondtiller.process import clock
from pondtiller.rollouts.run_news import EndedRun, RunEvent, ScoredRun
from pondtiller.rollouts.sample_work import NO_RUN, RunName


class RunListener(Protocol):
    """Receiver of a run's events: the link of a leader."""

    def take_event(self, event: RunEvent) -> None:
        """Process an event."""

    async def take_end(self, ended: EndedRun) -> None:
        """Process the end of a run."""

    async def take_score(self, scored: ScoredRun) -> None:
        """Process the result of scoring a complete text."""


class RunTask(Protocol):
    """Task that executes a run."""

    async def cancel(self, *, blocking: bool) -> bool:
        """Cancel it; `blocking` waits until it has ended."""


@dataclass
class ExecutedRun:
    """A run in progress at this gateway, independent of which gateway is the leader.

    Attributes
    ----------
    order, epoch
        The leader's order and epoch; they change with the leader.
    began_after, text_by
        The event after which the run started, and the run that made that event.
    earlier_names
        Names that the run had under earlier leaders.
    events
        Events that the engine made in this run.
    listener
        Receiver of the events; None while the leader is lost.
    outcome, score
        Outcome of the run, and result of scoring its text; None until known.
    is_dropped
        Whether the run is no longer wanted.
    task
        Task that executes the run; None before it is spawned.
    running_seconds
        Returns the running time of this process, used to timestamp events.
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
        """Name of the run among the runs of all leaders."""
        return RunName(self.epoch, self.order.run)

    def take_event(self, _run: int, number: int, data: str, version: int, _now: float) -> bool:
        """Process an event of the engine; return False if the run must stop."""
        if self.is_dropped:
            return False
        event = RunEvent(self.order.run, number, data, version, self.running_seconds())
        self.events.append(event)
        if self.listener is not None:
            self.listener.take_event(event)
        return True

    async def ended(self, outcome: RunOutcome) -> None:
        """Record that the engine has ended the run."""
        self.outcome = outcome
        if self.listener is not None:
            await self.listener.take_end(EndedRun(self.order.run, outcome.end, outcome.detail))

    async def scored(self, score: ScoreOutcome) -> None:
        """Record the result of scoring."""
        self.score = score
        if self.listener is not None:
            await self.listener.take_score(scored_run(self.order.run, score))

    async def continue_under(self, order: RunOrder, epoch: int, listener: RunListener) -> None:
        """Continue under another leader, which receives the events that it does not have."""
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
        """Stop a run that is no longer wanted; `waits` until its engine has been left."""
        self.is_dropped = True
        self.listener = None
        if self.task is not None:
            await self.task.cancel(blocking=waits)


def scored_run(run: int, score: ScoreOutcome) -> ScoredRun:
    """Return the message about a score for a leader."""
    return ScoredRun(run, score.end, score.score, score.detail, score.attempts, score.request)
