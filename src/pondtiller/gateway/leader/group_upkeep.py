"""Keeps the replicas' group whole while this gateway leads: what is missing, what is changed.

Owns since when members are missing, and whether the group bears what it should; both end with the
process. Which members a group should have is decided in `steplog/group_policy.py`; how a change is
written, in `steplog/leader.py`.
"""

from pondtiller.process import logs
from pondtiller.steplog.fault_tolerance import PlaceRules, shortfall
from pondtiller.steplog.group_policy import (
    MISSING_SECONDS,
    GroupInputs,
    next_members,
    spare_to_admit,
)
from pondtiller.steplog.leader import LeaderLog
from pondtiller.steplog.term_rules import HEARTBEAT_SECONDS
from pondtiller.wire.steplog import GroupMember

GROUP_LOOK_SECONDS = HEARTBEAT_SECONDS
"""Between two looks at the group where no replica came or went: what they look for lasts
`MISSING_SECONDS` or more. A look costs 1.1 ms, a third of what a leader at rest spent where it
looked ten times a second and more."""


class GroupUpkeep:
    """Looks at the group, and has it changed.

    Parameters
    ----------
    wanted_size
        Replicas that a group should have.
    rules
        Which losses the group is to bear, and where zones lie.

    Attributes
    ----------
    shortfall
        Members more that the group would need to bear what is declared; 0 while it bears it, and
        while another gateway leads.
    """

    def __init__(self, log: LeaderLog, wanted_size: int, rules: PlaceRules) -> None:
        self.shortfall = 0
        self._log = log
        self._wanted_size = wanted_size
        self._rules = rules
        self._missing_since: dict[str, float] = {}
        self._next_look = 0.0

    def connected(self, member: GroupMember) -> None:
        """Take that a replica is connected."""
        self._missing_since.pop(member.name, None)

    def look_soon(self) -> None:
        """Look at the group at the next occasion: something of it has changed."""
        self._next_look = 0.0

    def term_ended(self) -> None:
        """Take that another gateway leads."""
        self.shortfall = 0

    def is_due(self, now: float) -> bool:
        """Return whether to look at the group now; if so the next look is a while later."""
        if now < self._next_look:
            return False
        self._next_look = now + GROUP_LOOK_SECONDS
        return True

    def look(self, retiring: frozenset[str], now: float) -> None:
        """Admit a spare or begin a change of the group, where one is needed.

        Parameters
        ----------
        retiring
            Names of replicas that are to be emptied.
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
        """Tell when the members that are not missing begin or cease to bear what is declared."""
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
