"""Whether a run of an earlier leader continues under this one. No I/O.

A run that its runner kept is taken over if its sample waits and the known text is the one that the
run continues. Otherwise the sample is started again, and the runner ends its run
(`run_holding.py`).
"""

from enum import StrEnum
from typing import NamedTuple

from pondtiller.rollouts.sample_work import OfferedRun, RunName, Stage


class TakeOverRefusal(StrEnum):
    """Why an offered run does not continue."""

    UNKNOWN_SAMPLE = "unknown_sample"
    UNKNOWN_ENGINE = "unknown_engine"
    NOT_WAITING = "not_waiting"
    NOT_ROUTED = "not_routed"
    STILL_ENDING = "still_ending"
    LEFT_ENGINE = "left_engine"
    OTHER_TEXT = "other_text"
    OUTSIDE_HOME = "outside_home"


class OfferedSample(NamedTuple):
    """State of the sample of an offered run.

    Attributes
    ----------
    is_routed
        Whether a row in force serves its step.
    is_ending
        Whether a cancelled run of it may still be at an engine.
    has_left
        Whether a run of it left that engine recently.
    last_event, made_by
        Last event of the known text, and the run that made it.
    in_home
        Whether its row's homes allow the engine's zone.
    """

    stage: Stage
    is_routed: bool
    is_ending: bool
    has_left: bool
    last_event: int
    made_by: RunName
    in_home: bool


def refusal_to_take_over(offered: OfferedRun, sample: OfferedSample) -> TakeOverRefusal | None:
    """Return why an offered run does not continue; None if it does."""
    if sample.stage is not Stage.WAITING:
        return TakeOverRefusal.NOT_WAITING
    if not sample.is_routed:
        return TakeOverRefusal.NOT_ROUTED
    if sample.is_ending:
        return TakeOverRefusal.STILL_ENDING
    if sample.has_left:
        return TakeOverRefusal.LEFT_ENGINE
    if not _continues(offered, sample):
        return TakeOverRefusal.OTHER_TEXT
    return None if sample.in_home else TakeOverRefusal.OUTSIDE_HOME


def _continues(offered: OfferedRun, sample: OfferedSample) -> bool:
    """Return whether the known text has no event of another run before those of the offered one.

    A text that was saved before the run was taken over has an earlier name of the run.
    """
    if sample.last_event < offered.after_event:
        return False
    if sample.last_event == offered.after_event:
        return sample.made_by == offered.text_by
    return sample.made_by in (offered.name, *offered.earlier_names)
