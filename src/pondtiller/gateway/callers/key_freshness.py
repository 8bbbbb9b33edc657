"""Whether this gateway may still trust the keys that it knows.

A key may be revoked while the gateway does not hear of the configuration. Where the settings ask
for it (`fail_closed`), requests that need a key are then refused as not ready and not run, once
that has lasted too long. It owns only whether keys were trusted at the last look, for the log line.
"""

from collections.abc import Callable

from pondtiller.process import clock, logs
from pondtiller.settings import Keys
from pondtiller.store.mirror import FRESH_SECONDS
from pondtiller.store.news_times import NewsTimes

MARGIN_SECONDS = 0.2
"""For an answer that is on its way while a request is admitted, in seconds. Chosen, not measured:
more of it only refuses keys this much earlier, and a call to the store takes a part of it."""


class KeyFreshness:
    """Decides whether keys are fresh enough.

    Parameters
    ----------
    heard_at
        Returns when the configuration was last heard of, on the steady clock.
    """

    def __init__(self, settings: Keys, heard_at: Callable[[], float]) -> None:
        self._fails_closed = settings.fail_closed
        # What a mirror answers may itself be as old as a mirror's data may be.
        self._longest_seconds = settings.unheard - FRESH_SECONDS - MARGIN_SECONDS
        self._heard_at = heard_at
        self._was_fresh = True

    def times(self, times: NewsTimes) -> NewsTimes:
        """Return waits of which one call is answered in time also by a store without changes."""
        if not self._fails_closed:
            return times
        return times._replace(wait_seconds=min(times.wait_seconds, self._longest_seconds / 2))

    def is_fresh(self) -> bool:
        """Return whether keys may be trusted now."""
        age = clock.monotonic() - self._heard_at()
        is_fresh = not self._fails_closed or age <= self._longest_seconds
        if is_fresh != self._was_fresh:
            self._was_fresh = is_fresh
            logs.decision("keys_trusted", fresh=is_fresh, unheard=age)
        return is_fresh
