"""The load of an engine over the latest moments: reports show it as it was some time ago.

Real engines' reports lag, and daemons must bear it. Lost with the engine.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EngineLoad:
    """Load as a report shows it; it lags."""

    running: int
    urgent: int


class LoadHistory:
    """Loads of an engine, kept for as long as a report may show them.

    Parameters
    ----------
    lag_seconds
        Age of the load that a report shows.
    """

    def __init__(self, lag_seconds: float) -> None:
        self._lag_seconds = lag_seconds
        self._loads: list[tuple[float, EngineLoad]] = []

    def note(self, now: float, load: EngineLoad) -> None:
        """Take the load from now on."""
        self._loads.append((now, load))
        horizon = now - self._lag_seconds
        while len(self._loads) > 1 and self._loads[1][0] <= horizon:
            self._loads.pop(0)

    def at(self, now: float) -> EngineLoad:
        """Return the load that a report made now shows; none where nothing is as old."""
        seen = EngineLoad(0, 0)
        for at, load in self._loads:
            if at <= now - self._lag_seconds:
                seen = load
        return seen

    def clear(self) -> None:
        """Forget all loads."""
        self._loads.clear()
