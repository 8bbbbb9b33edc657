"""The groups whose quorums count for a leader, and the disks that are known to be lost. No I/O.

Holds the group in force, the one that is to replace it, and during a takeover the groups that
promises named, for one term; lost disks are remembered for the life of the process. Which members a
group should have is decided in `group_policy.py`.
"""

from collections.abc import Iterable, Mapping

from pondtiller.steplog import group as groups
from pondtiller.steplog.follower import Follower
from pondtiller.steplog.instructions import Phase
from pondtiller.steplog.term_rules import lease_until
from pondtiller.wire.steplog import Group, GroupMember


class VotingGroups:
    """Groups that vote, and their quorums.

    Attributes
    ----------
    group
        The group in force; generation 0 if unknown.
    next_group
        The group that is to replace it; None while there is no change.
    lost_disks
        Disks of members that returned with another disk.
    """

    def __init__(self) -> None:
        self.group = Group()
        self.next_group: Group | None = None
        self.lost_disks: set[str] = set()
        self._known: dict[int, Group] = {}
        self._oldest = 0

    def reset(self) -> None:
        """Forget the groups of a term."""
        self.group = Group()
        self.next_group = None
        self._known = {}
        self._oldest = 0

    def learn(self, found: list[Group]) -> None:
        """Add the groups that one replica has; those older than its oldest are obsolete."""
        for each in found:
            self._known[each.generation] = each
        if found:
            self._oldest = max(self._oldest, found[0].generation)

    def voting(self, phase: Phase) -> list[Group]:
        """Return the groups whose quorums count: the newest, and the one that it replaces."""
        if phase in (Phase.PREPARING, Phase.FETCHING):
            return [self._known[each] for each in sorted(self._known) if each >= self._oldest]
        voting = [self.group] if self.group.generation else []
        if self.next_group is not None:
            voting.append(self.next_group)
        return voting

    def settle(self, phase: Phase) -> None:
        """Put the newest of the learnt groups in force, once the log has been read.

        A newer group may not be written yet, so the one that it replaces counts as well.
        """
        voting = self.voting(phase)[-2:]
        self.group = voting[0]
        self.next_group = voting[1] if len(voting) > 1 else None

    def finish_change(self, key: str) -> bool:
        """Put the next group in force if a key is its key; return False otherwise."""
        change = self.next_group
        if change is None or groups.group_key(change.generation) != key:
            return False
        self.group, self.next_group = change, None
        return True

    def names(self) -> set[str]:
        """Return the names of the members of the group in force."""
        return {member.name for member in self.group.members}

    # Quorums of the voting groups

    def have_read_quorums(self, phase: Phase, answered: set[str]) -> bool:
        """Return whether the disks that answered intersect every write of each voting group."""
        voting = self.voting(phase)
        return bool(voting) and all(groups.has_read_quorum(each, answered) for each in voting)

    def have_write_quorums(self, phase: Phase, holding: set[str]) -> bool:
        """Return whether enough disks of each voting group hold a value."""
        return all(
            groups.has_write_quorum(each, holding, self.lost_disks) for each in self.voting(phase)
        )

    def written_number(self, phase: Phase, followers: Iterable[Follower]) -> float:
        """Return up to which write all voting groups have a write quorum; infinite without any."""
        acked: dict[str, int] = {}
        for follower in followers:
            if follower.is_synced:
                acked[follower.disk] = max(follower.acked, acked.get(follower.disk, -1))
        voting = self.voting(phase)
        numbers = (groups.quorum_number(each, acked, self.lost_disks) for each in voting)
        return min(numbers, default=float("inf"))

    def lease_until(self, phase: Phase, followers: Mapping[int, Follower]) -> float:
        """Return until when a write quorum of each voting group excludes other leaders.

        In monotonic seconds; minus infinity without a quorum.
        """
        untils = [self._lease_of(each, followers) for each in self.voting(phase)]
        return min(untils, default=float("-inf"))

    def _lease_of(self, group: Group, followers: Mapping[int, Follower]) -> float:
        members = groups.disks(group)
        consented_at = [
            follower.lease_from
            for follower in followers.values()
            if follower.disk in members and follower.is_synced
        ]
        needed = groups.write_quorum(len(members))
        needed = max(1, min(needed, len(members - self.lost_disks)))
        return lease_until(consented_at, needed)

    def note_lost_disk(self, phase: Phase, member: GroupMember) -> None:
        """Record a connected member: if it has another disk, its old one is lost."""
        for each in self.voting(phase):
            known = groups.member_named(each, member.name)
            if known is not None and known.disk != member.disk:
                self.lost_disks.add(known.disk)
