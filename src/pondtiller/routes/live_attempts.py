"""What happens to a live request after each of its attempts. No I/O.

A request is what a caller, or the leader for a scorer, sent; an attempt is one sending of it to one
engine. These functions say whether a second attempt may run beside the first, whether a request
may wait for an engine, what an attempt that ended means, and what a request is answered that ran
out of engines or time.

Owns no state: `gateway.callers.attempts` keeps it, and `gateway.callers` sends. Which engine is
next is `engine_choice`; the order of those that wait is `live_queue`; when a refused caller is to
come back is `retry_after`.
"""

from enum import StrEnum
from typing import NamedTuple

from pondtiller.errors import ErrorKind, Ran

OVERDUE_TIMES = 2.0
"""A request that waits for twice the usual time is taken to be at an engine that is gone."""
SCORER_TIMES = 6.0
"""Times within which nearly all answers come: two engines one after the other, and as long again
for both where they are slow."""
SHORTEST_SCORER_SECONDS = 0.6
"""Least time of a scorer's request. Chosen, not measured: `SCORER_TIMES` of the usual time that is
taken while few answers were seen, 0.1 s."""
SCORER_ENGINES = 2
"""Most engines that one scorer's request goes to. Chosen, not measured: the leader asks again with
another request, so more engines at once only add load where engines fail."""


class HedgeInputs(NamedTuple):
    """What decides whether a second attempt may begin while the first runs.

    Attributes
    ----------
    may_repeat
        Whether the route allows that the request runs twice.
    is_suspect
        Whether an engine ended under its content.
    engines_used, most_engines
        Engines that it was sent to, and that it may be sent to.
    """

    may_repeat: bool
    is_suspect: bool
    engines_used: int
    most_engines: int


def may_hedge(inputs: HedgeInputs) -> bool:
    """Return whether a second engine may get a request too: not where an engine ended under it."""
    if inputs.is_suspect:
        return False
    return inputs.may_repeat and inputs.engines_used < inputs.most_engines


def is_overdue(last_began: float, usual_seconds: float, now: float) -> bool:
    """Return whether the last attempt's engine may be gone, by the steady clock.

    A hedge of such a request needs no spare engine.
    """
    return now >= last_began + OVERDUE_TIMES * usual_seconds


class WaitInputs(NamedTuple):
    """What decides whether a request may wait for an engine.

    Attributes
    ----------
    has_engine
        Whether an engine of its service is usable now.
    may_repeat
        Whether the route allows that the request runs twice.
    was_refused
        Whether an engine refused it as not run, and did not get it again since.
    engines_used, most_engines
        Engines that it was sent to, and that it may be sent to.
    """

    has_engine: bool
    may_repeat: bool
    was_refused: bool
    engines_used: int
    most_engines: int


def may_wait(inputs: WaitInputs) -> bool:
    """Return whether an engine that is known may get the request later."""
    if not inputs.has_engine:
        return False
    may_go_again = inputs.may_repeat and inputs.was_refused
    return inputs.engines_used < inputs.most_engines or may_go_again


class AttemptEnd(StrEnum):
    """How an attempt ended."""

    HELD_BACK = "held_back"
    """It did not leave, since the engine may get nothing now."""
    UNREACHABLE = "unreachable"
    """It did not leave, since no connection came up."""
    BROKEN = "broken"
    """It left, and no whole answer came."""
    REFUSED = "refused"
    """The engine answered that it did not run it."""
    UNSIGNED = "unsigned"
    """A success without the engine's signature: nobody can tell that it ran."""
    FAILED = "failed"
    """The engine ran it and answered with a status from 500 up."""
    ANSWERED = "answered"


class AnswerFacts(NamedTuple):
    """What a whole answer says.

    Attributes
    ----------
    status
        Of HTTP.
    is_not_run
        Whether the engine says that it did not run the request.
    is_signed
        Whether it bears the engine's signature.
    """

    status: int
    is_not_run: bool
    is_signed: bool


def end_of_answer(answer: AnswerFacts) -> AttemptEnd:
    """Return how an attempt ended that got a whole answer."""
    if answer.is_not_run:
        return AttemptEnd.REFUSED
    if 200 <= answer.status < 300 and not answer.is_signed:
        return AttemptEnd.UNSIGNED
    return AttemptEnd.FAILED if answer.status >= 500 else AttemptEnd.ANSWERED


class NextStep(StrEnum):
    """What a request does after an attempt."""

    ANSWER = "answer"
    """The engine's answer goes back."""
    OTHER_ENGINE = "other_engine"
    """Another engine may get it, where one is left."""
    GIVE_UP = "give_up"
    """It fails, with the verdict's error."""


class Verdict(NamedTuple):
    """What an attempt that ended means for its request.

    Attributes
    ----------
    reason
        How the attempt ended.
    error
        What the caller is answered; None unless the request is given up.
    """

    step: NextStep
    reason: AttemptEnd
    error: ErrorKind | None = None


def judge(end: AttemptEnd, may_repeat: bool) -> Verdict:
    """Return what an attempt's end means for a request that is answered whole.

    Parameters
    ----------
    may_repeat
        Whether the route allows that the request runs twice.
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


def judge_stream(end: AttemptEnd, may_resume: bool, is_begun: bool) -> Verdict:
    """Return what an attempt's end means for a stream.

    A stream differs from a whole answer once the caller has a part of it: an engine's other status
    cannot go back any more, and the stream goes on elsewhere only where the route lets it resume.

    Parameters
    ----------
    may_resume
        Whether the route lets another engine go on with the stream.
    is_begun
        Whether the caller has a part of it.
    """
    if end in (AttemptEnd.HELD_BACK, AttemptEnd.UNREACHABLE, AttemptEnd.REFUSED):
        return Verdict(NextStep.OTHER_ENGINE, end)
    if may_resume:
        return Verdict(NextStep.OTHER_ENGINE, end)
    if end is AttemptEnd.BROKEN:
        return Verdict(NextStep.GIVE_UP, end, ErrorKind.OUTCOME_UNKNOWN)
    if is_begun:
        return Verdict(NextStep.GIVE_UP, end, ErrorKind.ENGINE_FAILED)
    return Verdict(NextStep.ANSWER, end)


def error_without_engines(ran: Ran) -> ErrorKind:
    """Return what a request is answered that no engine is left for."""
    return ErrorKind.NO_ENGINE if ran is Ran.NO else ErrorKind.ENGINE_FAILED


def error_without_time(ran: Ran) -> ErrorKind:
    """Return what a request is answered whose deadline passed."""
    return ErrorKind.EXPIRED_IN_QUEUE if ran is Ran.NO else ErrorKind.DEADLINE_EXCEEDED


def error_of_held_content(ran: Ran) -> ErrorKind:
    """Return what a request is answered whose content no engine may get: engines ended under it."""
    return ErrorKind.ENDS_ENGINES if ran is Ran.NO else ErrorKind.ENGINE_FAILED


class ScorerPlan(NamedTuple):
    """How long a scorer's request may take, and how many engines it may go to.

    Attributes
    ----------
    seconds
        From its start until its answer is due.
    engines
        At most, hedges included.
    """

    seconds: float
    engines: int


def scorer_plan(usual_seconds: float, row_engines: int) -> ScorerPlan:
    """Return the bounds of a scorer's request, for which no caller has set a deadline.

    Parameters
    ----------
    usual_seconds
        Within which nearly all answers of the service come.
    row_engines
        Engines that the scorer's row allows a request.
    """
    seconds = max(SHORTEST_SCORER_SECONDS, SCORER_TIMES * usual_seconds)
    return ScorerPlan(seconds, min(SCORER_ENGINES, row_engines))
