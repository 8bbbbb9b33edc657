"""Rules of a planned stop."""

import pytest

from pondtiller.errors import ErrorKind, Ran
from pondtiller.routes.planned_stop import PlannedStop, answer_due, error_of_stop, planned_stop

BEGAN = 100.0


def test_requests_are_accepted_while_the_platform_still_sends_them() -> None:
    assert planned_stop(BEGAN, 7.2, 3.0) == PlannedStop(BEGAN + 3.0, BEGAN + 7.2)


@pytest.mark.parametrize("answer_seconds", [1.3, -0.3])
def test_a_short_grace_accepts_nothing_that_it_cannot_answer(answer_seconds: float) -> None:
    stop = planned_stop(BEGAN, answer_seconds, 3.0)
    assert stop.accepts_until == stop.answers_by == BEGAN + answer_seconds


def test_all_requests_are_rejected_from_the_end_of_the_accepting_on() -> None:
    stop = planned_stop(BEGAN, 7.2, 3.0)
    assert not stop.is_closed(BEGAN + 2.9)
    assert stop.is_closed(BEGAN + 3.0)


def test_only_the_limit_of_a_request_that_cannot_be_repeated_counts() -> None:
    stop = planned_stop(BEGAN, 7.2, 3.0)
    at, deadline, usual = BEGAN + 1.0, BEGAN + 11.0, 0.1
    assert stop.is_too_late(answer_due(deadline, at, usual, may_repeat=False))
    assert not stop.is_too_late(answer_due(deadline, at, usual, may_repeat=True))
    assert stop.is_too_late(answer_due(deadline, at, 3.2, may_repeat=True))
    assert not stop.is_too_late(answer_due(BEGAN + 7.2, at, 3.2, may_repeat=False))


@pytest.mark.parametrize(
    ("ran", "kind"),
    [
        (Ran.NO, ErrorKind.DRAINING),
        (Ran.UNKNOWN, ErrorKind.ENGINE_FAILED),
        (Ran.YES, ErrorKind.ENGINE_FAILED),
    ],
)
def test_only_a_request_that_was_not_run_is_answered_as_not_run(ran: Ran, kind: ErrorKind) -> None:
    assert error_of_stop(ran) is kind
