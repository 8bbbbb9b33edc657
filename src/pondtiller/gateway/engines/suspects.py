"""What this gateway knows of contents that end engines, and what is still to be shared with others.

Owns the quarantine and the news; both last as long as the process, the contents also in the store
(`suspect_sharing`). When a content is held back is `routes.quarantine`; what its requests are
answered is `routes.live_attempts.error_of_quarantined_content`.
"""

from collections.abc import Awaitable, Callable
from typing import Protocol

import curio

from pondtiller.errors import Failure, Ran
from pondtiller.gateway.metrics import GatewayMetrics
from pondtiller.process import clock, logs
from pondtiller.routes.live_attempts import error_of_quarantined_content
from pondtiller.routes.quarantine import Quarantine, Suspect, abbreviate_content

TELL_SECONDS = 0.3
"""How long a first end is kept to itself. Most requests that broke off with an engine are answered
by the next one within this time, and then there is nothing to write."""
SOON_ENDS = 2
"""Ends from which on each is shared at once: no engine may get the content any more, or one may."""


def no_spare() -> bool:
    """Return that a service may have no second engine: its trials come late."""
    return False


class TrialGrant(Protocol):
    """Grants trials of held contents, of all gateways together."""

    async def __call__(self, content: str, has_spare: Callable[[], bool] = no_spare) -> bool:
        """Return whether this gateway may send one request of a content now.

        Parameters
        ----------
        has_spare
            Returns whether the content's service keeps another engine if the trial ends one.
        """


class SuspectContents:
    """What this gateway knows of contents, asked before a request leaves.

    Attributes
    ----------
    untold
        Contents to be shared with others, with the steady time by which to do so.
    has_news
        Set when something is to be shared.
    take_trial
        Grants this gateway a trial of a held content.
    give_trial_back
        Lets a trial that told nothing of its content count no longer.
    """

    def __init__(self, metrics: GatewayMetrics) -> None:
        self.quarantine = Quarantine()
        self.untold: dict[str, float] = {}
        self.has_news = curio.Event()
        self.take_trial: TrialGrant = _no_trial
        self.give_trial_back: Callable[[str], Awaitable[None]] = _ignore
        self._metrics = metrics

    def is_held(self, content: str) -> bool:
        """Return whether no engine may get a content."""
        return bool(self.quarantine.suspects) and self.quarantine.is_quarantined(
            content, clock.wall()
        )

    def is_suspect(self, content: str) -> bool:
        """Return whether an engine is known to have ended under a content."""
        return content in self.quarantine.suspects

    def ends(self, content: str) -> int:
        """Return how many engines ended under a content, as far as it is known."""
        return self.quarantine.crash_count(content)

    def known_ends(self, content: str) -> frozenset[str]:
        """Return the starts of engines that are known to have ended under a content."""
        suspect = self.quarantine.suspects.get(content)
        return suspect.ends if suspect is not None else frozenset()

    def refuse(self, content: str, ran: Ran) -> Failure:
        """Return the answer to a request that is sent to no engine more: its content is held back.

        Parameters
        ----------
        ran
            Whether an engine may have begun it before.
        """
        self._metrics.held_contents += 1
        kind = error_of_quarantined_content(ran)
        if ran is not Ran.NO:
            return Failure(kind)
        left = self.quarantine.seconds_left(content, clock.wall())
        return Failure(kind, retry_after_seconds=left)

    async def note_crash(self, content: str, engine: str) -> None:
        """Take that an engine ended under a content."""
        if not content:
            return
        now = clock.monotonic()
        suspect = self.quarantine.note_crash(content, engine, now, clock.wall())
        if suspect is None:
            return
        is_soon = len(suspect.ends) >= SOON_ENDS
        by = now if is_soon else now + TELL_SECONDS
        self.untold[content] = min(by, self.untold.get(content, by))
        self._log(suspect, engine)
        await self.has_news.set()

    async def take(self, told: Suspect) -> bool:
        """Take what all gateways together know of a content; return whether that is new here.

        One that was answered here lately is cleared for all: who tells of its ends had no answer.
        """
        if told.ends and self.quarantine.was_answered(told.content, clock.monotonic()):
            self.untold[told.content] = clock.monotonic()
            await self.has_news.set()
            logs.decision("content_cleared", content=abbreviate_content(told.content))
            return False
        return self.quarantine.merge_report(told)

    async def note_answer(self, content: str) -> None:
        """Take that an engine answered a content."""
        if not content or not self.quarantine.note_answer(content, clock.monotonic()):
            return
        # Where nobody was told of the ends yet, there is nothing to take back.
        if self.untold.pop(content, None) is None:
            self.untold[content] = clock.monotonic()
            await self.has_news.set()
        logs.decision("content_cleared", content=abbreviate_content(content))

    def _log(self, suspect: Suspect, engine: str) -> None:
        logs.decision(
            "content_suspected",
            content=abbreviate_content(suspect.content),
            engine=engine,
            ends=len(suspect.ends),
            is_held=suspect.is_quarantined,
        )


async def _no_trial(content: str, has_spare: Callable[[], bool] = no_spare) -> bool:
    return False


async def _ignore(_content: str) -> None:
    """Stands in where no trial is granted."""
