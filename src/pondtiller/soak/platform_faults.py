"""Faults of the platform: its store, its engines and their entries, evacuated zones."""

from pondtiller.platform import names
from pondtiller.process import clock
from pondtiller.soak.fault_targets import Fault, FaultTargets

EVACUATED_SECONDS = (7.0, 14.0)
"""How long a zone stays evacuated, drawn between these: longer than an evacuation needs to be in
force, so that the last seconds are checked."""
ALL_COLD_SHARE = 0.5
"""Of the faults by which engines turn cold, those that strike all engines of a service. Chosen, not
measured: both ways come within a soak of some tens of faults."""


def store_down(targets: FaultTargets) -> Fault:
    """Have the store answer 503 to everything."""
    store = targets.store
    store.is_down = True
    return Fault("store_down", "store", lambda: setattr(store, "is_down", False))


def store_lossy(targets: FaultTargets) -> Fault:
    """Have the store take writes without answering them, and forget its history."""
    store = targets.store
    store.loses_answers = True
    store.forget_history()
    return Fault("store_lossy", "store", lambda: setattr(store, "loses_answers", False))


def silent_store(targets: FaultTargets) -> Fault:
    """Have the store answer nothing on the connections that are open; new ones work."""
    targets.store.silence_open_connections()
    return Fault("silent_store", "store", lambda: None)


def evacuate(targets: FaultTargets) -> Fault:
    """Have a zone evacuated; it stays so through the next faults, and comes back cold."""
    zone = targets.draw_zone()
    engines = targets.engines_of(zone)
    if any(each.rules.evacuated_at is not None for each in engines):
        return Fault("evacuated_before", zone, lambda: None)
    targets.store.put(names.EVACUATIONS, zone, {})
    for engine in engines:
        engine.rules.evacuated_at = clock.monotonic()
    seconds = targets.random.uniform(*EVACUATED_SECONDS)
    targets.evacuated_until[zone] = clock.monotonic() + seconds
    return Fault("evacuate", zone, lambda: None)


def end_evacuations(targets: FaultTargets, now: float) -> list[str]:
    """End the evacuations that have lasted long enough; return their zones."""
    ended = [zone for zone, until in targets.evacuated_until.items() if now >= until]
    for zone in ended:
        del targets.evacuated_until[zone]
        for engine in targets.engines_of(zone):
            engine.rules.evacuated_at = None
            engine.turn_cold()
        targets.store.remove(names.EVACUATIONS, zone)
    return ended


def cold(targets: FaultTargets) -> Fault:
    """Have all engines of a service, or one of them, turn cold."""
    service = targets.random.choice((targets.apps, targets.models))
    is_all = targets.random.random() < ALL_COLD_SHARE
    engines = service if is_all else [targets.random.choice(service)]
    for engine in engines:
        engine.turn_cold()
    return Fault("cold", ",".join(each.identifier for each in engines), lambda: None)


def end_engine(targets: FaultTargets) -> Fault:
    """Have an engine end with all that it runs, and start again under its name."""
    engine = targets.random.choice(targets.engines)
    engine.end()
    return Fault("end_engine", engine.identifier, engine.start_again)


def bad_entries(targets: FaultTargets) -> Fault:
    """Have another writer leave entries, and one engine's own, that cannot be read."""
    engine = targets.random.choice(targets.engines)
    targets.trap.publish()
    targets.store.put(names.ENGINES, engine.identifier, {**engine.entry(), "slots": None})

    def undo() -> None:
        targets.trap.withdraw()
        engine.publish()

    return Fault("odd_entries", engine.identifier, undo)
