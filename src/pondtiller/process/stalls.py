"""Pauses of this process: suspended, throttled, or busy with one task for long.

Data that arrives during a pause waits in sockets, and timers fire before it is read. A wait that
ends by the clock alone would therefore mistake its own pause for silence of the other side. Holds
the sum of the pauses since the start; it only watches while needed. Not for leases and deadlines,
which are commitments to others and end by the clock.
"""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import curio

from pondtiller.process import clock
from pondtiller.process.spawner import Spawner

CHECK_SECONDS = 0.05
"""Interval of the checks; a pause up to this length is not detected. Equal to the usual time
between two events of a stream, so an event that is late by it counts as one."""
LATE_SECONDS = 0.05
"""Lateness from which on a check counts as a pause. A busy loop is late by some milliseconds, and
0.1 s without an event moved runs (`SLOW_SILENT_GAPS`)."""
SETTLE_SECONDS = 0.2
"""Time after a pause until everything that arrived in it counts as read. With 0.05 s, 4 of 16 runs
of a test failed on a machine with three times its load, since the paused loop was slow to read,
too. Less than the 0.4 s for which two engines may work on a sample."""
MAX_SETTLE_SECONDS = 0.4
"""Upper bound of that wait: on a machine so slow that each check is late, nobody would ever count
as silent. Twice `SETTLE_SECONDS`, the bound on the work of two engines."""

Result = TypeVar("Result")


class StallClock:
    """Adds up pauses from the times of checks; no I/O.

    Attributes
    ----------
    due
        When the next check is due, in monotonic seconds; None while there are no checks.
    """

    def __init__(self) -> None:
        self.due: float | None = None
        self._seconds = 0.0
        self._last_end = float("-inf")

    def note_check(self, now: float) -> None:
        """Record a check; another one will follow."""
        if self._is_late(now):
            self._last_end = now
        self._seconds = self.until(now)
        self.due = now + CHECK_SECONDS

    def ended(self, now: float) -> None:
        """Record that there are no further checks."""
        self._seconds = self.until(now)
        self.due = None

    def until(self, now: float) -> float:
        """Return the total length of pauses until now, in seconds.

        The current pause counts before its late check has run.
        """
        if self.due is None or not self._is_late(now):
            return self._seconds
        return self._seconds + now - self.due

    def settled_at(self, now: float) -> float:
        """Return when data that arrived in the last pause has been read, in seconds."""
        return (now if self._is_late(now) else self._last_end) + SETTLE_SECONDS

    def _is_late(self, now: float) -> bool:
        return self.due is not None and now - self.due >= LATE_SECONDS


class StallWatch:
    """Checks the clock while needed, and measures the running time of this process.

    It is needed within `async with`, or as long as `is_needed` says.

    Parameters
    ----------
    is_needed
        Returns whether to continue the checks even outside of `async with`.
    """

    def __init__(self, is_needed: Callable[[], bool] = lambda: False) -> None:
        self._is_needed = is_needed
        self._users = 0
        self._clock = StallClock()
        self._running = float("-inf")
        self._group = Spawner()

    async def __aenter__(self) -> "StallWatch":
        self._users += 1
        await self.begin()
        return self

    async def __aexit__(self, *_error: object) -> None:
        self._users -= 1

    async def begin(self) -> None:
        """Start the checks, which continue until they are no longer needed."""
        if self._clock.due is None:
            self._clock.note_check(clock.monotonic())
            await self._group.spawn(self._check)

    async def close(self) -> None:
        """Stop the checks, since the process ends."""
        await self._group.__aexit__()

    def stalled_seconds(self) -> float:
        """Return the total length of this process's pauses until now, in seconds."""
        return self._clock.until(clock.monotonic())

    def running_seconds(self) -> float:
        """Return the monotonic time without all pauses, in seconds; it never decreases.

        A pause counts from when it is long enough; without the maximum, data read before that
        moment would get a later time than data read after it.
        """
        now = clock.monotonic()
        self._running = max(self._running, now - self._clock.until(now))
        return self._running

    async def call(
        self, seconds: float, function: Callable[..., Awaitable[Result]], *given: object
    ) -> Result | None:
        """Call a coroutine function; return None if it takes more than so many running seconds.

        An answer that arrived in a pause is read before the wait counts as over.
        """
        async with self:
            return await self._call(seconds, function, *given)

    async def _call(
        self, seconds: float, function: Callable[..., Awaitable[Result]], *given: object
    ) -> Result | None:
        done = curio.Event()
        outcomes: list[Result] = []
        errors: list[Exception] = []

        async def carry_out() -> None:
            try:
                outcomes.append(await function(*given))
            except Exception as error:
                errors.append(error)
            await done.set()

        task = await curio.spawn(carry_out, daemon=True)
        end = self.running_seconds() + seconds
        try:
            while not done.is_set() and (left := end - self.running_seconds()) > 0:
                await curio.ignore_after(left, done.wait)
        finally:
            await task.cancel(blocking=False)
        if errors:
            raise errors[0]
        return outcomes[0] if outcomes else None

    async def read_first(self, most_seconds: float = MAX_SETTLE_SECONDS) -> None:
        """Let waiting data be read if the process was paused until just now.

        A further pause may use up the wait before anything was read; then there is a second one.
        """
        late_seconds = await self._settle(min(most_seconds, MAX_SETTLE_SECONDS))
        if late_seconds >= MAX_SETTLE_SECONDS:
            await self._settle(min(most_seconds, SETTLE_SECONDS))

    async def _settle(self, most_seconds: float) -> float:
        """Wait until data that arrived in the last pause has been read; return the lateness.

        The process may be paused again meanwhile, so the time is read again after each sleep.
        """
        due = end = clock.monotonic() + most_seconds
        while (left := min(self._unsettled_seconds(), end - clock.monotonic())) > 0:
            due = clock.monotonic() + left
            await curio.sleep(left)
        return clock.monotonic() - due

    def _unsettled_seconds(self) -> float:
        now = clock.monotonic()
        return self._clock.settled_at(now) - now

    def cursor(self) -> "StallCursor":
        """Return a reader of the pauses from now on, each counted once."""
        return StallCursor(self)

    async def _check(self) -> None:
        try:
            while self._users or self._is_needed():
                await curio.sleep(CHECK_SECONDS)
                self._clock.note_check(clock.monotonic())
        finally:
            self._clock.ended(clock.monotonic())


class StallCursor:
    """Pauses that one reader has not processed yet."""

    def __init__(self, watch: StallWatch) -> None:
        self._watch = watch
        self._taken = watch.stalled_seconds()

    def take(self) -> float:
        """Return the length of pauses since the last call, in seconds.

        Less than `LATE_SECONDS` is kept for a later call: an ongoing pause grows with each call,
        and a leader would process each bit of it for all its runs at each event.
        """
        seconds = self._watch.stalled_seconds() - self._taken
        if seconds < LATE_SECONDS:
            return 0.0
        self._taken += seconds
        return seconds
