"""A trainer: opens a step, reads its samples by cursor, trains, publishes, and again.

It stores its cursor with its own state, as a real trainer stores it with its checkpoint.
"""

from dataclasses import dataclass, field
from enum import Enum

from pondtiller.serve.core.step_entities import Sample

READ_WAIT_SECONDS = 5.0
"""How long a read waits for samples. Chosen, not measured."""
RETRY_SECONDS = 0.5
"""Pause after a call that failed. Chosen, not measured."""


@dataclass(frozen=True, slots=True)
class TrainerSettings:
    """Size and speed of one trainer.

    Attributes
    ----------
    samples
        Samples of a step.
    prompts_shared
        Samples that share one prompt (a group).
    train_seconds
        Time of training on a whole step.
    """

    name: str
    zone: str
    samples: int = 32
    group: int = 4
    maximum_tokens: int = 512
    train_seconds: float = 5.0
    prompt_characters: int = 400


class Phase(Enum):
    """What the trainer does."""

    OPENING = "opening"
    READING = "reading"
    ACKNOWLEDGING = "acknowledging"
    TRAINING = "training"
    PUBLISHING = "publishing"


@dataclass(frozen=True, slots=True)
class OpenStep:
    """Call: open a step, or open it again at a cursor."""

    step: int
    version: int
    prompts: tuple[str, ...]
    maximum_tokens: int
    cursor: int


@dataclass(frozen=True, slots=True)
class ReadSamples:
    """Call: read samples from a cursor on."""

    step: int
    cursor: int
    wait_seconds: float


@dataclass(frozen=True, slots=True)
class Acknowledge:
    """Call: all samples before the cursor are stored."""

    step: int
    cursor: int


@dataclass(frozen=True, slots=True)
class Publish:
    """Call: new weights are in the weight store."""

    version: int


TrainerCall = OpenStep | ReadSamples | Acknowledge | Publish


@dataclass(frozen=True, slots=True)
class ReceivedSample:
    """A sample as it reached the trainer, with the version at which it was used."""

    step: int
    sample: Sample
    trainer_version: int


@dataclass(slots=True)
class TrainerModel:
    """State machine of one trainer; its driver makes the calls that it asks for."""

    settings: TrainerSettings
    phase: Phase = Phase.OPENING
    step: int = 1
    version: int = 0
    cursor: int = 0
    wait_until: float = 0.0
    idle_since: float = 0.0
    idle_seconds: float = 0.0
    steps_done: int = 0
    received: list[ReceivedSample] = field(default_factory=list)
    step_seconds: list[float] = field(default_factory=list)

    def next_call(self, now: float) -> TrainerCall | None:
        """Return the call to make now, or None until `wait_until`."""
        if now < self.wait_until:
            return None
        if self.phase is Phase.TRAINING:
            self.version += 1
            self.phase = Phase.PUBLISHING
            self.idle_since = now
        if self.phase is Phase.OPENING:
            prompts = step_prompts(self.settings, self.step)
            maximum = self.settings.maximum_tokens
            return OpenStep(self.step, self.version, prompts, maximum, self.cursor)
        if self.phase is Phase.READING:
            return ReadSamples(self.step, self.cursor, READ_WAIT_SECONDS)
        if self.phase is Phase.ACKNOWLEDGING:
            return Acknowledge(self.step, self.cursor)
        return Publish(self.version)

    def note_opened(self) -> None:
        """The step is open."""
        self.phase = Phase.READING

    def note_samples(self, step: int, cursor: int, samples: tuple[Sample, ...], now: float) -> None:
        """Take samples; an answer to an earlier read is ignored."""
        if self.phase is not Phase.READING or (step, cursor) != (self.step, self.cursor):
            return
        for sample in samples:
            self.received.append(ReceivedSample(self.step, sample, self.version))
        self.cursor += len(samples)
        if samples:
            self.phase = Phase.ACKNOWLEDGING

    def note_acknowledged(self, now: float) -> None:
        """The daemon freed what was read; train where the step is whole."""
        if self.cursor < self.settings.samples:
            self.phase = Phase.READING
            return
        self.idle_seconds += now - self.idle_since
        self.step_seconds.append(now - self.idle_since)
        self.steps_done += 1
        self.step += 1
        self.cursor = 0
        self.phase = Phase.TRAINING
        self.wait_until = now + self.settings.train_seconds

    def note_published(self) -> None:
        """The version is known to the service."""
        self.phase = Phase.OPENING

    def note_unknown_step(self, now: float) -> None:
        """The daemon that made the step is gone."""
        if self.phase is Phase.ACKNOWLEDGING and self.cursor >= self.settings.samples:
            self.note_acknowledged(now)
            return
        self.phase = Phase.OPENING

    def note_failed(self, now: float) -> None:
        """A call failed or got no answer; make it again a little later."""
        self.wait_until = now + RETRY_SECONDS


def step_prompts(settings: TrainerSettings, step: int) -> tuple[str, ...]:
    """Return the prompts of a step; a group shares its beginning, as in real training."""
    prompts: list[str] = []
    for number in range(settings.samples):
        group = number // settings.group
        head = f"{settings.name} step {step} group {group} "
        body = ("part " * settings.prompt_characters)[: settings.prompt_characters]
        prompts.append(f"{head}{body}sample {number % settings.group}")
    return tuple(prompts)
