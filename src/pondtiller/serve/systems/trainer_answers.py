"""Answers to trainers that several systems give: errors, and redirects to a step's daemon.

Owns no state. Which daemon makes a trainer's steps follows from the live members alone, so all
daemons that see the same members redirect to the same one.
"""

from pondtiller.address import Address
from pondtiller.errors import ErrorKind, Failure
from pondtiller.hashing import owner
from pondtiller.serve.core.instructions import FailTrainer, RedirectTrainer
from pondtiller.serve.core.step_entities import StepKey
from pondtiller.serve.core.world import World


def fail(world: World, call_id: str, kind: ErrorKind, detail: str = "") -> None:
    """Answer a trainer's call with an error."""
    world.do(FailTrainer(call_id, Failure(kind, detail)))


def other_home(world: World, key: StepKey, forwarded: bool) -> Address | None:
    """Return the daemon that should make a step where it is another one."""
    home = owner(f"step/{key.trainer}", world.membership.live_names())
    if forwarded or home is None or home == world.name:
        return None
    member = world.membership.members[home]
    return Address(member.host, member.http_port)


def refuse_unknown(world: World, call_id: str, key: StepKey, forwarded: bool) -> None:
    """Answer a call for a step that is not open here: by a redirect where it is another's."""
    home = other_home(world, key, forwarded)
    if home is not None:
        world.do(RedirectTrainer(call_id, home))
    else:
        fail(world, call_id, ErrorKind.UNKNOWN_STEP)
