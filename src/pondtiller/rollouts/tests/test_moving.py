"""When a run is moved from its engine: each reason at its bound."""

from pondtiller.rollouts.moving import (
    MAX_MOVES,
    SILENT,
    SILENT_GAPS,
    SILENT_SECONDS,
    SLOW_AFTER_SECONDS,
    SLOW_SILENT_GAPS,
    STAYS,
    MoveChoice,
    choose_move,
    may_move,
)
from pondtiller.rollouts.sample_work import CancelReason

PACE = 0.04
SLOW_PACE = 0.1


def _after(age: float, silence: float, engine_pace: float | None, usual_pace: float) -> MoveChoice:
    return choose_move(age, 0.0, silence, engine_pace, usual_pace)


def test_a_run_is_silent_after_the_longer_of_two_bounds() -> None:
    assert _after(2.0, SILENT_SECONDS, PACE, PACE) is not SILENT
    assert _after(2.0, SILENT_SECONDS + 0.01, PACE, PACE) is SILENT
    assert _after(2.0, SILENT_SECONDS + 0.01, SLOW_PACE, SLOW_PACE) is not SILENT
    assert _after(2.0, SILENT_GAPS * SLOW_PACE + 0.01, SLOW_PACE, SLOW_PACE) is SILENT


def test_a_run_whose_engine_or_pace_is_not_known_only_counts_as_silent() -> None:
    for engine_pace, usual_pace in ((None, PACE), (PACE, 0.0)):
        assert _after(2.0, 0.5, engine_pace, usual_pace) is STAYS
        assert _after(2.0, 1.0, engine_pace, usual_pace) is SILENT


def test_a_young_run_does_not_move_and_an_older_one_moves_if_it_pays() -> None:
    assert _after(SLOW_AFTER_SECONDS - 0.01, 0.0, PACE, PACE) is STAYS
    aged = _after(SLOW_AFTER_SECONDS, 0.0, PACE, PACE)
    assert (aged.reason, round(aged.factor, 3)) == (CancelReason.SLOW, 1.625)
    assert _after(2.0, 0.0, PACE, PACE).factor == 1.2


def test_missing_events_count_as_pace_only_beyond_a_pause() -> None:
    assert _after(2.0, SLOW_SILENT_GAPS * PACE - 0.001, PACE, PACE).pace == PACE
    assert _after(2.0, 0.5, PACE, PACE).pace == 0.5


def test_a_sample_is_moved_at_most_so_often() -> None:
    assert may_move(MAX_MOVES - 1)
    assert not may_move(MAX_MOVES)
