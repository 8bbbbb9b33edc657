"""Decisions about a live request after its attempts."""

import pytest

from pondtiller.errors import ErrorKind, Ran
from pondtiller.routes.live_attempts import (
    MAX_SCORER_ENGINES,
    MIN_SCORER_SECONDS,
    OVERDUE_FACTOR,
    SCORER_TIME_FACTOR,
    AnswerFacts,
    AttemptEnd,
    HedgeInputs,
    NextStep,
    WaitInputs,
    end_of_answer,
    error_of_quarantined_content,
    error_without_engines,
    error_without_time,
    is_overdue,
    judge,
    judge_stream,
    may_hedge,
    may_wait,
    scorer_plan,
)

NOT_SENT = (AttemptEnd.HELD_BACK, AttemptEnd.UNREACHABLE, AttemptEnd.REFUSED)
MAY_HAVE_RUN = (AttemptEnd.BROKEN, AttemptEnd.UNSIGNED, AttemptEnd.FAILED)


def test_only_repeatable_requests_that_crashed_no_engine_are_hedged() -> None:
    inputs = HedgeInputs(may_repeat=True, is_suspect=False, engines_used=1, max_engines=2)
    assert may_hedge(inputs)
    assert not may_hedge(inputs._replace(may_repeat=False))
    assert not may_hedge(inputs._replace(is_suspect=True))
    assert not may_hedge(inputs._replace(engines_used=2))


def test_a_request_is_overdue_after_twice_the_usual_time() -> None:
    assert not is_overdue(10.0, 0.1, 10.0 + 0.1 * OVERDUE_FACTOR - 0.001)
    assert is_overdue(10.0, 0.1, 10.0 + 0.1 * OVERDUE_FACTOR)


def test_a_request_waits_only_if_an_engine_may_get_it_later() -> None:
    inputs = WaitInputs(
        has_engine=True, may_repeat=True, was_refused=False, engines_used=1, max_engines=2
    )
    assert may_wait(inputs)
    assert not may_wait(inputs._replace(has_engine=False))
    spent = inputs._replace(engines_used=2)
    assert not may_wait(spent)
    assert may_wait(spent._replace(was_refused=True))
    assert not may_wait(spent._replace(was_refused=True, may_repeat=False))


@pytest.mark.parametrize(
    ("status", "is_not_run", "is_signed", "end"),
    [
        (503, True, False, AttemptEnd.REFUSED),
        (200, False, False, AttemptEnd.UNSIGNED),
        (200, False, True, AttemptEnd.ANSWERED),
        (404, False, False, AttemptEnd.ANSWERED),
        (500, False, False, AttemptEnd.FAILED),
    ],
)
def test_the_outcome_of_an_attempt_follows_from_its_answer(
    status: int, is_not_run: bool, is_signed: bool, end: AttemptEnd
) -> None:
    assert end_of_answer(AnswerFacts(status, is_not_run, is_signed)) is end


@pytest.mark.parametrize("end", NOT_SENT)
@pytest.mark.parametrize("may_repeat", [True, False])
def test_a_request_that_did_not_run_goes_to_another_engine(
    end: AttemptEnd, may_repeat: bool
) -> None:
    for verdict in (judge(end, may_repeat), judge_stream(end, may_repeat, False)):
        assert verdict == (NextStep.OTHER_ENGINE, end, None)


@pytest.mark.parametrize("end", MAY_HAVE_RUN)
def test_a_request_that_may_have_run_goes_elsewhere_only_if_repeatable(end: AttemptEnd) -> None:
    assert judge(end, may_repeat=True).step is NextStep.OTHER_ENGINE
    assert judge(end, may_repeat=False).step is not NextStep.OTHER_ENGINE


def test_an_unrepeatable_request_fails_if_it_is_unknown_whether_it_ran() -> None:
    for end in (AttemptEnd.BROKEN, AttemptEnd.UNSIGNED):
        verdict = judge(end, may_repeat=False)
        assert verdict == (NextStep.GIVE_UP, end, ErrorKind.OUTCOME_UNKNOWN)


def test_an_engine_s_failure_is_returned_for_an_unrepeatable_request() -> None:
    assert judge(AttemptEnd.FAILED, may_repeat=False).step is NextStep.ANSWER
    assert judge(AttemptEnd.ANSWERED, may_repeat=True).step is NextStep.ANSWER


def test_a_started_stream_gets_no_other_status() -> None:
    begun = judge_stream(AttemptEnd.FAILED, may_resume=False, has_started=True)
    assert begun.error is ErrorKind.ENGINE_FAILED
    assert judge_stream(AttemptEnd.FAILED, False, False).step is NextStep.ANSWER
    for end in (AttemptEnd.FAILED, AttemptEnd.BROKEN):
        assert judge_stream(end, True, True).step is NextStep.OTHER_ENGINE
    broken = judge_stream(AttemptEnd.BROKEN, may_resume=False, has_started=False)
    assert broken.error is ErrorKind.OUTCOME_UNKNOWN


def test_only_requests_that_reached_no_engine_are_answered_as_not_run() -> None:
    assert error_without_engines(Ran.NO) is ErrorKind.NO_ENGINE
    assert error_without_engines(Ran.UNKNOWN) is ErrorKind.ENGINE_FAILED
    assert error_without_time(Ran.NO) is ErrorKind.EXPIRED_IN_QUEUE
    assert error_without_time(Ran.UNKNOWN) is ErrorKind.DEADLINE_EXCEEDED
    assert error_of_quarantined_content(Ran.NO) is ErrorKind.ENDS_ENGINES
    assert error_of_quarantined_content(Ran.UNKNOWN) is ErrorKind.ENGINE_FAILED


def test_a_scorer_s_request_gets_several_usual_times_and_few_engines() -> None:
    assert scorer_plan(0.02, 9) == (MIN_SCORER_SECONDS, MAX_SCORER_ENGINES)
    assert scorer_plan(0.5, 1) == (0.5 * SCORER_TIME_FACTOR, 1)
