"""What every coordination part gives back to the program that embeds it."""

from dataclasses import dataclass

from pondtiller.wire.envelope import PeerMessage


@dataclass(frozen=True, slots=True)
class Outbound:
    """A message to send to one member.

    Attributes
    ----------
    target
        Name of the member that shall receive the message.
    message
        The message.
    """

    target: str
    message: PeerMessage
