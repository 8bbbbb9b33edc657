"""How often a leader decides: at once when something happened, but not all of the time. No I/O.

Each event wakes the leader: an end of a run, a write, an engine that changed. Where events come
faster than a tick takes, a tick an event leaves no time for links and the lease: on a machine of
0.12 cores, a step of 72 samples held the leader for seconds, and its successor too. So ticks take a
bounded share of the time, and what happens between two of them is decided together.
"""

TICK_SHARE = 0.25
"""Of the time that ticks may take; the rest is for messages, streams and the lease."""
LONGEST_GAP_SECONDS = 0.1
"""Between two ticks; as long as a leader that nothing wakes waits."""


class TickPacing:
    """Spaces ticks by how long they take."""

    def __init__(self) -> None:
        self._not_before = float("-inf")

    def ticked(self, began: float, ended: float) -> None:
        """Take when a tick began and ended, on the steady clock."""
        gap = (ended - began) * (1.0 - TICK_SHARE) / TICK_SHARE
        self._not_before = ended + min(gap, LONGEST_GAP_SECONDS)

    def wait_seconds(self, now: float) -> float:
        """Return how long the next tick is to wait, however much has happened."""
        return max(0.0, self._not_before - now)
