"""Messages between daemons: opens letters, merges gossip, addresses what is to be sent.

Runs first and last in each pass. Owns the gossip's facts: versions of models, marks of engines that
leave, digests of documents; each only rises, so letters may come twice and in any order. Other
messages go on as typed events; what they mean is decided by the systems that read them.
"""

from pondtiller import wire
from pondtiller.coordination.outbound import Outbound
from pondtiller.serve.core.events import (
    DocumentsAdopted,
    LetterArrived,
    PeerMessageArrived,
    RegisterMessageArrived,
    ShareMessageArrived,
    StatusMessageArrived,
)
from pondtiller.serve.core.instructions import SendPeer
from pondtiller.serve.core.timers import TimerKind
from pondtiller.serve.core.world import World
from pondtiller.wire.envelope import GOSSIPING, Letter, PeerMessage

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
SHARE_MESSAGES = (wire.ShareDemand, wire.ShareGrant)


def receive(world: World, now: float) -> None:
    """Open what arrived, run the failure detector and hand the rest to its system."""
    for event in world.batch.of(LetterArrived):
        _receive_letter(world, event.letter, now)
    if world.due_keys(TimerKind.MEMBERSHIP):
        world.membership.run(now)
    if world.documents.has_adopted():
        world.batch.add(DocumentsAdopted())
    for change in world.membership.take_changes():
        member = change.member
        world.set_timer(TimerKind.REPAIR, now)
        world.log("member", member=member.name, status=member.status.name or "")


def _receive_letter(world: World, letter: Letter, now: float) -> None:
    sender, message = letter.sender, letter.message
    if sender == world.name:
        return
    world.membership.note_sender(sender, letter.incarnation)
    if isinstance(message, GOSSIPING):
        if letter.gossip is not None:
            _receive_gossip(world, sender, letter.gossip, now)
        world.heard_peers.add(sender)
        world.membership.receive(sender, message, now)
    elif isinstance(message, wire.DocumentPull | wire.DocumentPush):
        world.documents.receive(sender, message, now)
    else:
        event = _event(sender, letter.incarnation, message)
        if event is not None:
            world.batch.add(event)


def _receive_gossip(world: World, sender: str, gossip: wire.Gossip, now: float) -> None:
    world.membership.receive_updates(sender, gossip.members, now)
    world.membership.receive_digest(sender, gossip.view_digest)
    if gossip.facts != encoded_facts(world):
        _receive_facts(world, sender, gossip.facts, now)


def _receive_facts(world: World, sender: str, data: bytes, now: float) -> None:
    try:
        facts = wire.Facts().parse(data)
    except Exception:
        # The decoder raises many kinds; whatever came are no facts of ours.
        return
    world.documents.receive_digests(sender, facts.documents, now)
    for version in facts.versions:
        note_version(world, version.model, version.version, now)
    for mark in facts.leaving_engines:
        note_leaving(world, mark.engine, mark.generation)


def note_version(world: World, model: str, version: int, now: float) -> None:
    """Learn of a published version; a newer one is passed on at once."""
    if version > world.model_versions.get(model, 0):
        world.model_versions[model] = version
        world.version_learned_at[model] = now
        world.set_timer(TimerKind.STEWARD, now)
        spread(world)


def note_leaving(world: World, engine: str, generation: int) -> None:
    """Learn that an engine leaves; a new mark is passed on at once."""
    if not world.mechanisms.leaving_marks:
        return
    known = world.engines.get(engine)
    if known is None or known.generation > generation:
        # Not in the list of machines, or an earlier life of it: nothing to keep.
        return
    if generation > world.leaving_engines.get(engine, -1):
        world.leaving_engines[engine] = generation
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
        event = _event(world.name, world.incarnation, item.message)
        if event is not None:
            world.emit(event)
    elif address is not None:
        gossip = _gossip(world, item.target) if isinstance(item.message, GOSSIPING) else None
        letter = Letter(world.name, world.incarnation, item.message, gossip)
        world.do(SendPeer(item.target, address, letter))


def _event(sender: str, incarnation: int, message: PeerMessage) -> PeerMessageArrived | None:
    """Return the event by which a message reaches its system."""
    if isinstance(message, REGISTER_MESSAGES):
        return RegisterMessageArrived(sender, incarnation, message)
    if isinstance(message, SHARE_MESSAGES):
        return ShareMessageArrived(sender, incarnation, message)
    if isinstance(message, wire.StatusReport):
        return StatusMessageArrived(sender, incarnation, message)
    return None


def _gossip(world: World, target: str) -> wire.Gossip:
    return wire.Gossip(
        members=world.membership.updates_for(target),
        facts=encoded_facts(world),
        view_digest=world.membership.digest_for(target),
    )


def encoded_facts(world: World) -> bytes:
    """Return this daemon's facts, encoded again only where one has changed."""
    basis = (
        world.documents.adoptions,
        sum(world.model_versions.values()),
        len(world.model_versions),
        tuple(world.leaving_engines.items()),
    )
    if world.facts_basis != basis:
        world.facts_basis = basis
        world.facts = bytes(_facts(world))
    return world.facts


def _facts(world: World) -> wire.Facts:
    return wire.Facts(
        documents=world.documents.digests(),
        versions=[
            wire.ModelVersion(model=model, version=version)
            for model, version in sorted(world.model_versions.items())
        ],
        leaving_engines=[
            wire.EngineMark(engine=engine, generation=generation)
            for engine, generation in sorted(world.leaving_engines.items())
        ],
    )
