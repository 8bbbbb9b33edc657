"""Runs in progress at engines, and cancelled ones that may still be. No I/O.

Holds their numbers, slots and ends for one term of a leader. `placement.py` counts them by engine
and group. The scheduler decides what starts and what stops.
"""

from pondtiller.rollouts.placement import Placement
from pondtiller.rollouts.sample_work import (
    NO_RUN,
    CancelReason,
    CancelRun,
    RunEnd,
    RunName,
    SampleWork,
    Stage,
    StartRun,
)
from pondtiller.routes.engines import Engine, EngineDirectory


class RunTable:
    """Maps runs to samples.

    Attributes
    ----------
    runs
        Samples by the number of their run, for runs whose engines are working.
    """

    def __init__(self, engines: EngineDirectory, placement: Placement) -> None:
        self.runs: dict[int, SampleWork] = {}
        self._engines = engines
        self._placement = placement
        self._ending: dict[int, str] = {}
        self._last_run = 0

    @property
    def ending(self) -> set[str]:
        """Stored names of samples on which an engine may still work although cancelled."""
        return set(self._ending.values())

    def new_number(self) -> int:
        """Return a number that no run of this term has."""
        self._last_run += 1
        return self._last_run

    def begin(
        self, work: SampleWork, engine: Engine, now: float, runner: str = "", held: RunName = NO_RUN
    ) -> StartRun:
        """Start a run, or take over one that continues at its runner."""
        work.run = self.new_number()
        work.engine = engine.identifier
        work.stage = Stage.RUNNING
        work.run_started = work.last_event_at = now
        work.checked_at = 0.0
        work.run_events = 0
        work.gap_spans_pause = False
        work.is_taken_over = held != NO_RUN
        engine.running += 1
        self.runs[work.run] = work
        self._placement.began(work)
        return StartRun(
            work.run,
            work.sample,
            work.step.step.host,
            work.route,
            engine.identifier,
            work.text.last_event,
            work.required_version,
            work.step.step.tenant,
            work.text.made_by,
            runner,
            held,
            work.table_version,
            work.step.step.path,
        )

    def cancel(self, work: SampleWork, reason: CancelReason) -> CancelRun | None:
        """End a sample's run before its engine does; return None if it has none."""
        if self.runs.pop(work.run, None) is None:
            return None
        self._ending[work.run] = work.storage_name
        self._release_slot(work)
        return CancelRun(work.run, work.sample_id, work.engine, reason)

    def end(self, run: int, end: RunEnd, now: float) -> SampleWork | None:
        """Record the end of a run; return its sample, or None if it was cancelled before."""
        self.is_over(run)
        work = self.runs.pop(run, None)
        if work is None:
            return None
        engine = self._release_slot(work)
        if engine is not None:
            _note_end(engine, end, now)
        return work

    def is_over(self, run: int) -> None:
        """Record that no engine works on a cancelled run any more."""
        self._ending.pop(run, None)

    def note_checked(self, runs: list[int], now: float) -> None:
        """Record that all events of these runs until now are known."""
        for run in runs:
            work = self.runs.get(run)
            if work is not None:
                work.checked_at = now

    def note_stalled_runs(self, runs: list[int], seconds: float, now: float) -> None:
        """Exclude a pause of so many seconds until now from these runs' silence."""
        for run in runs:
            work = self.runs.get(run)
            if work is not None:
                work.last_event_at = min(now, work.last_event_at + seconds)
                work.gap_spans_pause = True

    def note_stall(self, now: float) -> None:
        """Exclude the time until now from all runs' silence."""
        for work in self.runs.values():
            work.last_event_at = now

    def abandon(self) -> None:
        """Release all slots: another leader continues the samples."""
        for work in self.runs.values():
            self._release_slot(work)
        self.runs.clear()

    def _release_slot(self, work: SampleWork) -> Engine | None:
        """Release a run's slot; return its engine if it is still known."""
        self._placement.ended(work)
        engine = self._engines.engines.get(work.engine)
        if engine is not None:
            engine.end_work()
        return engine


def _note_end(engine: Engine, end: RunEnd, now: float) -> None:
    if end is RunEnd.BROKEN:
        engine.note_failure(now)
    elif end is RunEnd.REFUSED:
        engine.note_refusal(now)
    elif end is RunEnd.WHOLE:
        engine.note_success()
