"""How long a gateway waits before it stands for leader, and when it is no candidate."""

import random

import pytest

from pondtiller.gateway.leader.standing import (
    BACKOFF_SECONDS,
    LONGEST_HANDICAP_SECONDS,
    NO_MEMBER_IN_ZONE_SECONDS,
    NO_QUORUM_IN_REGION_SECONDS,
    STAND_DELAY_SECONDS,
    Candidacy,
    CandidatePlace,
    CandidateView,
    handicap,
    stand_delay,
)
from pondtiller.routes.topology import Topology
from pondtiller.wire.steplog import GroupMember

PLACES = Topology({"s1": "s", "s2": "s", "n1": "n"})
READY = CandidateView(may_stand=True, hears_replicas=True, is_led=False)


class Draws(random.Random):
    """Draws the middle of each range, and counts."""

    def __init__(self) -> None:
        super().__init__()
        self.count = 0

    def random(self) -> float:
        self.count += 1
        return 0.5


def place(zone: str, *members: str, is_order_holder: bool = False) -> CandidatePlace:
    found = [GroupMember(name=each, disk=each, zone=each, host="h", port=1) for each in members]
    return CandidatePlace(0.0, zone, found, PLACES, is_order_holder)


def test_a_slow_machine_stands_later_up_to_a_bound() -> None:
    assert handicap(4.0) < handicap(1.0) < handicap(0.5) < LONGEST_HANDICAP_SECONDS
    assert handicap(0.1) == LONGEST_HANDICAP_SECONDS


@pytest.mark.parametrize(
    ("zone", "members", "more"),
    [
        ("s1", ("s1", "s2", "n1"), 0.0),
        ("s2", ("s1", "s1", "n1"), NO_MEMBER_IN_ZONE_SECONDS),
        ("n1", ("s1", "s2", "n1"), NO_QUORUM_IN_REGION_SECONDS),
        ("n1", ("s1", "s2", "s2"), NO_MEMBER_IN_ZONE_SECONDS + NO_QUORUM_IN_REGION_SECONDS),
        ("n1", (), 0.0),
    ],
)
def test_a_gateway_far_from_the_group_stands_later(
    zone: str, members: tuple[str, ...], more: float
) -> None:
    delay = stand_delay(place(zone, *members), Draws())
    assert delay == pytest.approx(STAND_DELAY_SECONDS / 2 + more)


def test_who_ordered_engines_last_stands_at_once_and_draws_nothing() -> None:
    draws = Draws()
    assert stand_delay(place("n1", "s1", is_order_holder=True), draws) == 0.0
    assert draws.count == 0


@pytest.mark.parametrize("missing", ["may_stand", "hears_replicas", "is_led"])
def test_who_is_no_candidate_waits_anew_when_it_becomes_one(missing: str) -> None:
    candidacy = Candidacy(Draws())
    assert not candidacy.is_due(READY, 10.0, lambda: 0.2)
    no_candidate = READY._replace(**{missing: not getattr(READY, missing)})
    assert not candidacy.is_due(no_candidate, 10.1, lambda: 0.2)
    assert candidacy.next_at() is None
    assert not candidacy.is_due(READY, 10.3, lambda: 0.2)
    assert candidacy.next_at() == pytest.approx(10.5)


def test_a_candidate_stands_again_after_a_backoff_and_not_before_another_lease_ends() -> None:
    candidacy = Candidacy(Draws())
    assert not candidacy.is_due(READY, 10.0, lambda: 0.2)
    assert candidacy.is_due(READY, 10.2, lambda: 0.2)
    again = 10.2 + 1.5 * BACKOFF_SECONDS
    assert candidacy.next_at() == pytest.approx(again)
    candidacy.refused(until=12.0)
    assert not candidacy.is_due(READY, again, lambda: 0.2)
    assert candidacy.next_at() == 12.0
    assert candidacy.is_due(READY, 12.0, lambda: 0.2)
