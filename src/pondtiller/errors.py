"""The closed list of error kinds and the one table from kind to answer.

The kind determines whether a request ran, whether it may be sent again and, unless the failure
specifies it, when. The HTTP format is in `httpio.server`. The code that rejects a request, or in
which it fails, decides which kind applies.
"""

from dataclasses import dataclass
from enum import StrEnum


class Ran(StrEnum):
    """Whether a rejected or failed request reached an engine."""

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"


class ErrorKind(StrEnum):
    """Every way in which pondtiller can fail a caller, trainer or operator."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    UNKNOWN_KEY = "unknown_key"
    NOT_FOUND = "not_found"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_ROW = "unknown_row"
    KEY_REUSED = "key_reused"
    CONFLICT = "conflict"
    LIMIT_REACHED = "limit_reached"
    QUEUE_FULL = "queue_full"
    NO_ENGINE = "no_engine"
    NOT_READY = "not_ready"
    DRAINING = "draining"
    CLAIMS_UNAVAILABLE = "claims_unavailable"
    EXPIRED_IN_QUEUE = "expired_in_queue"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    ENGINE_FAILED = "engine_failed"
    ENDS_ENGINES = "ends_engines"
    OUTCOME_UNKNOWN = "outcome_unknown"
    UNKNOWN_STEP = "unknown_step"
    STORE_UNAVAILABLE = "store_unavailable"
    INTERNAL = "internal"


@dataclass(frozen=True, slots=True)
class ErrorAnswer:
    """How one kind of error is answered.

    Attributes
    ----------
    status
        HTTP status code.
    ran
        `Ran.NO` guarantees that no byte of the request reached an engine, or that the engine's own
        rejection proves that it did not start.
    retryable
        Whether the same request may succeed when it is sent again.
    retry_after_seconds
        When to come back, or None where that would not help.
        When to retry, or None if a retry would not help.
        Sentence for people; details are appended by the place that fails.
        Sentence for people; details are appended where the failure occurs.
    """

    status: int
    ran: Ran
    retryable: bool
    retry_after_seconds: int | None
    message: str


ANSWERS: dict[ErrorKind, ErrorAnswer] = {
    ErrorKind.BAD_REQUEST: ErrorAnswer(400, Ran.NO, False, None, "The request is not valid"),
    ErrorKind.BODY_TOO_LARGE: ErrorAnswer(413, Ran.NO, False, None, "The body is too large"),
    ErrorKind.UNKNOWN_KEY: ErrorAnswer(
        401, Ran.NO, False, None, "The request shows no key of a tenant"
    ),
    ErrorKind.NOT_FOUND: ErrorAnswer(404, Ran.NO, False, None, "There is nothing at this path"),
    ErrorKind.METHOD_NOT_ALLOWED: ErrorAnswer(405, Ran.NO, False, None, "Method not allowed"),
    ErrorKind.UNKNOWN_MODEL: ErrorAnswer(404, Ran.NO, False, None, "No service has this name"),
    ErrorKind.UNKNOWN_ROW: ErrorAnswer(404, Ran.NO, False, None, "The table has no such row"),
    ErrorKind.KEY_REUSED: ErrorAnswer(
        422, Ran.NO, False, None, "The idempotency key was used for another request"
    ),
    ErrorKind.CONFLICT: ErrorAnswer(409, Ran.NO, False, None, "The cell was changed meanwhile"),
    ErrorKind.LIMIT_REACHED: ErrorAnswer(429, Ran.NO, True, 1, "The row's limit is reached"),
    ErrorKind.QUEUE_FULL: ErrorAnswer(429, Ran.NO, True, 1, "Too many requests are waiting"),
    ErrorKind.NO_ENGINE: ErrorAnswer(503, Ran.NO, True, 2, "No engine can take the request"),
    ErrorKind.NOT_READY: ErrorAnswer(503, Ran.NO, True, 1, "This daemon is not ready yet"),
    ErrorKind.DRAINING: ErrorAnswer(503, Ran.NO, True, 1, "This daemon is stopping"),
    ErrorKind.CLAIMS_UNAVAILABLE: ErrorAnswer(
        503, Ran.NO, True, 2, "The request could not be claimed, so it was not run"
    ),
    ErrorKind.EXPIRED_IN_QUEUE: ErrorAnswer(
        503, Ran.NO, True, 1, "The deadline passed before an engine was free"
    ),
    ErrorKind.DEADLINE_EXCEEDED: ErrorAnswer(
        504, Ran.YES, True, 1, "The deadline passed while the request ran"
    ),
    ErrorKind.ENGINE_FAILED: ErrorAnswer(
        502, Ran.UNKNOWN, True, 1, "Engines failed while the request ran"
    ),
    ErrorKind.ENDS_ENGINES: ErrorAnswer(
        503, Ran.NO, False, 3600, "Engines ended under requests like this one, so it was not run"
    ),
    ErrorKind.OUTCOME_UNKNOWN: ErrorAnswer(
        502, Ran.UNKNOWN, False, None, "The request may have run and will not be run again"
    ),
    ErrorKind.UNKNOWN_STEP: ErrorAnswer(
        404, Ran.NO, True, None, "This step is not open here; open it again"
    ),
    ErrorKind.STORE_UNAVAILABLE: ErrorAnswer(
        503, Ran.UNKNOWN, True, 5, "The platform's object service did not answer"
    ),
    ErrorKind.INTERNAL: ErrorAnswer(500, Ran.UNKNOWN, False, None, "Internal error"),
}


@dataclass(frozen=True, slots=True)
class Failure:
    """One failure: its kind and a detail sentence.

    Attributes
    ----------
    retry_after_seconds
        When to retry, if that is known better than by the kind.
    """

    kind: ErrorKind
    detail: str = ""
    retry_after_seconds: float | None = None

    @property
    def answer(self) -> ErrorAnswer:
        """The table's answer for this kind."""
        return ANSWERS[self.kind]

    def describe(self) -> str:
        """Return the sentence shown to people."""
        if not self.detail:
            return self.answer.message + "."
        return f"{self.answer.message}: {self.detail}."
