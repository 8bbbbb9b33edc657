"""Maintenance of the replica group while this gateway is the leader.

Holds since when members are missing, and whether the group tolerates the declared losses; both are
lost with the process. Which members a group should have is decided in `steplog/group_policy.py`;
`steplog/leader.py` writes the change.
"""

from pondtiller.process import logs
from pondtiller.steplog.fault_tolerance import GroupRules, shortfall
from pondtiller.steplog.group_policy import (
    MISSING_SECONDS,
    GroupInputs,
    next_members,
    spare_to_admit,
)
from pondtiller.steplog.leader import LeaderLog
from pondtiller.steplog.term_rules import HEARTBEAT_SECONDS
from pondtiller.wire.steplog import GroupMember

GROUP_CHECK_SECONDS = HEARTBEAT_SECONDS
"""Interval of the group check while no replica connects or disconnects; the conditions that it
detects last `MISSING_SECONDS` or longer. A check takes 1.1 ms; at ten checks a second this was a
third of an idle leader's processor time."""


class GroupMaintenance:
    """Checks the group and initiates changes of its members.

    Parameters
    ----------
    wanted_size
        Wanted number of replicas in the group.
    rules
        Losses that the group must tolerate, and the regions of zones.

    Attributes
    ----------
    shortfall
        Additional members that the group would need to tolerate the declared losses; 0 if it
        tolerates them, and while another gateway is the leader.
    """

    def __init__(self, log: LeaderLog, wanted_size: int, rules: GroupRules) -> None:
        self.shortfall = 0
        self._log = log
        self._wanted_size = wanted_size
        self._rules = rules
        self._missing_since: dict[str, float] = {}
        self._next_check = 0.0

    def connected(self, member: GroupMember) -> None:
        """Record that a replica has connected."""
        self._missing_since.pop(member.name, None)

    def check_soon(self) -> None:
        """Check the group at the next opportunity, since something about it has changed."""
        self._next_check = 0.0

    def term_ended(self) -> None:
        """Reset the shortfall, since another gateway is the leader now."""
        self.shortfall = 0

    def is_due(self, now: float) -> bool:
        """Return whether the group is to be checked now; if so, the next check is scheduled."""
        if now < self._next_check:
            return False
        self._next_check = now + GROUP_CHECK_SECONDS
        return True

    def check(self, retiring: frozenset[str], now: float) -> None:
        """Admit a spare or start a change of the group if needed.

        Parameters
        ----------
        retiring
            Names of the replicas that are to be drained.
        """
        synced = tuple(self._log.synced_members())
        self._note_missing(synced, now)
        if self._log.next_group is not None or not self._log.group.generation:
            return
        inputs = GroupInputs(
            self._log.group,
            synced,
            dict(self._missing_since),
            retiring,
            self._wanted_size,
            tuple(follower.member for follower in self._log.followers.values()),
            self._rules,
        )
        self.note_shortfall(now)
        self._admit(inputs, now)
        self._change(inputs, now)

    def _note_missing(self, synced: tuple[GroupMember, ...], now: float) -> None:
        names = {member.name for member in synced}
        for member in self._log.group.members:
            if member.name in names:
                self._missing_since.pop(member.name, None)
            else:
                self._missing_since.setdefault(member.name, now)

    def note_shortfall(self, now: float) -> None:
        """Log when the present members start or stop tolerating the declared losses."""
        members, since = self._log.group.members, self._missing_since
        present = [each for each in members if now < since.get(each.name, now) + MISSING_SECONDS]
        lacking = shortfall(present, len(members), self._rules)
        if bool(lacking) != bool(self.shortfall):
            tolerance = self._rules.tolerance
            logs.decision(
                "group_bears_losses" if not lacking else "group_bears_too_little",
                generation=self._log.group.generation,
                members=len(members),
                present=len(present),
                zones=",".join(sorted(each.zone for each in present)),
                shortfall=lacking,
                to_bear=f"machines={tolerance.machines};zones={tolerance.zones};"
                f"regions={tolerance.regions}",
            )
        self.shortfall = lacking

    def _admit(self, inputs: GroupInputs, now: float) -> None:
        spare = spare_to_admit(inputs, now)
        if spare is not None and spare.name not in self._log.admitted:
            logs.decision("replica_admitted", replica=spare.name, disk=spare.disk)
            self._log.admit(spare.name, now)

    def _change(self, inputs: GroupInputs, now: float) -> None:
        members = next_members(inputs, now)
        if members is None:
            return
        logs.decision(
            "group_change",
            generation=self._log.group.generation + 1,
            members=",".join(f"{each.name}/{each.disk}" for each in members),
            missing=",".join(sorted(self._missing_since)),
            retiring=",".join(sorted(inputs.retiring)),
        )
        self._log.change_group(members)
