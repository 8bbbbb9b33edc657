"""A replica as the leader sees it. No I/O.

Holds what one replica was asked and has answered, as long as its link lasts; most of it is reset
with each term.
"""

from dataclasses import dataclass, field

from pondtiller.wire.steplog import GroupMember

PARTIAL_WRITES = -1
"""Used as a write's number: the message completes no write."""
HEARTBEAT = -2
"""Used as a write's number: the message only renews the lease."""


@dataclass
class Follower:
    """One connected replica.

    Attributes
    ----------
    keys
        Epoch of each key that it has, from its promise; None until it promised.
    is_synced
        Whether it was sent everything, and gets every write.
    acked
        Number of the last write that it has on disk; -1 until it has all earlier ones too.
    is_asked
        Whether it was asked for a promise in this term.
    waiting
        Number and sending time of each unanswered message; the number is of the last write that it
        completes, or one of the constants above.
    lease_from
        Sending time of the last message that it accepted, in monotonic time.
    last_sent
        Sending time of the last message, in monotonic time.
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

    @property
    def has_promised(self) -> bool:
        """Whether it promised this term's epoch."""
        return self.keys is not None

    def reset(self) -> None:
        """Reset the state of a term."""
        self.exclude()
        self.waiting = []
        self.lease_from = float("-inf")

    def exclude(self) -> None:
        """Exclude it until it is asked for a promise again."""
        self.is_asked = False
        self.keys = None
        self.is_synced = False
        self.acked = -1

    def note_sent(self, number: int, now: float) -> None:
        """Record that a message was sent that must be answered."""
        self.waiting.append((number, now))
        self.last_sent = now

    def pop_consent(self) -> int:
        """Record that the oldest message was accepted; return its write's number."""
        if not self.waiting:
            return -1
        number, sent_at = self.waiting.pop(0)
        self.lease_from = sent_at
        return number
