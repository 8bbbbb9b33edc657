"""Which replicas should form the group: replaces lost members, fills up, drains retiring ones.

Stateless, no I/O. Which losses a set of members tolerates is computed in `fault_tolerance.py`; the
change itself is written by `leader.py`.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from pondtiller.steplog.fault_tolerance import (
    DEFAULT_RULES,
    GroupRules,
    home_region,
    missing_at_home,
    shortfall,
    zone_crowding,
)
from pondtiller.steplog.group import MIN_GROUP
from pondtiller.wire.steplog import Group, GroupMember

MISSING_SECONDS = 1.0
"""How long a member is gone before a spare replaces it. A restarted replica is not replaced within
this time (files of 16 MB to 26 MB were read 0.57 s to 0.65 s after their machines returned), since
a spare needs the whole log over its link; meanwhile the group tolerates one loss less."""


@dataclass(frozen=True, slots=True)
class GroupInputs:
    """Inputs of the decision about a change.

    Attributes
    ----------
    synced
        Connected replicas that have everything.
    connected
        All connected replicas.
    missing_since
        For disconnected members, when that was noticed, by name; in monotonic seconds, as `now`.
    retiring
        Names of replicas that are to be drained, or are.
    wanted_size
        Replicas that a group should have: twice the tolerated losses, plus one.
    rules
        Losses that the group must tolerate, and the regions of zones.
    """

    group: Group
    synced: tuple[GroupMember, ...]
    missing_since: dict[str, float]
    retiring: frozenset[str]
    wanted_size: int
    connected: tuple[GroupMember, ...] = ()
    rules: GroupRules = DEFAULT_RULES


def spare_to_admit(inputs: GroupInputs, now: float) -> GroupMember | None:
    """Return the replica that should be brought up to date, so that it can become a member."""
    members = list(inputs.group.members)
    staying = [each for each in members if not _should_go(inputs, each, now)]
    spares = _spares(inputs, inputs.connected, members)
    is_short = len(members) < inputs.wanted_size
    if len(staying) == len(members) and not is_short:
        swapped = _repaired(inputs, spares)
        return _unsynced(inputs, swapped) if swapped is not None else None
    if not spares or _spares(inputs, inputs.synced, members):
        return None
    return _best(spares, staying, max(len(members), inputs.wanted_size), inputs.rules, members)


def next_members(inputs: GroupInputs, now: float) -> list[GroupMember] | None:
    """Return the members of the next group, or None if the present group is right.

    One member changes at a time. If the members do not tolerate the losses that they should
    although all are present, a spare replaces one of them.
    """
    members = list(inputs.group.members)
    by_name = {member.name: member for member in inputs.synced}
    for place, member in enumerate(members):
        fresh = by_name.get(member.name)
        if fresh is not None and fresh != member:
            return [*members[:place], fresh, *members[place + 1 :]]
    spares = _spares(inputs, inputs.synced, members)
    staying = [each for each in members if not _should_go(inputs, each, now)]
    for place, member in enumerate(members):
        if member in staying:
            continue
        if spares:
            best = _best(spares, staying, len(members), inputs.rules, members)
            return [*members[:place], best, *members[place + 1 :]]
        if member.name in inputs.retiring and len(members) > MIN_GROUP:
            return [*members[:place], *members[place + 1 :]]
    if len(members) < inputs.wanted_size and spares:
        return [*members, _best(spares, staying, inputs.wanted_size, inputs.rules, members)]
    return _repaired(inputs, spares)


def first_members(
    candidates: tuple[GroupMember, ...], wanted_size: int, rules: GroupRules | None = None
) -> list[GroupMember] | None:
    """Return the members of the first group, spread over zones; None while there are too few."""
    if len(candidates) < wanted_size:
        return None
    rules = rules or DEFAULT_RULES
    chosen: list[GroupMember] = []
    left = sorted(candidates, key=lambda each: each.name)
    while len(chosen) < wanted_size:
        best = _best(left, chosen, wanted_size, rules, chosen)
        chosen.append(best)
        left.remove(best)
    while swapped := _swapped(chosen, [each for each in left if each not in chosen], rules):
        left += [each for each in chosen if each not in swapped]
        chosen = swapped
    return chosen


def _spares(
    inputs: GroupInputs, replicas: tuple[GroupMember, ...], members: list[GroupMember]
) -> list[GroupMember]:
    names = {member.name for member in members}
    return [
        member
        for member in replicas
        if member.name not in names and member.name not in inputs.retiring
    ]


def _should_go(inputs: GroupInputs, member: GroupMember, now: float) -> bool:
    if member.name in inputs.retiring:
        return True
    since = inputs.missing_since.get(member.name)
    return since is not None and now >= since + MISSING_SECONDS


def _best(
    spares: list[GroupMember],
    staying: list[GroupMember],
    size: int,
    rules: GroupRules,
    members_now: Sequence[GroupMember],
) -> GroupMember:
    """Return the spare with which a group of a size tolerates most, and is spread most evenly.

    A majority of the members stays in its present region, also when one leaves.
    """
    home = home_region(members_now, [*staying, *spares], rules)

    def cost(spare: GroupMember) -> tuple[int, int, int, str]:
        members = [*staying, spare]
        lacking = missing_at_home(members, size, home, rules.topology)
        return shortfall(members, size, rules), lacking, zone_crowding(members), spare.name

    return min(spares, key=cost)


def _repaired(inputs: GroupInputs, spares: list[GroupMember]) -> list[GroupMember] | None:
    """Return the members with one exchanged, so that they tolerate more; None if not needed.

    Only while all members are up to date: an exchange must not cost the quorum.
    """
    members = list(inputs.group.members)
    synced = {each.name for each in inputs.synced}
    if not all(each.name in synced for each in members):
        return None
    return _swapped(members, spares, inputs.rules)


def _swapped(
    members: list[GroupMember], spares: list[GroupMember], rules: GroupRules
) -> list[GroupMember] | None:
    """Return the best exchange of one member if the members do not tolerate what they should.

    Each exchange reduces the same cost, so repeated exchanges end even if no choice tolerates
    everything.
    """
    best, best_cost = None, _repair_cost(members, rules)
    if not best_cost[0]:
        return None
    for place in range(len(members)):
        for spare in spares:
            after = [*members[:place], spare, *members[place + 1 :]]
            cost = _repair_cost(after, rules)
            if cost < best_cost:
                best, best_cost = after, cost
    return best


def _repair_cost(members: list[GroupMember], rules: GroupRules) -> tuple[int, int]:
    return shortfall(members, len(members), rules), zone_crowding(members)


def _unsynced(inputs: GroupInputs, members: Iterable[GroupMember]) -> GroupMember | None:
    """Return the future member that is not up to date yet, if there is one."""
    synced = {each.name for each in inputs.synced}
    return next((each for each in members if each.name not in synced), None)
