"""Scheduler of the samples of open steps: placement, moves, giving up. No I/O.

Each sample goes from waiting to running to scoring to listed. A run that breaks is continued on
another engine after its last complete event. Holds the open samples for one term of a leader;
durable state is in the step log (`steps.py`) and, for unfinished texts, at the replicas
(`progress.py`).

The decisions are in modules of their own: which engine takes a sample (`placement.py`), which
starts first (`start_order.py`, `turns.py`), when a run moves (`moving.py`), when a sample is given
up (`giving_up.py`), whether a run of an earlier leader continues (`taking_over.py`). Does not send
or write: it emits instructions, which the leader's term executes and logs.
"""

from collections.abc import Callable

from pondtiller.rollouts.giving_up import late_at, reason_after_run, reason_after_scoring
from pondtiller.rollouts.moving import SILENT, STAYS, choose_move, may_move
from pondtiller.rollouts.placement import Placement
from pondtiller.rollouts.run_table import RunTable
from pondtiller.rollouts.sample_work import (
    CancelReason,
    CancelScore,
    ClosedStep,
    GiveUpReason,
    Instruction,
    ListResult,
    OfferedRun,
    RunEnd,
    RunName,
    SampleWork,
    ScoreEnd,
    ScoreText,
    Stage,
    Text,
)
from pondtiller.rollouts.shedding import GroupKey
from pondtiller.rollouts.start_order import start_order
from pondtiller.rollouts.step_record import StepRecord
from pondtiller.rollouts.taking_over import OfferedSample, TakeOverRefusal, refusal_to_take_over
from pondtiller.rollouts.turns import GroupTurns
from pondtiller.rollouts.unfinished_texts import UnfinishedTexts
from pondtiller.routes.cold import ColdEngines
from pondtiller.routes.engines import Engine, EngineDirectory
from pondtiller.routes.table import RouteRow
from pondtiller.wire.steplog import SampleProgress, SampleResult

CHECK_SECONDS = 0.1
"""Interval of the check which runs should move. A scheduler that checked every run at each event,
with four trainers, 260 runs and 22 engines, ticked some hundred times a second, and its leader did
nothing else: no sample was listed in a day. With this interval, and engines sorted once a tick, the
same day listed 911 samples in its first 15 s."""
STARTS_PER_TICK = 100
"""Runs that one tick may start. Each start takes a choice (0.12 ms of a core), a message (0.18 ms),
a task and a log line, and until all are sent no heartbeat leaves. On the smallest machines (0.12 of
a core) 100 starts take 0.3 s, less than a third of the lease."""


class SampleScheduler:
    """Schedules the samples of all open steps.

    Parameters
    ----------
    is_loading
        Returns whether an engine, by its identifier, is changing the weights of a model.
    zone
        Zone of this leader, to which all events of the runs are sent.
    cold
        Which engines are cold; None if none ever is.

    Attributes
    ----------
    epoch
        Epoch of the leader, part of its runs' names.
    may_not_start
        Whether no run may be started, since those of an earlier leader may be taken over.
    has_more
        Whether the last tick left samples that could start in the next one.
    """

    def __init__(
        self,
        engines: EngineDirectory,
        is_loading: Callable[[str, str], bool],
        zone: str = "",
        cold: ColdEngines | None = None,
    ) -> None:
        self.placement = Placement(engines, is_loading, zone, cold)
        self.work: dict[tuple[str, str], SampleWork] = {}
        self._table = RunTable(engines, self.placement)
        self.runs = self._table.runs
        self._engines = engines
        self._texts = UnfinishedTexts()
        self._group_turns = GroupTurns(self.placement)
        self.run_times = self._group_turns.run_times
        self._restarts_seen = 0
        self.epoch = 0
        self.may_not_start = False
        self._next_check = float("-inf")
        self.has_more = False
        self._out: list[Instruction] = []

    @property
    def turns(self) -> dict[GroupKey, int]:
        """Turn of each group, 0 first; empty while all groups can be complete in time."""
        return self._group_turns.turns

    def pop_instructions(self) -> list[Instruction]:
        """Return the instructions since the last call."""
        taken, self._out = self._out, []
        return taken

    # Steps and routes

    def open(self, record: StepRecord, route: RouteRow, table_version: int = 0) -> None:
        """Add an accepted step; samples that are listed already are left out.

        Parameters
        ----------
        table_version
            Version of the table that holds the row; 0 if not stated.
        """
        mean = sum(each.expected_tokens for each in record.samples) / max(record.total, 1)
        for sample in record.samples:
            key = (record.step.id, sample.id)
            if sample.id in record.listed or key in self.work:
                continue
            work = SampleWork(record, route, sample, sample.expected_tokens)
            work.size = work.cost / mean if mean else 1.0
            work.text = self._texts.adopt(
                work.storage_name, work.oldest_version, route.single_version
            )
            work.late_at = late_at(work.accepted_at, route.queue_seconds)
            work.order = start_order(work.accepted_at, route.priority, work.cost, work.size)
            work.table_version = table_version
            self.work[key] = work
            if work.text.is_whole:
                work.run = self._table.new_number()
                self._score(work)

    def abandon(self) -> None:
        """Release all engines: another leader continues the samples."""
        self._table.abandon()

    def refresh_routes(
        self, find: Callable[[str, str, str], RouteRow | None], table_version: int = 0
    ) -> None:
        """Apply the rows in force, by host, path and tenant; samples without a row wait."""
        for work in self.work.values():
            step = work.step.step
            route = find(step.host, step.path, step.tenant)
            work.is_routed = route is not None
            work.table_version = table_version
            if route is not None:
                work.route = route
                work.late_at = late_at(work.accepted_at, route.queue_seconds)

    def close(self, step: str) -> ClosedStep:
        """End a step: its runs and scores stop, its unfinished texts are kept for a later step."""
        closing = [self.work.pop(key) for key in list(self.work) if key[0] == step]
        stages = [work.stage for work in closing]
        for work in closing:
            self._stop(work, CancelReason.STEP_ENDED)
            self._texts.keep(work.storage_name, work.text)
        return ClosedStep(stages.count(Stage.RUNNING), stages.count(Stage.SCORING))

    def keep_progress(self, progress: SampleProgress) -> None:
        """Add a text that an earlier leader saved; the longest one if replicas differ."""
        self._texts.restore(progress)

    # Events of runs and scorers

    def run_event(self, run: int, number: int, data: str, version: int, now: float) -> bool:
        """Process an event of a run; return False if the run must be dropped."""
        work = self.runs.get(run)
        if work is None or number != work.text.last_event + 1:
            return False
        if version < work.step.step.oldest_version:
            return False
        if work.route.single_version and work.text.versions not in ([], [version]):
            work.text = Text()
            return False
        if not work.text.has_room(data):
            # A stream without end: what it made so far is no sample either.
            work.text = Text()
            work.left[work.engine] = now
            return False
        self._note_gap(work, now)
        work.text.add(number, data, version, RunName(self.epoch, run))
        work.run_events += 1
        work.last_event_at = now
        return True

    def _note_gap(self, work: SampleWork, now: float) -> None:
        """Record the time since a run's last event as a measurement of its engine's pace.

        A gap that spans a pause of the reader is skipped: the length of the pause is known to 0.1 s
        only, and after a pause a single gap weighs as much as all those before it.
        """
        engine = self._engines.engines.get(work.engine)
        if engine is None or not work.run_events:
            return
        if work.gap_spans_pause:
            work.gap_spans_pause = False
            engine.skip_event_gap(now)
        # Skipped if more pause was counted than time has passed since the last event.
        elif now >= work.last_event_at:
            engine.note_event_gap(now - work.last_event_at, now)

    def runs_checked(self, runs: list[int], now: float) -> None:
        """Record that all events of these runs until now are known."""
        self._table.note_checked(runs, now)

    def runs_stalled(self, runs: list[int], seconds: float, now: float) -> None:
        """Record a pause of the process that reads the streams of these runs.

        Without this, a pause of a runner or of the leader of 0.4 s between two events made all its
        engines look slow, and all its runs were moved; 0.65 s made them look silent.
        """
        self._table.note_stalled_runs(runs, seconds, now)

    def note_stall(self, now: float) -> None:
        """Record a pause of this process, so that events missing since then do not count."""
        self._table.note_stall(now)

    def run_is_over(self, run: int) -> None:
        """Record that no engine works on a cancelled run any more: its sample may be restarted."""
        self._table.is_over(run)

    def run_ended(self, run: int, end: RunEnd, now: float) -> SampleWork | None:
        """Process the end of a run; return None if it was cancelled before."""
        work = self._table.end(run, end, now)
        if work is None:
            return None
        if end is RunEnd.WHOLE:
            if not work.is_taken_over:
                self.run_times.note(now - work.run_started)
            work.text.is_whole = True
            self._score(work)
            return work
        work.stage = Stage.WAITING
        if end is RunEnd.BROKEN:
            work.left[work.engine] = now
        if end is RunEnd.FAILED:
            work.attempts_failed += 1
        reason = reason_after_run(end, work.attempts_failed, work.route.attempts)
        if reason is not None:
            self._give_up(work, reason)
        return work

    def is_scoring(self, step: str, sample: str, run: int) -> bool:
        """Return whether a sample waits for the score of this number."""
        work = self.work.get((step, sample))
        return work is not None and work.stage is Stage.SCORING and work.run == run

    def scored(self, step: str, sample: str, end: ScoreEnd, score: str, attempts: int) -> None:
        """Process a scorer's answer; after `attempts` failures the sample is given up."""
        work = self.work.get((step, sample))
        if work is None or work.stage is not Stage.SCORING:
            return
        if end is ScoreEnd.SCORED:
            self._list(work, self._result(work, score))
            return
        work.stage = Stage.WAITING
        if end is ScoreEnd.FAILED:
            work.score_failures += 1
        reason = reason_after_scoring(end, work.score_failures, attempts)
        if reason is not None:
            self._give_up(work, reason)
        else:
            work.run = self._table.new_number()
            self._score(work)

    def _result(self, work: SampleWork, score: str) -> SampleResult:
        return SampleResult(
            id=work.sample_id,
            succeeded=True,
            text="\n".join(work.text.events),
            versions=work.text.versions,
            score=score,
        )

    # Decisions of a tick

    def tick(self, now: float, wall_now: float) -> None:
        """Start what can start, move what is slow, give up what is too late."""
        self.placement.begin_tick()
        self._give_up_late(wall_now)
        self._move_from_restarted_engines()
        self._move_slow(now)
        # Moves have freed slots, and failed engines are paused.
        self.placement.begin_tick()
        self._group_turns.update(self.work.values(), now, wall_now)
        self.has_more = False
        if not self.may_not_start:
            self._start_in_order(sorted(self._waiting(), key=self._group_turns.order), now)

    def _waiting(self) -> list[SampleWork]:
        """Return the samples that may start now."""
        waiting = [
            work for work in self.work.values() if work.stage is Stage.WAITING and work.is_routed
        ]
        ending = self._table.ending
        if ending:
            # An engine may be working on it until its runner confirms that it is not.
            waiting = [work for work in waiting if work.storage_name not in ending]
        return waiting

    def _start_in_order(self, waiting: list[SampleWork], now: float) -> None:
        """Start runs, up to the limit of a tick."""
        full: set[str] = set()
        most_runs = len(self.runs) + STARTS_PER_TICK
        for work in waiting:
            service = work.service
            if service in full:
                continue
            # With few free slots, checking each sample of a large step would be wasted.
            if not self.placement.view(service, now).free_engines:
                full.add(service)
                continue
            if len(self.runs) >= most_runs:
                self.has_more = True
                return
            self._try_start(work, now)

    def is_in_progress(self, offered: OfferedRun) -> bool:
        """Return whether an offered run is one of this term that has not ended here."""
        work = self.runs.get(offered.name.run)
        return (
            offered.name.epoch == self.epoch
            and work is not None
            and work.storage_name == offered.sample
        )

    def take_over(self, offered: OfferedRun, runner: str, now: float) -> bool:
        """Continue a run that an earlier leader started and that its runner still has.

        Returns
        -------
        bool
            False if the sample is no longer wanted, runs elsewhere by now, or the known text is not
            the one that the run continues.
        """
        work = self._work_of(offered.sample)
        engine = self._engines.engines.get(offered.engine)
        if work is None or engine is None:
            return False
        if self._continue_refusal(offered, work, engine, now) is not None:
            return False
        self._out.append(self._table.begin(work, engine, now, runner, offered.name))
        if work.text.last_event > offered.after_event:
            work.text.made_by = RunName(self.epoch, work.run)
        return True

    def refusal_to_take_over(self, offered: OfferedRun, now: float) -> TakeOverRefusal | None:
        """Return why an offered run does not continue, for logs; None if it may."""
        work = self._work_of(offered.sample)
        if work is None:
            return TakeOverRefusal.UNKNOWN_SAMPLE
        engine = self._engines.engines.get(offered.engine)
        if engine is None:
            return TakeOverRefusal.UNKNOWN_ENGINE
        return self._continue_refusal(offered, work, engine, now)

    def _work_of(self, storage_name: str) -> SampleWork | None:
        return next(
            (each for each in self.work.values() if each.storage_name == storage_name), None
        )

    def _continue_refusal(
        self, offered: OfferedRun, work: SampleWork, engine: Engine, now: float
    ) -> TakeOverRefusal | None:
        sample = OfferedSample(
            stage=work.stage,
            is_routed=work.is_routed,
            is_ending=work.storage_name in self._table.ending,
            has_left=work.has_left(engine.identifier, now),
            last_event=work.text.last_event,
            made_by=work.text.made_by,
            in_home=self._engines.topology.allows_zone(engine.entry.zone, work.route.homes),
        )
        return refusal_to_take_over(offered, sample)

    def _try_start(self, work: SampleWork, now: float) -> None:
        engine = self.placement.choose(work, now)
        if engine is not None:
            self._out.append(self._table.begin(work, engine, now))

    def _move_from_restarted_engines(self) -> None:
        """Move runs whose engine has restarted: the later incarnation does not have them.

        Otherwise a run behind a network partition would only move once it counts as silent.
        """
        if self._engines.restarts == self._restarts_seen:
            return
        self._restarts_seen = self._engines.restarts
        for work in list(self.runs.values()):
            if self._engines.has_restarted(work.engine):
                self._stop_run(work, CancelReason.ENGINE_STARTED_AGAIN)
                work.stage = Stage.WAITING

    def _move_slow(self, now: float) -> None:
        """Move runs, the most urgent first; checked at intervals, since it examines all runs."""
        if now < self._next_check:
            return
        self._next_check = now + CHECK_SECONDS
        for work in sorted(self.runs.values(), key=lambda each: each.order):
            reason = self._move_reason(work, now) if may_move(work.moves) else None
            if reason is not None:
                work.moves += 1
                work.left[work.engine] = now
                self._stop_run(work, reason)
                work.stage = Stage.WAITING

    def _move_reason(self, work: SampleWork, now: float) -> CancelReason | None:
        """Return why a run moves now; for a slow one a slot elsewhere is reserved."""
        engine = self._engines.engines.get(work.engine)
        choice = choose_move(
            now,
            work.run_started,
            (work.checked_at or now) - work.last_event_at,
            engine.event_seconds if engine is not None else None,
            self.placement.view(work.service, now).pace,
        )
        if choice is STAYS:
            return None
        if choice is SILENT:
            if engine is not None:
                engine.note_failure(now)
        elif not self.placement.reserve_better(work, choice.pace, choice.factor, now):
            return None
        return choice.reason

    def _give_up_late(self, wall_now: float) -> None:
        for work in list(self.work.values()):
            if wall_now > work.late_at:
                self._give_up(work, GiveUpReason.LATE)

    # Results and ends

    def _give_up(self, work: SampleWork, reason: GiveUpReason) -> None:
        self._stop(work, CancelReason.GIVEN_UP)
        self._list(work, SampleResult(id=work.sample_id, succeeded=False), reason)

    def _list(
        self, work: SampleWork, result: SampleResult, given_up: GiveUpReason | None = None
    ) -> None:
        work.stage = Stage.LISTED
        step = work.step_id
        self.work.pop((step, work.sample_id), None)
        self._out.append(ListResult(step, result, given_up))

    def _score(self, work: SampleWork) -> None:
        work.stage = Stage.SCORING
        self._out.append(ScoreText(work.step_id, work.sample, work.run, work.engine))

    def _stop(self, work: SampleWork, reason: CancelReason) -> None:
        """Cancel what is in progress for a sample that is not wanted any more."""
        self._stop_run(work, reason)
        if work.stage is Stage.SCORING:
            self._out.append(CancelScore(work.step_id, work.sample_id, work.run, reason))

    def _stop_run(self, work: SampleWork, reason: CancelReason) -> None:
        cancelled = self._table.cancel(work, reason)
        if cancelled is not None:
            self._out.append(cancelled)
