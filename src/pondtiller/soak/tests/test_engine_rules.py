"""The soak sees a request at an evacuated or cold engine that should not be there."""

from pondtiller.soak.engine_rules import (
    COLD_EXCESS,
    COLD_RATE,
    COLD_SLACK,
    PATH_SECONDS,
    WITHIN_SECONDS,
    EngineRules,
)
from pondtiller.soak.promises import Promises

MOST = int(COLD_RATE * COLD_EXCESS + COLD_SLACK)


def test_a_request_long_after_an_evacuation_breaks_the_promise_and_a_late_one_does_not() -> None:
    seen = Promises()
    rules = EngineRules("e", seen)
    rules.evacuated_at = 10.0
    rules.began("in time", 10.0 + WITHIN_SECONDS)
    assert seen.breaches == []
    rules.began("too late", 10.1 + WITHIN_SECONDS + PATH_SECONDS)
    assert [each.promise for each in seen.breaches] == ["an evacuated zone gets nothing new"]
    rules.evacuated_at = None
    rules.began("taken back", 30.0)
    assert len(seen.breaches) == 1


def test_one_request_more_than_a_cold_engine_bears_in_any_second_breaks_the_promise() -> None:
    seen = Promises()
    rules = EngineRules("e", seen)
    rules.cold_from, rules.cold_until = 10.0, 20.0
    for number in range(MOST):
        rules.began(f"q{number}", 10.5 + number * 0.01)
    assert seen.breaches == []
    rules.began("over", 11.2)
    assert [each.promise for each in seen.breaches] == ["a cold engine gets no more than it bears"]


def test_a_warm_engine_and_one_that_got_its_requests_over_two_seconds_break_nothing() -> None:
    seen = Promises()
    rules = EngineRules("e", seen)
    for number in range(3 * MOST):
        rules.began(f"warm{number}", 1.0)
    rules.turn_cold(1.0)
    for number in range(2 * MOST):
        rules.began(f"q{number}", 5.0 + number * 1.01 / MOST)
    assert seen.breaches == []
