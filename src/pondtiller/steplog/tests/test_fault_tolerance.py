"""The group tolerates the declared losses, is repaired by single changes, and then stays."""

import random
from itertools import combinations

import pytest

from pondtiller.routes.topology import Topology
from pondtiller.steplog.fault_tolerance import GroupRules, Tolerance, shortfall
from pondtiller.steplog.group import write_quorum
from pondtiller.steplog.group_policy import (
    GroupInputs,
    first_members,
    next_members,
    spare_to_admit,
)
from pondtiller.wire.steplog import Group, GroupMember

Members = list[GroupMember]

TWO_OR_A_ZONE = GroupRules(Tolerance(machines=2, zones=1), Topology(dict.fromkeys("abcd", "r")))
TWO_REGIONS = Topology({"s1": "s", "n1": "n", "s2": "s", "n2": "n", "s3": "s", "n3": "n"})


def replicas(**counts: int) -> Members:
    return [
        GroupMember(name=f"{zone}-{number}", disk=f"{zone}-{number}-0", zone=zone)
        for zone, count in counts.items()
        for number in range(count)
    ]


def zones(members: Members) -> dict[str, int]:
    found = sorted(each.zone for each in members)
    return {zone: found.count(zone) for zone in found}


def bears(members: Members, rules: GroupRules) -> bool:
    """Return whether a quorum stays after each possible loss, by enumeration."""
    quorum = write_quorum(len(members))
    by_zone = [[each for each in members if each.zone == zone] for zone in zones(members)]
    region_of = rules.topology.region
    regions = {region_of(each.zone) for each in members}
    by_region = [[each for each in members if region_of(each.zone) == one] for one in regions]
    machines = [[each] for each in members]
    tolerance = rules.tolerance
    losses = [
        (machines, tolerance.machines),
        (by_zone, tolerance.zones),
        (by_region, tolerance.regions),
    ]
    return all(
        len(members) - sum(map(len, lost)) >= quorum
        for parts, count in losses
        for lost in combinations(parts, min(count, len(parts)))
    )


def settle(members: Members, up: Members, rules: GroupRules, **given: object) -> list[Members]:
    """Return the successive groups until nothing changes."""
    groups, synced = [members], {each.name for each in members}
    for _ in range(40):
        current = groups[-1]
        away = {each.name: 0.0 for each in current if each not in up}
        inputs = GroupInputs(
            Group(members=current),
            tuple(each for each in up if each.name in synced),
            away,
            given.get("retiring", frozenset()),  # type: ignore[arg-type]
            rules.tolerance.smallest_size,
            tuple(up),
            rules,
        )
        spare = spare_to_admit(inputs, 10.0)
        following = next_members(inputs, 10.0)
        if spare is not None:
            synced.add(spare.name)
        elif following is None:
            return groups
        if following is not None:
            changed = [each for each in following if each not in current]
            assert len(changed) <= 1 and all(each in up for each in changed)
            groups.append(following)
    raise AssertionError("the group does not settle")


@pytest.mark.parametrize("seed", range(200))
def test_a_shortfall_exists_exactly_if_some_loss_breaks_the_quorum(seed: int) -> None:
    random_ = random.Random(seed)
    rules = GroupRules(
        Tolerance(random_.randrange(3), random_.randrange(3), random_.randrange(2)), TWO_REGIONS
    )
    counts = {zone: random_.randrange(3) for zone in TWO_REGIONS.regions}
    members = replicas(**counts) or replicas(s1=1)
    assert (shortfall(members, len(members), rules) == 0) is bears(members, rules)


def test_the_first_group_tolerates_two_machines_or_a_zone() -> None:
    up = replicas(a=3, b=3, c=3, d=2)
    members = first_members(tuple(up), 5, TWO_OR_A_ZONE)
    assert members is not None and bears(members, TWO_OR_A_ZONE)
    assert sorted(zones(members).values()) == [1, 1, 1, 2]


def test_the_first_group_of_two_regions_tolerates_two_machines() -> None:
    rules = GroupRules(Tolerance(machines=2), TWO_REGIONS)
    up = replicas(s1=2, n1=2, s2=2, n2=1, s3=1, n3=1)
    members = first_members(tuple(up), 5, rules)
    assert members is not None and bears(members, rules)
    assert len(zones(members)) == 5


def test_the_first_group_is_made_right_where_one_zone_started_first() -> None:
    """The first candidates tolerate no zone loss; the group is repaired when others arrive."""
    early, late = replicas(a=3, b=2), replicas(c=3, d=2)
    members = first_members(tuple(early), 5, TWO_OR_A_ZONE)
    assert members is not None and not bears(members, TWO_OR_A_ZONE)
    groups = settle(members, early + late, TWO_OR_A_ZONE)
    assert bears(groups[-1], TWO_OR_A_ZONE)
    assert 2 <= len(groups) <= 3


def test_after_a_zone_loss_the_rest_tolerates_the_next_one_and_its_return_changes_nothing() -> None:
    up = replicas(a=3, b=3, c=3, d=2)
    members = first_members(tuple(up), 5, TWO_OR_A_ZONE)
    assert members is not None
    for lost in "abcd":
        left = [each for each in up if each.zone != lost]
        groups = settle(members, left, TWO_OR_A_ZONE)
        assert bears(groups[-1], TWO_OR_A_ZONE) and lost not in zones(groups[-1])
        for each in groups:
            present = [member for member in each if member in left]
            assert len(present) >= write_quorum(len(each))
        assert settle(groups[-1], up, TWO_OR_A_ZONE) == [groups[-1]]


def test_a_zone_that_got_most_members_by_chance_gives_some_up() -> None:
    up = replicas(a=3, b=3, c=3, d=2)
    crowded = [*up[:3], up[3], up[6]]
    groups = settle(crowded, up, TWO_OR_A_ZONE)
    assert not bears(crowded, TWO_OR_A_ZONE) and bears(groups[-1], TWO_OR_A_ZONE)


def test_an_even_group_is_repaired_through_a_change_that_alone_tolerates_no_more() -> None:
    rules = GroupRules(Tolerance(1, 1), TWO_OR_A_ZONE.topology)
    up = replicas(a=2, b=2, c=1, d=1)
    pair = settle(up[:4], up, rules)
    assert not bears(up[:4], rules) and bears(pair[-1], rules)


def test_a_retired_replica_leaves_and_the_group_still_tolerates_its_losses() -> None:
    up = replicas(a=3, b=3, c=3, d=2)
    members = first_members(tuple(up), 5, TWO_OR_A_ZONE)
    assert members is not None
    for each in members:
        retiring = frozenset({each.name})
        last = settle(members, up, TWO_OR_A_ZONE, retiring=retiring)[-1]
        assert each not in last and bears(last, TWO_OR_A_ZONE)


def test_too_few_zones_give_the_best_there_is_and_it_stays() -> None:
    up = replicas(a=5, b=3)
    groups = settle(up[:5], up, TWO_OR_A_ZONE)
    assert sorted(zones(groups[-1]).values()) == [2, 3]
    assert shortfall(groups[-1], 5, TWO_OR_A_ZONE) == 1


def test_a_region_may_be_lost_where_there_are_three() -> None:
    places = Topology({"x1": "x", "x2": "x", "x3": "x", "y": "y", "z": "z"})
    rules = GroupRules(Tolerance(machines=1, regions=1), places)
    up = replicas(x1=2, x2=2, x3=2, y=2, z=2)
    chosen = first_members(tuple(up), 5, rules)
    assert chosen is not None and bears(chosen, rules)


def test_no_member_is_exchanged_while_another_is_not_up_to_date() -> None:
    up = replicas(a=3, b=3, c=3, d=2)
    crowded = [*up[:3], up[3], up[6]]
    synced = tuple(each for each in up if each is not crowded[4])
    inputs = GroupInputs(
        Group(members=crowded), synced, {}, frozenset(), 5, tuple(up), TWO_OR_A_ZONE
    )
    assert next_members(inputs, 10.0) is None


def test_most_members_are_in_one_region_where_none_need_be_lost_and_stay_there() -> None:
    rules = GroupRules(Tolerance(machines=2), TWO_REGIONS)
    up = replicas(s1=2, n1=2, s2=2, n2=1, s3=1, n3=1)
    members = first_members(tuple(up), 5, rules)
    assert members is not None
    assert [each.zone[0] for each in members].count("s") == 3
    for lost in members:
        last = settle(members, [each for each in up if each != lost], rules)[-1]
        assert [each.zone[0] for each in last].count("s") == 3
        assert bears(last, rules)


@pytest.mark.parametrize("seed", range(80))
def test_no_other_choice_tolerates_more_than_the_first_group_or_a_repaired_one(seed: int) -> None:
    random_ = random.Random(seed)
    tolerance = Tolerance(
        random_.choice((1, 2)), random_.choice((0, 1, 1, 2)), random_.choice((0, 0, 1))
    )
    rules = GroupRules(tolerance, TWO_REGIONS)
    up = replicas(**{zone: random_.randint(0, 3) for zone in TWO_REGIONS.regions})
    size = tolerance.smallest_size
    up += replicas(s1=9)[3 : 3 + max(0, size - len(up))]
    best = min(shortfall(each, size, rules) for each in combinations(up, size))
    chosen = first_members(tuple(up), size, rules)
    assert chosen is not None and shortfall(chosen, size, rules) == best
    groups = settle(random_.sample(up, size), up, rules)
    assert shortfall(groups[-1], size, rules) == best
    assert len(groups) <= size
