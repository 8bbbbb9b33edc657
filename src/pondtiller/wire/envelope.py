"""Packs and opens the one outer message that daemons send each other."""

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


def seal_envelope(
    sender: str, incarnation: int, message: PeerMessage, gossip: wire.Gossip | None
) -> wire.Envelope:
    """Wrap `message` with its sender and, where given, gossip."""
    envelope = wire.Envelope(sender=sender, incarnation=incarnation)
    if gossip is not None:
        envelope.gossip = gossip
    setattr(envelope, FIELD_BY_TYPE[type(message)], message)
    return envelope


def open_envelope(envelope: wire.Envelope) -> PeerMessage | None:
    """Return the message inside, or None where the sender's kind is not known here."""
    name, message = betterproto.which_one_of(envelope, "body")
    return message if name else None
