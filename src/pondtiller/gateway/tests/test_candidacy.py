"""Delay of a gateway's campaign, and conditions under which it is no candidate."""

import random

import pytest

from pondtiller.gateway.leader.candidacy import (
    BACKOFF_SECONDS,
    ELECTION_DELAY_SECONDS,
    MAX_HANDICAP_SECONDS,
    NO_MEMBER_IN_ZONE_SECONDS,
    NO_QUORUM_IN_REGION_SECONDS,
    Candidacy,
    CandidateLocation,
    CandidateView,
    election_delay,
    handicap,
)
from pondtiller.routes.topology import Topology
from pondtiller.wire.steplog import GroupMember

PLACES = Topology({"s1": "s", "s2": "s", "n1": "n"})
READY = CandidateView(may_campaign=True, has_replica_view=True, has_leader=False)


class Draws(random.Random):
    """Returns the middle of each range, and counts draws."""

    def __init__(self) -> None:
        super().__init__()
        self.count = 0

    def random(self) -> float:
        self.count += 1
        return 0.5


def place(zone: str, *members: str, is_order_holder: bool = False) -> CandidateLocation:
    found = [GroupMember(name=each, disk=each, zone=each, host="h", port=1) for each in members]
    return CandidateLocation(0.0, zone, found, PLACES, is_order_holder)


def test_a_slow_machine_campaigns_later_up_to_a_bound() -> None:
    assert handicap(4.0) < handicap(1.0) < handicap(0.5) < MAX_HANDICAP_SECONDS
    assert handicap(0.1) == MAX_HANDICAP_SECONDS


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
def test_a_gateway_far_from_the_group_campaigns_later(
    zone: str, members: tuple[str, ...], more: float
) -> None:
    delay = election_delay(place(zone, *members), Draws())
    assert delay == pytest.approx(ELECTION_DELAY_SECONDS / 2 + more)


def test_the_last_gateway_to_order_engines_campaigns_at_once() -> None:
    draws = Draws()
    assert election_delay(place("n1", "s1", is_order_holder=True), draws) == 0.0
    assert draws.count == 0


@pytest.mark.parametrize("missing", ["may_campaign", "has_replica_view", "has_leader"])
def test_the_delay_starts_again_when_a_gateway_becomes_a_candidate(missing: str) -> None:
    candidacy = Candidacy(Draws())
    assert not candidacy.is_due(READY, 10.0, lambda: 0.2)
    no_candidate = READY._replace(**{missing: not getattr(READY, missing)})
    assert not candidacy.is_due(no_candidate, 10.1, lambda: 0.2)
    assert candidacy.next_at() is None
    assert not candidacy.is_due(READY, 10.3, lambda: 0.2)
    assert candidacy.next_at() == pytest.approx(10.5)


def test_a_candidate_retries_after_a_backoff_and_not_before_another_lease_ends() -> None:
    candidacy = Candidacy(Draws())
    assert not candidacy.is_due(READY, 10.0, lambda: 0.2)
    assert candidacy.is_due(READY, 10.2, lambda: 0.2)
    again = 10.2 + 1.5 * BACKOFF_SECONDS
    assert candidacy.next_at() == pytest.approx(again)
    candidacy.note_refusal(until=12.0)
    assert not candidacy.is_due(READY, again, lambda: 0.2)
    assert candidacy.next_at() == 12.0
    assert candidacy.is_due(READY, 12.0, lambda: 0.2)
