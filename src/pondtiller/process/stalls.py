"""How long this process stood still: suspended, throttled, or busy with one thing for long.

What a process did not read meanwhile waits in its sockets, and its timers fire before it is read.
So a wait that ends by the clock alone takes its own standstill for the silence of somebody else.
Owns the sum of the standstills since the start; it looks only while somebody needs it. Not for
leases and deadlines: these are promises to others, and end by the clock.
"""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import curio

from pondtiller.process import clock
from pondtiller.process.spawner import Spawner

CHECK_SECONDS = 0.05
"""Between two looks, in seconds: of a standstill up to so much is not seen. Chosen, not measured:
the usual time between two events of a stream, so an event that came late by it counts as one."""
LATE_SECONDS = 0.05
"""From here on a look that comes late counts as a standstill. Chosen, not measured: a loop at work
is late by some milliseconds, and 0.1 s without an event moved runs (`SLOW_SILENT_GAPS`)."""
SETTLE_SECONDS = 0.2
"""From a standstill's end until what came in it counts as read, in seconds. With 0.05 s, 4 of 16
runs of a test failed on a machine at three times its load: the loop that had stood still was slow
to read, too. Less than the 0.4 s for which two engines may work on a sample."""
MAX_SETTLE_SECONDS = 0.4
"""Longest wait for that, in seconds: on a machine so slow that each look is late nobody would ever
be called silent. Chosen, not measured: twice `SETTLE_SECONDS`, the bound on two engines' work."""

Result = TypeVar("Result")


class StallClock:
    """Adds up standstills from the times of looks; no I/O.

    Attributes
    ----------
    due
        When the next look is to come, in seconds of the steady clock; None while nobody looks.
    """

    def __init__(self) -> None:
        self.due: float | None = None
        self._seconds = 0.0
        self._last_end = float("-inf")

    def looked(self, now: float) -> None:
        """Take that the process runs now, and will look again."""
        if self._is_late(now):
            self._last_end = now
        self._seconds = self.until(now)
        self.due = now + CHECK_SECONDS

    def ended(self, now: float) -> None:
        """Take that nobody looks any more."""
        self._seconds = self.until(now)
        self.due = None

    def until(self, now: float) -> float:
        """Return for how many seconds the process has stood still until now.

        The present standstill counts before the look that is late has come.
        """
        if self.due is None or not self._is_late(now):
            return self._seconds
        return self._seconds + now - self.due

    def settled_at(self, now: float) -> float:
        """Return when what came in the last standstill has been read, in seconds."""
        return (now if self._is_late(now) else self._last_end) + SETTLE_SECONDS

    def _is_late(self, now: float) -> bool:
        return self.due is not None and now - self.due >= LATE_SECONDS


class StallWatch:
    """Looks at the clock while it is needed, and says how long this process has run.

    It is needed within `async with`, or as long as `is_needed` says.

    Parameters
    ----------
    is_needed
        Returns whether to go on looking, besides.
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
        """Look from now on, until it is not needed any more."""
        if self._clock.due is None:
            self._clock.looked(clock.monotonic())
            await self._group.spawn(self._look)

    async def close(self) -> None:
        """Stop looking, since the process ends."""
        await self._group.__aexit__()

    def stalled_seconds(self) -> float:
        """Return for how long this process has stood still until now, in seconds."""
        return self._clock.until(clock.monotonic())

    def running_seconds(self) -> float:
        """Return the steady clock less all pauses, in seconds; it never goes back.

        A pause counts from when it is long enough: what was read before that moment would be timed
        later than what is read after it.
        """
        now = clock.monotonic()
        self._running = max(self._running, now - self._clock.until(now))
        return self._running

    async def call(
        self, seconds: float, function: Callable[..., Awaitable[Result]], *given: object
    ) -> Result | None:
        """Call a coroutine function; None where it takes longer than so many running seconds.

        An answer that came in a pause is read before the wait counts as over.
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
        """Let what waits in sockets be read where the process stood still until just now.

        A pause in the wait may use it up before anything was read; then there is a second one.
        """
        late_seconds = await self._settle(min(most_seconds, MAX_SETTLE_SECONDS))
        if late_seconds >= MAX_SETTLE_SECONDS:
            await self._settle(min(most_seconds, SETTLE_SECONDS))

    async def _settle(self, most_seconds: float) -> float:
        """Wait until what came in the last pause has been read; return how late the end came.

        The process may be paused again meanwhile, so the time is looked at anew after each sleep.
        """
        due = end = clock.monotonic() + most_seconds
        while (left := min(self._unsettled_seconds(), end - clock.monotonic())) > 0:
            due = clock.monotonic() + left
            await curio.sleep(left)
        return clock.monotonic() - due

    def _unsettled_seconds(self) -> float:
        now = clock.monotonic()
        return self._clock.settled_at(now) - now

    def untaken(self) -> "UntakenStalls":
        """Return what gives the standstills from now on, each once."""
        return UntakenStalls(self)

    async def _look(self) -> None:
        try:
            while self._users or self._is_needed():
                await curio.sleep(CHECK_SECONDS)
                self._clock.looked(clock.monotonic())
        finally:
            self._clock.ended(clock.monotonic())


class UntakenStalls:
    """The standstills that one reader has not taken yet."""

    def __init__(self, watch: StallWatch) -> None:
        self._watch = watch
        self._taken = watch.stalled_seconds()

    def take(self) -> float:
        """Return for how long the process stood still since the last call, in seconds.

        Less than `LATE_SECONDS` is kept for a later call: a standstill that is not over grows with
        each call, and a leader would count each bit of it for all its runs at each event.
        """
        seconds = self._watch.stalled_seconds() - self._taken
        if seconds < LATE_SECONDS:
            return 0.0
        self._taken += seconds
        return seconds
