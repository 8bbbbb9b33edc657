"""Rules for a live request after each of its attempts. No I/O.

A request is what a caller, or the leader on behalf of a scorer, sent; an attempt sends it once to
one engine. These functions decide whether a second attempt may run beside the first, whether a
request may wait for an engine, what the outcome of an attempt means, and how a request is answered
that ran out of engines or time.

Stateless: `gateway.callers.attempts` keeps the state, and `gateway.callers` sends. The next engine
is chosen by `engine_choice`, the order of waiting requests is kept by `live_queue`, and the time
after which a rejected caller should retry is computed by `retry_after`.
"""

from enum import StrEnum
from typing import NamedTuple

from pondtiller.errors import ErrorKind, Ran

OVERDUE_FACTOR = 2.0
"""An attempt is overdue after this multiple of the usual time: its engine is probably gone."""
SCORER_TIME_FACTOR = 6.0
"""Duration of a scorer's request, in multiples of the usual time: two engines one after the other,
and as long again for both if they are slow."""
MIN_SCORER_SECONDS = 0.6
"""Shortest duration of a scorer's request: `SCORER_TIME_FACTOR` times the usual time of 0.1 s that
is assumed while few answers were seen."""
MAX_SCORER_ENGINES = 2
"""Most engines that one scorer's request is sent to. The leader retries with a new request, so more
engines would only add load where engines fail."""


class HedgeInputs(NamedTuple):
    """Inputs of the decision whether a second attempt may start while the first one runs.

    Attributes
    ----------
    may_repeat
        Whether the route allows the request to run twice.
    is_suspect
        Whether an engine crashed while it processed the request's content.
    engines_used, max_engines
        Engines that it was sent to, and most engines that it may be sent to.
    """

    may_repeat: bool
    is_suspect: bool
    engines_used: int
    max_engines: int


def may_hedge(inputs: HedgeInputs) -> bool:
    """Return whether a second engine may get a request too; never if an engine crashed under it."""
    if inputs.is_suspect:
        return False
    return inputs.may_repeat and inputs.engines_used < inputs.max_engines


def is_overdue(last_began: float, usual_seconds: float, now: float) -> bool:
    """Return whether the last attempt's engine may be gone; times are monotonic.

    An overdue request is hedged even if no engine has free slots.
    """
    return now >= last_began + OVERDUE_FACTOR * usual_seconds


class WaitInputs(NamedTuple):
    """Inputs of the decision whether a request may wait for an engine.

    Attributes
    ----------
    has_engine
        Whether a usable engine of its service exists now.
    may_repeat
        Whether the route allows the request to run twice.
    was_refused
        Whether an engine refused it without running it, and has not got it again since.
    engines_used, max_engines
        Engines that it was sent to, and most engines that it may be sent to.
    """

    has_engine: bool
    may_repeat: bool
    was_refused: bool
    engines_used: int
    max_engines: int


def may_wait(inputs: WaitInputs) -> bool:
    """Return whether one of the known engines may get the request later."""
    if not inputs.has_engine:
        return False
    may_go_again = inputs.may_repeat and inputs.was_refused
    return inputs.engines_used < inputs.max_engines or may_go_again


class AttemptEnd(StrEnum):
    """Outcome of an attempt."""

    HELD_BACK = "held_back"
    """It was not sent, since the engine may get no work now."""
    UNREACHABLE = "unreachable"
    """It was not sent, since no connection could be opened."""
    BROKEN = "broken"
    """It was sent, and no complete answer arrived."""
    REFUSED = "refused"
    """The engine answered that it did not run the request."""
    UNSIGNED = "unsigned"
    """A success without the engine's signature: it does not prove that the request ran."""
    FAILED = "failed"
    """The engine ran the request and answered with a status of 500 or above."""
    ANSWERED = "answered"


class AnswerFacts(NamedTuple):
    """Relevant properties of a complete answer.

    Attributes
    ----------
    status
        HTTP status.
    is_not_run
        Whether the engine states that it did not run the request.
    is_signed
        Whether the answer carries the engine's signature.
    """

    status: int
    is_not_run: bool
    is_signed: bool

    @property
    def is_success(self) -> bool:
        """Whether the status says that the request succeeded."""
        return 200 <= self.status < 300


def end_of_answer(answer: AnswerFacts) -> AttemptEnd:
    """Return the outcome of an attempt by the head of its answer."""
    if answer.is_not_run:
        return AttemptEnd.REFUSED
    if answer.is_success and not answer.is_signed:
        return AttemptEnd.UNSIGNED
    return AttemptEnd.FAILED if answer.status >= 500 else AttemptEnd.ANSWERED


class NextStep(StrEnum):
    """What happens to a request after an attempt."""

    ANSWER = "answer"
    """The engine's answer is returned to the caller."""
    OTHER_ENGINE = "other_engine"
    """Another engine may get the request, if there is one left."""
    GIVE_UP = "give_up"
    """The request fails with the verdict's error."""


class Verdict(NamedTuple):
    """What the outcome of an attempt means for its request.

    Attributes
    ----------
    reason
        Outcome of the attempt.
    error
        Error returned to the caller; None unless the request is given up.
    """

    step: NextStep
    reason: AttemptEnd
    error: ErrorKind | None = None


def judge(end: AttemptEnd, may_repeat: bool) -> Verdict:
    """Return what an attempt's outcome means for a request that is answered as a whole.

    Parameters
    ----------
    may_repeat
        Whether the route allows the request to run twice.
    """
    if end is AttemptEnd.ANSWERED:
        return Verdict(NextStep.ANSWER, end)
    if end in (AttemptEnd.HELD_BACK, AttemptEnd.UNREACHABLE, AttemptEnd.REFUSED):
        return Verdict(NextStep.OTHER_ENGINE, end)
    if may_repeat:
        return Verdict(NextStep.OTHER_ENGINE, end)
    if end is AttemptEnd.FAILED:
        return Verdict(NextStep.ANSWER, end)
    return Verdict(NextStep.GIVE_UP, end, ErrorKind.OUTCOME_UNKNOWN)


def judge_stream(end: AttemptEnd, may_resume: bool, has_started: bool) -> Verdict:
    """Return what an attempt's outcome means for a stream.

    Once the caller has received a part of a stream, another engine's status cannot be returned any
    more, and the stream continues elsewhere only if the route allows it to be resumed.

    Parameters
    ----------
    may_resume
        Whether the route allows another engine to continue the stream.
    has_started
        Whether the caller has received a part of it.
    """
    if end in (AttemptEnd.HELD_BACK, AttemptEnd.UNREACHABLE, AttemptEnd.REFUSED):
        return Verdict(NextStep.OTHER_ENGINE, end)
    if may_resume:
        return Verdict(NextStep.OTHER_ENGINE, end)
    if end in (AttemptEnd.BROKEN, AttemptEnd.UNSIGNED):
        return Verdict(NextStep.GIVE_UP, end, ErrorKind.OUTCOME_UNKNOWN)
    if has_started:
        return Verdict(NextStep.GIVE_UP, end, ErrorKind.ENGINE_FAILED)
    return Verdict(NextStep.ANSWER, end)


def error_without_engines(ran: Ran) -> ErrorKind:
    """Return the error of a request for which no engine is left."""
    return ErrorKind.NO_ENGINE if ran is Ran.NO else ErrorKind.ENGINE_FAILED


def error_without_time(ran: Ran) -> ErrorKind:
    """Return the error of a request whose deadline has passed."""
    return ErrorKind.EXPIRED_IN_QUEUE if ran is Ran.NO else ErrorKind.DEADLINE_EXCEEDED


def error_of_quarantined_content(ran: Ran) -> ErrorKind:
    """Return the error of a request whose content is quarantined since it crashed engines."""
    return ErrorKind.ENDS_ENGINES if ran is Ran.NO else ErrorKind.ENGINE_FAILED


class ScorerPlan(NamedTuple):
    """Bounds of a scorer's request.

    Attributes
    ----------
    seconds
        From its start until its answer is due.
    engines
        Most engines, including hedges.
    """

    seconds: float
    engines: int


def scorer_plan(usual_seconds: float, row_engines: int) -> ScorerPlan:
    """Return the bounds of a scorer's request, for which no caller has set a deadline.

    Parameters
    ----------
    usual_seconds
        Time within which nearly all answers of the service arrive.
    row_engines
        Most engines that the scorer's row allows for a request.
    """
    seconds = max(MIN_SCORER_SECONDS, SCORER_TIME_FACTOR * usual_seconds)
    return ScorerPlan(seconds, min(MAX_SCORER_ENGINES, row_engines))
