"""Quorums intersect, and the group follows losses, returns, spares and retirements."""

from itertools import combinations

import pytest

from pondtiller.steplog.group import has_read_quorum, has_write_quorum, read_quorum, write_quorum
from pondtiller.steplog.group_policy import (
    GroupInputs,
    first_members,
    next_members,
    spare_to_admit,
)
from pondtiller.wire.steplog import Group, GroupMember


def member(name: str, disk: str = "", zone: str = "z") -> GroupMember:
    return GroupMember(name=name, disk=disk or f"{name}-0", zone=zone, host="h", port=1)


A, B, C, D = (member(name, zone=f"z-{name}") for name in "abcd")
GROUP = Group(generation=1, members=[A, B, C])


@pytest.mark.parametrize("size", range(1, 8))
def test_every_read_meets_every_write(size: int) -> None:
    replicas = range(size)
    for writers in combinations(replicas, write_quorum(size)):
        for readers in combinations(replicas, read_quorum(size)):
            assert set(writers) & set(readers)


def test_disks_that_are_lost_are_not_waited_for_but_never_count() -> None:
    pair = Group(generation=2, members=[A, B])
    assert not has_write_quorum(pair, {"a-0"}, set())
    assert has_write_quorum(pair, {"a-0"}, {"b-0"})
    assert not has_write_quorum(pair, set(), {"a-0", "b-0"})
    assert has_read_quorum(pair, {"b-0"})
    assert not has_read_quorum(GROUP, {"a-0", "d-0"})


def decide(synced: tuple[GroupMember, ...], group: Group = GROUP, **changes: object) -> list[str]:
    inputs = GroupInputs(
        group,
        synced,
        changes.get("missing", {}),  # type: ignore[arg-type]
        changes.get("retiring", frozenset()),  # type: ignore[arg-type]
        3,
    )
    members = next_members(inputs, 10.0)
    return [f"{each.name}/{each.disk}" for each in members] if members is not None else []


def test_a_whole_group_stays_also_beside_a_spare() -> None:
    assert decide((A, B, C)) == []
    assert decide((A, B, C, D)) == []


def test_a_replica_that_lost_its_disk_replaces_itself() -> None:
    fresh = member("b", "b-1", "z-b")
    assert decide((A, fresh, C)) == ["a/a-0", "b/b-1", "c/c-0"]


def test_a_missing_replica_is_replaced_after_a_moment_where_there_is_a_spare() -> None:
    assert decide((A, B), missing={"c": 9.5}) == []
    assert decide((A, B, D), missing={"c": 9.5}) == []
    assert decide((A, B, D), missing={"c": 8.0}) == ["a/a-0", "b/b-0", "d/d-0"]


def test_a_retiring_replica_goes_with_or_without_a_spare() -> None:
    retiring = frozenset({"a"})
    assert decide((A, B, C, D), retiring=retiring) == ["d/d-0", "b/b-0", "c/c-0"]
    assert decide((A, B, C), retiring=retiring) == ["b/b-0", "c/c-0"]


def test_a_pair_is_never_made_smaller_and_is_filled_up() -> None:
    pair = Group(generation=2, members=[B, C])
    assert decide((B, C), pair, retiring=frozenset({"b"})) == []
    assert decide((B, C, D), pair) == ["b/b-0", "c/c-0", "d/d-0"]
    assert decide((B, C, A), pair, retiring=frozenset({"a"})) == []


def test_the_first_group_is_spread_over_zones() -> None:
    same = member("a2", zone="z-a")
    chosen = first_members((A, same, B, C), 3)
    assert chosen is not None and {each.zone for each in chosen} == {"z-a", "z-b", "z-c"}
    assert first_members((A, B), 3) is None


def admitted(synced: tuple[GroupMember, ...], missing: dict[str, float]) -> str:
    connected = (*synced, D)
    found = spare_to_admit(GroupInputs(GROUP, synced, missing, frozenset(), 3, connected), now=10.0)
    return found.name if found is not None else ""


def test_a_spare_is_brought_up_to_date_only_when_a_member_is_to_be_replaced() -> None:
    assert admitted((A, B, C), {}) == ""
    assert admitted((A, B), {"c": 9.5}) == ""
    assert admitted((A, B), {"c": 8.0}) == "d"
    assert admitted((A, B, D), {"c": 8.0}) == ""
