"""Which replicas should form the group: replaces what is gone, fills up, empties what retires."""

from dataclasses import dataclass

from pondtiller.steplog.group import SMALLEST_GROUP
from pondtiller.wire.steplog import Group, GroupMember

MISSING_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class GroupInputs:
    """What decides about a change.

    Attributes
    ----------
    synced
        Connected replicas that hold everything.
    connected
        All connected replicas.
    missing_since
        For members that are not connected, when that was noticed, by name.
    retiring
        Names of replicas that are to be emptied, or are.
    wanted_size
        Replicas that a group should have: twice the losses to be borne, and one.
    """

    group: Group
    synced: tuple[GroupMember, ...]
    missing_since: dict[str, float]
    retiring: frozenset[str]
    wanted_size: int
    connected: tuple[GroupMember, ...] = ()


def spare_to_admit(inputs: GroupInputs, now: float) -> GroupMember | None:
    """Return the replica that is to be brought up to date, so that it can become a member."""
    members = list(inputs.group.members)
    leaving = next((each for each in members if _should_go(inputs, each, now)), None)
    is_short = len(members) < inputs.wanted_size
    if (leaving is None and not is_short) or _spares(inputs, inputs.synced, members):
        return None
    spares = _spares(inputs, inputs.connected, members)
    return _best(spares, members, leaving) if spares else None


def next_members(inputs: GroupInputs, now: float) -> list[GroupMember] | None:
    """Return the members of the next group, or None where the present one is right.

    One member changes at a time.
    """
    members = list(inputs.group.members)
    by_name = {member.name: member for member in inputs.synced}
    for place, member in enumerate(members):
        fresh = by_name.get(member.name)
        if fresh is not None and fresh != member:
            return [*members[:place], fresh, *members[place + 1 :]]
    spares = _spares(inputs, inputs.synced, members)
    for place, member in enumerate(members):
        if not _should_go(inputs, member, now):
            continue
        if spares:
            return [*members[:place], _best(spares, members, member), *members[place + 1 :]]
        if member.name in inputs.retiring and len(members) > SMALLEST_GROUP:
            return [*members[:place], *members[place + 1 :]]
    if len(members) < inputs.wanted_size and spares:
        return [*members, _best(spares, members, None)]
    return None


def first_members(
    candidates: tuple[GroupMember, ...], wanted_size: int
) -> list[GroupMember] | None:
    """Return the members of the first group, spread over zones; None while there are too few."""
    if len(candidates) < wanted_size:
        return None
    chosen: list[GroupMember] = []
    left = sorted(candidates, key=lambda each: each.name)
    while len(chosen) < wanted_size:
        best = _best(left, chosen, None)
        chosen.append(best)
        left.remove(best)
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
    spares: list[GroupMember], members: list[GroupMember], leaving: GroupMember | None
) -> GroupMember:
    """Return the spare in the zone that has the fewest of the members that stay."""
    zones = [member.zone for member in members if member is not leaving]
    return min(spares, key=lambda each: (zones.count(each.zone), each.name))
