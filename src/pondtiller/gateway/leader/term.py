"""One term of a leader: keeps steps, has their samples run, updates engines to new versions.

Holds the parts of one term, and the order in which decisions are made and executed. State that must
outlive the term is in the step log; everything else ends with it. The rules are in `rollouts/`:
which sample runs where in `samples.py`, which engine loads which version in `versions.py`. Runs are
executed by `sample_runs.py`, unfinished texts saved by `unfinished_texts.py`, and orders sent to
engines by `version_orders.py`.
"""

import curio
from betterproto import Message

from pondtiller.gateway.leader.duty_parts import DutyParts
from pondtiller.gateway.leader.order_rights import OrderRights
from pondtiller.gateway.leader.rate_duty import RateDuty
from pondtiller.gateway.leader.run_offers import RunOffers
from pondtiller.gateway.leader.runner_directory import RunnerDirectory
from pondtiller.gateway.leader.sample_runs import RunParts, SampleRuns
from pondtiller.gateway.leader.scaling_duty import ScalingDuty, ScalingParts
from pondtiller.gateway.leader.step_waiters import StepWaiters
from pondtiller.gateway.leader.tick_pacing import MAX_GAP_SECONDS, TickPacing
from pondtiller.gateway.leader.unfinished_texts import UnfinishedTexts
from pondtiller.gateway.leader.usage_duty import UsageDuty, UsageParts
from pondtiller.gateway.leader.version_orders import VersionOrders
from pondtiller.links.link import LinkLostError
from pondtiller.process import clock, logs
from pondtiller.process.spawner import Spawner
from pondtiller.process.supervise import keep_running
from pondtiller.rollouts.sample_work import (
    CancelRun,
    CancelScore,
    ListResult,
    ScoreText,
    StartRun,
)
from pondtiller.rollouts.samples import SampleScheduler
from pondtiller.rollouts.step_keys import STEP_PREFIX
from pondtiller.rollouts.step_record import StepRecord
from pondtiller.rollouts.steps import StepBook, StepStatus
from pondtiller.rollouts.versions import VersionSteward
from pondtiller.routes.cold import QUIET_SECONDS
from pondtiller.routes.table import RouteTable
from pondtiller.steplog.entry import Entry
from pondtiller.steplog.instructions import ElectionWon
from pondtiller.usage.reports import USE_PREFIX
from pondtiller.wire.steplog import (
    ResultsPage,
    Step,
    UseTaken,
    UseTold,
)

TICK_SECONDS = 0.1
"""Longest time between two decisions of a leader that nothing wakes. Conditions that depend on time
alone (a slow engine, a deadline) are noticed at most this late, a third of the lease's heartbeat;
an idle leader does little else."""

STALL_SECONDS = 0.3
"""A tick that is late by this much means that this process was paused, not its engines."""

COMMIT_SECONDS = 2.5
"""How long a call waits for its write to reach a write quorum; after that its outcome is unknown.
Less than the 3.0 s that the calling gateway waits for the leader (`leader_client.ANSWER_SECONDS`),
so that it receives this answer instead of a timeout."""

PROGRESS_SECONDS = 0.5
"""Interval at which unfinished texts are saved at replicas: the loss of a leader costs a sample
0.25 s of its text on average. Saving too much delays the lease: sending every text in full each
second to 13 replicas (8 MB at 100 Mbit/s) delayed heartbeats by 0.5 s."""

RETENTION_MARGIN_SECONDS = 10.0
"""How much longer than promised a closed step stays readable, to cover a difference between the
clocks of two leaders. It costs the memory of ten seconds' results."""

EXPIRE_SECONDS = 30.0
"""Interval of the search for steps that can be removed; a step stays at most this much longer, and
the search goes through all steps."""


class Term:
    """One term of leadership."""

    def __init__(self, parts: DutyParts, won: ElectionWon) -> None:
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
        )
        self.scheduler.epoch = won.epoch
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
            self.scheduler.runs_stalled,
            parts.stalls,
            self._holds_lease,
        )
        self.offers = RunOffers(
            parts.leadership,
            self.runners,
            self.scheduler,
            parts.metrics,
            self._carry_out,
            clock.monotonic(),
            parts.stalls,
        )
        self.texts = UnfinishedTexts(
            parts.leadership, won.epoch, self.scheduler, self.runners, parts.stalls
        )
        self._waiters = StepWaiters()
        self._written_at: dict[str, float] = {}
        self._table: RouteTable | None = None
        self._scheduled: set[str] = set()
        self._takes_turns = False
        self.orders = OrderRights(
            parts.leadership, parts.engines, self.steward, won, parts.lease_seconds
        )
        self._version_orders = VersionOrders(
            won.epoch, self.steward, self.orders, parts.orders, parts.metrics, self.wake
        )
        self.rates = RateDuty(won.epoch, parts.find_terms)
        self.scheduler.placement.cold_from = clock.monotonic() + QUIET_SECONDS
        self.usage = self._make_usage(
            [entry for entry in won.entries if entry.key.startswith(USE_PREFIX)]
        )
        self.scaling = self._make_scaling()
        self._runs = self._make_runs()

    def _make_usage(self, entries: list[Entry]) -> UsageDuty | None:
        parts = self._parts
        if parts.usage is None or parts.operator is None:
            return None
        usage = UsageParts(
            parts.usage,
            parts.operator,
            parts.agreed,
            parts.leadership,
            parts.in_force,
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
            parts.in_force,
            parts.engines,
            self.orders,
            parts.metrics,
        )
        return ScalingDuty(scaling, self.epoch, self.scheduler.work)

    def _make_runs(self) -> SampleRuns:
        runs = RunParts(
            self.epoch,
            self._parts.engines,
            self.scheduler,
            self.runners,
            self.offers,
            self._metrics,
            self._group,
            self.wake,
            self._parts.cold,
            self.scaling,
            self._parts.stalls,
        )
        return SampleRuns(runs)

    async def start(self) -> None:
        """Restore the steps, then start working."""
        steps = [entry for entry in self._won.entries if not entry.key.startswith(USE_PREFIX)]
        for key in self.book.restore(steps, self._won.deferred):
            self._leadership.log.drop(key)
        await self._parts.stalls.begin()
        await self._group.spawn(keep_running, "duties", self._run)

    async def stop(self) -> None:
        """Cancel everything; waiting calls are answered with an unknown outcome."""
        self._waiters.is_over = True
        self.scheduler.abandon()
        # Runners hold their runs for this gateway once the links end, whatever is delayed here.
        await self.runners.close()
        await self._runs.end_all()
        await self._group.__aexit__()
        await self._watch_group.__aexit__()
        await self._waiters.wake_all()

    async def _run(self) -> None:
        """Work until the term ends; restarted if a part of it fails."""
        await self._begin()
        await self._decide()

    async def _begin(self) -> None:
        """Claim the permission to order engines, and start the tasks beside the decision loop."""
        await self._watch_group.cancel_all()
        # Nothing here needs the texts, so engines are ordered and runners discovered meanwhile.
        self.orders.claim()
        await self._leadership.flush()
        await self._watch_group.spawn(self._parts.watches.run, self.steward, self.wake)
        await self._watch_group.spawn(keep_running, "runners", self.runners.run)
        if self.usage is not None:
            await self._watch_group.spawn(keep_running, "usage", self.usage.run)
        if self.scaling is not None:
            await self._watch_group.spawn(keep_running, "scaling", self.scaling.run)
        await self._watch_group.spawn(keep_running, "samples", self._restore_samples)

    async def _decide(self) -> None:
        """Decide at each event, and at least every `TICK_SECONDS`."""
        next_progress = clock.monotonic()
        next_expiry = next_progress + EXPIRE_SECONDS
        due = next_progress + TICK_SECONDS
        pacing = TickPacing()
        while True:
            await curio.sleep(pacing.wait_seconds(clock.monotonic()))
            self.wake.clear()
            self._runs.note_stall()
            now = clock.monotonic()
            if now > due + STALL_SECONDS:
                logs.decision("stalled", seconds=now - due, runs=len(self.scheduler.runs))
                self.scheduler.note_stall(now)
            due = now + TICK_SECONDS + MAX_GAP_SECONDS
            await self._tick(now)
            pacing.ticked(now, clock.monotonic())
            if now >= next_progress:
                next_progress = now + PROGRESS_SECONDS
                await self.texts.save()
            if now >= next_expiry:
                next_expiry = now + EXPIRE_SECONDS
                await self._expire()
                self.rates.drop_expired(now)
            await curio.ignore_after(TICK_SECONDS, self.wake.wait)

    async def _restore_samples(self) -> None:
        """Resume the samples of open steps where an earlier leader left them."""
        began = clock.monotonic()
        await self.texts.read(self.book.open_samples())
        read_at = clock.monotonic()
        self.offers.texts_read(read_at)
        self._table = self._parts.in_force.table
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
        await self._leadership.read_deferred()

    def _holds_lease(self) -> bool:
        return self._leadership.log.holds_lease(clock.monotonic())

    async def _tick(self, now: float) -> None:
        if not self._leadership.log.holds_lease(now):
            return
        table = self._parts.in_force.table
        if self.offers.has_texts and table is not None and table is not self._table:
            self._table = table
            self.scheduler.refresh_routes(table.find_for, table.version)
            for record in self.book.steps.values():
                self._schedule(record)
        self.steward.tick(now)
        self.scheduler.may_not_start = self.offers.are_awaited(now)
        self.scheduler.tick(now, clock.wall())
        self._note_turns()
        await self._carry_out()
        if self.scheduler.has_more:
            await self.wake.set()

    def _note_turns(self) -> None:
        """Log when not all groups can be completed in time any more, and when they can again."""
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
        self.scheduler.open(record, route, self._table.version)

    # Calls of trainers and other gateways

    async def open(self, step: Step) -> StepStatus:
        """Add a step; returns once it is durable."""
        step.accepted_at = clock.wall()
        record = self.book.open(step)
        await self._flush()
        if not await self._waiters.until(step.id, lambda: record.is_accepted, COMMIT_SECONDS):
            return StepStatus.UNCERTAIN
        return StepStatus.OK

    async def end_step(self, step: str) -> StepStatus:
        """End a step; its samples stop at once, the answer waits for the commit."""
        record = self.book.end(step)
        if record is None:
            return StepStatus.UNKNOWN
        closed = self.scheduler.close(step)
        logs.decision(
            "step_ended", step=step, runs=closed.runs, scores=closed.scores, epoch=self.epoch
        )
        await self._carry_out()
        if not await self._waiters.until(step, lambda: record.is_end_written, COMMIT_SECONDS):
            return StepStatus.UNCERTAIN
        return StepStatus.OK

    async def read(self, step: str, position: int, wait: float) -> ResultsPage:
        """Return results from a position on; waits until there is one or the time is over."""
        record = self.book.steps.get(step)
        if record is not None and wait > 0 and not record.is_end_written:
            await self._waiters.until(step, lambda: record.visible > position, wait)
        if self._waiters.is_over:
            return ResultsPage(status=StepStatus.UNAVAILABLE)
        return self.book.read(step, position)

    def record_usage(self, message: UseTold) -> UseTaken:
        """Record the usage that a gateway has counted."""
        if self.usage is None:
            return UseTaken(status=StepStatus.OK, epoch=self.epoch)
        return self.usage.record(message)

    async def committed(self, key: str) -> None:
        """Handle a write that is on a quorum of disks."""
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
        await self._waiters.wake(step)

    def loaded(self, entries: tuple[Entry, ...]) -> None:
        """Add values of the log whose reading was deferred at the start of the term."""
        self.book.load(entries)

    # Execution of decisions

    async def _flush(self) -> None:
        now = clock.monotonic()
        for write in self.book.take_writes():
            self._written_at[write.key] = now
            self._leadership.log.put(write.key, write.value)
        await self._leadership.flush()

    async def _carry_out(self) -> None:
        for order in self.steward.pop_instructions():
            await self._group.spawn(self._version_orders.carry_out, order)
        for instruction in self.scheduler.pop_instructions():
            match instruction:
                case StartRun():
                    await self._runs.start(instruction)
                case CancelRun():
                    await self._runs.cancel(instruction)
                case ScoreText():
                    await self._runs.score(instruction)
                case CancelScore():
                    await self._runs.cancel_score(instruction)
                case ListResult():
                    self._list(instruction)
        await self._flush()

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

    async def _ask_member(self, message: Message, seconds: float) -> Message | None:
        """Call the members of the group, nearest first, until one answers; None if none does.

        Parameters
        ----------
        seconds
            Longest wait for each one, in running time of this process.
            Longest wait for each one, in which this process runs.
        """
        for number in self._leadership.member_links():
            link = self._leadership.replicas.link(number)
            if link is None:
                continue
            try:
                answer = await self._parts.stalls.call(seconds, link.call, message, None)
            except LinkLostError:
                continue
            if answer is not None:
                return answer
        return None

    # Expiry of steps

    async def _expire(self) -> None:
        keep = self._parts.keep_seconds + RETENTION_MARGIN_SECONDS
        for step in self.book.expired(clock.wall(), keep):
            for key in self.book.forget(step):
                self._leadership.log.drop(key)
            self.scheduler.close(step)
        await self._carry_out()
