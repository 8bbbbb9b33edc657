"""What the sample scheduler works on: a sample's stages, its text, and the instructions.

Types alone. `SampleWork` is what a leader knows of a sample during one term; `samples.py` owns the
open ones and changes them, together with `run_table.py`. Does not decide anything.
"""

from dataclasses import dataclass, field
from enum import Enum, StrEnum
from typing import NamedTuple

from pondtiller.rollouts.start_order import FIRST_OF_ALL, StartOrder
from pondtiller.rollouts.step_record import SampleHead, StepRecord
from pondtiller.routes.quarantine import sample_content
from pondtiller.routes.table import RouteRow
from pondtiller.routes.tenants import owned_name
from pondtiller.wire.steplog import SampleResult

BACK_SECONDS = 4.0
"""How long a sample does not go back to an engine that its run left. An engine without power stands
in the list for three heartbeats (3.6 s), longer than its pause after a failure: a long sample went
back to one four times, and its step was late by that."""


class Stage(Enum):
    """How far a sample is."""

    WAITING = "waiting"
    RUNNING = "running"
    SCORING = "scoring"
    LISTED = "listed"


class RunEnd(StrEnum):
    """How a run on an engine ended."""

    WHOLE = "whole"
    BROKEN = "broken"
    REFUSED = "refused"
    FAILED = "failed"
    IMPOSSIBLE = "impossible"
    STALE = "stale"


class ScoreEnd(StrEnum):
    """How a scorer's request ended."""

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
    """A run among those of all leaders: the leader's epoch, and the number that it gave."""

    epoch: int
    run: int


NO_RUN = RunName(0, 0)


class StartRun(NamedTuple):
    """Send a sample to an engine, after `last_event` where it is continued.

    Attributes
    ----------
    tenant
        Whose sample it is; empty where the step has no tenant.
    text_by
        The run that made the last event.
    runner
        Daemon where a run of it goes on that is taken over; empty where one is begun.
    held
        Name of the run that is taken over.
    table_version
        Version of the table that holds the route; 0 where it is not told.
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
    """A run of an earlier leader that goes on at its runner.

    Attributes
    ----------
    sample
        Name under which the sample's unfinished text is kept.
    after_event
        The run began after this event.
    name
        Of the leader that began it, or took it over last.
    text_by
        The run that made the event after which it began.
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
        Why, for the logs.
    """

    run: int
    sample: str
    engine: str
    reason: CancelReason


class ScoreText(NamedTuple):
    """Have a finished sample judged.

    Attributes
    ----------
    run, engine
        The run that made it whole, and its engine; 0 and empty where a kept text was.
    """

    step: str
    sample: SampleHead
    run: int
    engine: str


class ListResult(NamedTuple):
    """Give a sample's result its position.

    Attributes
    ----------
    given_up
        Why it was given up; None where it succeeded.
    """

    step: str
    result: SampleResult
    given_up: GiveUpReason | None = None


Instruction = StartRun | CancelRun | ScoreText | ListResult


@dataclass
class Text:
    """What was made of a sample so far.

    Attributes
    ----------
    events
        Data of the events from the first on.
    versions
        Versions that made them, without repeats.
    last_event
        Number of the last event; 0 before the first.
    made_by
        The run that made the last event.
    """

    events: list[str] = field(default_factory=list)
    versions: list[int] = field(default_factory=list)
    last_event: int = 0
    is_whole: bool = False
    made_by: RunName = NO_RUN

    def add(self, number: int, data: str, version: int, made_by: RunName) -> None:
        """Take the next event."""
        self.events.append(data)
        self.made_by = made_by
        self.last_event = number
        if version not in self.versions:
            self.versions.append(version)

    def fits(self, oldest_version: int, single_version: bool) -> bool:
        """Return whether all of it may stand in a step's sample."""
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
        The same against the mean of the step's samples.
    storage_name
        Name under which its unfinished text is kept: two tenants may use the same identifier.
    order
        Where it stands among the samples that wait.
    run, engine, run_started, run_events
        Its run, its engine, when it began, and how many events it made; of the last run where
        none is under way. Times are in seconds of the steady clock.
    last_heard
        When the run's last event came, or the run began.
    spans_pause
        Whether who reads the run's stream was paused since its last event.
    moves
        How often it was moved for silence or slowness.
    late_at
        When it is given up for its age, in seconds of the time of day.
    is_routed
        Whether a row in force serves its step.
    table_version
        Version of the table that says so; 0 where it is not told.
    group, model, oldest_version, accepted_at
        Copies of the sample's and the step's own: a message's fields are slow to read, and
        these are looked at in every tick.
    checked_at
        Until when it is known what came, where the run is at another daemon; 0 where it is here
        or nothing was told yet.
    attempts_failed
        Answers that say that the run failed.
    score_failures
        The same of the scorer.
    left
        When a run of it broke off at an engine, or left it, by the engine's identifier.
    is_taken_over
        Whether its run was begun under an earlier leader.
    """

    step: StepRecord
    route: RouteRow
    sample: SampleHead
    cost: float
    size: float = 1.0
    order: StartOrder = FIRST_OF_ALL
    stage: Stage = Stage.WAITING
    text: Text = field(default_factory=Text)
    run: int = 0
    engine: str = ""
    run_started: float = 0.0
    last_heard: float = 0.0
    spans_pause: bool = False
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
        self.content: str = sample_content(self.storage_name)
        self.group: str = self.sample.group
        self.model: str = step.model
        self.oldest_version: int = step.oldest_version
        self.accepted_at: float = step.accepted_at

    def has_left(self, engine: str, now: float) -> bool:
        """Return whether it is not to go back to an engine yet."""
        return now < self.left.get(engine, float("-inf")) + BACK_SECONDS

    @property
    def service(self) -> str:
        """Service whose engines run it."""
        return self.route.choose_service(self.sample_id)

    @property
    def stays_with(self) -> int | None:
        """Version that must make the rest, where one alone may stand in the text."""
        if self.route.single_version and self.text.versions:
            return self.text.versions[0]
        return None
