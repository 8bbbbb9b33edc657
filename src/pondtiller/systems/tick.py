"""Runs all systems over a world until no internal event is left."""

from collections.abc import Callable

from pondtiller.core.world import Batch, World
from pondtiller.systems import (
    admission,
    attempts,
    claims,
    dispatch,
    drain,
    fleet,
    limits,
    peers,
    readiness,
    registers,
    requests,
    status,
    steps,
    steward,
    store,
)

System = Callable[[World, float], None]

SYSTEMS: tuple[System, ...] = (
    peers.receive,
    store.run,
    registers.run,
    readiness.run,
    fleet.run,
    limits.run,
    steps.run,
    admission.run,
    claims.run,
    attempts.run,
    requests.run,
    dispatch.run,
    steward.run,
    status.run,
    drain.run,
    peers.send,
)

MAXIMUM_PASSES = 100


def tick(world: World, now: float) -> None:
    """Handle all events in the inbox and all timers due at `now`.

    A driver calls this when input has arrived or `next_wakeup` has come.
    """
    _collect_due(world, now)
    for _ in range(MAXIMUM_PASSES):
        world.batch = Batch(world.inbox)
        world.inbox = []
        for system in SYSTEMS:
            system(world, now)
        world.due = {}
        if not world.inbox:
            return
    raise RuntimeError("systems keep causing events without an end")


def next_wakeup(world: World) -> float | None:
    """Return when `tick` must be called next even where nothing arrives."""
    return world.timers.next_due()


def _collect_due(world: World, now: float) -> None:
    world.due = {}
    for timer in world.timers.take_due(now):
        world.due.setdefault(timer.kind, []).append(timer.key)
