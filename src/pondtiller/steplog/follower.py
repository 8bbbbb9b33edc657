"""A replica as the leader sees it. No I/O.

Owns what one replica was asked and has answered; lasts as long as its link, most of it for a term.
"""

from dataclasses import dataclass, field

from pondtiller.wire.steplog import GroupMember

PART_OF_WRITES = -1
"""In place of a write's number: the message completes none."""
HEARTBEAT = -2
"""In place of a write's number: the message only renews the lease."""


@dataclass
class Follower:
    """One connected replica.

    Attributes
    ----------
    keys
        Epoch of each key that it holds, as its promise said; None until it promised.
    is_synced
        Whether it was sent everything, and gets every write.
    acked
        Number of the last write that it has on disk; -1 until it has all earlier ones too.
    is_asked
        Whether it was asked for a promise in this term.
    waiting
        Number and time of sending of each message that it has not answered; the number is of
        the last write that it completes, or says that it completes none.
    lease_from
        When the last message was sent that it answered with consent, on the steady clock.
    last_sent
        When any message was sent, on the steady clock.
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
        """Forget a term."""
        self.leave()
        self.waiting = []
        self.lease_from = float("-inf")

    def leave(self) -> None:
        """Count for nothing until it is asked for a promise again."""
        self.is_asked = False
        self.keys = None
        self.is_synced = False
        self.acked = -1

    def sent(self, number: int, now: float) -> None:
        """Take that a message was sent that is to be answered."""
        self.waiting.append((number, now))
        self.last_sent = now

    def consented(self) -> int:
        """Take that the oldest message was answered with consent; return its write's number."""
        if not self.waiting:
            return -1
        number, sent_at = self.waiting.pop(0)
        self.lease_from = sent_at
        return number
