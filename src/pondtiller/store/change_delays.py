"""Upper bounds of the time from a change's acknowledgement in the store until a gateway acts on it.

Names each wait on that path, in seconds, and derives the configurable ones from the bound, so that
every sum stays below it. docs/design/32-news-in-time.md has the table of possible failures.

Has no state; uses the constants of the modules that wait. Evacuations have their own waits, in
`evacuation_bounds`.
"""

from typing import NamedTuple

from pondtiller.platform.object_client import WATCH_MARGIN_SECONDS
from pondtiller.store.relayed_store import HEDGE_SECONDS
from pondtiller.store.store_watch import PROBE_SECONDS, WATCH_SECONDS

STORE_SECONDS = 0.2
"""Time for the store's answer: usually 4 ms, 50 times that when it is slow."""
ACT_SECONDS = 0.1
"""From an answer in the socket until it affects the next request: the event-loop lag."""
SPARE_SECONDS = 0.25
"""Margin between a sum of waits and its bound, for a pause of the process."""
MIN_BOUND_SECONDS = 1.5
"""Smallest bound that leaves enough time for a call that waits and for a pause."""


class ChangeDelays(NamedTuple):
    """Waits of a gateway that follows one kind of objects in the store.

    Attributes
    ----------
    within_seconds
        The bound: time from the store's acknowledgement until a change must be acted on.
    wait_seconds
        How long one call to the store waits for changes.
    retry_seconds
        Longest pause between two calls to a store that rejects them.
    """

    within_seconds: float
    wait_seconds: float
    retry_seconds: float

    @property
    def unanswered_seconds(self) -> float:
        """Worst case of a call without an answer; the next one returns the change."""
        return self.wait_seconds + WATCH_MARGIN_SECONDS + STORE_SECONDS + ACT_SECONDS

    @property
    def relayed_seconds(self) -> float:
        """The same if the store does not answer this machine and a replica relays the change."""
        return self.unanswered_seconds + HEDGE_SECONDS

    @property
    def silenced_seconds(self) -> float:
        """Worst case of silent mirrors and connections; the store answers on a new one."""
        return mirrored_seconds(self.within_seconds) + STORE_SECONDS + ACT_SECONDS

    @property
    def returned_seconds(self) -> float:
        """Worst case of a store that returns during a first call; the next is rejected."""
        probe = PROBE_SECONDS + WATCH_MARGIN_SECONDS
        return probe + self.retry_seconds + STORE_SECONDS + ACT_SECONDS

    @property
    def longest_seconds(self) -> float:
        """The longest of these: from an acknowledgement until a gateway acts on the change."""
        ways = (
            self.unanswered_seconds,
            self.relayed_seconds,
            self.silenced_seconds,
            self.returned_seconds,
        )
        return max(ways)


def change_delays(within_seconds: float) -> ChangeDelays:
    """Return waits whose sums are below a bound, in seconds."""
    left = mirrored_seconds(within_seconds) - WATCH_MARGIN_SECONDS
    return ChangeDelays(within_seconds, min(WATCH_SECONDS, left), left - PROBE_SECONDS)


def mirrored_seconds(within_seconds: float) -> float:
    """Return the age in seconds that the known state may reach while mirrors are asked.

    After that the store itself is asked, and its answer must be acted on within the bound.
    """
    return within_seconds - STORE_SECONDS - ACT_SECONDS - SPARE_SECONDS


def reason_against(within_seconds: float) -> str | None:
    """Return why changes cannot take effect within `within_seconds`; None if they can."""
    if within_seconds >= MIN_BOUND_SECONDS:
        return None
    return f"news of a change may take {MIN_BOUND_SECONDS} s: give at least as much"
