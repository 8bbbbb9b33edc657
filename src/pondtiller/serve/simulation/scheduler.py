"""The virtual clock: runs callbacks at simulated times.

Callbacks that are due together run in the order in which they were set, so a run can be repeated.
"""

from collections.abc import Callable

import simpy


class Scheduler:
    """Callbacks on SimPy's event heap; ties run in the order in which they were set."""

    def __init__(self) -> None:
        self.environment = simpy.Environment()

    @property
    def now(self) -> float:
        """Simulated time in seconds."""
        return float(self.environment.now)

    def after(self, delay: float, action: Callable[[], None]) -> None:
        """Run `action` once `delay` seconds have passed."""
        timeout = self.environment.timeout(max(0.0, delay))
        timeout.callbacks.append(lambda _event: action())

    def run_until(self, end: float) -> None:
        """Run everything that is due before `end`."""
        self.environment.run(until=end)
