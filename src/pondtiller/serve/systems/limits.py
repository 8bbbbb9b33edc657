"""Limits of rows: asks for shares for this daemon, and divides the limits that it allocates.

Owns `World.shares`, `World.allocators` and the requests that wait for a share. A limit holds
everywhere together, since the division of a row is one register; where that register cannot be
written, held shares run out with their leases and nothing new starts.
"""

from pondtiller import wire
from pondtiller.coordination.outbound import Outbound
from pondtiller.coordination.registers.proposer import OutcomeStatus, RegisterOutcome
from pondtiller.coordination.shares import (
    LEASE_SECONDS,
    ROUND_SECONDS,
    Allocator,
    HeldShare,
    HolderKey,
    pace,
)
from pondtiller.hashing import owner
from pondtiller.serve.core import constants
from pondtiller.serve.core.entities import RequestState
from pondtiller.serve.core.events import ShareMessageArrived, ShareObtained
from pondtiller.serve.core.timers import TimerKind
from pondtiller.serve.core.world import World
from pondtiller.serve.systems.registers import change_register, is_available

IDLE_HEADROOM = 1
"""Places asked for beyond what is used and waits, so that a first request finds one. Chosen, not
measured."""
FIRST_ROUND_SECONDS = 0.005
"""How long an allocator collects further demands before it divides. Chosen, not measured: below one
round trip between zones."""
ASK_AGAIN_SECONDS = 0.1
"""Age at which an unanswered demand is sent again; above 40 members it grows in proportion. Chosen,
not measured."""
PAUSE_SECONDS = 0.25
"""Shortest pause between two divisions of a row, above 40 members in proportion longer: 340 holders
that ask each second would cost 15% of a core a row, with the stretched pace it is 1.9%."""


def run(world: World, now: float) -> None:
    """Handle demands and grants, renew shares and divide limits."""
    for event in world.batch.of(ShareMessageArrived):
        if isinstance(event.message, wire.ShareDemand):
            _receive_demand(world, event, event.message, now)
        elif isinstance(event.message, wire.ShareGrant):
            _receive_grant(world, event.message, now)
    for row in world.due_keys(TimerKind.SHARE_DEMAND):
        _renew(world, row, now)
    for row in world.due_keys(TimerKind.SHARE_ROUND):
        _divide(world, row, now)


def limit_of(world: World, row: str) -> int | None:
    """Return the limit of a row in the table in force, None where it has none."""
    entry = world.rows.get(row)
    return entry.limit if entry is not None else None


def may_start(world: World, row: str, now: float) -> bool:
    """Return whether one more request of a row fits the share held now."""
    limit = limit_of(world, row)
    if limit is None:
        return True
    if not world.mechanisms.share_leases:
        return world.row_counts(row).in_flight < limit
    share = world.shares.get(row)
    usable = share.usable(now) if share is not None else 0
    return world.row_counts(row).in_flight < min(usable, limit)


def demand(world: World, row: str, now: float) -> None:
    """Ask the row's allocator for enough for what runs and what waits."""
    allocator = owner(f"limit/{row}", world.membership.live_names())
    if allocator is None:
        return
    share = world.shares.setdefault(row, HeldShare())
    in_use = world.row_counts(row).in_flight
    waiting = len(world.waiting_for_share.get(row, ()))
    stretch = pace(len(world.membership.live_names()))
    lease = LEASE_SECONDS * stretch
    message = share.ask(row, in_use + waiting + IDLE_HEADROOM, in_use, now, lease)
    world.send(Outbound(allocator, message))
    world.set_timer(TimerKind.SHARE_DEMAND, now + ROUND_SECONDS * stretch, row)


def _renew(world: World, row: str, now: float) -> None:
    is_used = world.row_counts(row).in_flight or world.waiting_for_share.get(row)
    if limit_of(world, row) is not None and is_used:
        demand(world, row, now)


def wait(world: World, row: str, request_id: str, now: float) -> None:
    """Let a request wait for a share of `row`, and ask for one."""
    world.waiting_for_share.setdefault(row, []).append(request_id)
    share = world.shares.get(row)
    patience = ASK_AGAIN_SECONDS * pace(len(world.membership.live_names()))
    if share is None or now - share.asked_at > patience:
        demand(world, row, now)


def keep_demanding(world: World, row: str, now: float) -> None:
    """Renew the share of a row in use, where it has a limit."""
    is_set = world.timer_is_set(TimerKind.SHARE_DEMAND, row)
    if limit_of(world, row) is not None and not is_set:
        demand(world, row, now)


def pass_on(world: World, row: str, now: float) -> None:
    """Give the place of a request that ended to one that waits."""
    waiting = world.waiting_for_share.get(row)
    while waiting and may_start(world, row, now):
        request = world.requests.get(waiting.pop(0))
        if request is not None and request.state is RequestState.ADMISSION:
            world.row_counts(row).in_flight += 1
            world.emit(ShareObtained(request.spec.request_id, row))


def _receive_grant(world: World, grant: wire.ShareGrant, now: float) -> None:
    share = world.shares.get(grant.row)
    if share is not None and share.receive(grant):
        pass_on(world, grant.row, now)


def _receive_demand(
    world: World, event: ShareMessageArrived, message: wire.ShareDemand, now: float
) -> None:
    if limit_of(world, message.row) is None:
        return
    entry = world.rows[message.row]
    reserve = entry.deadline_seconds or constants.DEFAULT_LIVE_DEADLINE_SECONDS
    writer = f"{world.name}:{world.incarnation}"
    allocator = world.allocators.setdefault(message.row, Allocator(message.row, writer, reserve))
    allocator.receive(HolderKey(event.sender, event.incarnation), message, now)
    if not world.timer_is_set(TimerKind.SHARE_ROUND, message.row) and allocator.planned is None:
        _schedule_division(world, allocator, now)


def _schedule_division(world: World, allocator: Allocator, now: float) -> None:
    """Divide soon, but not more often than the pause allows: each time is a register change."""
    pause = PAUSE_SECONDS * pace(len(world.membership.live_names()))
    due = max(now + FIRST_ROUND_SECONDS, allocator.divided_at + pause)
    world.set_timer(TimerKind.SHARE_ROUND, due, allocator.row)


def _divide(world: World, row: str, now: float) -> None:
    allocator = world.allocators.get(row)
    limit = limit_of(world, row)
    if allocator is None or limit is None or allocator.planned is not None:
        return
    if not is_available(world, constants.SHARE_PREFIX + row):
        allocator.abandon()
        world.set_timer(TimerKind.SHARE_ROUND, now + ROUND_SECONDS, row)
        return
    allocator.plan(limit, now)
    allocator.divided_at = now
    change_register(
        world,
        constants.SHARE_PREFIX + row,
        allocator.change,
        now,
        constants.SHARE_TIMEOUT_SECONDS,
        _note_division,
    )


def _note_division(world: World, outcome: RegisterOutcome, now: float) -> None:
    row = outcome.key.removeprefix(constants.SHARE_PREFIX)
    allocator = world.allocators[row]
    if outcome.status is OutcomeStatus.UNAVAILABLE:
        allocator.abandon()
        world.set_timer(TimerKind.SHARE_ROUND, now + ROUND_SECONDS, row)
        return
    for grant in allocator.settle(outcome.value, now):
        world.send(Outbound(grant.holder.member, grant.message))
    if allocator.has_unanswered():
        _schedule_division(world, allocator, now)
