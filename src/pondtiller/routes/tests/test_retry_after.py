"""Seconds after which a rejected caller should retry."""

import math

import pytest

from pondtiller.errors import ErrorKind, Failure
from pondtiller.routes.retry_after import (
    MIN_RATE_RETRY_SECONDS,
    MIN_RETRY_SECONDS,
    RETRY_AFTER_SECONDS,
    after_no_engine,
    after_rate,
    gateway_retry_after,
)


def test_a_caller_retries_when_the_queue_has_drained_or_with_a_third_of_its_time() -> None:
    assert after_no_engine(0.9, 0.2, 0.0) == pytest.approx(0.2)
    assert after_no_engine(0.9, 5.0, 0.0) == pytest.approx(0.3)
    assert after_no_engine(0.9, None, 0.0) == pytest.approx(0.3)
    assert after_no_engine(0.9, 0.2, 1.0) == pytest.approx(0.1)
    assert after_no_engine(0.9, 0.0, 0.5) == MIN_RETRY_SECONDS


def test_a_caller_above_its_rate_retries_when_a_request_is_allowed() -> None:
    assert after_rate(10.4, 1.0, 10.0) == pytest.approx(0.4)
    assert after_rate(9.0, 1.0, 10.0) == MIN_RATE_RETRY_SECONDS
    assert after_rate(math.inf, 1.0, 10.0) == 1.0


@pytest.mark.parametrize(
    ("failure", "text"),
    [
        (Failure(ErrorKind.NOT_READY), f"{RETRY_AFTER_SECONDS:g}"),
        (Failure(ErrorKind.NO_ENGINE, retry_after_seconds=0.123456), "0.123"),
        (Failure(ErrorKind.ENDS_ENGINES, retry_after_seconds=3599.7), "3600"),
        (Failure(ErrorKind.ENDS_ENGINES, retry_after_seconds=100.4), "100"),
        (Failure(ErrorKind.BAD_REQUEST), None),
        (Failure(ErrorKind.ENGINE_FAILED), None),
        (Failure(ErrorKind.DEADLINE_EXCEEDED), None),
        (Failure(ErrorKind.OUTCOME_UNKNOWN, retry_after_seconds=1.0), None),
    ],
)
def test_the_header_is_sent_only_for_requests_that_were_not_run_and_may_be_served_later(
    failure: Failure, text: str | None
) -> None:
    assert gateway_retry_after(failure) == text
