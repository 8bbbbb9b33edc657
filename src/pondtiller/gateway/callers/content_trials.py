"""Trials of quarantined contents: which request is a trial, and what its outcome means.

From time to time a request of a quarantined content is sent to one engine, since only an engine's
answer can end the quarantine. A trial without an answer may have crashed its engine, or it may be
inconclusive: it was never sent, or the engine survived.

Holds the trials whose outcome is not known yet. The number of trials of a content is kept in the
store (`engines.suspect_sharing`); when the next one is due is decided in `routes.quarantine`.
"""

from enum import StrEnum
from functools import partial

import curio

from pondtiller.gateway.callers.request import ForwardedRequest, WholeRequest
from pondtiller.gateway.engines.engine_ends import EngineEnds
from pondtiller.gateway.engines.suspects import SuspectContents
from pondtiller.process import clock, logs
from pondtiller.process.spawner import Spawner
from pondtiller.routes.engines import EngineDirectory
from pondtiller.routes.quarantine import abbreviate_content

SETTLE_SECONDS = 1.0
"""Time from the end of an unanswered trial until its outcome is decided. An engine may crash some
time after a deadline, and other gateways report a first crash after 0.3 s."""


class TrialOutcome(StrEnum):
    """Outcome of a trial for its content."""

    ANSWERED = "answered"
    """The content is harmless."""
    ENGINE_ENDED = "engine_ended"
    """Its engine crashed, or cannot be shown to be still running."""
    INCONCLUSIVE = "inconclusive"
    """No engine ran it; or its engine survived without an answer, or crashed because of another
    content."""


class ContentTrials:
    """Allows single requests of quarantined contents, and evaluates their outcome.

    Parameters
    ----------
    engines
        Engines of each service, to tell whether one is left if a trial crashes another.
    ends
        Tells whether a trial's engine is still running.
    suspects
        Contents that are quarantined.
    """

    def __init__(
        self, engines: EngineDirectory, ends: EngineEnds, suspects: SuspectContents
    ) -> None:
        self._engines = engines
        self._ends = ends
        self._suspects = suspects
        self._running: set[str] = set()
        self._settling = Spawner()

    @property
    def unsettled_trials(self) -> int:
        """Number of trials whose outcome is not known yet."""
        return len(self._running) + len(self._settling)

    async def try_start(
        self, request: ForwardedRequest, service: str, homes: frozenset[str]
    ) -> bool:
        """Return whether a request is its content's trial, which is then counted.

        Parameters
        ----------
        service, homes
            Service whose engines may get the request, and the regions they may be in.
        """
        content = request.content
        if not self._suspects.is_quarantined(content):
            return False
        has_spare = partial(self._has_spare, content, service, homes)
        return await self._suspects.take_trial(content, has_spare, request.is_owed)

    def _has_spare(self, content: str, service: str, homes: frozenset[str]) -> bool:
        """Return whether a service has two usable engines, so that one is left after a trial.

        Entries of crashed engines stay listed for some heartbeats; those engines are excluded.
        """
        usable = self._engines.usable(service, clock.monotonic(), homes)
        ended = self._suspects.crashed_engines(content)
        return len([each for each in usable if each.identifier not in ended]) > 1

    def begin(self, whole: WholeRequest) -> None:
        """Register a request that starts and may be a trial."""
        if whole.is_trial:
            self._running.add(whole.request.identifier)

    async def follow(self, whole: WholeRequest) -> None:
        """Evaluate a trial whose request has ended; an inconclusive one is not counted."""
        if not whole.is_trial:
            return
        if self._suspects.is_suspect(whole.request.content):
            await self._settling.spawn(self._settle, whole)
        else:
            self._log(whole, TrialOutcome.ANSWERED)
        self._running.discard(whole.request.identifier)

    async def _settle(self, whole: WholeRequest) -> None:
        outcome = TrialOutcome.INCONCLUSIVE
        if whole.attempts.sent:
            outcome = await self._outcome(whole.request.content, whole.attempts.engines)
        self._log(whole, outcome)
        if outcome is TrialOutcome.INCONCLUSIVE:
            await self._suspects.return_trial(whole.request.content)

    async def _outcome(self, content: str, engines: set[str]) -> TrialOutcome:
        """Return the outcome of an unanswered trial, from the engines that received it."""
        settled_at = clock.monotonic() + SETTLE_SECONDS
        ended = set()
        for engine in engines:
            is_known = engine in self._suspects.crashed_engines(content)
            if is_known or not await self._ends.still_runs_at(engine, settled_at):
                ended.add(engine)
        # Until then other gateways may report which of their requests the engine crashed under.
        await curio.sleep(max(0.0, settled_at - clock.monotonic()))
        quarantine = self._suspects.quarantine
        if all(quarantine.is_crash_explained(content, each) for each in ended):
            return TrialOutcome.INCONCLUSIVE
        return TrialOutcome.ENGINE_ENDED

    def _log(self, whole: WholeRequest, outcome: TrialOutcome) -> None:
        logs.decision(
            "content_trial_ended",
            content=abbreviate_content(whole.request.content),
            request=whole.request.identifier,
            engine=",".join(sorted(whole.attempts.engines)),
            outcome=outcome.value,
        )
