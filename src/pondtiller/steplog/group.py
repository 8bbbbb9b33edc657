"""Groups of replicas and their quorums.

A group of n replicas writes to a majority w, and is read through r = n - w + 1 of them, so that
every read intersects every write. A replica is identified by its disk, not by its name: one that
lost its disk is another replica, and its old disk is known to be lost.

Which members a group should have is decided in `group_policy.py`.
"""

from collections.abc import Iterable, Mapping

from pondtiller.steplog.entry import Entry
from pondtiller.wire.steplog import Group, GroupMember

GROUP_PREFIX = "group/"
MIN_GROUP = 2
"""Members that a group keeps when one is drained and there is no spare: with one member the loss of
a disk loses accepted values."""


def write_quorum(size: int) -> int:
    """Return how many of `size` replicas must have a value on disk."""
    return size // 2 + 1


def read_quorum(size: int) -> int:
    """Return how many of `size` replicas intersect every write quorum."""
    return size - write_quorum(size) + 1


def disks(group: Group) -> set[str]:
    """Return the disks of a group."""
    return {member.disk for member in group.members}


def has_read_quorum(group: Group, answered: set[str]) -> bool:
    """Return whether the disks that answered intersect every write of the group."""
    return len(disks(group) & answered) >= read_quorum(len(group.members))


def has_write_quorum(group: Group, written: set[str], lost: set[str]) -> bool:
    """Return whether enough disks of the group hold a value.

    Disks known to be lost can neither hold a value nor answer a later read, so no more than the
    remaining ones are required.
    """
    return quorum_number(group, dict.fromkeys(written, 0), lost) == 0


def quorum_number(group: Group, acked: Mapping[str, int], lost: set[str]) -> int:
    """Return the highest write that a write quorum of a group's disks has; -1 if there is none.

    Parameters
    ----------
    acked
        Number of the last write on each disk, by disk.
    lost
        As for `has_write_quorum`.
    """
    members = disks(group)
    wanted = min(write_quorum(len(members)), len(members - lost))
    numbers = sorted((acked[disk] for disk in members if disk in acked), reverse=True)
    return numbers[wanted - 1] if 0 < wanted <= len(numbers) else -1


def group_key(generation: int) -> str:
    """Return the key under which a group is written; keys sort by generation."""
    return f"{GROUP_PREFIX}{generation:012d}"


def groups_of(entries: Iterable[Entry]) -> list[Group]:
    """Return the groups among entries, oldest first."""
    found = [entry for entry in entries if entry.key.startswith(GROUP_PREFIX)]
    return [Group().parse(entry.value) for entry in sorted(found, key=lambda each: each.key)]


def member_named(group: Group, name: str) -> GroupMember | None:
    """Return a group's member by its name, or None if there is none."""
    for member in group.members:
        if member.name == name:
            return member
    return None
