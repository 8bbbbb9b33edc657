"""One member as the group knows it."""

from dataclasses import dataclass
from enum import IntEnum

from pondtiller import wire
from pondtiller.hashing import score


class MemberStatus(IntEnum):
    """What is said of a member; of two statements alike, the higher status counts."""

    ALIVE = 1
    LEAVING = 2
    SUSPECT = 3
    DEAD = 4


@dataclass(frozen=True, slots=True)
class Member:
    """A statement about one member.

    Attributes
    ----------
    host, peer_port, http_port
        Where the member takes peer messages and HTTP.
    incarnation
        Higher at each start of the member's process.
    refutation
        Raised by the member itself to override a suspicion, within one incarnation.
    storage
        Names the memory that the member's registers live in: its incarnation where it
        keeps nothing, else a number stored beside its journal; 0 where not known.
    """

    name: str
    zone: str
    host: str = ""
    peer_port: int = 0
    http_port: int = 0
    incarnation: int = 0
    status: MemberStatus = MemberStatus.ALIVE
    refutation: int = 0
    storage: int = 0

    @property
    def precedence(self) -> tuple[int, int, int]:
        """Order in which statements about one member override each other."""
        return (self.incarnation, self.refutation, self.status)

    @property
    def is_live(self) -> bool:
        """Whether the member may be given a duty."""
        return self.status in (MemberStatus.ALIVE, MemberStatus.SUSPECT)

    @property
    def digest(self) -> int:
        """64-bit digest of the statement; 0 for a dead member, so that it equals no member."""
        if self.status is MemberStatus.DEAD:
            return 0
        return score(self.name, f"{self.incarnation}/{self.refutation}/{self.status}")

    def encode(self) -> bytes:
        """Return the statement as bytes for gossip."""
        message = wire.Member(
            name=self.name,
            zone=self.zone,
            host=self.host,
            peer_port=self.peer_port,
            http_port=self.http_port,
            incarnation=self.incarnation,
            status=wire.MemberStatus(self.status),
            refutation=self.refutation,
            storage=self.storage,
        )
        return bytes(message)

    @classmethod
    def decode(cls, data: bytes) -> "Member | None":
        """Return the statement in `data`, or None where it is none that is known here."""
        try:
            message = wire.Member().parse(data)
            status = MemberStatus(int(message.status))
        except Exception:
            # The decoder raises many kinds; whatever came is no statement of ours.
            return None
        return cls(
            name=message.name,
            zone=message.zone,
            host=message.host,
            peer_port=message.peer_port,
            http_port=message.http_port,
            incarnation=message.incarnation,
            status=status,
            refutation=message.refutation,
            storage=message.storage,
        )
