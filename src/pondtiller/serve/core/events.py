"""Everything that can happen to a daemon, as typed events.

Drivers make the events that come from outside; those marked internal are made by one system for
another within a tick. A new one goes into `Event` and, with the system that it wakes, into the
table of `systems.tick`.
"""

from dataclasses import dataclass

from pondtiller.errors import Ran
from pondtiller.serve.core.entities import FinishedRequest, RequestSpec
from pondtiller.serve.core.step_entities import Sample, StepKey
from pondtiller.serve.core.tokens import Chunk
from pondtiller.wire.envelope import Letter, PeerMessage


@dataclass(frozen=True, slots=True)
class LetterArrived:
    """Another daemon sent a letter."""

    letter: Letter


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A caller sent a request that passed the checks of form."""

    spec: RequestSpec


@dataclass(frozen=True, slots=True)
class CallerLeft:
    """The caller closed its connection before the answer was whole."""

    request_id: str


@dataclass(frozen=True, slots=True)
class ChunkArrived:
    """An engine sent a piece of an answer."""

    attempt_id: str
    chunk: Chunk


@dataclass(frozen=True, slots=True)
class AttemptFailed:
    """An attempt ended without a whole answer.

    Attributes
    ----------
    ran
        Whether the engine can have started the request.
    engine_leaving
        The engine refused because it is leaving.
    engine_busy
        The engine refused because it is full; it is not at fault.
    """

    attempt_id: str
    ran: Ran
    detail: str
    engine_leaving: bool = False
    engine_busy: bool = False


@dataclass(frozen=True, slots=True)
class VersionReport:
    """Weight version that an engine serves for one model."""

    model: str
    version: int


@dataclass(frozen=True, slots=True)
class EngineReported:
    """An engine answered a poll; the figures may be old already."""

    engine: str
    running: int
    urgent: int
    leaving: bool
    broken: bool
    versions: tuple[VersionReport, ...]


@dataclass(frozen=True, slots=True)
class EnginePollFailed:
    """An engine did not answer a poll."""

    engine: str


class OrderResult:
    """Closed list of an engine's answers to an order."""

    DONE = "done"
    FAILED = "failed"
    STALE_FENCE = "stale_fence"
    NO_ANSWER = "no_answer"


@dataclass(frozen=True, slots=True)
class OrderAnswered:
    """An engine answered an order, or did not in time."""

    engine: str
    order_id: str
    result: str


@dataclass(frozen=True, slots=True)
class StoredObject:
    """One object of the platform's object service."""

    name: str
    revision: int
    body: bytes


@dataclass(frozen=True, slots=True)
class StoreListed:
    """The object service answered a list; it may be an old read."""

    objects: tuple[StoredObject, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class StoreWatched:
    """A watch delivered changes, or ended without any."""

    objects: tuple[StoredObject, ...]
    revision: int


class StoreWriteResult:
    """Closed list of outcomes of a write to the object service."""

    WRITTEN = "written"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class StoreWriteEnded:
    """A compare-and-swap ended; `UNKNOWN` leaves open whether it took effect."""

    name: str
    result: str
    revision: int


@dataclass(frozen=True, slots=True)
class StoreFailed:
    """A list or a watch failed.

    Attributes
    ----------
    expired
        The watch's start revision is too old; list again.
    """

    expired: bool


@dataclass(frozen=True, slots=True)
class StepOpened:
    """A trainer opened a step, or opened it again after its home was lost."""

    call_id: str
    key: StepKey
    version: int | None
    prompts: tuple[str, ...]
    maximum_tokens: int
    cursor: int
    forwarded: bool


@dataclass(frozen=True, slots=True)
class SamplesRead:
    """A trainer reads samples from a slot on."""

    call_id: str
    key: StepKey
    cursor: int
    wait_seconds: float
    forwarded: bool


@dataclass(frozen=True, slots=True)
class SamplesAcknowledged:
    """A trainer stored all samples before `cursor`."""

    call_id: str
    key: StepKey
    cursor: int
    forwarded: bool


@dataclass(frozen=True, slots=True)
class VersionPublished:
    """A trainer put new weights into the weight store."""

    call_id: str
    trainer: str
    version: int


@dataclass(frozen=True, slots=True)
class TrainerLeft:
    """A trainer closed its connection before it was answered."""

    call_id: str


@dataclass(frozen=True, slots=True)
class ScoreArrived:
    """A scorer judged a sample; None where it failed."""

    score_id: str
    score: float | None


@dataclass(frozen=True, slots=True)
class DrainRequested:
    """The operator asked this daemon to stop when its work is done."""


@dataclass(frozen=True, slots=True)
class RequestFinished:
    """Internal: a request came to its end."""

    finished: FinishedRequest


@dataclass(frozen=True, slots=True)
class SampleCommitted:
    """Internal: a slot was filled."""

    key: StepKey
    sample: Sample


@dataclass(frozen=True, slots=True)
class RequestQueued:
    """Internal: a request waits for an engine."""

    request_id: str


@dataclass(frozen=True, slots=True)
class ClaimNeeded:
    """Internal: a request that must not be repeated was admitted."""

    request_id: str


@dataclass(frozen=True, slots=True)
class RolloutStarted:
    """Internal: a step asks for one sample."""

    spec: RequestSpec


@dataclass(frozen=True, slots=True)
class ShareObtained:
    """Internal: a request that waited for the limit of `row` may start; it is counted."""

    request_id: str
    row: str


@dataclass(frozen=True, slots=True)
class _FromPeer:
    """Internal: base of the typed messages that other systems read."""

    sender: str
    incarnation: int
    message: PeerMessage


@dataclass(frozen=True, slots=True)
class RegisterMessageArrived(_FromPeer):
    """Internal: a message of the registers."""


@dataclass(frozen=True, slots=True)
class ShareMessageArrived(_FromPeer):
    """Internal: a demand for, or a grant of, a share of a limit."""


@dataclass(frozen=True, slots=True)
class StatusMessageArrived(_FromPeer):
    """Internal: a member's status report."""


@dataclass(frozen=True, slots=True)
class DocumentsAdopted:
    """Internal: a peer sent a newer document."""


TrainerCalled = StepOpened | SamplesRead | SamplesAcknowledged | VersionPublished
"""Calls of trainers, each answered by its `call_id`."""

PeerMessageArrived = RegisterMessageArrived | ShareMessageArrived | StatusMessageArrived
"""Typed messages of peers, opened from letters by `systems.peers`."""

Event = (
    LetterArrived
    | RequestArrived
    | CallerLeft
    | ChunkArrived
    | AttemptFailed
    | EngineReported
    | EnginePollFailed
    | OrderAnswered
    | StoreListed
    | StoreWatched
    | StoreWriteEnded
    | StoreFailed
    | StepOpened
    | SamplesRead
    | SamplesAcknowledged
    | VersionPublished
    | TrainerLeft
    | ScoreArrived
    | DrainRequested
    | RequestFinished
    | SampleCommitted
    | RequestQueued
    | ClaimNeeded
    | RolloutStarted
    | ShareObtained
    | RegisterMessageArrived
    | ShareMessageArrived
    | StatusMessageArrived
    | DocumentsAdopted
)
"""Closed list of what an inbox and a batch hold."""
