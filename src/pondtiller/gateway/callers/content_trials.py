"""Trials of held contents: which request is one, and what its end tells of the content.

A request of a content that is held back goes to one engine from time to time, since only an
engine's answer clears the content. A trial that is not answered may have ended its engine, or may
tell nothing: it never left, or the engine lived on.

Owns no state. How many trials a content had is kept in the store (`engines.suspect_sharing`), and
when the next one is due is decided in `routes.quarantine`.
"""

from enum import StrEnum

import curio

from pondtiller.gateway.callers.request import ForwardedRequest, WholeRequest
from pondtiller.gateway.engines.engine_ends import EngineEnds
from pondtiller.gateway.engines.suspects import SuspectContents
from pondtiller.process import clock, logs
from pondtiller.routes.engines import EngineDirectory
from pondtiller.routes.quarantine import shown_content

SETTLE_SECONDS = 1.0
"""From the end of a trial without an answer until its engine is asked whether it still runs: an
engine may close its connections, or miss a deadline, some time before it ends."""


class TrialOutcome(StrEnum):
    """What a trial tells of its content."""

    ANSWERED = "answered"
    """It did no harm."""
    ENGINE_ENDED = "engine_ended"
    """Its engine ended, under it or beside it."""
    INCONCLUSIVE = "inconclusive"
    """No engine ran it, or the engine did not answer and lived on."""


class ContentTrials:
    """Lets single requests of held contents through, and follows what became of them.

    Parameters
    ----------
    ends
        Asked whether a trial's engine still runs.
    suspects
        Contents that are held back.
    """

    def __init__(
        self, engines: EngineDirectory, ends: EngineEnds, suspects: SuspectContents
    ) -> None:
        self._engines = engines
        self._ends = ends
        self._suspects = suspects

    async def take(self, request: ForwardedRequest, service: str, homes: frozenset[str]) -> bool:
        """Return whether a request is its content's trial, which is then used up.

        Parameters
        ----------
        service, homes
            Whose engines may get the request, and in which regions.
        """
        content = request.content
        if not self._suspects.is_held(content):
            return False
        return await self._suspects.take_trial(content, self._has_spare(content, service, homes))

    def _has_spare(self, content: str, service: str, homes: frozenset[str]) -> bool:
        """Return whether a service has two usable engines, so that one outlasts a trial.

        Entries of engines that ended stay listed for some heartbeats: those are left out.
        """
        usable = self._engines.usable(service, clock.monotonic(), homes)
        ended = self._suspects.known_ends(content)
        return len([each for each in usable if each.identifier not in ended]) > 1

    async def follow(self, whole: WholeRequest, is_answered: bool) -> None:
        """Log the outcome of a trial that has ended, once it is known."""
        if is_answered:
            self._log(whole, TrialOutcome.ANSWERED)
        else:
            await curio.spawn(self._settle, whole, daemon=True)

    async def _settle(self, whole: WholeRequest) -> None:
        outcome = TrialOutcome.INCONCLUSIVE
        if whole.attempts.sent:
            await curio.sleep(SETTLE_SECONDS)
            if await self._has_ended_engine(whole):
                outcome = TrialOutcome.ENGINE_ENDED
        self._log(whole, outcome)

    async def _has_ended_engine(self, whole: WholeRequest) -> bool:
        """Return whether an engine that got a trial ended, or cannot be shown to run still."""
        ended = self._suspects.known_ends(whole.request.content)
        for engine in whole.attempts.engines:
            if engine in ended or not await self._ends.still_runs(engine):
                return True
        return False

    def _log(self, whole: WholeRequest, outcome: TrialOutcome) -> None:
        logs.decision(
            "content_trial_ended",
            content=shown_content(whole.request.content),
            request=whole.request.identifier,
            engine=",".join(sorted(whole.attempts.engines)),
            outcome=outcome.value,
        )
