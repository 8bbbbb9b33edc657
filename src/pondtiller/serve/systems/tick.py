"""Runs the systems over a world until no internal event is left.

The table below says what wakes each system: types of events and kinds of timers. A system
that nothing wakes is not run, so a tick costs what happened in it.
"""

from collections.abc import Callable
from dataclasses import dataclass

from pondtiller.serve.core import events
from pondtiller.serve.core.batch import Batch
from pondtiller.serve.core.timers import TimerKind
from pondtiller.serve.core.world import World
from pondtiller.serve.systems import (
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
    slots,
    status,
    steps,
    steward,
    store,
)

MAXIMUM_PASSES = 100
"""Passes over the systems within one tick. Chosen: more is a loop of systems that wake each other,
a fault that must not stop the daemon."""


@dataclass(frozen=True, slots=True)
class System:
    """One system with what wakes it.

    Attributes
    ----------
    wakers
        Types of events and kinds of timers that the system reads.
    """

    run: Callable[[World, float], None]
    wakers: tuple[type | TimerKind, ...]


def _system(run: Callable[[World, float], None], *wakers: type | TimerKind) -> System:
    return System(run, wakers)


SYSTEMS: tuple[System, ...] = (
    _system(
        store.run,
        events.StoreListed,
        events.StoreWatched,
        events.StoreFailed,
        events.StoreWriteEnded,
        events.DocumentsAdopted,
        TimerKind.STORE,
        TimerKind.STORE_WRITE,
    ),
    _system(
        registers.run,
        events.RegisterMessageArrived,
        TimerKind.PROPOSER,
        TimerKind.RECONFIGURER,
        TimerKind.REPAIR,
        TimerKind.SWEEP,
    ),
    _system(readiness.run, TimerKind.READINESS),
    _system(fleet.run, events.EngineReported, events.EnginePollFailed, TimerKind.POLL_ENGINE),
    _system(limits.run, events.ShareMessageArrived, TimerKind.SHARE_DEMAND, TimerKind.SHARE_ROUND),
    _system(slots.run, events.RequestFinished, events.ScoreArrived, TimerKind.SCORE),
    _system(
        steps.run,
        events.VersionPublished,
        events.StepOpened,
        events.SamplesAcknowledged,
        events.SamplesRead,
        events.SampleCommitted,
        events.TrainerLeft,
        TimerKind.SAMPLE_POLL,
        TimerKind.IDLE_STEP,
    ),
    _system(
        admission.run,
        events.RequestArrived,
        events.RolloutStarted,
        events.ShareObtained,
        TimerKind.ADMISSION,
    ),
    _system(claims.run, events.ClaimNeeded, TimerKind.FOLLOW_CLAIM),
    _system(attempts.run, events.ChunkArrived, events.AttemptFailed, TimerKind.ATTEMPT_SILENCE),
    _system(requests.run, events.CallerLeft, TimerKind.REQUEST_DEADLINE),
    _system(dispatch.run, events.RequestQueued, TimerKind.DISPATCH),
    _system(steward.run, events.OrderAnswered, TimerKind.STEWARD, TimerKind.ORDER_TIMEOUT),
    _system(status.run, events.StatusMessageArrived, TimerKind.STATUS),
    _system(drain.run, events.DrainRequested, TimerKind.DRAIN),
)

WOKEN_BY: dict[type | TimerKind, tuple[int, ...]] = {
    waker: tuple(number for number, each in enumerate(SYSTEMS) if waker in each.wakers)
    for system in SYSTEMS
    for waker in system.wakers
}

FIRST_TIMERS = (
    TimerKind.MEMBERSHIP,
    TimerKind.STORE,
    TimerKind.REPAIR,
    TimerKind.SWEEP,
    TimerKind.READINESS,
    TimerKind.STEWARD,
    TimerKind.STATUS,
)


def tick(world: World, now: float) -> None:
    """Handle all events in the inbox and all timers due at `now`.

    A driver calls this when input has arrived or `next_wakeup` has come.
    """
    if world.started_at is None:
        world.started_at = now
        for kind in FIRST_TIMERS:
            world.set_timer(kind, now)
    _collect_due(world, now)
    for _ in range(MAXIMUM_PASSES):
        world.batch = Batch(world.inbox)
        world.inbox = []
        peers.receive(world, now)
        for number in _woken(world):
            SYSTEMS[number].run(world, now)
        peers.send(world, now)
        world.due = {}
        if not world.inbox:
            return
    raise RuntimeError("systems keep causing events without an end")


def next_wakeup(world: World) -> float | None:
    """Return when `tick` must be called next even where nothing arrives."""
    return world.timers.next_due()


def _woken(world: World) -> list[int]:
    """Return the numbers of the systems that this pass wakes, in their order."""
    numbers: set[int] = set()
    wakers: list[type | TimerKind] = [*world.batch.types, *world.due]
    for waker in wakers:
        numbers.update(WOKEN_BY.get(waker, ()))
    return sorted(numbers)


def _collect_due(world: World, now: float) -> None:
    world.due = {}
    for timer in world.timers.take_due(now):
        world.due.setdefault(timer.kind, []).append(timer.key)
