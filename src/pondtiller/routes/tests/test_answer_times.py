"""The usual time of an answer, computed from observed answers."""

import pytest

from pondtiller.routes.answer_times import (
    INITIAL_USUAL_SECONDS,
    MAX_ANSWERS,
    MIN_ANSWERS,
    MIN_USUAL_SECONDS,
    AnswerTimes,
    SmoothedTime,
)


def test_few_answers_use_the_initial_time() -> None:
    times = AnswerTimes()
    for _ in range(MIN_ANSWERS - 1):
        times.note(0.5)
    assert times.usual_seconds == INITIAL_USUAL_SECONDS
    times.note(0.5)
    assert times.usual_seconds == 0.5


def test_one_slow_answer_does_not_count_and_old_answers_are_dropped() -> None:
    times = AnswerTimes()
    for number in range(MAX_ANSWERS):
        times.note(5.0 if number == 7 else 0.1)
    assert times.usual_seconds == 0.1
    for _ in range(MAX_ANSWERS):
        times.note(0.3)
    assert times.usual_seconds == 0.3


def test_the_usual_time_has_a_lower_bound() -> None:
    times = AnswerTimes()
    for _ in range(MAX_ANSWERS):
        times.note(0.001)
    assert times.usual_seconds == MIN_USUAL_SECONDS


def test_a_smoothed_time_expires() -> None:
    time = SmoothedTime()
    assert time.seconds(0.0) == 0.0
    time.note(0.4, 1.0)
    time.note(0.8, 2.0)
    assert time.seconds(2.5) == pytest.approx(0.48)
    assert time.seconds(5.5) == 0.0
    time.note(0.1, 6.0)
    assert time.seconds(6.0) == pytest.approx(0.1)
