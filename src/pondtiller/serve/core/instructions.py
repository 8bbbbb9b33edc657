"""Everything that a daemon can ask its driver to do, as typed instructions.

A system appends them to `World.outbox`; the driver carries them out in their order after the tick
and brings answers back as events. A new one goes into `Instruction` and into both drivers.
"""

from dataclasses import dataclass

from pondtiller.address import Address
from pondtiller.coordination.registers.acceptor import JournalEntry
from pondtiller.errors import Failure
from pondtiller.serve.core.step_entities import Sample, StepKey
from pondtiller.serve.core.tokens import Segment
from pondtiller.wire.envelope import Letter


@dataclass(frozen=True, slots=True)
class SendPeer:
    """Send a letter to another daemon; it may be lost."""

    target: str
    address: Address
    letter: Letter


@dataclass(frozen=True, slots=True)
class EngineRequest:
    """What an engine is asked to generate.

    Attributes
    ----------
    resume_text, resume_tokens
        Answer made so far by an earlier attempt; the engine goes on after it.
    minimum_version
        Oldest weight version that may be used; the engine refuses where its own is older.
    """

    request_id: str
    model: str
    prompt: str
    maximum_tokens: int
    priority: int
    resume_text: str
    resume_tokens: int
    minimum_version: int


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Send a request to an engine and report its chunks."""

    attempt_id: str
    engine: str
    address: Address
    request: EngineRequest


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop an attempt; nothing that it still sends matters."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class PollEngine:
    """Ask an engine for its load and versions."""

    engine: str
    address: Address


@dataclass(frozen=True, slots=True)
class EngineOrder:
    """A fenced order: an engine refuses a fence lower than the highest it has seen."""

    order_id: str
    fence: int
    kind: str
    model: str
    version: int


@dataclass(frozen=True, slots=True)
class OrderEngine:
    """Send an order to an engine."""

    engine: str
    address: Address
    order: EngineOrder


@dataclass(frozen=True, slots=True)
class ListStore:
    """Read all objects of the platform's object service."""


@dataclass(frozen=True, slots=True)
class WatchStore:
    """Wait for changes after a revision."""

    revision: int


@dataclass(frozen=True, slots=True)
class WriteStore:
    """Compare-and-swap one object; expected revision 0 creates it, None overwrites."""

    name: str
    expected_revision: int | None
    body: bytes


@dataclass(frozen=True, slots=True)
class ScoreSample:
    """Ask a scorer to judge a sample."""

    score_id: str
    prompt: str
    text: str


@dataclass(frozen=True, slots=True)
class SendText:
    """Pass a piece of a streamed answer to the caller."""

    request_id: str
    text: str


@dataclass(frozen=True, slots=True)
class FinishAnswer:
    """End an answer; `text` is the whole of it.

    Attributes
    ----------
    text
        The whole answer; a streamed one has had its parts sent already.
    digest
        Digest of the whole answer.
    """

    request_id: str
    text: str
    token_count: int
    finish_reason: str
    segments: tuple[Segment, ...]
    digest: str


@dataclass(frozen=True, slots=True)
class FailAnswer:
    """End a request with an error.

    Attributes
    ----------
    reached_engine
        Whether a byte of the request may have reached an engine.
    """

    request_id: str
    failure: Failure
    reached_engine: bool


@dataclass(frozen=True, slots=True)
class AnswerSamples:
    """Give a trainer the samples from its cursor on, perhaps none."""

    call_id: str
    key: StepKey
    samples: tuple[Sample, ...]
    next_cursor: int
    slot_count: int


@dataclass(frozen=True, slots=True)
class AnswerTrainer:
    """Tell a trainer that its call took effect."""

    call_id: str
    version: int
    cursor: int


@dataclass(frozen=True, slots=True)
class RedirectTrainer:
    """Send a trainer to the daemon that makes its step."""

    call_id: str
    address: Address


@dataclass(frozen=True, slots=True)
class FailTrainer:
    """End a trainer's call with an error."""

    call_id: str
    failure: Failure


@dataclass(frozen=True, slots=True)
class WriteJournal:
    """Make register state durable before the messages that follow are sent."""

    entries: tuple[JournalEntry, ...]


@dataclass(frozen=True, slots=True)
class LogField:
    """One key=value pair of a log line."""

    key: str
    value: str | int | float | bool


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Write one log line."""

    event: str
    fields: tuple[LogField, ...]


@dataclass(frozen=True, slots=True)
class Drained:
    """Nothing is in progress any more; the process may end."""


Instruction = (
    SendPeer
    | StartAttempt
    | CancelAttempt
    | PollEngine
    | OrderEngine
    | ListStore
    | WatchStore
    | WriteStore
    | ScoreSample
    | SendText
    | FinishAnswer
    | FailAnswer
    | AnswerSamples
    | AnswerTrainer
    | RedirectTrainer
    | FailTrainer
    | WriteJournal
    | LogEvent
    | Drained
)
