import pytest

from pondtiller.gateway.leader.tick_pacing import MAX_GAP_SECONDS, TICK_SHARE, TickPacing


def share_of_ticks(tick_seconds: float, seconds: float = 10.0) -> float:
    """Play ticks of one length while events happen all the time."""
    pacing = TickPacing()
    now, spent = 0.0, 0.0
    while now < seconds:
        now += pacing.wait_seconds(now)
        pacing.ticked(now, now + tick_seconds)
        now += tick_seconds
        spent += tick_seconds
    return spent / now


def test_ticks_take_a_bounded_share_of_a_time_full_of_events() -> None:
    assert share_of_ticks(0.001) == pytest.approx(TICK_SHARE, abs=0.01)
    assert share_of_ticks(0.030) == pytest.approx(TICK_SHARE, abs=0.01)


def test_a_long_tick_is_followed_by_no_longer_gap_than_a_leader_waits_anyway() -> None:
    pacing = TickPacing()
    pacing.ticked(0.0, 2.0)
    assert pacing.wait_seconds(2.0) == pytest.approx(MAX_GAP_SECONDS)


def test_the_first_tick_and_one_after_a_rest_come_at_once() -> None:
    pacing = TickPacing()
    assert pacing.wait_seconds(5.0) == 0.0
    pacing.ticked(5.0, 5.01)
    assert pacing.wait_seconds(5.05) == 0.0
