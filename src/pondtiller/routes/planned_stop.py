"""Which requests a process that stops as planned still passes on. No I/O.

The platform kills the process once its grace is over. Until then every request that was read must
be answered in full. A request that may outlast the grace is rejected as not run, and other
processes serve it.
"""

from typing import NamedTuple

from pondtiller.errors import ErrorKind, Ran
from pondtiller.routes.live_attempts import OVERDUE_FACTOR, error_without_engines


class PlannedStop(NamedTuple):
    """Times of a planned stop, monotonic.

    Attributes
    ----------
    accepts_until
        From then on all requests are rejected.
    answers_by
        When requests that are still open are answered without their engines.
    """

    accepts_until: float
    answers_by: float

    def is_closed(self, now: float) -> bool:
        """Return whether all requests are rejected."""
        return now >= self.accepts_until

    def is_too_late(self, due: float) -> bool:
        """Return whether an answer that is due at a time may come after the end."""
        return due > self.answers_by


def planned_stop(began: float, answer_seconds: float, accept_seconds: float) -> PlannedStop:
    """Return the times of a stop that begins now.

    Parameters
    ----------
    answer_seconds
        Part of the grace in which requests can be answered.
    accept_seconds
        Longest time for which requests are accepted.
    """
    return PlannedStop(began + min(accept_seconds, answer_seconds), began + answer_seconds)


def answer_due(deadline: float, now: float, usual_seconds: float, may_repeat: bool) -> float:
    """Return when a request that is sent now is expected to have been answered.

    Nothing but the deadline counts for a request that cannot be sent again.

    Parameters
    ----------
    usual_seconds
        Time within which nearly all answers of its service arrive.
    may_repeat
        Whether the caller may send it again although it may have run.
    """
    return min(deadline, now + OVERDUE_FACTOR * usual_seconds) if may_repeat else deadline


def error_of_stop(ran: Ran) -> ErrorKind:
    """Return the error of a request that is not passed on since the process stops."""
    return ErrorKind.DRAINING if ran is Ran.NO else error_without_engines(ran)
