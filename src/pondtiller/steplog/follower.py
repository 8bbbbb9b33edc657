"""A replica as the leader sees it."""

from dataclasses import dataclass, field

from pondtiller.wire.steplog import GroupMember

PART_OF_WRITES = -1
HEARTBEAT = -2


@dataclass
class Follower:
    """One connected replica.

    Attributes
    ----------
    acked
        Number of the last write that it has on disk; -1 until it has all earlier ones too.
    is_asked
        Whether it was asked for a promise in this term.
    waiting
        Number and time of sending of each message that it has not answered; the number is of
        the last write that it completes, or says that it completes none.
    lease_from
        When the last message was sent that it answered with consent.
    """

    link: int
    member: GroupMember
    disk: str
    is_asked: bool = False
    keys: dict[str, int] | None = None
    is_synced: bool = False
    acked: int = -1
    waiting: list[tuple[int, float]] = field(default_factory=list)
    lease_from: float = float("-inf")
    last_sent: float = float("-inf")
