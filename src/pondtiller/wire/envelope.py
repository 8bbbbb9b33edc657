"""Packs and opens the one outer message that daemons send each other."""

from dataclasses import dataclass
from typing import TypeAlias

import betterproto

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

FIELD_BY_TYPE: dict[type, str] = {
    wire.Ping: "ping",
    wire.Ack: "ack",
    wire.IndirectPing: "indirect_ping",
    wire.DocumentPull: "document_pull",
    wire.DocumentPush: "document_push",
    wire.Prepare: "prepare",
    wire.Promise: "promise",
    wire.Accept: "accept",
    wire.Accepted: "accepted",
    wire.Reject: "reject",
    wire.Seal: "seal",
    wire.Sealed: "sealed",
    wire.Install: "install",
    wire.Installed: "installed",
    wire.ShareDemand: "share_demand",
    wire.ShareGrant: "share_grant",
    wire.StatusReport: "status_report",
}


@dataclass(frozen=True, slots=True)
class Letter:
    """What one daemon sends another: a message with its sender and, on probes, gossip."""

    sender: str
    incarnation: int
    message: PeerMessage
    gossip: wire.Gossip | None


def encode(letter: Letter) -> bytes:
    """Return the bytes of a letter."""
    envelope = wire.Envelope(sender=letter.sender, incarnation=letter.incarnation)
    if letter.gossip is not None:
        envelope.gossip = letter.gossip
    setattr(envelope, FIELD_BY_TYPE[type(letter.message)], letter.message)
    return bytes(envelope)


def decode(data: bytes) -> Letter | None:
    """Return the letter in `data`, or None where it is none that is known here."""
    try:
        envelope = wire.Envelope().parse(data)
        name, message = betterproto.which_one_of(envelope, "body")
    except Exception:
        # The decoder raises many kinds; whatever came is no letter of ours.
        return None
    if not name or not envelope.sender:
        return None
    gossip = envelope.gossip if isinstance(message, GOSSIPING) else None
    return Letter(envelope.sender, envelope.incarnation, message, gossip)
