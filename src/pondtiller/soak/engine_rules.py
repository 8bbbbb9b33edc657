"""What an engine may get: nothing while its zone is evacuated, little while it is cold."""

from collections import deque

from pondtiller.soak.promises import Promises

WITHIN_SECONDS = 5.0
"""After which an evacuation must be in force; the programs' settings say the same."""
PATH_SECONDS = 0.5
"""From the programs' last look until a request is at its engine, on a machine that is busy."""
COLD_RATE = 4
"""Requests a second that a cold engine bears, as the soak's configuration says. Chosen, not
measured: its callers send more than this to an engine, so that the bound is reached."""
COLD_EXCESS = 1.5
"""Factor by which all gateways together may go beyond it; the programs' settings say the same."""
COLD_SLACK = 2
"""Requests that may come beyond that; the programs' settings say the same."""
COLD_SECONDS = 8.0
"""How long an engine is cold: more than twice the time after which all programs know of it (3.5 s),
so that some seconds are checked. Chosen with it."""
NEWS_SECONDS = 3.5
"""After which all programs know that an engine turned cold: the rest between two calls to the store
(1.2 s), and the pause of one that found it down (1 s), with a margin."""
WINDOW_SECONDS = 1.0
"""The bound is a number of requests in any second."""


class EngineRules:
    """Checks one engine's requests as they begin.

    Attributes
    ----------
    evacuated_at
        When its zone was evacuated; None while it is not.
    cold_from, cold_until
        Its bound is checked between these.
    """

    def __init__(self, name: str, promises: Promises) -> None:
        self.evacuated_at: float | None = None
        self.cold_from = self.cold_until = float("-inf")
        self._name = name
        self._promises = promises
        self._begun: deque[float] = deque()

    def turn_cold(self, now: float) -> None:
        """Take that the engine is cold from now on."""
        self.cold_from, self.cold_until = now + NEWS_SECONDS, now + COLD_SECONDS

    def began(self, identifier: str, now: float) -> None:
        """Take that a request began."""
        if self.evacuated_at is not None:
            late = now - self.evacuated_at - WITHIN_SECONDS - PATH_SECONDS
            if late > 0:
                detail = f"{self._name}: {identifier} began {late:.2f} s too late"
                self._promises.breach("an evacuated zone gets nothing new", detail)
        self._count(identifier, now)

    def _count(self, identifier: str, now: float) -> None:
        if not self.cold_from <= now < self.cold_until:
            self._begun.clear()
            return
        while self._begun and now - self._begun[0] >= WINDOW_SECONDS:
            self._begun.popleft()
        self._begun.append(now)
        if len(self._begun) > COLD_RATE * COLD_EXCESS + COLD_SLACK:
            detail = f"{self._name}: {len(self._begun)} in a second, {identifier} the last"
            self._promises.breach("a cold engine gets no more than it bears", detail)
