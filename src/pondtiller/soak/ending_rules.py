"""Contents that end engines: how many runs they may have, as the engines see it."""

from collections.abc import Callable
from typing import NamedTuple

from pondtiller.soak.promises import Promises

ENDS = 3
"""Ends under one content after which its further runs are counted."""
KNOWN_SECONDS = 3.0
"""From the last of these ends until whoever acts must know of them."""
MAX_LATER = 3
"""Runs after that, of all programs that could know."""


class EndingRun(NamedTuple):
    """A run under which an engine ended.

    Attributes
    ----------
    opener
        Program that sent it.
    could_know_since
        Since when that program has run and reached the store, on the steady clock.
    """

    engine: str
    opener: str
    could_know_since: float
    at: float


class EndingRule:
    """Checks that a content that ends engines is soon sent to none of them.

    Attributes
    ----------
    runs
        By content.
    """

    def __init__(self, promises: Promises) -> None:
        self.runs: dict[bytes, list[EndingRun]] = {}
        self._promises = promises

    def ran(self, content: bytes, run: EndingRun) -> None:
        """Take a run."""
        runs = self.runs.setdefault(content, [])
        runs.append(run)
        if len(runs) <= ENDS:
            return
        known_at = runs[ENDS - 1].at + KNOWN_SECONDS
        later = [
            each
            for each in runs[ENDS:]
            if each.at > known_at and each.at > each.could_know_since + KNOWN_SECONDS
        ]
        if len(later) > MAX_LATER:
            detail = f"{content!r}: {len(later)} runs more, the last sent by {run.opener}"
            self._promises.breach("a content that ends engines is held back", detail)


class StoreReach:
    """Since when each program has reached a store that answers.

    Parameters
    ----------
    is_sound
        Returns whether a program reaches the store now, by its name.
    """

    def __init__(self, is_sound: Callable[[str], bool]) -> None:
        self._is_sound = is_sound
        self._unsound_at: dict[str, float] = {}

    def look(self, programs: list[str], now: float) -> None:
        """Take how it is now."""
        for program in programs:
            if not self._is_sound(program):
                self._unsound_at[program] = now

    def since(self, program: str) -> float:
        """Return since when a program has reached the store, on the steady clock."""
        return self._unsound_at.get(program, float("-inf"))
