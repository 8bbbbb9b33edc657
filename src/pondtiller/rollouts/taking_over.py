"""Whether a run of an earlier leader goes on under this one. No I/O.

Owns nothing. A run that its runner kept is taken over where its sample waits and the text that is
known is the one that the run continues; else the sample is begun anew, and the runner ends its run
(`run_holding.py`).
"""

from enum import StrEnum
from typing import NamedTuple

from pondtiller.rollouts.sample_work import OfferedRun, RunName, Stage


class TakeOverRefusal(StrEnum):
    """Why an offered run does not go on."""

    UNKNOWN_SAMPLE = "unknown_sample"
    UNKNOWN_ENGINE = "unknown_engine"
    NOT_WAITING = "not_waiting"
    NOT_ROUTED = "not_routed"
    STILL_ENDING = "still_ending"
    LEFT_ENGINE = "left_engine"
    OTHER_TEXT = "other_text"
    OUTSIDE_HOME = "outside_home"


class OfferedSample(NamedTuple):
    """What is known of the sample of an offered run.

    Attributes
    ----------
    is_routed
        Whether a row in force serves its step.
    is_ending
        Whether a cancelled run of it may still be at an engine.
    has_left
        Whether a run of it left that engine just now.
    last_event, made_by
        Of the text that is known: its last event, and the run that made it.
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


def why_not_taken_over(offered: OfferedRun, sample: OfferedSample) -> TakeOverRefusal | None:
    """Return why an offered run does not go on; None where it does."""
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
    """Return whether no event of another run stands before those of the offered one.

    A text that was saved before the run was taken over bears an earlier name of the run.
    """
    if sample.last_event < offered.after_event:
        return False
    if sample.last_event == offered.after_event:
        return sample.made_by == offered.text_by
    return sample.made_by in (offered.name, *offered.earlier_names)
