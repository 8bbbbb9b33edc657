"""From the acknowledgement of a change in the store until a gateway acts on it.

Names each wait on that way, in seconds, and derives from the bound those that a gateway chooses, so
that every sum stays below it. docs/design/32-news-in-time.md has the table of what may fail.

Owns no state; relies on the constants of the modules that wait. Evacuations have waits of their
own, in `evacuation_bounds`.
"""

from typing import NamedTuple

from pondtiller.platform.object_client import WATCH_MARGIN_SECONDS
from pondtiller.store.relayed_store import HEDGE_SECONDS
from pondtiller.store.store_watch import PROBE_SECONDS, WATCH_SECONDS

STORE_SECONDS = 0.2
"""Time for the store's own answer: 4 ms, 50 times that when it is slow."""
ACT_SECONDS = 0.1
"""From an answer in the socket until the next request is decided by it: the event loop's lag."""
SPARE_SECONDS = 0.25
"""Between a sum of waits and its bound, for a pause of the process."""
MIN_BOUND_SECONDS = 1.5
"""Below this, what is left of a bound is too short for a call that waits and a pause."""


class NewsTimes(NamedTuple):
    """Waits of a gateway that follows a kind of objects in the store.

    Attributes
    ----------
    within_seconds
        The bound: a change is to be acted on so long after the store acknowledged it.
    wait_seconds
        How long one call to the store waits for changes.
    retry_seconds
        Longest pause between two calls to a store that refuses them.
    """

    within_seconds: float
    wait_seconds: float
    retry_seconds: float

    @property
    def unanswered_seconds(self) -> float:
        """A call gets no answer to its end; the next one, sent at once, brings the change."""
        return self.wait_seconds + WATCH_MARGIN_SECONDS + STORE_SECONDS + ACT_SECONDS

    @property
    def relayed_seconds(self) -> float:
        """The same, and the store does not answer this machine: a replica brings the change."""
        return self.unanswered_seconds + HEDGE_SECONDS

    @property
    def silenced_seconds(self) -> float:
        """Mirrors fall silent, and all other connections: the store answers on a new one."""
        return mirrored_seconds(self.within_seconds) + STORE_SECONDS + ACT_SECONDS

    @property
    def returned_seconds(self) -> float:
        """A store returns while a first call hangs; the next is refused, and a pause follows."""
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


def news_times(within_seconds: float) -> NewsTimes:
    """Return waits whose sums are below a bound, in seconds."""
    left = mirrored_seconds(within_seconds) - WATCH_MARGIN_SECONDS
    return NewsTimes(within_seconds, min(WATCH_SECONDS, left), left - PROBE_SECONDS)


def mirrored_seconds(within_seconds: float) -> float:
    """Return how old what is known may become while mirrors are asked, in seconds.

    Then the store itself is, and its answer must be acted on within the bound.
    """
    return within_seconds - STORE_SECONDS - ACT_SECONDS - SPARE_SECONDS


def reason_against(within_seconds: float) -> str | None:
    """Return why changes cannot be in force within so many seconds; None where they can."""
    if within_seconds >= MIN_BOUND_SECONDS:
        return None
    return f"news of a change may take {MIN_BOUND_SECONDS} s: give at least as much"
