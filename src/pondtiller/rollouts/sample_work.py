"""Types of the sample scheduler: a sample's stages, its text, and the instructions.

`SampleWork` is what a leader knows of a sample during one term; `samples.py` holds the open ones
and changes them, together with `run_table.py`.
"""

from dataclasses import dataclass, field
from enum import Enum, StrEnum
from typing import NamedTuple

from pondtiller.rollouts.start_order import UNORDERED, StartOrder
from pondtiller.rollouts.step_record import SampleHead, StepRecord
from pondtiller.routes.table import RouteRow
from pondtiller.routes.tenants import owned_name
from pondtiller.wire.steplog import SampleResult

EVENT_SIZE = 16
"""What an event adds to the size of a text beside its data, so that empty ones count too."""
MAX_TEXT_SIZE = 1024 * 1024
"""Largest size of a sample's text, in characters. A longer one does not fit the 1 MB in which
results are read, and a stream without end makes no sample."""
NO_RETURN_SECONDS = 4.0
"""How long a sample does not return to an engine that its run left. An engine without power stays
listed for three heartbeats (3.6 s), longer than its pause after a failure: a long sample returned
to one four times, which made its step late."""


class Stage(Enum):
    """Stage of a sample."""

    WAITING = "waiting"
    RUNNING = "running"
    SCORING = "scoring"
    LISTED = "listed"


class RunEnd(StrEnum):
    """Outcome of a run on an engine."""

    WHOLE = "whole"
    BROKEN = "broken"
    REFUSED = "refused"
    FAILED = "failed"
    IMPOSSIBLE = "impossible"
    STALE = "stale"


class ScoreEnd(StrEnum):
    """Outcome of a scorer's request."""

    SCORED = "scored"
    FAILED = "failed"
    LOST = "lost"


class CancelReason(StrEnum):
    """Why a run is ended before its engine does."""

    SILENT = "silent"
    SLOW = "slow"
    ENGINE_STARTED_AGAIN = "engine_started_again"
    STEP_ENDED = "step_ended"
    GIVEN_UP = "given_up"


class GiveUpReason(StrEnum):
    """Why a sample is given up."""

    LATE = "late"
    IMPOSSIBLE = "impossible"
    RUNS_FAILED = "runs_failed"
    SCORER_FAILED = "scorer_failed"


class RunName(NamedTuple):
    """Name of a run, unique over all leaders: the leader's epoch, and the number that it gave."""

    epoch: int
    run: int


NO_RUN = RunName(0, 0)


class StartRun(NamedTuple):
    """Send a sample to an engine, after `last_event` if it is continued.

    Attributes
    ----------
    tenant
        Tenant of the sample; empty if the step has none.
    text_by
        Run that made the last event.
    runner
        Daemon at which a run that is taken over continues; empty if a new one is started.
    held
        Name of the run that is taken over.
    table_version
        Version of the table that holds the route; 0 if not stated.
    step_path
        Path of the sample's step.
    """

    run: int
    sample: SampleHead
    host: str
    route: RouteRow
    engine: str
    last_event: int
    expected_version: int | None
    tenant: str = ""
    text_by: RunName = NO_RUN
    runner: str = ""
    held: RunName = NO_RUN
    table_version: int = 0
    step_path: str = ""


class OfferedRun(NamedTuple):
    """A run of an earlier leader that continues at its runner.

    Attributes
    ----------
    sample
        Name under which the sample's unfinished text is stored.
    after_event
        Event after which the run started.
    name
        Name given by the leader that started it, or that took it over last.
    text_by
        Run that made the event after which it started.
    earlier_names
        Its names under the leaders before that one.
    """

    sample: str
    engine: str
    after_event: int
    name: RunName
    text_by: RunName = NO_RUN
    earlier_names: tuple[RunName, ...] = ()


class CancelRun(NamedTuple):
    """End a run; its engine drops it.

    Attributes
    ----------
    reason
        Reason, for logs.
    """

    run: int
    sample: str
    engine: str
    reason: CancelReason


class ClosedStep(NamedTuple):
    """Work of a step that was in progress when it ended.

    Attributes
    ----------
    runs, scores
        Number of its runs, and of its samples that waited for their scores.
    """

    runs: int
    scores: int


class ScoreText(NamedTuple):
    """Have a finished sample scored.

    Attributes
    ----------
    run
        Run that completed it; a number of its own for each further request, and if a stored text
        was complete.
    engine
        Engine of the run that completed it; empty if a stored text was complete.
    """

    step: str
    sample: SampleHead
    run: int
    engine: str


class CancelScore(NamedTuple):
    """Cancel the scoring of a sample.

    Attributes
    ----------
    run
        The same as in its `ScoreText`.
    reason
        Reason, for logs.
    """

    step: str
    sample: str
    run: int
    reason: CancelReason


class ListResult(NamedTuple):
    """Assign a position to a sample's result.

    Attributes
    ----------
    given_up
        Why it was given up; None if it succeeded.
    """

    step: str
    result: SampleResult
    given_up: GiveUpReason | None = None


Instruction = StartRun | CancelRun | ScoreText | CancelScore | ListResult


def _event_size(data: str) -> int:
    return len(data) + EVENT_SIZE


@dataclass
class Text:
    """Text of a sample so far.

    Attributes
    ----------
    events
        Data of all events, from the first.
    versions
        Distinct versions that made them.
    last_event
        Number of the last event; 0 before the first.
    made_by
        Run that made the last event.
    size
        Characters of the events, and `EVENT_SIZE` for each.
    """

    events: list[str] = field(default_factory=list)
    versions: list[int] = field(default_factory=list)
    last_event: int = 0
    is_whole: bool = False
    made_by: RunName = NO_RUN

    def __post_init__(self) -> None:
        self.size = sum(map(_event_size, self.events))

    def has_room(self, data: str) -> bool:
        """Return whether another event still makes a text of a possible length."""
        return self.size + _event_size(data) <= MAX_TEXT_SIZE

    def add(self, number: int, data: str, version: int, made_by: RunName) -> None:
        """Append the next event."""
        self.events.append(data)
        self.size += _event_size(data)
        self.made_by = made_by
        self.last_event = number
        if version not in self.versions:
            self.versions.append(version)

    def fits(self, oldest_version: int, single_version: bool) -> bool:
        """Return whether all of it may be used in a step's sample."""
        if any(version < oldest_version for version in self.versions):
            return False
        return not single_version or len(self.versions) <= 1


@dataclass
class SampleWork:
    """A sample of an open step.

    Attributes
    ----------
    cost
        Tokens that are expected to be made.
    size
        The same relative to the mean of the step's samples.
    storage_name
        Name under which its unfinished text is stored; two tenants may use the same identifier.
    order
        Its position among the waiting samples.
    run, engine, run_started, run_events
        Its run, the engine, the start and the number of events of that run; of the last run if none
        is in progress. While it is scored, `run` is the number in its last `ScoreText`. Times are
        monotonic, in seconds.
    last_event_at
        When the run's last event arrived, or the run started.
    gap_spans_pause
        Whether the process that reads the run's stream was paused since its last event.
    moves
        Number of moves for silence or slowness.
    late_at
        When it is given up for its age, in wall-clock seconds.
    is_routed
        Whether a row in force serves its step.
    table_version
        Version of the table that says so; 0 if not stated.
    group, model, oldest_version, accepted_at
        Copies of fields of the sample and the step: message fields are slow to read, and these are
        used in every tick.
    checked_at
        Time up to which its events are known, if the run is at another daemon; 0 if it is here or
        no message has arrived yet.
    attempts_failed
        Answers that report a failure of the run.
    score_failures
        Answers that report a failure of the scorer.
    left
        When a run of it broke off at an engine or left it, by the engine's identifier.
    is_taken_over
        Whether its run was started under an earlier leader.
    """

    step: StepRecord
    route: RouteRow
    sample: SampleHead
    cost: float
    size: float = 1.0
    order: StartOrder = UNORDERED
    stage: Stage = Stage.WAITING
    text: Text = field(default_factory=Text)
    run: int = 0
    engine: str = ""
    run_started: float = 0.0
    last_event_at: float = 0.0
    gap_spans_pause: bool = False
    checked_at: float = 0.0
    run_events: int = 0
    moves: int = 0
    attempts_failed: int = 0
    score_failures: int = 0
    late_at: float = float("inf")
    is_routed: bool = True
    table_version: int = 0
    left: dict[str, float] = field(default_factory=dict)
    is_taken_over: bool = False

    def __post_init__(self) -> None:
        step = self.step.step
        self.step_id: str = step.id
        self.sample_id: str = self.sample.id
        self.storage_name: str = owned_name(step.tenant, self.sample.id)
        self.group: str = self.sample.group
        self.model: str = step.model
        self.oldest_version: int = step.oldest_version
        self.accepted_at: float = step.accepted_at

    def has_left(self, engine: str, now: float) -> bool:
        """Return whether it must not return to an engine yet."""
        return now < self.left.get(engine, float("-inf")) + NO_RETURN_SECONDS

    @property
    def service(self) -> str:
        """Service whose engines run it."""
        return self.route.choose_service(self.sample_id)

    @property
    def required_version(self) -> int | None:
        """Version that must make the rest, if the text may contain only one version."""
        if self.route.single_version and self.text.versions:
            return self.text.versions[0]
        return None
