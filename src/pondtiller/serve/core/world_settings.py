"""What a world is made with: the daemon's identity, sizes, and switches for tests.

Fixed from the start to the end of a process. Settings that an operator gives are in
`daemon.settings`; limits and times that are the same everywhere in `core.constants`.
"""

from dataclasses import dataclass, field

from pondtiller.coordination.member import Member
from pondtiller.coordination.membership import MembershipSettings


@dataclass(frozen=True, slots=True)
class Mechanisms:
    """Switches for tests that show what each mechanism prevents; all on in service."""

    claims: bool = True
    staleness_checks: bool = True
    offset_checks: bool = True
    truthful_refusals: bool = True
    leaving_marks: bool = True
    drain: bool = True
    forward_only_documents: bool = True
    slot_cursor: bool = True
    version_segments: bool = True
    share_leases: bool = True


@dataclass(frozen=True, slots=True)
class WorldSettings:
    """What a daemon knows of itself at the start.

    Attributes
    ----------
    member
        This daemon as it announces itself to others.
    seeds
        Members to contact first.
    shard_count
        Register shards that a first configuration gets.
    replica_count
        Replicas of a shard.
    """

    member: Member
    seeds: tuple[Member, ...]
    membership: MembershipSettings = field(default_factory=MembershipSettings)
    shard_count: int = 4
    replica_count: int = 5
    mechanisms: Mechanisms = field(default_factory=Mechanisms)
