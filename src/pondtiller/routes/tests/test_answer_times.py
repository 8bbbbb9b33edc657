"""When an answer is late, by what was seen."""

import pytest

from pondtiller.routes.answer_times import (
    FEWEST_ANSWERS,
    FIRST_SECONDS,
    KEPT_ANSWERS,
    SHORTEST_SECONDS,
    AnswerTimes,
    SmoothedTime,
)


def test_few_answers_tell_nothing() -> None:
    times = AnswerTimes()
    for _ in range(FEWEST_ANSWERS - 1):
        times.note(0.5)
    assert times.usual_seconds == FIRST_SECONDS
    times.note(0.5)
    assert times.usual_seconds == 0.5


def test_one_slow_answer_of_many_does_not_count_and_older_ones_are_forgotten() -> None:
    times = AnswerTimes()
    for number in range(KEPT_ANSWERS):
        times.note(5.0 if number == 7 else 0.1)
    assert times.usual_seconds == 0.1
    for _ in range(KEPT_ANSWERS):
        times.note(0.3)
    assert times.usual_seconds == 0.3


def test_very_quick_answers_make_no_hasty_second_tries() -> None:
    times = AnswerTimes()
    for _ in range(KEPT_ANSWERS):
        times.note(0.001)
    assert times.usual_seconds == SHORTEST_SECONDS


def test_a_smoothed_time_is_forgotten_when_nothing_comes() -> None:
    time = SmoothedTime()
    assert time.seconds(0.0) == 0.0
    time.note(0.4, 1.0)
    time.note(0.8, 2.0)
    assert time.seconds(2.5) == pytest.approx(0.48)
    assert time.seconds(5.5) == 0.0
    time.note(0.1, 6.0)
    assert time.seconds(6.0) == pytest.approx(0.1)
