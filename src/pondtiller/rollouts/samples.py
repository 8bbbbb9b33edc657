"""Samples on engines: which runs where, when one moves, what is given up. No I/O.

Each sample goes from waiting to running to scoring to listed. A run that breaks is continued
on another engine after its last whole event. The scheduler keeps all engines of a service
busy, takes older steps first, and within a step the longest samples: the last of them decides
when a step is whole, and one that is put off comes again in a later step. Long samples of steps
that are not much younger go first of all. Where not all groups can be whole in time, groups take
turns instead (`shedding.py`).
"""

from collections.abc import Callable

from pondtiller.rollouts.placement import Placement
from pondtiller.rollouts.progress import unpack_events
from pondtiller.rollouts.sample_work import (
    NO_RUN,
    CancelReason,
    CancelRun,
    Instruction,
    ListResult,
    OfferedRun,
    RunEnd,
    RunName,
    SampleWork,
    ScoreEnd,
    ScoreText,
    Stage,
    StartRun,
    Text,
)
from pondtiller.rollouts.shedding import RANK_SECONDS, GroupKey, RunTimes, group_turns
from pondtiller.rollouts.step_loads import step_loads
from pondtiller.rollouts.steps import SampleHead, StepRecord
from pondtiller.routes.cold import ColdEngines
from pondtiller.routes.engines import Engine, EngineDirectory
from pondtiller.routes.quarantine import ALONE_ENDS
from pondtiller.routes.table import RouteRow
from pondtiller.routes.tenants import owned_name
from pondtiller.wire.steplog import SampleProgress, SampleResult

FASTER_FACTOR = 1.2
"""How much faster an engine must be for a run to move there; less is noise."""
MOVE_SECONDS = 0.25
"""What a move costs, with a margin: a connection, and reading the prompt and text anew."""
SLOW_AFTER_SECONDS = 0.4
SILENT_SECONDS = 0.7
SILENT_GAPS = 8.0
SLOW_SILENT_GAPS = 6.0
"""Events that must be missing before a silence, rather than the pace, makes an engine slow."""
MOST_MOVES = 4
LOOK_SECONDS = 0.1
KEPT_SAMPLES = 4000
QUEUE_MARGIN_SECONDS = 3.0
SHED_SECONDS = 0.2
"""Between two looks at what can be made in time; a look costs all open samples."""
STARTS_A_TICK = 100
"""Runs that one tick begins. Answers the load of a large step, or of several, for which many
places are free: each start takes a choice (0.12 ms of a core), a message (0.18 ms), a task and a
log line, and until all are sent no heartbeat leaves. On the smallest machines (0.12 of a core)
100 starts take 0.3 s, less than a third of the lease."""
LONG_SIZE = 2.0
"""Size of a sample, against its step's mean, from which on it decides when its step is whole."""
LONG_HEAD_START_SECONDS = 3.0
"""How much younger a step may be whose long samples go before the short ones of others. Answers
the load after a pause, when several steps wait for fewer places than they have samples: a short
sample that begins half a second later ends long before the long ones of its own step, whose runs
take 3 s to 6 s more than the mean's (hjolsam-grown: 6.3 s against 0.9 s); a long one that
begins later makes its step late by as much."""


class SampleScheduler:
    """Decides for all open steps.

    Parameters
    ----------
    is_loading
        Returns whether an engine, by its identifier, is changing the weights of a model.
    zone
        Of this leader, to which all events of the runs go.
    cold
        Which engines are cold; None where none ever is.
    is_held
        Returns whether no engine may get a sample, since engines ended under it. It waits until its
        step ends or it is given up as too late; else one sample would take engine after engine.
    ends
        Returns how many engines ended under a sample.

    Attributes
    ----------
    epoch
        Of the leader, which names its runs with it.
    begins_none
        Whether no run is begun, since those of an earlier leader may be taken over.
    has_more
        Whether the last tick left samples for the next one that could begin now.
    """

    def __init__(
        self,
        engines: EngineDirectory,
        is_loading: Callable[[str, str], bool],
        zone: str = "",
        cold: ColdEngines | None = None,
        is_held: Callable[[str], bool] | None = None,
        ends: Callable[[str], int] | None = None,
    ) -> None:
        self.placement = Placement(engines, is_loading, zone, cold)
        self.work: dict[tuple[str, str], SampleWork] = {}
        self.runs: dict[int, SampleWork] = {}
        self._engines = engines
        self._is_held = is_held or (lambda _content: False)
        self._ends = ends or (lambda _content: 0)
        self._kept: dict[str, Text] = {}
        self._ending: dict[int, str] = {}
        self._starts_seen = 0
        self._last_run = 0
        self.run_times = RunTimes()
        self.turns: dict[GroupKey, int] = {}
        self.epoch = 0
        self.begins_none = False
        self._next_shed = float("-inf")
        self._next_look = float("-inf")
        self.has_more = False
        self._out: list[Instruction] = []

    def take(self) -> list[Instruction]:
        """Return the instructions since the last call."""
        taken, self._out = self._out, []
        return taken

    # Steps

    def open(self, record: StepRecord, route: RouteRow) -> None:
        """Take an accepted step; samples that are listed already are left out."""
        mean = sum(each.expected_tokens for each in record.samples) / max(record.total, 1)
        for sample in record.samples:
            key = (record.step.id, sample.id)
            if sample.id in record.listed or key in self.work:
                continue
            work = SampleWork(record, route, sample, sample.expected_tokens)
            work.size = work.cost / mean if mean else 1.0
            work.text = self._adopt(record, route, sample)
            head_start = LONG_HEAD_START_SECONDS if work.size >= LONG_SIZE else 0.0
            work.order = (
                record.step.accepted_at + route.priority * RANK_SECONDS - head_start,
                -work.cost,
            )
            self.work[key] = work
            if work.text.is_whole:
                self._score(work)

    def abandon(self) -> None:
        """Leave all engines: another leader goes on with the samples."""
        for work in self.runs.values():
            self._free_place(work)
        self.runs.clear()

    def refresh_routes(self, find: Callable[[str, str, str], RouteRow | None]) -> None:
        """Take the rows in force, by host, path and tenant; samples whose row is gone wait."""
        for work in self.work.values():
            step = work.step.step
            route = find(step.host, step.path, step.tenant)
            work.is_routed = route is not None
            if route is not None:
                work.route = route

    def close(self, step: str) -> None:
        """End a step: its runs stop, its unfinished texts are kept for a later step."""
        for key in [key for key in self.work if key[0] == step]:
            work = self.work.pop(key)
            self._stop_run(work, CancelReason.STEP_ENDED)
            self._keep(work)

    def keep_progress(self, progress: SampleProgress) -> None:
        """Take a text that an earlier leader left; the longest where several replicas have one."""
        known = self._kept.get(progress.id)
        if known is not None and known.last_event >= progress.last_event:
            return
        events = unpack_events(progress.parts)
        made_by = RunName(progress.epoch, progress.run)
        text = Text(events, list(progress.versions), progress.last_event, made_by=made_by)
        self._kept[progress.id] = text

    # Runs

    def run_event(self, run: int, number: int, data: str, version: int, now: float) -> bool:
        """Take an event of a run; False where the run is to be dropped."""
        work = self.runs.get(run)
        if work is None or number != work.text.last_event + 1:
            return False
        if version < work.step.step.oldest_version:
            return False
        if work.route.single_version and work.text.versions not in ([], [version]):
            work.text = Text()
            return False
        engine = self._engines.engines.get(work.engine)
        if engine is not None and work.run_events:
            engine.note_event_gap(now - work.last_heard, now)
        work.text.add(number, data, version, RunName(self.epoch, run))
        work.run_events += 1
        work.last_heard = now
        return True

    def runs_checked(self, runs: list[int], now: float) -> None:
        """Take that all events of these runs are known until now."""
        for run in runs:
            work = self.runs.get(run)
            if work is not None:
                work.checked_at = now

    def note_stall(self, now: float) -> None:
        """Take that this daemon itself did nothing for a while: what it did not hear is its own."""
        for work in self.runs.values():
            work.last_heard = now

    def run_is_over(self, run: int) -> None:
        """Take that no engine works on a cancelled run any more: its sample may begin elsewhere."""
        self._ending.pop(run, None)

    def run_ended(self, run: int, end: RunEnd, now: float) -> SampleWork | None:
        """Take the end of a run; None where it was cancelled before."""
        self.run_is_over(run)
        work = self.runs.pop(run, None)
        if work is None:
            return None
        engine = self._free_place(work)
        if engine is not None:
            _note_end(engine, end, now)
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
        if end is RunEnd.IMPOSSIBLE or work.attempts_failed >= work.route.attempts:
            self._give_up(work)
        return work

    def scored(self, step: str, sample: str, end: ScoreEnd, score: str, attempts: int) -> None:
        """Take a scorer's answer; after `attempts` failures the sample is given up."""
        work = self.work.get((step, sample))
        if work is None or work.stage is not Stage.SCORING:
            return
        if end is ScoreEnd.FAILED:
            work.score_failures += 1
        if end is ScoreEnd.SCORED:
            self._list(work, self._result(work, score))
        elif end is ScoreEnd.FAILED and work.score_failures >= attempts:
            self._give_up(work)
        else:
            self._out.append(ScoreText(step, work.sample, work.run, work.engine))

    def _result(self, work: SampleWork, score: str) -> SampleResult:
        return SampleResult(
            id=work.sample_id,
            succeeded=True,
            text="\n".join(work.text.events),
            versions=work.text.versions,
            score=score,
        )

    # Each tick

    def tick(self, now: float, wall_now: float) -> None:
        """Start what can start, move what is slow, give up what is too late."""
        self.placement.begin_tick()
        self._give_up_late(wall_now)
        self._move_from_earlier_starts()
        self._move_slow(now)
        # What moved left room, and what failed is paused.
        self.placement.begin_tick()
        self._give_turns(now, wall_now)
        self.has_more = False
        if self.begins_none:
            return
        waiting = [
            work
            for work in self.work.values()
            if work.stage is Stage.WAITING and work.is_routed and not self._is_held(work.content)
        ]
        if self._ending:
            # An engine may be at work on it until its runner says that it is not.
            ending = set(self._ending.values())
            waiting = [work for work in waiting if work.kept_as not in ending]
        self._start_in_order(sorted(waiting, key=self._turn), now)

    def _start_in_order(self, waiting: list[SampleWork], now: float) -> None:
        """Begin runs, as many as one tick may."""
        full: set[str] = set()
        suspected = {work.service for work in self.runs.values() if self._is_run_alone(work)}
        most_runs = len(self.runs) + STARTS_A_TICK
        for work in waiting:
            service = work.service
            if service in full:
                continue
            if self._is_run_alone(work):
                # One that ends engines would take those beside it along to its bound of ends.
                if service in suspected:
                    continue
                suspected.add(service)
            # A large step waits for few places: looking at each sample of it is in vain.
            if not self.placement.view(service, now).with_room:
                full.add(service)
                continue
            if len(self.runs) >= most_runs:
                self.has_more = True
                return
            self._try_start(work, now)

    def _is_run_alone(self, work: SampleWork) -> bool:
        return self._ends(work.content) >= ALONE_ENDS

    def _turn(self, work: SampleWork) -> tuple[int, tuple[float, ...]]:
        """Return a key for who starts first: by group where not all can be whole in time."""
        key = GroupKey(work.step_id, work.group)
        return self.turns.get(key, len(self.turns)), work.order

    def _give_turns(self, now: float, wall_now: float) -> None:
        """Look now and then whether all groups can be whole in time, and which go first if not."""
        if now < self._next_shed:
            return
        self._next_shed = now + SHED_SECONDS
        by_service: dict[str, list[SampleWork]] = {}
        for work in self.work.values():
            if work.is_routed:
                by_service.setdefault(work.service, []).append(work)
        turns: list[GroupKey] = []
        for service, works in by_service.items():
            usable = self.placement.view(service, now).usable
            rate = self.run_times.rate(sum(each.entry.slots for each in usable))
            turns += group_turns(step_loads(works), rate, wall_now)
        self.turns = {key: turn for turn, key in enumerate(turns)}

    def take_over(self, offered: OfferedRun, runner: str, now: float) -> bool:
        """Go on with a run that an earlier leader began and that its runner still has.

        Returns
        -------
        bool
            False where the sample is wanted no more, runs elsewhere by now, or the text that is
            known is not the one that the run continues.
        """
        work = next((each for each in self.work.values() if each.kept_as == offered.sample), None)
        engine = self._engines.engines.get(offered.engine)
        if work is None or engine is None or work.stage is not Stage.WAITING:
            return False
        is_free = work.kept_as not in self._ending.values()
        is_wanted = work.is_routed and is_free and not work.has_left(engine.identifier, now)
        # Events of another run must not stand before those of this one.
        text = work.text
        is_begun_after = text.last_event == offered.after_event
        continues = text.made_by == (offered.text_by if is_begun_after else offered.name)
        knows_text = text.last_event >= offered.after_event and continues
        in_home = self._engines.places.may_hold(engine.entry.zone, work.route.homes)
        if not (is_wanted and knows_text and in_home):
            return False
        self._start(work, engine, now, runner, offered.name)
        if text.last_event > offered.after_event:
            text.made_by = RunName(self.epoch, work.run)
        return True

    def _try_start(self, work: SampleWork, now: float) -> None:
        engine = self.placement.choose(work, now)
        if engine is not None:
            self._start(work, engine, now)

    def _start(
        self,
        work: SampleWork,
        engine: Engine,
        now: float,
        runner: str = "",
        held: RunName = NO_RUN,
    ) -> None:
        self._last_run += 1
        work.run = self._last_run
        work.engine = engine.identifier
        work.stage = Stage.RUNNING
        work.run_started = work.last_heard = now
        work.checked_at = 0.0
        work.run_events = 0
        work.is_taken_over = held != NO_RUN
        engine.running += 1
        self.runs[work.run] = work
        self.placement.began(work)
        self._out.append(
            StartRun(
                work.run,
                work.sample,
                work.step.step.host,
                work.route,
                engine.identifier,
                work.text.last_event,
                work.stays_with,
                work.step.step.tenant,
                work.text.made_by,
                runner,
                held,
            )
        )

    def _move_from_earlier_starts(self) -> None:
        """Move runs whose engine has started again: the later start knows nothing of them.

        A run behind a cut would else be waited for until it counts as silent.
        """
        if self._engines.starts_again == self._starts_seen:
            return
        self._starts_seen = self._engines.starts_again
        for work in list(self.runs.values()):
            if self._engines.has_started_again(work.engine):
                self._stop_run(work, CancelReason.ENGINE_STARTED_AGAIN)
                work.stage = Stage.WAITING

    def _move_slow(self, now: float) -> None:
        """Move runs, the most urgent first; looked at now and then, since it costs all runs."""
        if now < self._next_look:
            return
        self._next_look = now + LOOK_SECONDS
        for work in sorted(self.runs.values(), key=lambda each: each.order):
            reason = self._why_move(work, now) if work.moves < MOST_MOVES else None
            if reason is not None:
                work.moves += 1
                work.left[work.engine] = now
                self._stop_run(work, reason)
                work.stage = Stage.WAITING

    def _why_move(self, work: SampleWork, now: float) -> CancelReason | None:
        engine = self._engines.engines.get(work.engine)
        pace = self.placement.view(work.service, now).pace
        silence = (work.checked_at or now) - work.last_heard
        if silence > max(SILENT_SECONDS, SILENT_GAPS * pace):
            if engine is not None:
                engine.note_failure(now)
            return CancelReason.SILENT
        if engine is None or not pace or now < work.run_started + SLOW_AFTER_SECONDS:
            return None
        slow = engine.event_seconds
        if silence > SLOW_SILENT_GAPS * pace:
            slow = max(slow, silence)
        # Lengths have a heavy tail: a run has about as long before it as behind it.
        factor = max(FASTER_FACTOR, 1.0 + MOVE_SECONDS / (now - work.run_started))
        if not slow or not self.placement.reserve_better(work, slow, factor, now):
            return None
        return CancelReason.SLOW

    def _give_up_late(self, wall_now: float) -> None:
        for work in list(self.work.values()):
            if wall_now > work.accepted_at + work.route.queue_seconds + QUEUE_MARGIN_SECONDS:
                self._give_up(work)

    # Ends

    def _give_up(self, work: SampleWork) -> None:
        self._stop_run(work, CancelReason.GIVEN_UP)
        self._list(work, SampleResult(id=work.sample_id, succeeded=False))

    def _list(self, work: SampleWork, result: SampleResult) -> None:
        work.stage = Stage.LISTED
        step = work.step_id
        self.work.pop((step, work.sample_id), None)
        self._out.append(ListResult(step, result))

    def _score(self, work: SampleWork) -> None:
        work.stage = Stage.SCORING
        self._out.append(ScoreText(work.step_id, work.sample, work.run, work.engine))

    def _stop_run(self, work: SampleWork, reason: CancelReason) -> None:
        if self.runs.pop(work.run, None) is None:
            return
        self._ending[work.run] = work.kept_as
        self._free_place(work)
        self._out.append(CancelRun(work.run, work.sample_id, work.engine, reason))

    def _free_place(self, work: SampleWork) -> Engine | None:
        """Give a run's place back; return its engine where it is still known."""
        self.placement.ended(work)
        engine = self._engines.engines.get(work.engine)
        if engine is not None:
            engine.end_work()
        return engine

    def _adopt(self, record: StepRecord, route: RouteRow, sample: SampleHead) -> Text:
        kept = self._kept.pop(owned_name(record.step.tenant, sample.id), None)
        if kept is None or not kept.fits(record.step.oldest_version, route.single_version):
            return Text()
        return kept

    def _keep(self, work: SampleWork) -> None:
        if not work.text.events:
            return
        if len(self._kept) >= KEPT_SAMPLES:
            del self._kept[next(iter(self._kept))]
        self._kept[work.kept_as] = work.text


def _note_end(engine: Engine, end: RunEnd, now: float) -> None:
    if end is RunEnd.BROKEN:
        engine.note_failure(now)
    elif end is RunEnd.REFUSED:
        engine.note_refusal(now)
    elif end is RunEnd.WHOLE:
        engine.note_success()
