"""Runs of an earlier leader that their runners offer to this one, taken over in its term.

Owns which runners were asked to come again, and where runs that were taken over go on; both end
with the term. Which run fits the log is decided by `SampleScheduler.take_over`.
"""

from collections.abc import Awaitable, Callable
from itertools import islice
from typing import NamedTuple

from pondtiller.address import Address
from pondtiller.gateway.leader.leadership import Leadership
from pondtiller.gateway.leader.run_links import Runner, RunnerLink
from pondtiller.gateway.leader.runner_directory import RunnerDirectory
from pondtiller.gateway.metrics import GatewayMetrics
from pondtiller.links.link import CONNECT_SECONDS
from pondtiller.process import clock, logs
from pondtiller.process.stalls import StallWatch
from pondtiller.rollouts.runner_choice import Daemon
from pondtiller.rollouts.sample_work import OfferedRun, RunName, StartRun
from pondtiller.rollouts.samples import SampleScheduler
from pondtiller.rollouts.steps import StepStatus
from pondtiller.wire.steplog import OfferRuns, RunsTaken

HELD_WAIT_SECONDS = 0.2
"""From a term's start until a sample of an earlier leader is begun anew: a replica's view is on its
way for 20 ms at most, a runner looks each 0.05 s, connects and offers its runs in 60 ms. In two
regions the last of nine offers came 0.16 s after the election."""
FRESH_START_SECONDS = 2.0
"""A start of all machines has a leader 0.7 s to 1.1 s after the gateways' own."""

COME_AGAIN_SECONDS = 0.25
"""From the reading of the texts until runners that offered before it must have offered again: they
pause 0.05 s, look each 0.05 s, and an answer takes 40 ms between regions."""


class OfferWait(NamedTuple):
    """What decides whether a new leader waits for offers; times in seconds of the steady clock.

    From the term's start on the clock stands still with this process.

    Attributes
    ----------
    started_at
        When this gateway's process started.
    began
        When the term began.
    texts_read
        When the texts of earlier leaders were read; the term's start until they are.
    is_connecting
        Whether a runner that offers is being connected to.
    will_come_again
        Whether a runner that offered before the texts were read has not offered again.
    """

    started_at: float
    began: float
    texts_read: float
    is_connecting: bool
    will_come_again: bool


def are_offers_awaited(wait: OfferWait, now: float) -> bool:
    """Return whether a new leader begins no sample yet, so that a run that goes on may be offered.

    A gateway that leads right after its own start does not wait: all machines have lost power
    then, as a rule, and nobody has runs.
    """
    if wait.began < wait.started_at + FRESH_START_SECONDS:
        return False
    lasted = now - wait.began
    if lasted < HELD_WAIT_SECONDS or (wait.is_connecting and lasted < CONNECT_SECONDS):
        return True
    return wait.will_come_again and now < wait.texts_read + COME_AGAIN_SECONDS


class RunOffers:
    """What runners offer to one term of a leader.

    Parameters
    ----------
    carry_out
        Carries out what the scheduler has decided.
    began
        When the term began, in seconds of the steady clock.
    stalls
        Knows how long this process stood still: offers that came meanwhile wait to be read.

    Attributes
    ----------
    has_texts
        Whether the texts that earlier leaders left were read.
    """

    def __init__(
        self,
        leadership: Leadership,
        runners: RunnerDirectory,
        scheduler: SampleScheduler,
        metrics: GatewayMetrics,
        carry_out: Callable[[], Awaitable[None]],
        began: float,
        stalls: StallWatch,
    ) -> None:
        self.has_texts = False
        self._leadership = leadership
        self._runners = runners
        self._scheduler = scheduler
        self._metrics = metrics
        self._carry_out = carry_out
        self._began = began
        self._stalls = stalls
        self._stalled_before = stalls.stalled_seconds()
        self._connecting = 0
        self._texts_read = began
        self._to_come_again: set[str] = set()
        self._runner_of: dict[int, RunnerLink] = {}

    def are_awaited(self, now: float) -> bool:
        """Return whether runs of an earlier leader may still be taken over in place of new ones."""
        wait = OfferWait(
            self._leadership.started_at,
            self._began,
            self._texts_read,
            self._connecting > 0,
            bool(self._to_come_again),
        )
        return are_offers_awaited(wait, self._running(now))

    def _running(self, now: float) -> float:
        """Return a moment on a clock that stands still with this process from the term's start."""
        return now - (self._stalls.stalled_seconds() - self._stalled_before)

    def texts_read(self, now: float) -> None:
        """Take that the texts that earlier leaders left were read: runs can be taken over."""
        self.has_texts = True
        self._texts_read = self._running(now)

    async def take(self, message: OfferRuns) -> RunsTaken:
        """Go on with the runs of a runner; the answer tells which.

        No sample is begun anew while the runner is connected to, for a while at most.
        """
        self._connecting += 1
        try:
            place = Address(message.host, message.port)
            daemon = Daemon(message.daemon, message.zone, place, message.cores)
            link = await self._runners.connect_to(daemon)
        finally:
            self._connecting -= 1
        now = clock.monotonic()
        if not self.has_texts:
            # The runner asks again; it must not wait for an answer to know that this leader lives.
            self._to_come_again.add(daemon.name)
            return RunsTaken(status=StepStatus.UNAVAILABLE)
        self._to_come_again.discard(daemon.name)
        if not self._leadership.log.holds_lease(now):
            return RunsTaken(status=StepStatus.UNAVAILABLE)
        offered = _read(message)
        # Runs of this term go on over a new link, which is on its way (`SampleRuns`).
        own = [self._scheduler.is_under_way(each) for each in offered]
        taken = [
            is_own or (link is not None and self._scheduler.take_over(each, daemon.name, now))
            for each, is_own in zip(offered, own, strict=True)
        ]
        self._metrics.runs_taken_over += sum(taken) - sum(own)
        for each, is_taken in zip(offered, taken, strict=True):
            if not is_taken and link is not None:
                self._log_refusal(each, daemon.name, now)
        logs.decision(
            "runs_offered",
            runner=daemon.name,
            runs=len(taken),
            taken=sum(taken),
            own=sum(own),
            epoch=self._scheduler.epoch,
            connected=link is not None,
        )
        await self._carry_out()
        return RunsTaken(status=StepStatus.OK, taken=taken)

    def _log_refusal(self, offered: OfferedRun, runner: str, now: float) -> None:
        logs.decision(
            "offered_run_refused",
            sample=offered.sample,
            engine=offered.engine,
            runner=runner,
            after_event=offered.after_event,
            reason=self._scheduler.why_not_taken_over(offered, now),
            epoch=self._scheduler.epoch,
        )

    def runner_of(self, start: StartRun) -> tuple[str, Runner | None]:
        """Return who runs a sample; a run that is taken over goes on where it is, or nowhere."""
        if not start.runner:
            return self._runners.runner_for(start.engine)
        runner = self._runners.links.get(start.runner)
        if runner is not None:
            self._runner_of[start.run] = runner
        return start.runner, runner

    def move_to(self, run: int, runner: RunnerLink) -> None:
        """Take that a run goes on over another link, where it was taken over."""
        if run in self._runner_of:
            self._runner_of[run] = runner

    def take_runner(self, run: int) -> RunnerLink | None:
        """Return where a run that was taken over went on, once; None of other runs."""
        return self._runner_of.pop(run, None)


def _read(message: OfferRuns) -> list[OfferedRun]:
    columns = (
        message.samples,
        message.engines,
        message.after_events,
        map(RunName, message.epochs, message.runs),
        map(RunName, message.text_epochs, message.text_runs),
        _earlier_names(message),
    )
    return [OfferedRun(*each) for each in zip(*columns, strict=True)]


def _earlier_names(message: OfferRuns) -> list[tuple[RunName, ...]]:
    """Return the earlier names of each run; a runner of an earlier release tells none."""
    if not message.earlier_counts:
        return [()] * len(message.samples)
    names = map(RunName, message.earlier_epochs, message.earlier_runs)
    return [tuple(islice(names, count)) for count in message.earlier_counts]
