"""Runs whose leader is lost: kept while nobody can have begun the sample elsewhere."""

import pytest

from pondtiller.rollouts.run_holding import (
    LEADER_SILENT_SECONDS,
    LONGEST_SECONDS,
    SAME_LEADER_SECONDS,
    HoldStep,
    LostLeader,
    next_step,
)
from pondtiller.steplog.leader import LEASE_MARGIN_SECONDS
from pondtiller.steplog.replica import LEASE_SECONDS

LOST = LostLeader(epoch=5, heard_at=0.0)


@pytest.mark.parametrize(
    ("leader", "hears", "silence", "step"),
    [
        (None, True, 0.0, HoldStep.KEEP),
        (None, True, LONGEST_SECONDS - 0.1, HoldStep.KEEP),
        (None, True, LONGEST_SECONDS, HoldStep.END),
        (6, True, 0.0, HoldStep.OFFER),
        (6, True, LONGEST_SECONDS, HoldStep.END),
        # Its link ended: it may have begun the samples elsewhere, and says so if it lives.
        (5, True, 0.1, HoldStep.OFFER),
        # It was silent: replicas name it until its lease has ended.
        (5, True, LEADER_SILENT_SECONDS, HoldStep.KEEP),
        (5, True, SAME_LEADER_SECONDS, HoldStep.END),
        # This daemon is cut off: it would not hear of a successor.
        (None, False, LEADER_SILENT_SECONDS, HoldStep.END),
        (6, False, LEADER_SILENT_SECONDS, HoldStep.END),
        (None, False, LEADER_SILENT_SECONDS - 0.1, HoldStep.KEEP),
    ],
)
def test_what_becomes_of_a_lost_leaders_runs(
    leader: int | None, hears: bool, silence: float, step: HoldStep
) -> None:
    assert next_step(LOST, leader, hears, LOST.heard_at + silence).step is step


def test_a_daemon_that_is_cut_off_ends_its_runs_before_a_successor_can_begin_them() -> None:
    """A successor needs a whole lease from the leader's last message to the replicas."""
    assert LEADER_SILENT_SECONDS <= LEASE_SECONDS - LEASE_MARGIN_SECONDS


def test_a_leader_that_does_not_reach_a_runner_is_doubled_for_less_than_0_4_s() -> None:
    """It leaves a silent runner after 1.0 s; replicas name it for as long as it holds its lease."""
    assert SAME_LEADER_SECONDS - LEADER_SILENT_SECONDS < 0.4
