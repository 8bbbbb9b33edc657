"""Trainers' calls that wait for a write or for results, by step.

Holds the waiting calls of one term. The state that they wait for is in the step book.
"""

from collections.abc import Callable

import curio

from pondtiller.process import clock


class StepWaiters:
    """Waiting calls of one term.

    Attributes
    ----------
    is_over
        Whether the term has ended, so that nothing is waited for any more.
    """

    def __init__(self) -> None:
        self.is_over = False
        self._waiters: dict[str, set[curio.Event]] = {}

    async def until(self, step: str, is_true: Callable[[], bool], seconds: float) -> bool:
        """Wait until a condition on a step holds; return whether it does.

        Parameters
        ----------
        seconds
            Longest wait.
        """
        give_up = clock.monotonic() + seconds
        waiter = curio.Event()
        waiters = self._waiters.setdefault(step, set())
        waiters.add(waiter)
        try:
            while not is_true() and not self.is_over:
                left = give_up - clock.monotonic()
                if left <= 0:
                    break
                waiter.clear()
                await curio.ignore_after(left, waiter.wait)
            return is_true()
        finally:
            waiters.discard(waiter)
            if not waiters:
                self._waiters.pop(step, None)

    async def wake(self, step: str) -> None:
        """Have the calls of a step check their condition again."""
        for waiter in list(self._waiters.get(step, ())):
            await waiter.set()

    async def wake_all(self) -> None:
        """Have all calls check their condition again."""
        for waiters in self._waiters.values():
            for waiter in waiters:
                await waiter.set()
