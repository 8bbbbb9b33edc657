"""One term of a leader: keeps steps, runs their samples, brings engines to new versions."""

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any

import curio
from betterproto import Message

from pondtiller.address import Address
from pondtiller.coordination.agreed_clock import AgreedClock
from pondtiller.gateway.callers.front import Front
from pondtiller.gateway.engines.orders import EngineOrders
from pondtiller.gateway.leader.leader_watches import LeaderWatches
from pondtiller.gateway.leader.leadership import Leadership
from pondtiller.gateway.leader.order_rights import OrderRights
from pondtiller.gateway.leader.rate_duty import FindTerms, RateDuty, no_terms
from pondtiller.gateway.leader.run_links import RUNNER_LOST, RunnerDirectory, RunnerLink
from pondtiller.gateway.leader.run_offers import RunOffers
from pondtiller.gateway.leader.scaling_duty import ScalingDuty, ScalingParts, ScalingSettings
from pondtiller.gateway.leader.tick_pacing import LONGEST_GAP_SECONDS, TickPacing
from pondtiller.gateway.leader.usage_duty import UsageDuty, UsageParts, UsageSettings
from pondtiller.gateway.metrics import GatewayMetrics
from pondtiller.gateway.runs.sample_runner import RunOrder, RunOutcome, SampleRunner
from pondtiller.links.frames import encode_message
from pondtiller.links.link import LinkLostError
from pondtiller.platform.operator_api import OperatorClient
from pondtiller.process import clock, logs
from pondtiller.process.spawner import Spawner
from pondtiller.process.supervise import keep_running
from pondtiller.rollouts.progress import ProgressSaver
from pondtiller.rollouts.sample_work import (
    CancelRun,
    ListResult,
    RunEnd,
    ScoreEnd,
    ScoreText,
    StartRun,
)
from pondtiller.rollouts.samples import SampleScheduler
from pondtiller.rollouts.step_keys import STEP_PREFIX
from pondtiller.rollouts.step_record import StepRecord
from pondtiller.rollouts.steps import StepBook, StepStatus
from pondtiller.rollouts.versions import AskEngine, OrderVersion, VersionSteward
from pondtiller.routes.cold import QUIET_SECONDS, ColdEngines
from pondtiller.routes.engines import EngineDirectory
from pondtiller.routes.send_gate import Held
from pondtiller.routes.table import RouteTable
from pondtiller.routes.tenants import owned_name
from pondtiller.steplog.entry import Entry
from pondtiller.steplog.instructions import Won
from pondtiller.usage.reports import USE_PREFIX
from pondtiller.wire.steplog import (
    ProgressList,
    ReadProgress,
    ResultsPage,
    SaveProgress,
    Step,
    UseTaken,
    UseTold,
)

TICK_SECONDS = 0.1
STALL_SECONDS = 0.3
"""A tick that comes this much late says that this daemon stood still, not its engines."""
COMMIT_SECONDS = 2.5
PROGRESS_SECONDS = 0.5
PROGRESS_CALL_SECONDS = 0.3
SCORE_RETRY_SECONDS = 0.1
KEEP_MARGIN_SECONDS = 10.0
MOST_BEARERS = 6
"""Runners that pass on the texts of a leader that replicas do not hear, each a part of them: 50
long texts are 1 MB, five times as much to five members, and a successor reads them soon."""
HAND_OVER_SECONDS = 0.1
"""How long a leader whose lease has ended waits for its texts to leave, before it ends its runs.
A successor begins none before it was elected and has read log and texts: 0.3 s at least."""
EXPIRE_SECONDS = 30.0


@dataclass(frozen=True, slots=True)
class DutyParts:
    """What a leader works with.

    Attributes
    ----------
    lease_seconds
        How long after another leader's last order the first own one may come.
    keep_seconds
        How long a closed step stays readable.
    usage, operator
        What use is to be reported, and to whom; None where none is.
    scaling
        By what engines are ordered; None where none are.
    agreed
        The time of day on which the machines agree.
    cold
        Which engines are cold; None where none ever is.
    find_terms
        Returns how a rate may be granted, by its subject.
    """

    leadership: Leadership
    engines: EngineDirectory
    front: Front
    runner: SampleRunner
    orders: EngineOrders
    watches: LeaderWatches
    metrics: GatewayMetrics
    lease_seconds: float
    keep_seconds: float
    agreed: AgreedClock
    usage: UsageSettings | None = None
    operator: OperatorClient | None = None
    cold: ColdEngines | None = None
    find_terms: FindTerms = no_terms
    scaling: ScalingSettings | None = None
    is_held: Callable[[str], bool] | None = None
    ends: Callable[[str], int] | None = None


class Term:
    """One term of leadership."""

    def __init__(self, parts: DutyParts, won: Won) -> None:
        self._parts = parts
        self._leadership = parts.leadership
        self._metrics = parts.metrics
        self.epoch = won.epoch
        self.book = StepBook()
        self.steward = VersionSteward(parts.engines)
        self.scheduler = SampleScheduler(
            parts.engines,
            self.steward.is_loading,
            parts.leadership.zone,
            parts.cold,
            parts.is_held,
            parts.ends,
        )
        self.scheduler.epoch = won.epoch
        self.progress = ProgressSaver()
        self.wake = curio.Event()
        self._won = won
        self._group = Spawner()
        self._watch_group = Spawner()
        self.runners = RunnerDirectory(
            parts.leadership.name,
            won.epoch,
            parts.engines,
            parts.runner,
            self._ask_member,
            self.scheduler.runs_checked,
            parts.leadership.zone,
        )
        self.offers = RunOffers(
            parts.leadership,
            self.runners,
            self.scheduler,
            parts.metrics,
            self._carry_out,
            clock.monotonic(),
        )
        self._runs: dict[int, Any] = {}
        self._runner_of: dict[int, RunnerLink] = {}
        self._waiters: dict[str, set[Any]] = {}
        self._written_at: dict[str, float] = {}
        self._table: RouteTable | None = None
        self._scheduled: set[str] = set()
        self._is_over = False
        self._takes_turns = False
        self.orders = OrderRights(
            parts.leadership, parts.engines, self.steward, won, parts.lease_seconds
        )
        self.rates = RateDuty(won.epoch, parts.find_terms)
        self.scheduler.placement.cold_from = clock.monotonic() + QUIET_SECONDS
        self.usage = self._make_usage(
            [entry for entry in won.entries if entry.key.startswith(USE_PREFIX)]
        )
        self.scaling = self._make_scaling()

    def _make_usage(self, entries: list[Entry]) -> UsageDuty | None:
        parts = self._parts
        if parts.usage is None or parts.operator is None:
            return None
        usage = UsageParts(
            parts.usage,
            parts.operator,
            parts.agreed,
            parts.leadership,
            parts.front,
            self.orders,
            parts.metrics,
        )
        return UsageDuty(usage, self.epoch, entries)

    def _make_scaling(self) -> ScalingDuty | None:
        parts = self._parts
        if parts.scaling is None or parts.operator is None:
            return None
        scaling = ScalingParts(
            parts.scaling,
            parts.operator,
            parts.leadership,
            parts.front,
            parts.engines,
            self.orders,
            parts.metrics,
        )
        return ScalingDuty(scaling, self.epoch, self.scheduler.work)

    async def start(self) -> None:
        """Restore the steps, then begin to work."""
        steps = [entry for entry in self._won.entries if not entry.key.startswith(USE_PREFIX)]
        for key in self.book.restore(steps, self._won.deferred):
            self._leadership.log.drop(key)
        await self._group.spawn(keep_running, "duties", self._run)

    async def stop(self) -> None:
        """Cancel everything; calls that wait learn that their outcome is not known."""
        self._is_over = True
        self.scheduler.abandon()
        # Runners hold what they run for this daemon once their links end, whatever is delayed.
        await self.runners.close()
        for task in list(self._runs.values()):
            await task.cancel(blocking=False)
        await self._group.__aexit__()
        await self._watch_group.__aexit__()
        for waiters in self._waiters.values():
            for waiter in waiters:
                await waiter.set()

    async def _run(self) -> None:
        """Work until the term ends; begins again where a part of it fails."""
        await self._watch_group.cancel_all()
        # Nothing here needs the texts, so engines are ordered and runners found meanwhile.
        self.orders.claim()
        await self._leadership.flush()
        await self._watch_group.spawn(self._parts.watches.run, self.steward, self.wake)
        await self._watch_group.spawn(keep_running, "runners", self.runners.run)
        if self.usage is not None:
            await self._watch_group.spawn(keep_running, "usage", self.usage.run)
        if self.scaling is not None:
            await self._watch_group.spawn(keep_running, "scaling", self.scaling.run)
        await self._watch_group.spawn(keep_running, "samples", self._restore_samples)
        next_progress = clock.monotonic()
        next_expiry = next_progress + EXPIRE_SECONDS
        due = next_progress + TICK_SECONDS
        pacing = TickPacing()
        while True:
            await curio.sleep(pacing.wait_seconds(clock.monotonic()))
            self.wake.clear()
            now = clock.monotonic()
            if now > due + STALL_SECONDS:
                logs.decision("stalled", seconds=now - due, runs=len(self.scheduler.runs))
                self.scheduler.note_stall(now)
            due = now + TICK_SECONDS + LONGEST_GAP_SECONDS
            await self._tick(now)
            pacing.ticked(now, clock.monotonic())
            if now >= next_progress:
                next_progress = now + PROGRESS_SECONDS
                await self.save_progress()
            if now >= next_expiry:
                next_expiry = now + EXPIRE_SECONDS
                await self._expire()
                self.rates.keep_house(now)
            await curio.ignore_after(TICK_SECONDS, self.wake.wait)

    async def _restore_samples(self) -> None:
        """Go on with the samples of open steps where an earlier leader left them."""
        began = clock.monotonic()
        await self._read_progress()
        read_at = clock.monotonic()
        self.offers.texts_read(read_at)
        self._table = self._parts.front.table
        for record in self.book.steps.values():
            self._schedule(record)
        logs.decision(
            "term_began",
            epoch=self.epoch,
            steps=len(self.book.steps),
            samples=len(self.scheduler.work),
            texts_seconds=read_at - began,
            schedule_seconds=clock.monotonic() - read_at,
        )
        await self.wake.set()
        await self._leadership.read_rest()

    async def _tick(self, now: float) -> None:
        if not self._leadership.log.holds_lease(now):
            return
        table = self._parts.front.table
        if self.offers.has_texts and table is not None and table is not self._table:
            self._table = table
            self.scheduler.refresh_routes(table.find_for)
            for record in self.book.steps.values():
                self._schedule(record)
        self.steward.tick(now)
        self.scheduler.begins_none = self.offers.are_awaited(now)
        self.scheduler.tick(now, clock.wall())
        self._note_turns()
        await self._carry_out()
        if self.scheduler.has_more:
            await self.wake.set()

    def _note_turns(self) -> None:
        """Tell when not all groups can be whole in time any more, and when they can again."""
        groups = len(self.scheduler.turns)
        if bool(groups) is self._takes_turns:
            return
        self._takes_turns = bool(groups)
        logs.decision(
            "groups_take_turns",
            groups=groups,
            steps=len({key.step for key in self.scheduler.turns}),
            run_seconds=self.scheduler.run_times.mean_seconds,
            epoch=self.epoch,
        )

    def _schedule(self, record: StepRecord) -> None:
        if record.is_ended or not record.is_accepted or self._table is None:
            return
        step = record.step
        route = self._table.find_for(step.host, step.path, step.tenant)
        if route is None:
            return
        if route.single_version:
            self.steward.single_version_models.add(record.step.model)
        if record.step.id not in self._scheduled:
            self._scheduled.add(record.step.id)
            tokens = sum(each.expected_tokens for each in record.samples)
            self.steward.step_opened(record.step.model, tokens, record.total)
        self.scheduler.open(record, route)

    # Calls

    async def open(self, step: Step) -> StepStatus:
        """Take a step; returns once it is durable."""
        step.accepted_at = clock.wall()
        record = self.book.open(step)
        await self._flush()
        if not await self._until(step.id, lambda: record.is_accepted, COMMIT_SECONDS):
            return StepStatus.UNCERTAIN
        return StepStatus.OK

    async def end_step(self, step: str) -> StepStatus:
        """End a step; its samples stop at once, the answer waits for the log."""
        record = self.book.end(step)
        if record is None:
            return StepStatus.UNKNOWN
        self.scheduler.close(step)
        await self._carry_out()
        if not await self._until(step, lambda: record.is_end_written, COMMIT_SECONDS):
            return StepStatus.UNCERTAIN
        return StepStatus.OK

    async def read(self, step: str, position: int, wait: float) -> ResultsPage:
        """Return results from a position, held until there is one or the wait is over."""
        record = self.book.steps.get(step)
        if record is not None and wait > 0 and not record.is_end_written:
            await self._until(step, lambda: record.visible > position, wait)
        if self._is_over:
            return ResultsPage(status=StepStatus.UNAVAILABLE)
        return self.book.read(step, position)

    def take_use(self, message: UseTold) -> UseTaken:
        """Take what a daemon has counted."""
        if self.usage is None:
            return UseTaken(status=StepStatus.OK, epoch=self.epoch)
        return self.usage.take(message)

    async def _until(self, step: str, is_true: Any, seconds: float) -> bool:
        give_up = clock.monotonic() + seconds
        waiter = curio.Event()
        waiters = self._waiters.setdefault(step, set())
        waiters.add(waiter)
        try:
            while not is_true() and not self._is_over:
                left = give_up - clock.monotonic()
                if left <= 0:
                    break
                waiter.clear()
                await curio.ignore_after(left, waiter.wait)
            return bool(is_true())
        finally:
            waiters.discard(waiter)
            if not waiters:
                self._waiters.pop(step, None)

    async def committed(self, key: str) -> None:
        """Take a write that is on a quorum of disks."""
        if await self.orders.committed(key):
            await self.wake.set()
            return
        if key.startswith(USE_PREFIX):
            if self.usage is not None:
                self.usage.committed(key)
            return
        written_at = self._written_at.pop(key, None)
        if written_at is not None:
            self._metrics.commit_seconds.add(clock.monotonic() - written_at)
        step = self.book.committed(key)
        record = self.book.steps.get(step)
        if key.startswith(STEP_PREFIX) and record is not None:
            self._schedule(record)
            await self.wake.set()
        for waiter in list(self._waiters.get(step, ())):
            await waiter.set()

    def loaded(self, entries: tuple[Entry, ...]) -> None:
        """Take values of the log that were not needed to begin."""
        self.book.load(entries)

    # Instructions

    async def _flush(self) -> None:
        now = clock.monotonic()
        for write in self.book.take_writes():
            self._written_at[write.key] = now
            self._leadership.log.put(write.key, write.value)
        await self._leadership.flush()

    async def _carry_out(self) -> None:
        for order in self.steward.take():
            await self._group.spawn(self._order, order)
        for instruction in self.scheduler.take():
            match instruction:
                case StartRun():
                    self._metrics.runs_started += 1
                    self._runs[instruction.run] = await self._group.spawn(
                        self._run_sample, instruction
                    )
                case CancelRun():
                    await self._cancel_run(instruction)
                case ScoreText():
                    await self._group.spawn(self._score, instruction)
                case ListResult():
                    self._list(instruction)
        await self._flush()

    async def _cancel_run(self, instruction: CancelRun) -> None:
        runner = self._runner_of.get(instruction.run)
        if runner is None or not await runner.drop(instruction.run):
            await self._end_own_run(instruction.run)
        logs.decision(
            "sample_run_cancelled",
            sample=instruction.sample,
            engine=instruction.engine,
            run=instruction.run,
            reason=instruction.reason.value,
            epoch=self.epoch,
        )

    async def _end_own_run(self, run: int) -> None:
        """End a run that this daemon has, or that no runner has begun."""
        task = self._runs.pop(run, None)
        if task is not None:
            await task.cancel()
        self._runner_of.pop(run, None)
        self.scheduler.run_is_over(run)

    def _list(self, instruction: ListResult) -> None:
        result = instruction.result
        is_listed = self.book.list_result(instruction.step, result)
        if result.succeeded:
            self._metrics.samples_listed += 1
        else:
            self._metrics.samples_given_up += 1
        logs.decision(
            "sample_listed",
            sample=result.id,
            step=instruction.step,
            succeeded=result.succeeded,
            versions=",".join(map(str, result.versions)),
            epoch=self.epoch,
            listed=is_listed,
        )

    async def _run_sample(self, start: StartRun) -> None:
        work = self.scheduler.runs.get(start.run)
        engine = self._parts.engines.engines.get(start.engine)
        if work is None:
            return
        name, runner = self.offers.runner_of(start)
        logs.decision(
            "sample_started",
            sample=start.sample.id,
            step=work.step_id,
            engine=start.engine,
            runner=name,
            run=start.run,
            after_event=start.last_event,
            taken_over=bool(start.runner),
            epoch=self.epoch,
        )
        began = clock.monotonic()
        if runner is None:
            outcome = RUNNER_LOST
        elif engine is None:
            outcome = RunOutcome(RunEnd.REFUSED, "gone")
        else:
            cold = self._parts.cold
            is_cold = cold is not None and cold.is_cold(engine, clock.monotonic())
            order = _run_order(start, engine.entry.address, is_cold)
            if isinstance(runner, RunnerLink):
                self._runner_of[start.run] = runner
            outcome = await runner.run(order, self.scheduler.run_event)
        self._runs.pop(start.run, None)
        self._runner_of.pop(start.run, None)
        if outcome.end is not RunEnd.WHOLE:
            self.offers.take_runner(start.run)
        is_measured = outcome.end is RunEnd.WHOLE and not start.last_event and not start.runner
        if self.scaling is not None and is_measured:
            self.scaling.note_run(work, clock.monotonic() - began)
        self.scheduler.run_ended(start.run, outcome.end, clock.monotonic())
        if engine is not None and outcome.detail == Held.EVACUATED.value:
            engine.note_evacuated(clock.monotonic())
        logs.decision(
            "sample_run_ended",
            sample=start.sample.id,
            step=work.step_id,
            engine=start.engine,
            runner=name,
            run=start.run,
            events=work.text.last_event,
            seconds=clock.monotonic() - began,
            outcome=outcome.end.value,
            detail=outcome.detail,
        )
        await self.wake.set()

    async def _score(self, instruction: ScoreText) -> None:
        sample = instruction.sample
        name, runner = self.runners.runner_for(instruction.engine)
        own = self.offers.take_runner(instruction.run)
        if own is not None:
            name, runner = own.daemon.name, own
        outcome = await runner.score(instruction.run, sample.content)
        if outcome.end is not ScoreEnd.SCORED:
            logs.decision(
                "scorer_failed",
                sample=sample.id,
                step=instruction.step,
                request=outcome.request,
                runner=name,
                outcome=outcome.end.value,
                detail=outcome.detail,
            )
            await curio.sleep(SCORE_RETRY_SECONDS)
        self.scheduler.scored(
            instruction.step, sample.id, outcome.end, outcome.score, outcome.attempts
        )
        # The next tick writes it: one message to each replica holds all results until then.
        await self.wake.set()

    async def _ask_member(self, message: Message, seconds: float) -> Message | None:
        """Call a replica of the group, the nearest that answers; None where none does."""
        for number in self._leadership.member_links():
            link = self._leadership.replicas.link(number)
            if link is None:
                continue
            try:
                return await link.call(message, seconds)
            except LinkLostError:
                continue
        return None

    async def _order(self, order: OrderVersion | AskEngine) -> None:
        if isinstance(order, AskEngine):
            report = await self._parts.orders.ask(order.engine)
            if report is not None:
                self.steward.reported(
                    order.engine, report.models, report.orders_taken, report.is_busy
                )
        elif await self.orders.note(order.engine):
            self._metrics.orders += 1
            is_taken = await self._parts.orders.order(
                order, self.epoch, partial(self.orders.may_order, order.engine)
            )
            if is_taken is not None:
                self.steward.answered(order.engine, is_taken, clock.monotonic())
        await self.wake.set()

    # What outlives a term

    async def save_progress(self, is_last: bool = False) -> None:
        """Leave unfinished texts at replicas, one more than may be lost at a time."""
        now = clock.monotonic()
        links = self._leadership.member_links()
        chosen = links[: self._leadership.losses + 1]
        works = self.scheduler.work.values()
        for news in self.progress.news_of(chosen, works, now, is_last):
            encoded = encode_message(SaveProgress(epoch=self.epoch, samples=news.samples))
            for number in news.links:
                link = self._leadership.replicas.link(number)
                if link is not None:
                    await link.send(encoded)

    async def hand_over_texts(self) -> None:
        """Have runners leave unfinished texts at replicas that this daemon no longer reaches.

        A leader that is cut from the replicas goes on until its lease ends, and saves nothing
        meanwhile. No successor leads before `LEASE_MARGIN_SECONDS` later, so it finds them.
        """
        samples = ProgressSaver().news(0, self.scheduler.work.values(), clock.monotonic(), True)
        bearers = self.runners.bearers(MOST_BEARERS) if samples else []
        logs.decision("texts_handed_over", epoch=self.epoch, texts=len(samples), to=len(bearers))
        for place, link in enumerate(bearers):
            part = samples[place :: len(bearers)]
            await link.send(SaveProgress(epoch=self.epoch, samples=part))
        give_up = clock.monotonic() + HAND_OVER_SECONDS
        while any(each.has_unsent for each in bearers) and clock.monotonic() < give_up:
            await curio.sleep(HAND_OVER_SECONDS / 10)

    async def _read_progress(self) -> None:
        """Read the texts of the samples that are still open, each from one member.

        Reading takes this daemon's processor while engines wait, so a member is asked only for
        what those before it did not have.
        """
        wanted = set(self.book.open_samples())
        for number in self._leadership.member_links():
            link = self._leadership.replicas.link(number)
            if link is None or not wanted:
                continue
            try:
                answer = await link.call(ReadProgress(ids=list(wanted)), PROGRESS_CALL_SECONDS)
            except LinkLostError:
                continue
            if isinstance(answer, ProgressList):
                for sample in answer.samples:
                    self.scheduler.keep_progress(sample)
                    wanted.discard(sample.id)

    async def _expire(self) -> None:
        keep = self._parts.keep_seconds + KEEP_MARGIN_SECONDS
        for step in self.book.expired(clock.wall(), keep):
            for key in self.book.forget(step):
                self._leadership.log.drop(key)
            self.scheduler.close(step)
        await self._carry_out()


def _run_order(start: StartRun, address: Address, is_cold: bool) -> RunOrder:
    return RunOrder(
        start.run,
        start.engine,
        address,
        start.host,
        start.route.priority,
        start.last_event,
        start.expected_version,
        start.sample.content,
        start.tenant,
        is_cold,
        owned_name(start.tenant, start.sample.id),
        start.held,
        start.text_by,
    )
