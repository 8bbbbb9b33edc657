"""Wall-clock time on which most machines agree, kept by one machine's monotonic clock. No I/O.

Machines' wall clocks differ slightly, and some jump by seconds. The offset between a monotonic
clock and the true wall-clock time does not change, so it need only be determined once: the median
over the machines is right while fewer than half of them are wrong.
"""

import math
from statistics import median
from typing import NamedTuple

MIN_MACHINES = 3
"""With fewer machines a known time is not overruled, since most of them may have jumped."""
SETTLE_SECONDS = 2.0
"""Time after the first machine's report until nearly all have reported: daemons contact a new
leader within a second. Of the first few, most may be among those whose clocks have jumped."""
FRESH_SECONDS = 30.0
"""Age at which a machine's report expires: its clock may have jumped, or it may be gone."""
MEDIAN_SECONDS = 0.2
"""How long a median is reused. A leader needs the time for each report of each daemon, twice a
second each, and would go through all machines each time. Monotonic clocks drift by some ten
microseconds in that time, and links delay reports by milliseconds."""
JUMP_SECONDS = 0.25
"""A received time that differs by more is a jump; links delay a message by far less."""
JUMPS_TO_FOLLOW = 3
"""Consecutive answers that agree on a jump before it is accepted: the earlier time was wrong
then."""


class MachineClock(NamedTuple):
    """Offset of a machine's wall clock from the own monotonic clock, and when it was determined."""

    offset: float
    at: float


class AgreedClock:
    """The agreed wall-clock time as known to one daemon."""

    def __init__(self) -> None:
        self.machines: dict[str, MachineClock] = {}
        self._first_at: float | None = None
        self._learned: float | None = None
        self._median_until = -math.inf
        self._jumps = 0

    def note_report(self, machine: str, wall: float, now: float) -> None:
        """Record a machine's wall-clock time from a message.

        Parameters
        ----------
        wall
            Seconds since 1970 on that machine's clock.
        now
            Seconds on the own monotonic clock.
        """
        if self._first_at is None:
            self._first_at = now
        self.machines[machine] = MachineClock(wall - now, now)

    def note_agreed_time(self, agreed: float, now: float) -> None:
        """Accept the agreed time from another process; a jump only when it is confirmed."""
        offset = agreed - now
        is_jump = self._learned is not None and abs(offset - self._learned) > JUMP_SECONDS
        self._jumps = self._jumps + 1 if is_jump else 0
        if not is_jump or self._jumps >= JUMPS_TO_FOLLOW:
            self._learned, self._jumps = offset, 0

    def forget_machines(self) -> None:
        """Discard the machines' reports; the agreed time stays in force until new ones settle."""
        self.machines.clear()
        self._first_at = None
        self._median_until = -math.inf

    def now(self, now: float) -> float | None:
        """Return the agreed time in seconds since 1970; None if unknown."""
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
        """Return the median deviation of the machines from the agreed time."""
        offsets = self._offsets(now)
        if not offsets:
            return 0.0
        middle = median(offsets)
        return median([abs(offset - middle) for offset in offsets])

    def _offsets(self, now: float) -> list[float]:
        return [each.offset for each in self.machines.values() if now < each.at + FRESH_SECONDS]
