"""The attempts of one request: engines, how attempts ended, and whether one may have run it.

Owns the counts of one request, no longer than the request lasts. What an ended attempt means is
decided in `routes.live_attempts`; nothing is sent here.
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
    """An engine's answer, read to its end."""

    engine: str
    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class EndedAttempt:
    """An attempt that ended.

    Attributes
    ----------
    answer
        None where none came, or not whole.
    detail
        For the log line, where there is no answer.
    seconds
        How long the answer took.
    """

    engine: Engine
    end: AttemptEnd
    answer: WholeAnswer | None = None
    detail: str = ""
    seconds: float = 0.0


@dataclass
class RequestAttempts:
    """What was attempted for one request.

    Attributes
    ----------
    engines
        Those that it was sent to, or is to be sent to.
    held_back
        Those that it did not leave for, since they may get nothing now; not counted.
    refused
        Those that refused it as not run, by their last answer.
    again
        Those among them that refused it as not run some time ago: it may be sent there again.
    unreached
        Those to which it did not leave, since no connection came up; not counted.
    running
        Attempts that have not ended.
    sent
        Attempts that left, less those that an engine refused as not run.
    left_when_sent
        Seconds until the deadline as each attempt left that has not ended, by engine.
    last_began
        When the last attempt began, on the steady clock.
    stalled_before
        For how many seconds this process had stood still by then.
    reserved
        Engines that count an attempt whose task has not begun.
    ticket
        Its place among those that wait, once it had to.
    last_failure
        The last answer with a status from 500 up, which goes back where no engine is left.
    details
        A word for each thing that happened, for the log line.
    """

    engines: set[str] = field(default_factory=set)
    held_back: set[str] = field(default_factory=set)
    refused: set[str] = field(default_factory=set)
    again: set[str] = field(default_factory=set)
    unreached: set[str] = field(default_factory=set)
    running: int = 0
    sent: int = 0
    left_when_sent: dict[str, float] = field(default_factory=dict)
    last_began: float = 0.0
    stalled_before: float = 0.0
    reserved: list[Engine] = field(default_factory=list)
    ticket: Ticket | None = None
    last_failure: WholeAnswer | None = None
    details: list[str] = field(default_factory=list)

    @property
    def excluded(self) -> frozenset[str]:
        """Engines that are not to be chosen again."""
        return frozenset((self.engines - self.again) | self.held_back | self.unreached)

    @property
    def ran(self) -> Ran:
        """Whether an engine may have begun to work on it: sent, and not refused as not run."""
        return Ran.UNKNOWN if self.sent else Ran.NO

    def wanted(self, service: str, route: RouteRow) -> EngineConstraints:
        """Return what the request may still be sent to."""
        return EngineConstraints(
            service=service,
            homes=route.homes,
            excluded=self.excluded,
            resendable=frozenset(self.again),
            engines_used=len(self.engines),
            max_engines=route.attempts,
        )

    def hedge_inputs(self, route: RouteRow, is_suspect: bool) -> HedgeInputs:
        """Return what decides whether a second attempt may run beside the first."""
        return HedgeInputs(
            may_repeat=route.may_repeat,
            is_suspect=is_suspect,
            engines_used=len(self.engines),
            max_engines=route.attempts,
        )

    def wait_inputs(self, route: RouteRow, has_engine: bool) -> WaitInputs:
        """Return what decides whether the request may wait for an engine."""
        return WaitInputs(
            has_engine=has_engine,
            may_repeat=route.may_repeat,
            was_refused=bool(self.refused | self.again),
            engines_used=len(self.engines),
            max_engines=route.attempts,
        )

    def reserve(self, engine: Engine) -> None:
        """Take a place at an engine for an attempt that is about to begin."""
        engine.running += 1
        self.reserved.append(engine)

    def leave_reserved(self) -> None:
        """Free the places of attempts that never began, since the caller left."""
        for engine in self.reserved:
            engine.end_work()
        self.reserved.clear()

    def begin(self, engine: str, now: float) -> None:
        """Take that an attempt at an engine begins."""
        if self.engines:
            self.details.append("next")
        self.engines.add(engine)
        self.refused.discard(engine)
        self.again.discard(engine)
        self.running += 1
        self.last_began = now

    def look_again(self, may_repeat: bool) -> None:
        """Let engines be chosen again that had no room, or could not be reached.

        What must not run twice goes to no engine a second time, also after a refusal.
        """
        if may_repeat:
            self.again |= self.refused
        self.held_back.clear()
        self.unreached.clear()

    def unreachable(self, engine: Engine) -> None:
        """Take that no connection came up: nothing left, so the engine is not counted."""
        self.engines.discard(engine.identifier)
        self.unreached.add(engine.identifier)

    def note_unanswered(self) -> None:
        """Name for the log the attempts that were under way as the deadline passed."""
        for engine, left in self.left_when_sent.items():
            self.details.append(f"{engine}:unanswered(left={left:.3f})")

    def hold_back(self, engine: Engine, reason: BlockReason) -> None:
        """Take that a request did not leave for an engine that was chosen."""
        self.engines.discard(engine.identifier)
        self.held_back.add(engine.identifier)
        self.details.append(f"{engine.identifier}:held({reason.value})")
