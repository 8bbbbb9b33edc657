"""The time of day on which most machines agree, kept by one machine's steady clock. No I/O.

Machines' times of day differ a little, and jump by seconds on some of them. The distance from a
steady clock to the time of day does not change, so it is enough to know it once: the median over
the machines is right while fewer than half of them are wrong.
"""

import math
from statistics import median
from typing import NamedTuple

MIN_MACHINES = 3
"""Fewer do not overrule a time that is known: most of them may have jumped."""
SETTLE_SECONDS = 2.0
"""So long after the first machine was heard nearly all have been: daemons tell a new leader within
a second. Of the first few, most may be among those that jumped."""
FRESH_SECONDS = 30.0
"""A machine that was not heard for so long may have jumped, or be gone."""
MEDIAN_SECONDS = 0.2
"""So long a median is used again. Load: a leader is asked for the time with each tell of each
daemon, twice a second each, and would look at all machines each time. Steady clocks differ by some
ten microseconds in that time, and links delay what machines tell by milliseconds."""
JUMP_SECONDS = 0.25
"""A received time that differs by more is a jump; links delay a message by far less."""
JUMPS_TO_FOLLOW = 3
"""So many answers in a row that agree on a jump are believed: the earlier time was wrong."""


class MachineClock(NamedTuple):
    """How far a machine's time of day lay before the own steady clock, and when that was."""

    offset: float
    at: float


class AgreedClock:
    """What one daemon knows of the agreed time of day."""

    def __init__(self) -> None:
        self.machines: dict[str, MachineClock] = {}
        self._first_at: float | None = None
        self._learned: float | None = None
        self._median_until = -math.inf
        self._jumps = 0

    def heard(self, machine: str, wall: float, now: float) -> None:
        """Take a machine's time of day as a message brought it.

        Parameters
        ----------
        wall
            Seconds since 1970 on that machine's clock.
        now
            Seconds on the own steady clock.
        """
        if self._first_at is None:
            self._first_at = now
        self.machines[machine] = MachineClock(wall - now, now)

    def learned(self, agreed: float, now: float) -> None:
        """Take the agreed time from another process; a jump only when it is received again."""
        offset = agreed - now
        is_jump = self._learned is not None and abs(offset - self._learned) > JUMP_SECONDS
        self._jumps = self._jumps + 1 if is_jump else 0
        if not is_jump or self._jumps >= JUMPS_TO_FOLLOW:
            self._learned, self._jumps = offset, 0

    def forget_machines(self) -> None:
        """Begin to hear machines anew; what was agreed before stands until these have settled."""
        self.machines.clear()
        self._first_at = None
        self._median_until = -math.inf

    def now(self, now: float) -> float | None:
        """Return the agreed time of day, in seconds since 1970; None where it is not known."""
        is_settled = self._first_at is not None and now >= self._first_at + SETTLE_SECONDS
        if is_settled and now >= self._median_until:
            self._take_median(now)
        return now + self._learned if self._learned is not None else None

    def _take_median(self, now: float) -> None:
        offsets = self._offsets(now)
        is_enough = len(offsets) >= MIN_MACHINES or self._learned is None
        if offsets and is_enough:
            self._learned = median(offsets)
            self._median_until = now + MEDIAN_SECONDS

    def spread_seconds(self, now: float) -> float:
        """Return how far half of the machines lie from the agreed time at most."""
        offsets = self._offsets(now)
        if not offsets:
            return 0.0
        middle = median(offsets)
        return median([abs(offset - middle) for offset in offsets])

    def _offsets(self, now: float) -> list[float]:
        return [each.offset for each in self.machines.values() if now < each.at + FRESH_SECONDS]
