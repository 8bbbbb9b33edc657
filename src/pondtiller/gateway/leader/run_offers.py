"""Runs of an earlier leader that runners offer to the new one, which takes them over.

Holds which runners were asked to offer again; this ends with the term. Which run fits the log is
decided by `SampleScheduler.take_over`.
"""

from collections.abc import Awaitable, Callable
from itertools import islice
from typing import NamedTuple

from pondtiller.address import Address
from pondtiller.gateway.leader.leadership import Leadership
from pondtiller.gateway.leader.run_links import Runner
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

OFFER_WAIT_SECONDS = 0.2
"""How long after a term's start samples of an earlier leader are not started again. A replica's
view arrives within 20 ms, a runner checks every 0.05 s, and connects and offers its runs in 60 ms.
Over two regions the last of nine offers came 0.16 s after the election."""
FRESH_START_SECONDS = 2.0
"""Age of this process up to which it does not wait for offers: when all machines start together, a
leader is elected 0.7 s to 1.1 s after the gateways started."""

REOFFER_SECONDS = 0.25
"""How long after the reading of the texts runners that offered before it must have offered again:
they pause 0.05 s, check every 0.05 s, and an answer takes 40 ms between regions."""


class OfferWait(NamedTuple):
    """Inputs of the decision whether a new leader waits for offers, in seconds.

    From the term's start on, times do not include pauses of this process.

    Attributes
    ----------
    started_at
        When this gateway's process started.
    began
        When the term started.
    texts_read
        When the texts of earlier leaders were read; the term's start until they are.
    is_connecting
        Whether a connection to a runner that made an offer is being opened.
    will_reoffer
        Whether a runner that offered before the texts were read has not offered again yet.
    """

    started_at: float
    began: float
    texts_read: float
    is_connecting: bool
    will_reoffer: bool


def are_offers_awaited(wait: OfferWait, now: float) -> bool:
    """Return whether a new leader must not start samples yet, since their runs may be offered.

    A gateway that becomes the leader right after its own start does not wait: usually all machines
    have lost power then, and no runs exist.
    """
    if wait.began < wait.started_at + FRESH_START_SECONDS:
        return False
    lasted = now - wait.began
    if lasted < OFFER_WAIT_SECONDS or (wait.is_connecting and lasted < CONNECT_SECONDS):
        return True
    return wait.will_reoffer and now < wait.texts_read + REOFFER_SECONDS


class RunOffers:
    """Offers of runners during one term of a leader.

    Parameters
    ----------
    carry_out
        Executes the scheduler's instructions.
    began
        When the term started, in monotonic time.
    stalls
        Measures pauses of this process, during which offers wait to be read.

    Attributes
    ----------
    has_texts
        Whether the texts that earlier leaders saved were read.
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
        self._to_reoffer: set[str] = set()

    def are_awaited(self, now: float) -> bool:
        """Return whether runs of an earlier leader may still be taken over instead of restarted."""
        wait = OfferWait(
            self._leadership.started_at,
            self._began,
            self._texts_read,
            self._connecting > 0,
            bool(self._to_reoffer),
        )
        return are_offers_awaited(wait, self._running_time(now))

    def _running_time(self, now: float) -> float:
        """Return a time on a clock that, from the term's start, excludes pauses of this process."""
        return now - (self._stalls.stalled_seconds() - self._stalled_before)

    def texts_read(self, now: float) -> None:
        """Record that the texts of earlier leaders were read, so that runs can be taken over."""
        self.has_texts = True
        self._texts_read = self._running_time(now)

    async def answer(self, message: OfferRuns) -> RunsTaken:
        """Take over a runner's runs; the answer tells which.

        While the runner is being connected to, no sample is restarted, for a limited time.
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
            # The runner asks again; it must not wait here to learn that this leader is alive.
            self._to_reoffer.add(daemon.name)
            return RunsTaken(status=StepStatus.UNAVAILABLE)
        self._to_reoffer.discard(daemon.name)
        if not self._leadership.log.holds_lease(now):
            return RunsTaken(status=StepStatus.UNAVAILABLE)
        offered = _read(message)
        # Runs of this term continue over a new link, which is being opened (`SampleRuns`).
        own = [self._scheduler.is_in_progress(each) for each in offered]
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
            reason=self._scheduler.refusal_to_take_over(offered, now),
            epoch=self._scheduler.epoch,
        )

    def runner_of(self, start: StartRun) -> tuple[str, Runner | None]:
        """Return who runs a sample; a run that is taken over stays at its runner."""
        if not start.runner:
            return self._runners.runner_for(start.engine)
        return start.runner, self._runners.links.get(start.runner)


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
    """Return the earlier names of each run; runners of earlier releases do not send any."""
    if not message.earlier_counts:
        return [()] * len(message.samples)
    names = map(RunName, message.earlier_epochs, message.earlier_runs)
    return [tuple(islice(names, count)) for count in message.earlier_counts]
