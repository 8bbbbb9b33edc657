"""Runs and scores of samples of one term: executes the scheduler's decisions.

Holds the tasks of the runs and where each run executes; they end with the term. Which engine runs a
sample, and when it is moved, is decided by the scheduler (`rollouts/samples.py`); the links to the
gateways that hold the streams are in `run_links.py`.
"""

from dataclasses import dataclass

import curio

from pondtiller.address import Address
from pondtiller.gateway.leader.reattach import RunnerSearch
from pondtiller.gateway.leader.run_links import RUNNER_LOST, Runner, RunnerLink
from pondtiller.gateway.leader.run_offers import RunOffers
from pondtiller.gateway.leader.runner_directory import RunnerDirectory
from pondtiller.gateway.leader.scaling_duty import ScalingDuty
from pondtiller.gateway.metrics import GatewayMetrics
from pondtiller.gateway.runs.sample_runner import RunOrder, RunOutcome
from pondtiller.process import clock, logs
from pondtiller.process.spawner import Spawner
from pondtiller.process.stalls import StallWatch
from pondtiller.rollouts.sample_work import (
    CancelRun,
    CancelScore,
    RunEnd,
    RunName,
    SampleWork,
    ScoreEnd,
    ScoreText,
    StartRun,
)
from pondtiller.rollouts.samples import SampleScheduler
from pondtiller.routes.cold import ColdEngines
from pondtiller.routes.engines import Engine, EngineDirectory
from pondtiller.routes.send_gate import BlockReason
from pondtiller.routes.tenants import owned_name

SCORE_RETRY_SECONDS = 0.1
"""Pause after a failed score. A broken scorer is called at most ten times a second per sample, and
a recovered one is used at once."""


@dataclass(frozen=True, slots=True)
class RunParts:
    """Dependencies of the runs of one term.

    Attributes
    ----------
    tasks
        Task group of runs and scores.
    wake
        Set when there is something to decide.
    scaling
        Receives the durations of complete runs; None if no engines are ordered.
    stalls
        Measures pauses of this process.
    """

    epoch: int
    engines: EngineDirectory
    scheduler: SampleScheduler
    runners: RunnerDirectory
    offers: RunOffers
    metrics: GatewayMetrics
    tasks: Spawner
    wake: curio.Event
    cold: ColdEngines | None
    scaling: ScalingDuty | None
    stalls: StallWatch


class SampleRuns:
    """Runs of one term, by their numbers."""

    def __init__(self, parts: RunParts) -> None:
        self._parts = parts
        self._scheduler = parts.scheduler
        self._tasks: dict[int, curio.Task] = {}
        self._runner_of: dict[int, RunnerLink] = {}
        self._completed_at: dict[int, RunnerLink] = {}
        self._scores: dict[int, curio.Task] = {}
        self._unwanted: set[int] = set()
        self._stalls = parts.stalls.cursor()

    def note_stall(self) -> None:
        """Exclude pauses of this process from the silence of engines."""
        seconds = self._stalls.take()
        if seconds > 0:
            self._scheduler.runs_stalled(list(self._scheduler.runs), seconds, clock.monotonic())

    async def start(self, start: StartRun) -> None:
        """Start a run, or continue one that is taken over."""
        self._parts.metrics.runs_started += 1
        self._tasks[start.run] = await self._parts.tasks.spawn(self._run, start)

    async def score(self, order: ScoreText) -> None:
        """Start scoring a text, unless that was cancelled before."""
        if not self._scheduler.is_scoring(order.step, order.sample.id, order.run):
            return
        self._scores[order.run] = await self._parts.tasks.spawn(self._score, order)

    async def cancel_score(self, order: CancelScore) -> None:
        """Cancel the scoring of a text; its runner is told, and drops the scorer's request."""
        task = self._scores.pop(order.run, None)
        if task is not None:
            await task.cancel(blocking=False)
        else:
            await self._drop_unbegun(order.run)
        logs.decision(
            "score_cancelled",
            sample=order.sample,
            step=order.step,
            run=order.run,
            reason=order.reason.value,
            epoch=self._parts.epoch,
        )

    async def _drop_unbegun(self, run: int) -> None:
        """Cancel a score that the runner began by itself and that was not started here yet."""
        completed_at = self._completed_at.pop(run, None)
        if completed_at is not None:
            await completed_at.drop(run)

    async def cancel(self, order: CancelRun) -> None:
        """End a run that is no longer wanted."""
        runner = self._runner_of.get(order.run)
        if runner is None:
            await self._end_own(order.run)
        else:
            # If the link has ended, the run is dropped over the next one.
            self._unwanted.add(order.run)
            await runner.drop(order.run)
        logs.decision(
            "sample_run_cancelled",
            sample=order.sample,
            engine=order.engine,
            run=order.run,
            reason=order.reason.value,
            epoch=self._parts.epoch,
        )

    async def end_all(self) -> None:
        """Cancel all runs without waiting for their end."""
        for task in list(self._tasks.values()):
            await task.cancel(blocking=False)

    async def _end_own(self, run: int) -> None:
        """End a run that this gateway executes, or that no runner has started."""
        task = self._tasks.pop(run, None)
        if task is not None:
            await task.cancel()
        self._scheduler.run_is_over(run)

    async def _run(self, start: StartRun) -> None:
        work = self._scheduler.runs.get(start.run)
        engine = self._parts.engines.engines.get(start.engine)
        if work is None:
            return
        name, runner = self._parts.offers.runner_of(start)
        self._log_start(start, work, name)
        began = clock.monotonic()
        outcome = await self._safe_outcome(start, work, engine, runner)
        self._tasks.pop(start.run, None)
        completed_at = self._runner_of.pop(start.run, None)
        self._unwanted.discard(start.run)
        is_measured = outcome.end is RunEnd.WHOLE and not start.last_event and not start.runner
        if self._parts.scaling is not None and is_measured:
            self._parts.scaling.note_run(work, clock.monotonic() - began)
        ended = self._scheduler.run_ended(start.run, outcome.end, clock.monotonic())
        if ended is not None and completed_at is not None and outcome.end is RunEnd.WHOLE:
            # It scores the text without being asked.
            self._completed_at[start.run] = completed_at
        if engine is not None and outcome.detail == BlockReason.EVACUATED.value:
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
        await self._parts.wake.set()

    def _log_start(self, start: StartRun, work: SampleWork, runner: str) -> None:
        logs.decision(
            "sample_started",
            sample=start.sample.id,
            step=work.step_id,
            engine=start.engine,
            runner=runner,
            run=start.run,
            after_event=start.last_event,
            table_version=start.table_version,
            taken_over=bool(start.runner),
            epoch=self._parts.epoch,
        )

    async def _safe_outcome(
        self, start: StartRun, work: SampleWork, engine: Engine | None, runner: Runner | None
    ) -> RunOutcome:
        """Return how a run ended, even after an internal error: its sample would wait forever."""
        try:
            return await self._outcome(start, work, engine, runner)
        except Exception as error:
            reason = f"{type(error).__name__}: {error}"
            logs.decision("sample_run_failed", run=start.run, engine=start.engine, reason=reason)
            return RunOutcome(RunEnd.STALE, reason)

    async def _outcome(
        self, start: StartRun, work: SampleWork, engine: Engine | None, runner: Runner | None
    ) -> RunOutcome:
        """Have a runner execute a run; return how it ended."""
        if runner is None:
            return RUNNER_LOST
        if engine is None:
            return RunOutcome(RunEnd.REFUSED, "gone")
        cold = self._parts.cold
        is_cold = cold is not None and cold.is_cold(engine, clock.monotonic())
        order = run_order(start, engine.entry.address, is_cold)
        if isinstance(runner, RunnerLink):
            return await self._run_remotely(order, work, runner)
        return await runner.run(order, self._take_event)

    async def _run_remotely(
        self, order: RunOrder, work: SampleWork, runner: RunnerLink
    ) -> RunOutcome:
        """Have a gateway execute a run, over a new link if the first one ends.

        The gateway keeps the run and its engine continues, so the sample is started elsewhere only
        if the gateway says that it does not have the run, or is considered gone.
        """
        self._runner_of[order.run] = runner
        outcome = await runner.run(order, self._take_event)
        search = RunnerSearch(self._parts.runners, self._parts.stalls)
        while outcome is RUNNER_LOST:
            found = await search.find(runner)
            if found is None:
                return outcome
            runner = self._runner_of[order.run] = found
            kept = order._replace(
                last_event=work.text.last_event,
                held=RunName(self._parts.epoch, order.run),
                is_wanted=order.run not in self._unwanted,
            )
            logs.decision(
                "sample_run_reattached",
                sample=work.sample_id,
                run=kept.run,
                runner=runner.daemon.name,
                after_event=kept.last_event,
                wanted=kept.is_wanted,
                epoch=self._parts.epoch,
            )
            outcome = await runner.run(kept, self._take_event)
        return outcome

    def _take_event(self, run: int, number: int, data: str, version: int, at: float) -> bool:
        """Process an event after accounting for a preceding pause of this process."""
        self.note_stall()
        return self._scheduler.run_event(run, number, data, version, at)

    async def _score(self, order: ScoreText) -> None:
        sample = order.sample
        name, runner = self._parts.runners.runner_for(order.engine)
        completed_at = self._completed_at.pop(order.run, None)
        if completed_at is not None:
            name, runner = completed_at.daemon.name, completed_at
        outcome = await runner.score(order.run, sample.content)
        if outcome.end is not ScoreEnd.SCORED:
            logs.decision(
                "scorer_failed",
                sample=sample.id,
                step=order.step,
                request=outcome.request,
                runner=name,
                outcome=outcome.end.value,
                detail=outcome.detail,
            )
            await curio.sleep(SCORE_RETRY_SECONDS)
        self._scores.pop(order.run, None)
        self._scheduler.scored(order.step, sample.id, outcome.end, outcome.score, outcome.attempts)
        # The next tick writes it, so that one message to each replica holds all results until then.
        await self._parts.wake.set()


def run_order(start: StartRun, address: Address, is_cold: bool) -> RunOrder:
    """Return everything that a runner needs to execute a run."""
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
        table_version=start.table_version,
        step_path=start.step_path,
    )
