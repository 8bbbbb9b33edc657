"""Rows of the daemon's entity tables: engines, requests, attempts, counts of a table row.

The tables are in `World` and last as long as the process; systems change them. Steps of trainers
and their samples are in `step_entities`.
"""

from dataclasses import dataclass, field
from enum import Enum

from pondtiller.address import Address
from pondtiller.coordination.retries import Breaker
from pondtiller.errors import Failure
from pondtiller.serve.core.tokens import Segment


@dataclass(slots=True)
class Engine:
    """A model engine as this daemon sees it.

    Attributes
    ----------
    slots
        Requests that the engine batches at a time.
    models
        Models that the engine can serve.
    leaving
        True once the list of machines, a report or a peer says so; the engine gets no new work.
    versions
        Weight version by model, from the latest report.
    running, urgent
        Requests on the engine and those of them with urgent priority, as reported.
    own, own_urgent
        The same, for this daemon's own attempts, now.
    reported_own, reported_own_urgent
        This daemon's own attempts at the time of the report.
    """

    name: str
    zone: str
    address: Address
    slots: int
    models: frozenset[str]
    generation: int
    leaving: bool = False
    broken: bool = False
    failed_polls: int = 0
    reported_at: float | None = None
    versions: dict[str, int] = field(default_factory=dict)
    running: int = 0
    urgent: int = 0
    own: int = 0
    own_urgent: int = 0
    reported_own: int = 0
    reported_own_urgent: int = 0
    breaker: Breaker = field(default_factory=Breaker)

    def estimate(self) -> int:
        """Return the requests on the engine: the lagged report corrected by own changes."""
        return max(self.own, self.running - self.reported_own + self.own)

    def urgent_estimate(self) -> int:
        """Return the urgent requests on the engine, corrected in the same way."""
        return max(self.own_urgent, self.urgent - self.reported_own_urgent + self.own_urgent)


class RequestState(Enum):
    """Where a request stands."""

    ADMISSION = "admission"
    CLAIMING = "claiming"
    FOLLOWING = "following"
    QUEUED = "queued"
    RUNNING = "running"
    RECORDING = "recording"


@dataclass(frozen=True, slots=True)
class RequestSpec:
    """What a caller or a step asks for; it never changes.

    Attributes
    ----------
    row
        Key of the table row that the request counts against.
    caller
        Name of the caller class, empty where there is none.
    once
        The request must not be repeated.
    idempotency_key
        Caller's name for the request, empty where it gave none.
    minimum_version
        Oldest weight version that may make a token, 0 for any.
    """

    request_id: str
    row: str
    caller: str
    model: str
    prompt: str
    maximum_tokens: int
    stream: bool
    once: bool
    idempotency_key: str
    fingerprint: str
    minimum_version: int = 0
    is_rollout: bool = False

    @property
    def rows(self) -> tuple[str, ...]:
        """Keys of all rows that the request counts against."""
        return (self.row, f"caller/{self.caller}") if self.caller else (self.row,)


@dataclass(slots=True)
class Request:
    """A request in progress.

    Attributes
    ----------
    token_count, parts, segments
        What of the answer has come so far.
    reached_engine
        Whether any byte may have reached an engine.
    avoid
        Engine to avoid in the next attempt, empty for none.
    held_rows
        Rows in whose `in_flight` the request is counted.
    """

    spec: RequestSpec
    arrived_at: float
    deadline: float
    weight: float
    priority: int
    state: RequestState = RequestState.ADMISSION
    token_count: int = 0
    parts: list[str] = field(default_factory=list)
    segments: list[Segment] = field(default_factory=list)
    finish_reason: str = ""
    attempt_id: str = ""
    attempts: int = 0
    reached_engine: bool = False
    avoid: str = ""
    holds_claim: bool = False
    held_rows: list[str] = field(default_factory=list)

    def text(self) -> str:
        """Return the answer so far."""
        return "".join(self.parts)


@dataclass(slots=True)
class Attempt:
    """One try of a request on one engine.

    Attributes
    ----------
    reached_before
        Whether an earlier attempt may have reached an engine.
    """

    attempt_id: str
    request_id: str
    engine: str
    urgent: bool
    started_at: float
    reached_before: bool = False


@dataclass(slots=True)
class RowCounts:
    """Counters of one row since this daemon started."""

    in_flight: int = 0
    queued: int = 0
    answered: int = 0
    refused: int = 0
    failed: int = 0
    tokens: int = 0
    samples: int = 0
    staleness: int = 0
    attempts: int = 0
    latencies: list[float] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class FinishedRequest:
    """A request that came to its end."""

    request: Request
    failure: Failure | None
