"""Contents that crash engines, as known to this gateway, and what is still to be shared.

Holds the quarantine and the unshared reports for the lifetime of the process; the contents are also
in the store (`suspect_sharing`). When a content is quarantined is decided in `routes.quarantine`;
the answer to its requests is `routes.live_attempts.error_of_quarantined_content`.
"""

from collections.abc import Awaitable, Callable
from typing import Protocol

import curio

from pondtiller.errors import Failure, Ran
from pondtiller.gateway.metrics import GatewayMetrics
from pondtiller.process import clock, logs
from pondtiller.routes.live_attempts import error_of_quarantined_content
from pondtiller.routes.quarantine import Quarantine, Suspect, abbreviate_content

FIRST_CRASH_DELAY_SECONDS = 0.3
"""How long a first crash is not shared. Most requests that broke off with an engine are answered by
the next engine within this time, and then there is nothing to write."""
SHARE_AT_ONCE_CRASHES = 2
"""Crashes from which on each one is shared at once, since few or no further engines are allowed."""


def no_spare() -> bool:
    """Return that a service may have no second engine, so that its trials come late."""
    return False


class TrialGrant(Protocol):
    """Grants trials of quarantined contents, over all gateways together."""

    async def __call__(
        self, content: str, has_spare: Callable[[], bool] = no_spare, is_owed: bool = False
    ) -> bool:
        """Return whether this gateway may send one request of a content now.

        Parameters
        ----------
        has_spare
            Returns whether the content's service keeps another engine if the trial crashes one.
        is_owed
            Whether the request must be answered in the end.
        """


class SuspectContents:
    """Known contents, checked before a request is sent.

    Attributes
    ----------
    unshared
        Contents to share with others, with the monotonic time by which to do so.
    has_unshared
        Set when something is to be shared.
    take_trial
        Grants this gateway a trial of a quarantined content.
    return_trial
        Excludes an inconclusive trial from the count.
    """

    def __init__(self, metrics: GatewayMetrics) -> None:
        self.quarantine = Quarantine()
        self.unshared: dict[str, float] = {}
        self.has_unshared = curio.Event()
        self.take_trial: TrialGrant = _no_trial
        self.return_trial: Callable[[str], Awaitable[None]] = _ignore
        self._metrics = metrics

    def is_quarantined(self, content: str) -> bool:
        """Return whether a content is quarantined."""
        return bool(self.quarantine.suspects) and self.quarantine.is_quarantined(
            content, clock.wall()
        )

    def is_suspect(self, content: str) -> bool:
        """Return whether an engine is known to have crashed under a content."""
        return content in self.quarantine.suspects

    def crash_count(self, content: str) -> int:
        """Return how many engines are known to have crashed under a content."""
        return self.quarantine.crash_count(content)

    def crashed_engines(self, content: str) -> frozenset[str]:
        """Return the engine incarnations that are known to have crashed under a content."""
        suspect = self.quarantine.suspects.get(content)
        return suspect.ends if suspect is not None else frozenset()

    def refuse(self, content: str, ran: Ran) -> Failure:
        """Return the answer to a request that no further engine may get.

        Parameters
        ----------
        ran
            Whether an engine may have started it before.
        """
        self._metrics.held_contents += 1
        kind = error_of_quarantined_content(ran)
        if ran is not Ran.NO:
            return Failure(kind)
        left = self.quarantine.seconds_left(content, clock.wall())
        return Failure(kind, retry_after_seconds=left)

    async def note_crash(self, content: str, engine: str) -> None:
        """Record that an engine crashed under a content."""
        if not content:
            return
        now = clock.monotonic()
        suspect = self.quarantine.note_crash(content, engine, now, clock.wall())
        if suspect is None:
            return
        is_soon = len(suspect.ends) >= SHARE_AT_ONCE_CRASHES
        by = now if is_soon else now + FIRST_CRASH_DELAY_SECONDS
        self.unshared[content] = min(by, self.unshared.get(content, by))
        self._log(suspect, engine)
        await self.has_unshared.set()

    async def merge_report(self, reported: Suspect) -> bool:
        """Merge the shared report of all gateways about a content; return whether it is news.

        A content that was answered here recently is cleared for all gateways: the reporting gateway
        had no answer.
        """
        if reported.ends and self.quarantine.was_answered(reported.content, clock.monotonic()):
            self.unshared[reported.content] = clock.monotonic()
            await self.has_unshared.set()
            logs.decision("content_cleared", content=abbreviate_content(reported.content))
            return False
        return self.quarantine.merge_report(reported)

    async def note_answer(self, content: str) -> None:
        """Record that an engine answered a content."""
        if not content or not self.quarantine.note_answer(content, clock.monotonic()):
            return
        # If the crashes were not shared yet, there is nothing to revoke.
        if self.unshared.pop(content, None) is None:
            self.unshared[content] = clock.monotonic()
            await self.has_unshared.set()
        logs.decision("content_cleared", content=abbreviate_content(content))

    def _log(self, suspect: Suspect, engine: str) -> None:
        logs.decision(
            "content_suspected",
            content=abbreviate_content(suspect.content),
            engine=engine,
            ends=len(suspect.ends),
            is_held=suspect.is_quarantined,
        )


async def _no_trial(
    content: str, has_spare: Callable[[], bool] = no_spare, is_owed: bool = False
) -> bool:
    return False


async def _ignore(_content: str) -> None:
    """Default that is used while no trials are granted."""
