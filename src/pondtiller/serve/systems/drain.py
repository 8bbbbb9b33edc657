"""Planned stop: announce it, take nothing new, finish what is in progress, then end.

Also waits, for a bounded time, until the member's registers have other replicas. Owns
`World.draining` and `World.drained`. New requests are refused by `admission`.
"""

from pondtiller.serve.core.events import DrainRequested
from pondtiller.serve.core.instructions import Drained
from pondtiller.serve.core.timers import TimerKind
from pondtiller.serve.core.world import World
from pondtiller.serve.systems.replica_repair import candidates

CHECK_SECONDS = 0.2
"""How often a draining daemon looks whether its work has ended. Chosen, not measured."""
ANNOUNCE_SECONDS = 1.0
"""Pause before work is handed over, in which other members learn that this one leaves. Chosen: one
probe of membership."""
HAND_OVER_SECONDS = 20.0
"""Longest wait for the replicas of its registers to be replaced; then the daemon ends, and they are
replaced as after a loss. Chosen, not measured."""


def run(world: World, now: float) -> None:
    """Begin a stop that was asked for, and report when nothing is in progress."""
    if world.batch.of(DrainRequested) and not world.draining:
        world.draining = True
        world.drain_started_at = now
        world.stewarded.clear()
        world.membership.leave()
        world.log("draining", requests=len(world.requests), steps=len(world.steps))
        world.set_timer(TimerKind.DRAIN, now + ANNOUNCE_SECONDS)
    if world.due_keys(TimerKind.DRAIN) and not world.drained:
        world.set_timer(TimerKind.DRAIN, now + CHECK_SECONDS)
        if _is_done(world, now):
            world.drained = True
            world.clear_timer(TimerKind.DRAIN)
            world.log("drained")
            world.do(Drained())


def _is_done(world: World, now: float) -> bool:
    if not world.mechanisms.drain:
        return True
    if world.requests or world.steps or world.outcome_handlers:
        return False
    waited = now - world.drain_started_at
    return not _can_hand_over(world) or waited > HAND_OVER_SECONDS


def _can_hand_over(world: World) -> bool:
    """Return whether a register configuration counts on this member and need not."""
    shards = world.proposer.configuration.shards
    holds = any(world.name in shard.names() for shard in shards)
    return holds and len(candidates(world)) >= world.settings.replica_count
