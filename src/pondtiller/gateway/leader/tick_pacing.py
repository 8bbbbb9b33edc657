"""Limits the share of time that a leader spends on decisions. No I/O.

Each event wakes the leader: the end of a run, a write, a changed engine. If events come faster than
a tick takes, one tick per event leaves no time for links and the lease: on a machine of 0.12 cores,
a step of 72 samples blocked the leader for seconds, and then its successor. Ticks therefore take a
bounded share of the time, and events between two ticks are handled together.
"""

TICK_SHARE = 0.25
"""Largest part of the time that ticks may take; the rest is for messages, streams and the lease."""
MAX_GAP_SECONDS = 0.1
"""Longest gap between two ticks; equal to the interval of a leader that nothing wakes."""


class TickPacing:
    """Spaces ticks by their duration."""

    def __init__(self) -> None:
        self._not_before = float("-inf")

    def ticked(self, began: float, ended: float) -> None:
        """Record when a tick started and ended, in monotonic time."""
        gap = (ended - began) * (1.0 - TICK_SHARE) / TICK_SHARE
        self._not_before = ended + min(gap, MAX_GAP_SECONDS)

    def wait_seconds(self, now: float) -> float:
        """Return how long the next tick must wait, however much has happened."""
        return max(0.0, self._not_before - now)
