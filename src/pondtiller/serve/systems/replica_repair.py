"""Replaces replicas of register shards that were lost, and keeps the stored configuration.

One member, chosen by the hash of the live ones, looks for shards to repair; a member that finds a
replacement left half done finishes it. Owns `World.shard_lost_since`. What the store holds, and
whether a write to it is in progress, comes from `store`.

A shard that lost its majority gets an empty successor only after a wait, since what it held must
have expired by then.
"""

from result import Err, Ok

from pondtiller.coordination.registers.configuration import (
    CONTROL_SHARD,
    STORED_OBJECT,
    SUCCESSOR_KEY,
    ReplicaConfiguration,
    ShardConfiguration,
    parse_shard,
)
from pondtiller.coordination.registers.proposer import OutcomeStatus, RegisterOutcome
from pondtiller.coordination.registers.reconfigurer import Candidate, SuccessorProposal
from pondtiller.hashing import owner
from pondtiller.serve.core import constants
from pondtiller.serve.core.instructions import WriteStore
from pondtiller.serve.core.world import World
from pondtiller.serve.systems.shard_documents import spread_configuration

ABANDONED_SEAL_SECONDS = 3.0
"""Time after which a sealed shard counts as left by the member that sealed it, and another member
finishes the replacement. Chosen, not measured: above the time of a replacement, so that two do not
race."""
SUCCESSOR_TIMEOUT_SECONDS = 5.0
"""Of the agreement on a successor configuration. Chosen, not measured."""


def agree(world: World, proposal: SuccessorProposal, now: float) -> None:
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


def repair(world: World, now: float) -> None:
    """Replace lost replicas and finish what was left, where this is the member to do so."""
    sealed = world.acceptor.sealed_since(now - ABANDONED_SEAL_SECONDS)
    is_repairer = owner("repair", world.membership.live_names()) == world.name
    if not (is_repairer or sealed):
        return
    configuration = world.proposer.configuration
    lost = {shard.shard for shard in configuration.shards if _has_lost_majority(world, shard)}
    if configuration.shards:
        world.reconfigurer.repair(configuration, candidates(world), sealed, lost, now)
    if is_repairer and world.store.listed:
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
