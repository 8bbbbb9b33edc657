"""Messages that coordination components return to the embedding program."""

from dataclasses import dataclass

from pondtiller.wire.envelope import PeerMessage


@dataclass(frozen=True, slots=True)
class Outbound:
    """A message to send to one member.

    Attributes
    ----------
    target
        Name of the receiving member.
    message
        The message.
    """

    target: str
    message: PeerMessage
