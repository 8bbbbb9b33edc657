"""Packs and opens the one outer message that daemons send each other."""

from dataclasses import dataclass
from typing import TypeAlias

from pondtiller import wire

PeerMessage: TypeAlias = (
    wire.Ping
    | wire.Ack
    | wire.IndirectPing
    | wire.DocumentPull
    | wire.DocumentPush
    | wire.Prepare
    | wire.Promise
    | wire.Accept
    | wire.Accepted
    | wire.Reject
    | wire.Seal
    | wire.Sealed
    | wire.Install
    | wire.Installed
    | wire.ShareDemand
    | wire.ShareGrant
    | wire.StatusReport
)

GOSSIPING = (wire.Ping, wire.Ack, wire.IndirectPing)

# Numbers are part of the protocol: never give one to another type.
TYPE_BY_KIND: dict[int, type[PeerMessage]] = {
    10: wire.Ping,
    11: wire.Ack,
    12: wire.IndirectPing,
    13: wire.DocumentPull,
    14: wire.DocumentPush,
    15: wire.Prepare,
    16: wire.Promise,
    17: wire.Accept,
    18: wire.Accepted,
    19: wire.Reject,
    20: wire.Seal,
    21: wire.Sealed,
    22: wire.Install,
    23: wire.Installed,
    24: wire.ShareDemand,
    25: wire.ShareGrant,
    26: wire.StatusReport,
}
KIND_BY_TYPE = {message_type: kind for kind, message_type in TYPE_BY_KIND.items()}


@dataclass(frozen=True, slots=True)
class Letter:
    """What one daemon sends another: a message with its sender and, on probes, gossip."""

    sender: str
    incarnation: int
    message: PeerMessage
    gossip: wire.Gossip | None


def encode(letter: Letter) -> bytes:
    """Return the bytes of a letter."""
    envelope = wire.Envelope(
        sender=letter.sender,
        incarnation=letter.incarnation,
        kind=KIND_BY_TYPE[type(letter.message)],
        body=bytes(letter.message),
        gossip=bytes(letter.gossip) if letter.gossip is not None else b"",
    )
    return bytes(envelope)


def decode(data: bytes) -> Letter | None:
    """Return the letter in `data`, or None where it is none that is known here."""
    try:
        envelope = wire.Envelope().parse(data)
        message_type = TYPE_BY_KIND.get(envelope.kind)
        if message_type is None or not envelope.sender:
            return None
        message = message_type().parse(envelope.body)
        gossip = wire.Gossip().parse(envelope.gossip) if envelope.gossip else None
    except Exception:
        # The decoder raises many kinds; whatever came is no letter of ours.
        return None
    return Letter(envelope.sender, envelope.incarnation, message, gossip)
