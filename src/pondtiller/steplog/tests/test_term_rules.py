"""When a takeover is complete, how long a lease lasts, and why a term ends."""

import pytest

from pondtiller.steplog.instructions import Phase, StepDownReason
from pondtiller.steplog.lease_renewal import RENEWAL_SECONDS, LeaseRenewal, Moment
from pondtiller.steplog.replica import LEASE_SECONDS
from pondtiller.steplog.term_rules import (
    LEASE_MARGIN_SECONDS,
    TAKEOVER_SECONDS,
    RefusedPromise,
    TermState,
    is_takeover_complete,
    lease_until,
    must_step_down_on,
    step_down_reason,
)

TAKEOVER = (Phase.PREPARING, Phase.FETCHING, Phase.REWRITING)
NEVER = float("-inf")


def test_a_leader_steps_down_when_its_lease_ends_and_not_before() -> None:
    state = TermState(Phase.LEADING, advanced_at=0.0, lease_until=50.0)
    assert step_down_reason(state, 49.9) is None
    assert step_down_reason(state, 50.0) is StepDownReason.LEASE_ENDED


@pytest.mark.parametrize("phase", TAKEOVER)
def test_a_stalled_takeover_is_given_up_whatever_its_lease(phase: Phase) -> None:
    state = TermState(phase, advanced_at=10.0, lease_until=NEVER)
    assert step_down_reason(state, 10.0 + TAKEOVER_SECONDS) is None
    late = 10.0 + TAKEOVER_SECONDS + 0.01
    assert step_down_reason(state, late) is StepDownReason.TAKEOVER_TOO_LONG


def test_an_idle_gateway_has_nothing_to_give_up() -> None:
    assert step_down_reason(TermState(Phase.IDLE, 0.0, NEVER), 1000.0) is None


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
    assert must_step_down_on(RefusedPromise(phase, replica_epoch, 5)) is stands_down


def test_a_takeover_is_over_once_all_is_written_under_a_lease_that_lasts() -> None:
    state = TermState(Phase.REWRITING, 0.0, lease_until=20.0)
    assert is_takeover_complete(state, has_unwritten=False, now=19.9)
    assert not is_takeover_complete(state, has_unwritten=True, now=19.9)
    assert not is_takeover_complete(state, has_unwritten=False, now=20.0)
    assert not is_takeover_complete(state._replace(phase=Phase.FETCHING), False, 19.9)


def test_a_lease_lasts_as_long_as_that_of_the_last_replica_of_the_best_quorum() -> None:
    margin = LEASE_SECONDS - LEASE_MARGIN_SECONDS
    assert lease_until([5.0, 9.0, 7.0], needed=2) == pytest.approx(7.0 + margin)
    assert lease_until([5.0], needed=2) == NEVER


def test_a_lease_renewed_between_two_checks_may_end_in_a_further_pause() -> None:
    """Guards against a term that ends since a renewal was not seen before the next pause."""
    renewal = LeaseRenewal()
    renewal.update(1.05, Moment(now=0.5, running=0.5))
    renewal.update(1.05, Moment(now=1.8, running=0.6))
    assert renewal.is_awaited
    # Renewed until 2.85 at once; the next check comes after a second pause.
    renewal.update(2.85, Moment(now=3.5, running=0.6 + RENEWAL_SECONDS))
    assert renewal.is_awaited
    renewal.update(4.55, Moment(now=3.6, running=0.7 + RENEWAL_SECONDS))
    assert not renewal.is_awaited


def test_a_renewal_is_awaited_for_a_time_that_further_pauses_do_not_count_for() -> None:
    renewal = LeaseRenewal()
    renewal.update(1.05, Moment(now=1.0, running=1.0))
    renewal.update(1.05, Moment(now=2.0, running=1.01))
    renewal.update(1.05, Moment(now=3.0, running=1.02))
    assert renewal.is_awaited
    renewal.update(1.05, Moment(now=3.5, running=1.01 + RENEWAL_SECONDS))
    assert not renewal.is_awaited


def test_an_answer_to_a_heartbeat_from_before_a_pause_does_not_end_the_wait_for_a_renewal() -> None:
    renewal = LeaseRenewal()
    renewal.update(1.05, Moment(now=0.1, running=0.1))
    renewal.update(1.05, Moment(now=1.7, running=0.12))
    renewal.update(1.15, Moment(now=1.72, running=0.14))
    assert renewal.is_awaited
    renewal.update(2.9, Moment(now=1.8, running=0.22))
    assert not renewal.is_awaited


def test_a_lease_that_ends_beside_a_pause_is_not_waited_for() -> None:
    renewal = LeaseRenewal()
    renewal.update(1.05, Moment(now=0.9, running=0.9))
    renewal.update(1.05, Moment(now=1.3, running=1.1))
    assert not renewal.is_awaited
