"""One member in the view of the group."""

from dataclasses import dataclass
from enum import IntEnum

from pondtiller import wire
from pondtiller.hashing import score


class MemberStatus(IntEnum):
    """Status of a member; between otherwise equal statements, the higher one wins."""

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
        Address at which the member receives peer messages and HTTP requests.
    incarnation
        Higher at each start of the member's process.
    refutation
        Raised by the member itself to override a suspicion within one incarnation.
    storage
        Identifies the storage of the member's registers: its incarnation if it persists nothing,
        otherwise a number stored beside its journal; 0 if unknown.
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
        """Sort key by which statements about one member override each other."""
        return (self.incarnation, self.refutation, self.status)

    @property
    def is_live(self) -> bool:
        """Whether the member may be given a duty."""
        return self.status in (MemberStatus.ALIVE, MemberStatus.SUSPECT)

    @property
    def digest(self) -> int:
        """64-bit digest of the statement; 0 for a dead member, as for a missing one."""
        if self.status is MemberStatus.DEAD:
            return 0
        return score(self.name, f"{self.incarnation}/{self.refutation}/{self.status}")

    def encode(self) -> bytes:
        """Return the statement encoded for gossip."""
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
        """Return the statement in `data`, or None if it is not a known one."""
        try:
            message = wire.Member().parse(data)
            status = MemberStatus(int(message.status))
        except Exception:
            # The decoder raises various exceptions for data that is no statement.
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
