"""The first group if there are fewer replicas than the declared losses require."""

from typing import Any

import curio
import pytest

from pondtiller.gateway.leader.first_group import SMALL_GROUP_WAIT_SECONDS, StoredFirstGroup
from pondtiller.platform.object_client import PutOutcome, StoreObject
from pondtiller.process import clock
from pondtiller.steplog.fault_tolerance import GroupRules, Tolerance
from pondtiller.wire.steplog import Group, GroupMember

RULES = GroupRules(Tolerance(machines=2, zones=1))
WANTED = 5


class OneObjectStore:
    """A store that holds the group's object once it is created."""

    def __init__(self) -> None:
        self.spec: Any = None

    async def read(self, _kind: str, name: str) -> StoreObject | None:
        return StoreObject(name, 1, self.spec) if self.spec is not None else None

    async def create(self, _kind: str, _name: str, spec: Any) -> PutOutcome:
        self.spec = spec
        return PutOutcome.DONE


def candidates(count: int) -> tuple[GroupMember, ...]:
    return tuple(
        GroupMember(name=f"r{n}", disk=f"d{n}", zone=f"z{n}", host="h", port=n + 1)
        for n in range(count)
    )


def play(counts: list[tuple[float, int]], monkeypatch: pytest.MonkeyPatch) -> list[int]:
    """Ask at given times with so many replicas; return the group's size each time."""
    source = StoredFirstGroup(OneObjectStore(), WANTED, RULES)  # type: ignore[arg-type]
    found: list[int] = []
    for now, count in counts:
        monkeypatch.setattr(clock, "monotonic", lambda now=now: now)
        group: Group | None = curio.run(source.first_group, candidates(count))
        found.append(len(group.members) if group is not None else 0)
    return found


def test_too_few_replicas_form_a_group_once_no_more_come(monkeypatch: pytest.MonkeyPatch) -> None:
    later = 10.0 + SMALL_GROUP_WAIT_SECONDS
    assert play([(10.0, 3), (11.0, 4), (later, 4)], monkeypatch) == [0, 0, 0]
    assert play([(10.0, 4), (later - 0.1, 4), (later, 4)], monkeypatch) == [0, 0, 4]


def test_enough_replicas_form_it_at_once_and_two_never_do(monkeypatch: pytest.MonkeyPatch) -> None:
    assert play([(10.0, 6)], monkeypatch) == [WANTED]
    assert play([(10.0, 2), (60.0, 2)], monkeypatch) == [0, 0]
