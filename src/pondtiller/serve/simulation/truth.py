"""What really happened, as engines, callers and trainers saw it; daemons add nothing here.

Grows through a run and is judged at its end by `checks` and `measures`.
"""

from dataclasses import dataclass, field

from pondtiller.errors import ErrorKind, Ran
from pondtiller.serve.deployment import Traffic
from pondtiller.serve.emulator.trainer import ReceivedSample


@dataclass(frozen=True, slots=True)
class EngineStart:
    """An engine accepted a request.

    Attributes
    ----------
    given_at
        When the daemon sent it.
    """

    engine: str
    attempt_id: str
    prompt: str
    priority: int
    given_at: float
    at: float


@dataclass(frozen=True, slots=True)
class TokenRun:
    """Consecutive tokens that an engine made with one weight version."""

    first_token: int
    last_token: int
    version: int


@dataclass(frozen=True, slots=True)
class CallerTry:
    """One request of a caller to one daemon, and how it ended.

    Attributes
    ----------
    ended_at
        None while no answer came.
    text
        The whole answer, None where there was none.
    error, ran
        The error answer, None where there was none or the connection broke.
    """

    daemon: str
    sent_at: float
    ended_at: float | None
    text: str | None
    error: ErrorKind | None
    ran: Ran | None


@dataclass(slots=True)
class CallerRequest:
    """A request as its caller sees it, over all tries."""

    prompt: str
    maximum_tokens: int
    service: str
    caller: str
    worth: float
    once: bool
    arrived_at: float
    tries: list[CallerTry] = field(default_factory=list)

    @classmethod
    def of(
        cls, traffic: Traffic, number: int, worth: float, once: bool, arrived_at: float
    ) -> "CallerRequest":
        """Return request `number` of a traffic, with a prompt that no other has."""
        return cls(
            prompt=f"{traffic.caller} asks number {number} " + "price " * 8,
            maximum_tokens=traffic.maximum_tokens,
            service=traffic.service,
            caller=traffic.caller,
            worth=worth,
            once=once,
            arrived_at=arrived_at,
        )

    def answered(self) -> CallerTry | None:
        """Return the try that brought the whole answer, or None."""
        return next((each for each in self.tries if each.text is not None), None)


@dataclass(frozen=True, slots=True)
class LeavingEngine:
    """An engine that the platform marked as leaving."""

    engine: str
    visible_at: float


@dataclass(frozen=True, slots=True)
class AcceptedEdit:
    """A table edit that the object service accepted."""

    revision: int
    accepted_at: float
    caller: str
    priority: int


@dataclass(frozen=True, slots=True)
class BrokenConnection:
    """A caller's connection that ended without an answer because its daemon ended."""

    daemon: str
    at: float
    planned: bool


@dataclass(frozen=True, slots=True)
class OrderSeen:
    """An order that an engine carried out."""

    engine: str
    fence: int
    steward: str
    at: float


@dataclass(frozen=True, slots=True)
class InProgress:
    """Requests of one caller class that all engines together ran at one time."""

    caller: str
    count: int
    at: float


@dataclass(slots=True)
class Truth:
    """The record of one run."""

    starts: list[EngineStart] = field(default_factory=list)
    tokens: dict[str, list[TokenRun]] = field(default_factory=dict)
    callers: list[CallerRequest] = field(default_factory=list)
    received: dict[str, list[ReceivedSample]] = field(default_factory=dict)
    leaving: list[LeavingEngine] = field(default_factory=list)
    edits: list[AcceptedEdit] = field(default_factory=list)
    broken: list[BrokenConnection] = field(default_factory=list)
    orders: list[OrderSeen] = field(default_factory=list)
    first_in_force: dict[int, dict[str, float]] = field(default_factory=dict)
    in_progress: list[InProgress] = field(default_factory=list)
