"""The only module that reads the machine's clocks.

`monotonic` is the base of every deadline, lease and age; `wall` is only for times that must outlive
a process or be read by people. Pure packages are given the time instead.
"""

import time
from datetime import UTC, datetime


def monotonic() -> float:
    """Return seconds that never decrease; the base of every deadline, lease and age.

    The clock continues while the machine is suspended. With `CLOCK_MONOTONIC`, a leader suspended
    beyond its lease would wake with the rest of it and order engines at the same time as its
    successor.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_seconds() -> int:
    """Return seconds since 1970, for people and for answers to callers only."""
    return int(time.time())


def wall() -> float:
    """Return seconds since 1970 with fractions, for times that must outlive a process."""
    return time.time()


def new_incarnation() -> int:
    """Return a number that is higher at each start of a process."""
    return time.time_ns() // 1_000_000


def format_wall(seconds: float) -> str:
    """Return seconds since 1970 as a date and time for people."""
    return datetime.fromtimestamp(seconds, UTC).strftime("%Y-%m-%dT%H:%M:%SZ")
