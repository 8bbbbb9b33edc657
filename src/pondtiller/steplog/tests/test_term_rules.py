"""When a takeover is over, how long a lease lasts, and why a term ends."""

import pytest

from pondtiller.steplog.instructions import Phase, StandDown
from pondtiller.steplog.replica import LEASE_SECONDS
from pondtiller.steplog.term_rules import (
    LEASE_MARGIN_SECONDS,
    TAKEOVER_SECONDS,
    RefusedPromise,
    TermState,
    is_takeover_over,
    lease_until,
    must_stand_down_on,
    reason_to_stand_down,
)

TAKEOVER = (Phase.PREPARING, Phase.FETCHING, Phase.REWRITING)
NEVER = float("-inf")


def test_a_leader_stands_down_when_its_lease_ends_and_not_before() -> None:
    state = TermState(Phase.LEADING, advanced_at=0.0, lease_until=50.0)
    assert reason_to_stand_down(state, 49.9) is None
    assert reason_to_stand_down(state, 50.0) is StandDown.LEASE_ENDED


@pytest.mark.parametrize("phase", TAKEOVER)
def test_a_takeover_is_given_up_that_stands_still_whatever_its_lease(phase: Phase) -> None:
    state = TermState(phase, advanced_at=10.0, lease_until=NEVER)
    assert reason_to_stand_down(state, 10.0 + TAKEOVER_SECONDS) is None
    late = 10.0 + TAKEOVER_SECONDS + 0.01
    assert reason_to_stand_down(state, late) is StandDown.TAKEOVER_TOO_LONG


def test_who_neither_leads_nor_takes_over_has_nothing_to_give_up() -> None:
    assert reason_to_stand_down(TermState(Phase.IDLE, 0.0, NEVER), 1000.0) is None


@pytest.mark.parametrize(
    ("phase", "replica_epoch", "stands_down"),
    [
        (Phase.PREPARING, 3, True),
        (Phase.PREPARING, 7, True),
        (Phase.FETCHING, 3, False),
        (Phase.REWRITING, 3, False),
        (Phase.LEADING, 3, False),
        (Phase.LEADING, 5, False),
        (Phase.LEADING, 7, True),
    ],
)
def test_a_refusal_ends_a_candidate_and_a_higher_epoch_anybody(
    phase: Phase, replica_epoch: int, stands_down: bool
) -> None:
    assert must_stand_down_on(RefusedPromise(phase, replica_epoch, 5)) is stands_down


def test_a_takeover_is_over_once_all_is_written_under_a_lease_that_lasts() -> None:
    state = TermState(Phase.REWRITING, 0.0, lease_until=20.0)
    assert is_takeover_over(state, has_unwritten=False, now=19.9)
    assert not is_takeover_over(state, has_unwritten=True, now=19.9)
    assert not is_takeover_over(state, has_unwritten=False, now=20.0)
    assert not is_takeover_over(state._replace(phase=Phase.FETCHING), False, 19.9)


def test_a_lease_lasts_as_long_as_that_of_the_last_replica_of_the_best_quorum() -> None:
    margin = LEASE_SECONDS - LEASE_MARGIN_SECONDS
    assert lease_until([5.0, 9.0, 7.0], needed=2) == pytest.approx(7.0 + margin)
    assert lease_until([5.0], needed=2) == NEVER
