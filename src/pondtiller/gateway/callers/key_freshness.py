"""Whether this gateway may still trust the keys that it knows.

A key may be revoked while the gateway does not hear of the configuration. Where the settings ask
for it (`fail_closed`), requests that need a key are then refused as not ready and not run, once
that has lasted too long. It owns only whether keys were trusted at the last look, for the log line.
"""

from collections.abc import Callable

from pondtiller.process import clock, logs
from pondtiller.settings import Keys
from pondtiller.store.mirror import FRESH_SECONDS
from pondtiller.store.store_watch import WATCH_SECONDS

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

    @property
    def wait_seconds(self) -> float:
        """Longest wait of a call for changes, so that a store without changes answers in time."""
        return self._longest_seconds / 2 if self._fails_closed else WATCH_SECONDS

    def is_fresh(self) -> bool:
        """Return whether keys may be trusted now."""
        age = clock.monotonic() - self._heard_at()
        is_fresh = not self._fails_closed or age <= self._longest_seconds
        if is_fresh != self._was_fresh:
            self._was_fresh = is_fresh
            logs.decision("keys_trusted", fresh=is_fresh, unheard=age)
        return is_fresh
