"""Whether this gateway may still trust the tenants' keys that it knows.

A key may be revoked while the gateway receives no configuration. If the settings ask for it
(`fail_closed`), requests that need a key are rejected as not ready and not run once this has lasted
too long. Holds only whether keys were trusted at the last check, for the log.
"""

from collections.abc import Callable

from pondtiller.process import clock, logs
from pondtiller.settings import Keys
from pondtiller.store.change_delays import ChangeDelays
from pondtiller.store.mirror import FRESH_SECONDS

MARGIN_SECONDS = 0.2
"""Margin for an answer in transit while a request is admitted. A larger one rejects keys earlier;
a call to the store takes a part of it."""


class KeyFreshness:
    """Decides whether keys are fresh enough.

    Parameters
    ----------
    last_answer_at
        Returns when the configuration was last received, in monotonic time.
    """

    def __init__(self, settings: Keys, last_answer_at: Callable[[], float]) -> None:
        self._fails_closed = settings.fail_closed
        # A mirror's answer may be as old as a mirror's data may be.
        self._longest_seconds = settings.unheard - FRESH_SECONDS - MARGIN_SECONDS
        self._last_answer_at = last_answer_at
        self._was_fresh = True

    def times(self, times: ChangeDelays) -> ChangeDelays:
        """Return waits after which a call is answered in time even if nothing has changed."""
        if not self._fails_closed:
            return times
        return times._replace(wait_seconds=min(times.wait_seconds, self._longest_seconds / 2))

    def is_fresh(self) -> bool:
        """Return whether keys may be trusted now."""
        age = clock.monotonic() - self._last_answer_at()
        is_fresh = not self._fails_closed or age <= self._longest_seconds
        if is_fresh != self._was_fresh:
            self._was_fresh = is_fresh
            logs.decision("keys_trusted", fresh=is_fresh, unheard=age)
        return is_fresh
