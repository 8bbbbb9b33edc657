"""Attempts of one request: their engines, their outcomes, and whether one may have run it.

Holds the state of one request while it is in progress. What an outcome means is decided in
`routes.live_attempts`; nothing is sent here.
"""

from dataclasses import dataclass, field

from pondtiller.errors import Ran
from pondtiller.platform.headers import Headers
from pondtiller.routes.engine_choice import EngineConstraints
from pondtiller.routes.engines import Engine
from pondtiller.routes.live_attempts import AttemptEnd, HedgeInputs, WaitInputs
from pondtiller.routes.live_queue import Ticket
from pondtiller.routes.send_gate import BlockReason
from pondtiller.routes.table import RouteRow


@dataclass(frozen=True, slots=True)
class WholeAnswer:
    """An engine's complete answer."""

    engine: str
    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class EndedAttempt:
    """An attempt that has ended.

    Attributes
    ----------
    answer
        None if there is no complete answer.
    detail
        Text for the log line if there is no answer.
    seconds
        Duration of the answer.
    """

    engine: Engine
    end: AttemptEnd
    answer: WholeAnswer | None = None
    detail: str = ""
    seconds: float = 0.0


@dataclass
class RequestAttempts:
    """State of one request's attempts.

    Attributes
    ----------
    engines
        Engines that it was sent to or is about to be sent to.
    held_back
        Engines that it was not sent to, since they may get no work now; not counted.
    refused
        Engines whose last answer was that they did not run it.
    resendable
        Engines among them whose refusal is some time ago: it may be sent there again.
    unreached
        Engines that it was not sent to, since no connection could be opened; not counted.
    running
        Number of attempts in progress.
    sent
        Attempts that were sent, minus those that an engine refused without running them.
    seconds_left_when_sent
        Seconds until the deadline when each attempt in progress was sent, by engine.
    last_began
        When the last attempt started, in monotonic time.
    stalled_before
        Total pauses of this process up to then, in seconds.
    reserved
        Engines whose slots are reserved for attempts that have not started.
    ticket
        Its position in the queue, once it had to wait.
    last_failure
        Last answer with a status of 500 or above; returned if no engine is left.
    details
        Short texts about each event, for the log line.
    """

    engines: set[str] = field(default_factory=set)
    held_back: set[str] = field(default_factory=set)
    refused: set[str] = field(default_factory=set)
    resendable: set[str] = field(default_factory=set)
    unreached: set[str] = field(default_factory=set)
    running: int = 0
    sent: int = 0
    seconds_left_when_sent: dict[str, float] = field(default_factory=dict)
    last_began: float = 0.0
    stalled_before: float = 0.0
    reserved: list[Engine] = field(default_factory=list)
    ticket: Ticket | None = None
    last_failure: WholeAnswer | None = None
    details: list[str] = field(default_factory=list)

    @property
    def excluded(self) -> frozenset[str]:
        """Engines that must not be chosen again."""
        return frozenset((self.engines - self.resendable) | self.held_back | self.unreached)

    @property
    def ran(self) -> Ran:
        """Whether an engine may have run it: sent, and not refused as not run."""
        return Ran.UNKNOWN if self.sent else Ran.NO

    def constraints(self, service: str, route: RouteRow) -> EngineConstraints:
        """Return the constraints on where the request may still be sent."""
        return EngineConstraints(
            service=service,
            homes=route.homes,
            excluded=self.excluded,
            resendable=frozenset(self.resendable),
            engines_used=len(self.engines),
            max_engines=route.attempts,
        )

    def hedge_inputs(self, route: RouteRow, is_suspect: bool) -> HedgeInputs:
        """Return the inputs of the decision whether a second attempt may run beside the first."""
        return HedgeInputs(
            may_repeat=route.may_repeat,
            is_suspect=is_suspect,
            engines_used=len(self.engines),
            max_engines=route.attempts,
        )

    def wait_inputs(self, route: RouteRow, has_engine: bool) -> WaitInputs:
        """Return the inputs of the decision whether the request may wait for an engine."""
        return WaitInputs(
            has_engine=has_engine,
            may_repeat=route.may_repeat,
            was_refused=bool(self.refused | self.resendable),
            engines_used=len(self.engines),
            max_engines=route.attempts,
        )

    def reserve(self, engine: Engine) -> None:
        """Reserve a slot of an engine for an attempt that is about to start."""
        engine.running += 1
        self.reserved.append(engine)

    def leave_reserved(self) -> None:
        """Release the slots of attempts that never started, since the caller left."""
        for engine in self.reserved:
            engine.end_work()
        self.reserved.clear()

    def begin(self, engine: str, now: float) -> None:
        """Record the start of an attempt at an engine."""
        if self.engines:
            self.details.append("next")
        self.engines.add(engine)
        self.refused.discard(engine)
        self.resendable.discard(engine)
        self.running += 1
        self.last_began = now

    def allow_again(self, may_repeat: bool) -> None:
        """Allow engines again that had no free slot or could not be reached.

        A request that must not run twice is sent to no engine again, not even after a refusal.
        """
        if may_repeat:
            self.resendable |= self.refused
        self.held_back.clear()
        self.unreached.clear()

    def unreachable(self, engine: Engine) -> None:
        """Record that no connection could be opened: nothing was sent, so it is not counted."""
        self.engines.discard(engine.identifier)
        self.unreached.add(engine.identifier)

    def note_unanswered(self) -> None:
        """Add the attempts in progress at the deadline to the log details."""
        for engine, left in self.seconds_left_when_sent.items():
            self.details.append(f"{engine}:unanswered(left={left:.3f})")

    def note_blocked(self, engine: Engine, reason: BlockReason) -> None:
        """Record that a request was not sent to the engine that was chosen."""
        self.engines.discard(engine.identifier)
        self.held_back.add(engine.identifier)
        self.details.append(f"{engine.identifier}:held({reason.value})")
