import random

from pondtiller.coordination.retries import Backoff, Breaker, BreakerState, RetryBudget


def test_budget_limits_retries_to_a_fraction_of_first_attempts():
    budget = RetryBudget(0.1)
    retries = 0
    for _ in range(1000):
        budget.note_first_try()
        retries += budget.take_retry()
    assert 100 <= retries <= 106


def test_breaker_opens_probes_and_closes():
    breaker = Breaker(threshold=2, open_seconds=1.0)
    breaker.note_failure(0.0)
    assert breaker.allows(0.0)
    breaker.note_failure(0.0)
    assert not breaker.allows(0.5)
    assert breaker.allows(1.0)
    breaker.note_sent(1.0)
    assert not breaker.allows(1.1)
    breaker.note_success()
    assert breaker.state(1.2) is BreakerState.CLOSED


def test_backoff_stays_under_its_ceiling():
    source = random.Random(1)
    backoff = Backoff(first=0.1, maximum=1.0)
    assert all(backoff.delay(attempt, source) <= 1.0 for attempt in range(1, 2000))
