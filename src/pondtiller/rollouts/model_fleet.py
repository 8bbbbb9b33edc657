"""The engines of each model as they are during one tick, found in one pass over all engines.

Owns nothing beyond the tick. Relies on the engine directory for which engines may get work. Does
not say which of them load a version (`load_choice.py`).
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from pondtiller.routes.engines import Engine, EngineDirectory, EngineState, usual_pace

SLOW_FACTOR = 2.0
"""An engine this many times slower than the usual one is not counted on. Chosen, not measured:
well beyond the 1.3 by which sound engines of one service differ."""


@dataclass
class ModelFleet:
    """The engines that hold one model and may get work.

    Attributes
    ----------
    engines
        By identifier.
    slow
        Identifiers of those that are much slower than the usual one now.
    models
        All models that these engines hold.
    """

    engines: dict[str, Engine] = field(default_factory=dict)
    slow: frozenset[str] = frozenset()
    models: set[str] = field(default_factory=set)

    @property
    def sound(self) -> int:
        """How many engines may be counted on."""
        return len(self.engines) - len(self.slow)

    @property
    def slots(self) -> float:
        """Requests that one engine takes at a time, in the mean."""
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
