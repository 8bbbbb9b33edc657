"""Registers: passes messages to acceptor, proposer and reconfigurer, and hands out outcomes.

Other systems change a register by `change_register`; the outcome comes to their handler in a later
pass. What the acceptor promised is written to the journal before its reply leaves. Owns
`World.outcome_handlers`. Which replicas a shard has is decided in `replica_repair`.
"""

from pondtiller import wire
from pondtiller.coordination.member import MemberStatus
from pondtiller.coordination.outbound import Outbound
from pondtiller.coordination.registers.proposer import Change
from pondtiller.serve.core import constants
from pondtiller.serve.core.events import RegisterMessageArrived
from pondtiller.serve.core.instructions import WriteJournal
from pondtiller.serve.core.timers import TimerKind
from pondtiller.serve.core.world import OutcomeHandler, World
from pondtiller.serve.systems import replica_repair


def run(world: World, now: float) -> None:
    """Handle register messages, finished operations and the repair of replicas."""
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
        replica_repair.agree(world, proposal, now)
    if world.due_keys(TimerKind.REPAIR):
        world.set_timer(TimerKind.REPAIR, now + constants.REPAIR_SECONDS)
        replica_repair.repair(world, now)
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
