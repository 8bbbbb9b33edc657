"""Order of waiting requests, early rejection, retry times, and concurrency limits of engines."""

import random

import pytest

from pondtiller.address import Address
from pondtiller.routes.concurrency_limit import ConcurrencyLimit
from pondtiller.routes.engines import Engine, EngineEntry, EngineState
from pondtiller.routes.live_queue import (
    MAX_WAIT_SHARE,
    UNKNOWN_PACE,
    LiveQueue,
    Pace,
    has_capacity,
    pace_of,
)
from pondtiller.routes.retry_after import LATEST_RETRY_SHARE, RETRY_SPREAD

UNKNOWN = UNKNOWN_PACE


def engine(answer_seconds: float = 0.0, running: int = 0) -> Engine:
    entry = EngineEntry("e", "app", Address("h", 1), "z", 6, EngineState.READY)
    return Engine(entry, running=running, answer_seconds=answer_seconds)


def queue() -> LiveQueue:
    return LiveQueue(random.Random(7))


def test_priority_then_deadline_then_arrival_decide_who_leaves() -> None:
    waiting = queue()
    given = [(1, 5.0), (0, 9.0), (1, 2.0), (0, 9.0), (1, 5.0)]
    tickets = [waiting.enqueue(priority, due, 0.0, UNKNOWN) for priority, due in given]
    left = []
    while waiting.first is not None:
        left.append(tickets.index(waiting.first))
        waiting.remove(waiting.first)
    assert left == [1, 3, 2, 0, 4]


def test_a_request_waits_for_less_than_half_of_its_time() -> None:
    ticket = queue().enqueue(0, 12.0, 10.0, UNKNOWN)
    assert ticket is not None
    assert ticket.leave_by == pytest.approx(10.0 + 2.0 * MAX_WAIT_SHARE)
    assert MAX_WAIT_SHARE < 0.5


def test_a_request_that_would_be_late_at_the_observed_pace_is_rejected() -> None:
    """With two slots, 0.2 s an answer and 0.3 s for this row, the third is answered after 0.5 s."""
    waiting, pace = queue(), Pace(0.2, 2, 0.3)
    assert waiting.enqueue(0, 0.45, 0.0, pace) is not None
    assert waiting.enqueue(0, 0.46, 0.0, pace) is not None
    assert waiting.enqueue(0, 0.47, 0.0, pace) is None
    assert len(waiting) == 2
    assert waiting.enqueue(0, 0.35, 0.0, pace) is not None, "a more urgent one has none ahead"
    assert waiting.enqueue(0, 0.51, 0.0, UNKNOWN) is not None, "no rejection without a pace"
    assert queue().enqueue(0, 0.25, 0.0, pace) is None, "too late even without a queue"


def test_retry_times_follow_the_pace_and_are_spread() -> None:
    waiting, pace = queue(), Pace(0.2, 2, 0.2)
    for _ in range(4):
        waiting.enqueue(0, 9.0, 0.0, UNKNOWN)
    times = [waiting.seconds_to_retry(9.0, pace) for _ in range(200)]
    assert min(times) < 0.3
    assert max(times) <= 0.5
    assert max(times) - min(times) > 0.5 * RETRY_SPREAD * 0.8
    unknown = [waiting.seconds_to_retry(0.9, UNKNOWN) for _ in range(50)]
    assert max(unknown) <= 0.9 * LATEST_RETRY_SHARE


def test_the_pace_counts_engines_that_answer_up_to_their_limits() -> None:
    limited, silent = engine(0.3), engine(0.1)
    limited.limit.note_late(3, 0.1, 0.0)
    silent.failures = 1
    found = pace_of([engine(0.1), limited, silent, engine()], 0.15)
    assert found == Pace(pytest.approx(0.2), 8, 0.15)
    assert pace_of([silent, engine()], 0.15) == UNKNOWN


def test_an_engine_that_refused_gets_no_request_for_a_moment() -> None:
    full = engine()
    full.note_refusal(1.0)
    assert not has_capacity(full, 1.01)
    assert has_capacity(full, 1.1)


def test_nothing_is_limited_until_an_engine_was_late() -> None:
    limit = ConcurrencyLimit()
    limit.note_answer(6, 6, 0.1, 0.2, 1.0)
    assert limit.allows(1_000)
    limit.note_answer(10, 6, 0.3, 0.2, 1.0)
    assert limit.allows(6)
    assert not limit.allows(7)


def test_requests_sent_before_a_decrease_do_not_lower_the_limit_again() -> None:
    limit = ConcurrencyLimit()
    for count in range(10, 0, -1):
        limit.note_answer(count, 6, 0.3, 0.2, 1.0)
    assert limit.allows(6)
    for step in range(40):
        limit.note_answer(1, 6, 0.3, 0.2, 2.0 + step)
    assert limit.allows(0)
    assert not limit.allows(1)


def test_fast_answers_raise_the_limit_until_it_is_removed() -> None:
    limit = ConcurrencyLimit()
    limit.note_late(1, 0.2, 1.0)
    limit.note_answer(1, 6, 0.15, 0.2, 2.0)
    assert limit.value == 1.0
    for _ in range(200):
        limit.note_answer(int(limit.value or 99), 6, 0.05, 0.2, 3.0)
    assert limit.value is None
