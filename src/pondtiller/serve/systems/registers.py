"""Drives the register parts: replica, proposer and replacement of replicas."""

from result import Err, Ok

from pondtiller import wire
from pondtiller.coordination.documents import Document
from pondtiller.coordination.member import MemberStatus
from pondtiller.coordination.outbound import Outbound
from pondtiller.coordination.registers.configuration import (
    CONTROL_SHARD,
    STORED_OBJECT,
    SUCCESSOR_KEY,
    ReplicaConfiguration,
    ShardConfiguration,
    parse_shard,
)
from pondtiller.coordination.registers.proposer import Change, OutcomeStatus, RegisterOutcome
from pondtiller.coordination.registers.reconfigurer import Candidate, SuccessorProposal
from pondtiller.hashing import owner
from pondtiller.serve.core import constants
from pondtiller.serve.core.events import RegisterMessageArrived
from pondtiller.serve.core.instructions import WriteJournal, WriteStore
from pondtiller.serve.core.timers import TimerKind
from pondtiller.serve.core.world import OutcomeHandler, World

ABANDONED_SEAL_SECONDS = 3.0
"""A shard that stays sealed for so long was left by who sealed it, and another one finishes.
Chosen, not measured: above the time of a replacement, so that two do not race."""
SUCCESSOR_TIMEOUT_SECONDS = 5.0
"""Of the agreement on a successor configuration. Chosen, not measured."""


def run(world: World, now: float) -> None:
    """Handle register messages, finished operations and the repair duty."""
    for event in world.batch.of(RegisterMessageArrived):
        _receive(world, event, now)
    changed = world.acceptor.take_changed()
    if changed:
        world.do(WriteJournal(tuple(changed)))
    if world.due_keys(TimerKind.PROPOSER):
        world.proposer.run(now)
    if world.due_keys(TimerKind.RECONFIGURER):
        world.reconfigurer.run(now)
    for proposal in world.reconfigurer.take_proposals():
        _agree(world, proposal, now)
    if world.due_keys(TimerKind.REPAIR):
        world.set_timer(TimerKind.REPAIR, now + constants.REPAIR_SECONDS)
        _repair(world, now)
    if world.due_keys(TimerKind.SWEEP):
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


def is_available(world: World, key: str) -> bool:
    """Return whether, in this daemon's view, a majority of a key's replicas can answer."""
    shard = world.proposer.configuration.shard_of(key)
    if shard is None:
        return False
    members = world.membership.members
    able = [
        replica
        for replica in shard.replicas
        if replica.name in members
        and members[replica.name].storage == replica.storage
        and members[replica.name].status is not MemberStatus.DEAD
    ]
    return len(able) >= shard.majority()


def adopt_shard(world: World, document: Document, now: float) -> None:
    """Put a shard's newest configuration in force."""
    match parse_shard(document.body):
        case Ok(shard):
            configuration = world.proposer.configuration.with_shard(shard)
            world.acceptor.adopt_configuration(configuration)
            world.proposer.adopt_configuration(configuration, now)
            world.reconfigurer.note_configuration(configuration)
            world.log("replicas_in_force", shard=shard.shard, epoch=shard.epoch)
        case Err(problem):
            world.log("document_invalid", document=document.name, problem=problem)


def spread_configuration(world: World, configuration: ReplicaConfiguration, now: float) -> None:
    """Offer each shard's configuration to this daemon's documents, which keep the newest."""
    for shard in configuration.shards:
        body = shard.model_dump_json().encode()
        world.documents.adopt(shard.document_name, shard.epoch, body, now)


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


def _agree(world: World, proposal: SuccessorProposal, now: float) -> None:
    """Let the old replicas decide their successor; an earlier decision stands."""
    wanted = proposal.new.model_dump_json().encode()

    def change(current: bytes) -> bytes:
        return current or wanted

    def settle(world: World, outcome: RegisterOutcome, now: float) -> None:
        if outcome.status is not OutcomeStatus.COMMITTED:
            return
        match parse_shard(outcome.value):
            case Ok(decided):
                spread_configuration(world, ReplicaConfiguration(shards=(decided,)), now)
            case Err(problem):
                world.log("document_invalid", document=SUCCESSOR_KEY, problem=problem)

    operation = world.proposer.start(
        SUCCESSOR_KEY, change, now, SUCCESSOR_TIMEOUT_SECONDS, fixed=proposal.old
    )
    world.outcome_handlers[operation] = settle


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
    if not (on_duty or sealed):
        return
    configuration = world.proposer.configuration
    lost = {shard.shard for shard in configuration.shards if _has_lost_majority(world, shard)}
    if configuration.shards:
        world.reconfigurer.repair(configuration, candidates(world), sealed, lost, now)
    if on_duty and world.store.listed:
        _keep_stored(world, now)


def _keep_stored(world: World, now: float) -> None:
    """Write the first configuration, copies of newer ones, and resets of lost shards."""
    stored = world.stored_replicas
    wanted = stored.configuration
    for shard in world.proposer.configuration.shards:
        wanted = wanted.with_shard(shard)
    if not wanted.shards:
        wanted = world.reconfigurer.first_configuration(candidates(world)) or wanted
    for shard in wanted.shards:
        reset = _reset_if_lost(world, shard, now)
        if reset is not None:
            wanted = wanted.with_shard(reset)
    if wanted == stored.configuration or world.pending_configuration is not None:
        return
    body = wanted.model_dump_json().encode()
    world.pending_configuration = WriteStore(STORED_OBJECT, stored.revision, body)
    world.do(world.pending_configuration)


def _has_lost_majority(world: World, shard: ShardConfiguration) -> bool:
    """Return whether a majority of a shard's replicas provably lost their memory.

    Proof is a member that is known with another storage: it restarted with empty memory.
    A member that is merely silent may still vote on the far side of a cut.
    """
    members = world.membership.members
    lost = [
        replica
        for replica in shard.replicas
        if replica.name in members and members[replica.name].storage > replica.storage
    ]
    return len(shard.replicas) - len(lost) < shard.majority()


def _reset_if_lost(
    world: World, shard: ShardConfiguration, now: float
) -> ShardConfiguration | None:
    """Return an empty successor for a shard that lost its majority long enough ago.

    Until then nothing is read or written in it, so nothing that it held is contradicted.
    """
    if not _has_lost_majority(world, shard):
        world.shard_lost_since.pop(shard.shard, None)
        return None
    since = world.shard_lost_since.setdefault(shard.shard, now)
    wait = constants.CLAIM_RETENTION_SECONDS
    if shard.shard == CONTROL_SHARD and shard.shard_count > 1:
        wait = constants.CONTROL_RESET_SECONDS
    if now - since < wait:
        return None
    world.log("shard_reset", shard=shard.shard, epoch=shard.epoch)
    return world.reconfigurer.reset_shard(shard, candidates(world))
