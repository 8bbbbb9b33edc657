"""Engines of each model during one tick, found in one pass over all engines.

Relies on the engine directory for which engines may get work. Does not decide which of them load a
version (`load_choice.py`).
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from pondtiller.routes.engines import Engine, EngineDirectory, EngineState, usual_pace

SLOW_FACTOR = 2.0
"""An engine this many times slower than usual does not count as available; sound engines of one
service differ by up to 1.3."""


@dataclass
class ModelFleet:
    """Engines that serve one model and may get work.

    Attributes
    ----------
    engines
        Engines by identifier.
    slow
        Identifiers of those that are much slower than usual now.
    models
        All models that these engines serve.
    """

    engines: dict[str, Engine] = field(default_factory=dict)
    slow: frozenset[str] = frozenset()
    models: set[str] = field(default_factory=set)

    @property
    def sound(self) -> int:
        """Number of engines that are not slow."""
        return len(self.engines) - len(self.slow)

    @property
    def slots(self) -> float:
        """Mean number of slots of an engine."""
        total = sum(engine.entry.slots for engine in self.engines.values())
        return total / len(self.engines) if self.engines else 1.0


def fleets_of(directory: EngineDirectory) -> dict[str, ModelFleet]:
    """Return the engines that may get work, by model."""
    fleets: dict[str, ModelFleet] = {}
    for identifier, engine in directory.engines.items():
        entry = engine.entry
        if engine.gone_at is not None or entry.state is not EngineState.READY:
            continue
        if directory.is_evacuated(engine) or not directory.has_service_row(engine):
            continue
        for model in entry.models:
            fleet = fleets.setdefault(model, ModelFleet())
            fleet.engines[identifier] = engine
            fleet.models.update(entry.models)
    for fleet in fleets.values():
        fleet.slow = _slow(fleet.engines.values())
    return fleets


def _slow(engines: Iterable[Engine]) -> frozenset[str]:
    known = [engine for engine in engines if engine.event_seconds]
    usual = usual_pace(known)
    return frozenset(
        engine.identifier
        for engine in known
        if usual and engine.event_seconds > SLOW_FACTOR * usual
    )
