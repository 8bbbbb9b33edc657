"""Rows of the daemon's entity tables: steps of trainers, their slots and samples.

A step lasts until its trainer has acknowledged all slots or stops reading; its trainer opens it
again elsewhere when the daemon is lost. `systems.steps` and `systems.slots` change these rows.
"""

from dataclasses import dataclass
from enum import Enum

from pondtiller.serve.core.tokens import Segment


class SlotState(Enum):
    """Where a sample of a step stands."""

    RUNNING = "running"
    SCORING = "scoring"
    COMMITTED = "committed"


@dataclass(frozen=True, slots=True)
class Sample:
    """One finished sample as the trainer reads it."""

    slot: int
    sample_id: str
    prompt: str
    text: str
    token_count: int
    finish_reason: str
    segments: tuple[Segment, ...]
    score: float


@dataclass(slots=True)
class Slot:
    """One place of a step; it is filled once."""

    prompt: str
    state: SlotState = SlotState.RUNNING
    tries: int = 0
    request_id: str = ""
    pending: Sample | None = None
    sample: Sample | None = None


@dataclass(frozen=True, slots=True)
class StepKey:
    """A trainer's step."""

    trainer: str
    step: int


@dataclass(frozen=True, slots=True)
class SlotKey:
    """A slot of a step."""

    step: StepKey
    slot: int


@dataclass(slots=True)
class Step:
    """A step whose samples this daemon makes.

    Attributes
    ----------
    version
        Weight version of the trainer when it will use the samples; staleness is judged
        against it.
    cursor
        Slots before this one are acknowledged and freed.
    """

    key: StepKey
    version: int
    maximum_tokens: int
    fingerprint: str
    slots: list[Slot]
    opened_at: float
    cursor: int = 0
    used_at: float = 0.0


@dataclass(slots=True)
class SamplePoll:
    """A trainer's read that waits for samples."""

    call_id: str
    key: StepKey
    cursor: int
    until: float
