"""Decides when a daemon may serve: not before it knows the newest table.

Owns `World.ready`, which stays once it is set: a daemon that loses the object service or its peers
later goes on with the table that it has.
"""

from pondtiller.serve.core import constants
from pondtiller.serve.core.timers import TimerKind
from pondtiller.serve.core.world import World
from pondtiller.table.sheet import DOCUMENT_NAME

CHECK_SECONDS = 0.2
"""How often a daemon that starts looks whether it may serve. Chosen, not measured."""


def run(world: World, now: float) -> None:
    """Become ready once the newest table of the peers or the object service is in force."""
    if world.ready:
        return
    world.set_timer(TimerKind.READINESS, now + CHECK_SECONDS)
    if _knows_newest(world, now):
        world.ready = True
        world.clear_timer(TimerKind.READINESS)
        world.log("ready", table_revision=world.documents.revision(DOCUMENT_NAME))


def _knows_newest(world: World, now: float) -> bool:
    revision = world.documents.revision(DOCUMENT_NAME)
    if revision == 0 or revision < world.documents.highest_known(DOCUMENT_NAME):
        return False
    neighbours = [name for name in world.membership.live_names_in(world.zone) if name != world.name]
    heard = sum(1 for name in neighbours if name in world.heard_peers)
    if neighbours and heard > len(neighbours) // 2:
        return True
    return world.store.listed and _met_peers(world, now)


def _met_peers(world: World, now: float) -> bool:
    """Return whether peers, if there are any, had the chance to name a newer revision.

    The object service may answer with an old read, so a list alone is not enough while
    peers are still to be heard.
    """
    if world.heard_peers or len(world.membership.members) == 1:
        return True
    started_at = world.started_at if world.started_at is not None else now
    return now - started_at >= constants.FIRST_CONTACT_SECONDS
