"""What was tried for one request: engines, how attempts ended, and whether one may have run it."""

from dataclasses import dataclass, field

from pondtiller.errors import Ran
from pondtiller.platform.engine_format import Headers
from pondtiller.routes.engines import Engine
from pondtiller.routes.live_queue import Ticket
from pondtiller.routes.send_gate import Held


@dataclass(frozen=True, slots=True)
class WholeAnswer:
    """An engine's answer, read to its end."""

    engine: str
    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class Attempt:
    """How one attempt ended: an answer, or what went wrong.

    Attributes
    ----------
    is_held
        Whether it did not leave, since the engine may get nothing now: the engine did not fail.
    seconds
        How long it took.
    """

    engine: Engine
    answer: WholeAnswer | None
    detail: str = ""
    may_have_run: bool = False
    is_held: bool = False
    seconds: float = 0.0


@dataclass
class Tries:
    """What was tried for one request.

    Attributes
    ----------
    engines
        Those that it was sent to, or is to be sent to.
    held_back
        Those that it did not leave for, since they may get nothing now; they are no attempts.
    refused
        Those that refused it as not run, by their last answer.
    again
        Those among them that refused it as not run some time ago: it may be sent there again.
    unreached
        Those to which it did not leave, since no connection came up; they are no attempts.
    running
        Attempts that have not ended.
    last_began
        When the last attempt began.
    ticket
        Its place among those that wait, once it had to.
    sent
        Attempts that left, less those that an engine refused as not run.
    """

    engines: set[str] = field(default_factory=set)
    held_back: set[str] = field(default_factory=set)
    refused: set[str] = field(default_factory=set)
    again: set[str] = field(default_factory=set)
    unreached: set[str] = field(default_factory=set)
    running: int = 0
    sent: int = 0
    last_began: float = 0.0
    ticket: Ticket | None = None
    last_failure: WholeAnswer | None = None
    details: list[str] = field(default_factory=list)

    @property
    def passed_over(self) -> set[str]:
        """Engines that are not to be chosen again."""
        return (self.engines - self.again) | self.held_back | self.unreached

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

    def may_reach(self, engine: str, attempts: int) -> bool:
        """Return whether a request that goes to so many engines at most may go to this one."""
        return engine in self.again or len(self.engines) < attempts

    def unreachable(self, engine: Engine) -> None:
        """Take that no connection came up: nothing left, so it is no attempt."""
        self.engines.discard(engine.identifier)
        self.unreached.add(engine.identifier)

    def hold_back(self, engine: Engine, reason: Held) -> None:
        """Take that a request did not leave for an engine that was chosen."""
        self.engines.discard(engine.identifier)
        self.held_back.add(engine.identifier)
        self.details.append(f"{engine.identifier}:held({reason.value})")

    @property
    def ran(self) -> Ran:
        """Whether an engine may have begun to work on it: sent, and not refused as not run."""
        return Ran.UNKNOWN if self.sent else Ran.NO
