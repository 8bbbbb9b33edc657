"""Trials of held contents: which request is one, and what its end tells of the content.

A request of a content that is held back goes to one engine from time to time, since only an
engine's answer clears the content. A trial that is not answered may have ended its engine, or may
tell nothing: it never left, or the engine lived on.

Owns the trials whose outcome is not known yet. How many trials a content had is kept in the store
(`engines.suspect_sharing`), and when the next one is due is decided in `routes.quarantine`.
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
"""From the end of a trial without an answer until its outcome is told. An engine may end some time
after a deadline, and other gateways tell a first end after 0.3 s."""


class TrialOutcome(StrEnum):
    """What a trial tells of its content."""

    ANSWERED = "answered"
    """The content did no harm."""
    ENGINE_ENDED = "engine_ended"
    """Its engine ended, or cannot be shown to run still."""
    INCONCLUSIVE = "inconclusive"
    """No engine ran it; or its engine runs on without an answer, or ended under another content."""


class ContentTrials:
    """Lets single requests of held contents through, and follows what became of them.

    Parameters
    ----------
    engines
        Engines of each service, to tell whether one is left if a trial ends another.
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
        self._running: set[str] = set()
        self._settling = Spawner()

    @property
    def unsettled(self) -> int:
        """Trials whose outcome is not known yet."""
        return len(self._running) + len(self._settling)

    async def take(self, request: ForwardedRequest, service: str, homes: frozenset[str]) -> bool:
        """Return whether a request is its content's trial, which is then counted.

        Parameters
        ----------
        service, homes
            Whose engines may get the request, and in which regions.
        """
        content = request.content
        if not self._suspects.is_held(content):
            return False
        has_spare = partial(self._has_spare, content, service, homes)
        return await self._suspects.take_trial(content, has_spare)

    def _has_spare(self, content: str, service: str, homes: frozenset[str]) -> bool:
        """Return whether a service has two usable engines, so that one outlasts a trial.

        Entries of engines that ended stay listed for some heartbeats: those are left out.
        """
        usable = self._engines.usable(service, clock.monotonic(), homes)
        ended = self._suspects.known_ends(content)
        return len([each for each in usable if each.identifier not in ended]) > 1

    def begin(self, whole: WholeRequest) -> None:
        """Take that a request begins, which may be a trial."""
        if whole.is_trial:
            self._running.add(whole.request.identifier)

    async def follow(self, whole: WholeRequest) -> None:
        """Follow a trial whose request has ended: one that told nothing is given back."""
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
            await self._suspects.give_trial_back(whole.request.content)

    async def _outcome(self, content: str, engines: set[str]) -> TrialOutcome:
        """Return what a trial without an answer told, by the engines that got it."""
        settled_at = clock.monotonic() + SETTLE_SECONDS
        ended = set()
        for engine in engines:
            is_known = engine in self._suspects.known_ends(content)
            if is_known or not await self._ends.outlasts(engine, settled_at):
                ended.add(engine)
        # Others may tell until then under which of their requests it ended.
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
