"""Messages between daemons: opens envelopes, merges gossip, wraps what is to be sent."""

from dataclasses import dataclass
from typing import TypeAlias

from pondtiller import wire
from pondtiller.coordination.outbound import Outbound
from pondtiller.core.events import PeerEnvelopeArrived
from pondtiller.core.instructions import SendPeer
from pondtiller.core.world import TimerKind, World
from pondtiller.wire.envelope import PeerMessage, open_envelope, seal_envelope

ProbeMessage: TypeAlias = wire.Ping | wire.Ack | wire.IndirectPing


@dataclass(frozen=True, slots=True)
class PeerMessageArrived:
    """Internal: base of the typed messages that other systems read."""

    sender: str
    incarnation: int
    message: PeerMessage


@dataclass(frozen=True, slots=True)
class RegisterMessageArrived(PeerMessageArrived):
    """Internal: a message of the registers."""


@dataclass(frozen=True, slots=True)
class ShareMessageArrived(PeerMessageArrived):
    """Internal: a demand for, or a grant of, a share of a limit."""


@dataclass(frozen=True, slots=True)
class StatusMessageArrived(PeerMessageArrived):
    """Internal: a member's status report."""


REGISTER_MESSAGES = (
    wire.Prepare,
    wire.Promise,
    wire.Accept,
    wire.Accepted,
    wire.Reject,
    wire.Seal,
    wire.Sealed,
    wire.Install,
    wire.Installed,
)


def receive(world: World, now: float) -> None:
    """Open what arrived, run the failure detector and hand the rest to its system."""
    for event in world.batch.of(PeerEnvelopeArrived):
        _receive_envelope(world, event.envelope, now)
    if world.due_keys(TimerKind.MEMBERSHIP) or not world.timer_is_set(TimerKind.MEMBERSHIP):
        world.membership.run(now)
    for change in world.membership.take_changes():
        member = change.member
        world.set_timer(TimerKind.REPAIR, now)
        world.log("member", member=member.name, status=member.status.name or "")


def _receive_envelope(world: World, envelope: wire.Envelope, now: float) -> None:
    message = open_envelope(envelope)
    sender = envelope.sender
    if message is None or sender == world.name:
        return
    world.membership.note_sender(sender, envelope.incarnation)
    if isinstance(message, ProbeMessage):
        _receive_gossip(world, sender, envelope.gossip, now)
        world.heard_peers.add(sender)
        world.membership.receive(sender, message, now)
    elif isinstance(message, wire.DocumentPull | wire.DocumentPush):
        world.documents.receive(sender, message, now)
    else:
        _emit_by_kind(world, sender, envelope.incarnation, message)


def _receive_gossip(world: World, sender: str, gossip: wire.Gossip, now: float) -> None:
    world.membership.receive_updates(sender, gossip.members, now)
    world.documents.receive_digests(sender, gossip.documents, now)
    for version in gossip.versions:
        note_version(world, version.model, version.version, now)
    for mark in gossip.leaving_engines:
        note_leaving(world, mark.engine, mark.generation)


def note_version(world: World, model: str, version: int, now: float) -> None:
    """Learn of a published version; a newer one is passed on at once."""
    if version > world.model_versions.get(model, 0):
        world.model_versions[model] = version
        world.version_learned_at[model] = now
        world.set_timer(TimerKind.STEWARD, now)
        spread(world)


def note_leaving(world: World, engine: str, generation: int) -> None:
    """Learn that an engine leaves; news are passed on at once."""
    if not world.mechanisms.leaving_marks:
        return
    if generation > world.leaving_engines.get(engine, -1):
        world.leaving_engines[engine] = generation
        known = world.engines.get(engine)
        if known is not None and known.generation <= generation:
            known.leaving = True
        spread(world)


def spread(world: World) -> None:
    """Send the present gossip to a few members at once instead of at the next probe."""
    for target in world.membership.random_live(world.settings.membership.rumor_fanout):
        world.send(Outbound(target, wire.Ping(sequence=0)))


def send(world: World, now: float) -> None:
    """Wrap and address everything that the parts and systems want to send."""
    outbound = [
        *world.membership.take_outputs(),
        *world.documents.take_outputs(),
        *world.proposer.take_outputs(),
        *world.reconfigurer.take_outputs(),
        *world.peer_messages,
    ]
    world.peer_messages = []
    for item in outbound:
        _send_one(world, item)
    world.set_timer(TimerKind.MEMBERSHIP, world.membership.next_deadline())
    world.set_timer(TimerKind.PROPOSER, world.proposer.next_deadline())
    world.set_timer(TimerKind.RECONFIGURER, world.reconfigurer.next_deadline())


def _send_one(world: World, item: Outbound) -> None:
    address = world.member_address(item.target)
    if item.target == world.name:
        _emit_by_kind(world, world.name, world.incarnation, item.message)
    elif address is not None:
        gossip = _gossip(world, item.target) if isinstance(item.message, ProbeMessage) else None
        envelope = seal_envelope(world.name, world.incarnation, item.message, gossip)
        world.do(SendPeer(item.target, address, envelope))


def _emit_by_kind(world: World, sender: str, incarnation: int, message: PeerMessage) -> None:
    if isinstance(message, REGISTER_MESSAGES):
        world.emit(RegisterMessageArrived(sender, incarnation, message))
    elif isinstance(message, wire.ShareDemand | wire.ShareGrant):
        world.emit(ShareMessageArrived(sender, incarnation, message))
    elif isinstance(message, wire.StatusReport):
        world.emit(StatusMessageArrived(sender, incarnation, message))


def _gossip(world: World, target: str) -> wire.Gossip:
    return wire.Gossip(
        members=world.membership.updates_for(target),
        documents=world.documents.digests(),
        versions=[
            wire.ModelVersion(model=model, version=version)
            for model, version in world.model_versions.items()
        ],
        leaving_engines=[
            wire.EngineMark(engine=engine, generation=generation)
            for engine, generation in world.leaving_engines.items()
        ],
    )
