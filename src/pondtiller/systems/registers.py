"""Drives the register parts: replica, proposer and replacement of replicas."""

from pondtiller import wire
from pondtiller.coordination.outbound import Outbound
from pondtiller.coordination.registers.configuration import DOCUMENT_NAME
from pondtiller.coordination.registers.proposer import Change
from pondtiller.coordination.registers.reconfigurer import Candidate
from pondtiller.core import constants
from pondtiller.core.instructions import WriteJournal
from pondtiller.core.world import OutcomeHandler, TimerKind, World
from pondtiller.hashing import owner
from pondtiller.systems import store
from pondtiller.systems.peers import RegisterMessageArrived

FRESH_LIST_SECONDS = 3.0
ABANDONED_SEAL_SECONDS = 15.0


def run(world: World, now: float) -> None:
    """Handle register messages, finished operations and the repair duty."""
    for event in world.batch.of(RegisterMessageArrived):
        _receive(world, event, now)
    changed = world.acceptor.take_changed()
    if changed:
        world.do(WriteJournal(tuple(changed)))
    if world.due_keys(TimerKind.PROPOSER):
        world.proposer.run(now)
    if world.reconfigurer.is_busy():
        revision = world.documents.revision(DOCUMENT_NAME)
        world.reconfigurer.run(now, world.proposer.configuration, revision)
    if world.due_keys(TimerKind.REPAIR) or not world.timer_is_set(TimerKind.REPAIR):
        world.set_timer(TimerKind.REPAIR, now + constants.REPAIR_SECONDS)
        _repair(world, now)
    if world.due_keys(TimerKind.SWEEP) or not world.timer_is_set(TimerKind.SWEEP):
        world.set_timer(TimerKind.SWEEP, now + constants.SWEEP_SECONDS)
        before = now - constants.CLAIM_RETENTION_SECONDS
        world.acceptor.forget(constants.CLAIM_PREFIX, before)
    _hand_out_outcomes(world, now)


def change_register(
    world: World,
    key: str,
    change: Change,
    now: float,
    timeout_seconds: float,
    handler: OutcomeHandler,
) -> int:
    """Start a register operation; `handler` gets its outcome in a later pass."""
    operation = world.proposer.start(key, change, now, timeout_seconds)
    world.outcome_handlers[operation] = handler
    return operation


def _receive(world: World, event: RegisterMessageArrived, now: float) -> None:
    message = event.message
    if isinstance(message, wire.Prepare | wire.Accept | wire.Seal | wire.Install):
        reply = world.acceptor.receive(message, now)
        world.send(Outbound(event.sender, reply))
    elif isinstance(message, wire.Promise | wire.Accepted | wire.Reject):
        world.proposer.receive(event.sender, message, now)
    elif isinstance(message, wire.Sealed | wire.Installed):
        world.reconfigurer.receive(event.sender, message, now)


def _hand_out_outcomes(world: World, now: float) -> None:
    for outcome in world.proposer.take_outcomes():
        handler = world.outcome_handlers.pop(outcome.operation, None)
        if handler is not None:
            handler(world, outcome, now)


def candidates(world: World) -> list[Candidate]:
    """Return the members that can hold replicas."""
    members = world.membership.members
    return [
        Candidate(name, members[name].zone, members[name].storage)
        for name in world.membership.live_names()
        if members[name].storage
    ]


def _repair(world: World, now: float) -> None:
    sealed = world.acceptor.sealed_since(now - ABANDONED_SEAL_SECONDS)
    on_duty = owner("repair", world.membership.live_names()) == world.name
    if not world.store.listed or not (on_duty or sealed):
        return
    if world.documents.revision(DOCUMENT_NAME) == 0:
        world.reconfigurer.bootstrap(candidates(world))
        return
    usable = {candidate.replica() for candidate in candidates(world)}
    shards = world.proposer.configuration.shards
    is_whole = all(replica in usable for shard in shards for replica in shard.replicas)
    if is_whole and not sealed:
        return
    answered_at = world.store.answered_at
    if answered_at is None or now - answered_at > FRESH_LIST_SECONDS:
        # Sealing while the object service is down would stop the shard until it is back.
        store.refresh(world)
        return
    world.reconfigurer.repair(world.proposer.configuration, candidates(world), sealed, now)
