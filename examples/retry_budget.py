"""Retries are earned by first tries, so a failing back end is not flooded."""

import random

from pondtiller.coordination.retries import Backoff, Breaker, RetryBudget

budget = RetryBudget(ratio=0.1)
breaker = Breaker(threshold=3, open_seconds=1.0)
backoff = Backoff(first=0.05, maximum=2.0)
source = random.Random(1)
retries = 0
for number in range(100):
    now = number * 0.01
    budget.note_first_try()
    if breaker.allows(now):
        breaker.note_sent(now)
        breaker.note_failure(now)
        retries += budget.take_retry()
print(retries, breaker.state(0.5).value, backoff.delay(3, source) <= 0.2)
