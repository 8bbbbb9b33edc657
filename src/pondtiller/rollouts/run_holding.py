"""What becomes of runs whose leader is lost: they go on until another leader takes them. No I/O.

A takeover takes 1.5 s and more. A long sample lost as much each time, since its run was ended
and another one began from the text saved last. Now the runner goes on, and offers its runs to
the leader that the replicas name. What must not be is that an engine works on a sample while a
leader has begun it at another one: so a run ends as soon as its runner cannot know that any more.

Owns nothing; `gateway/runs/leaderless_runs.py` keeps the runs and does what is decided here. All
times are in seconds.
"""

from enum import StrEnum
from typing import NamedTuple

from pondtiller.steplog.replica import LEASE_SECONDS

LEADER_SILENT_SECONDS = LEASE_SECONDS - 0.2
"""A successor leads one lease after its predecessor's last message to the replicas at the
earliest. The last one to a runner may have left 0.3 s before that, or been on its way for longer;
what is ended here a moment too late is not wrong, only made twice."""
HEARD_SECONDS = 0.5
"""A leader that leads is heard by the replicas each 0.3 s. One that was lost before it was silent
here for 1.0 s was heard by them 0.7 s ago or earlier."""
LONGEST_SECONDS = 4.0
"""Elections took 1.5 s to 3.7 s, the longest on machines of 0.12 of a core. While the replicas name
no leader nobody else works on the sample, so this bounds an engine's work in vain only."""
TAKEN_SECONDS = 0.3
"""From the answer that a run is taken until it is begun anew. Both messages leave together; if the
second is lost, the leader begins the sample elsewhere as soon as it hears of that."""
SAME_LEADER_SECONDS = 0.3
"""Longest wait for the answer of a leader whose link ended. If it lives it began the samples
elsewhere then, so the wait must be under 0.4 s. Between regions an answer takes 80 ms at least."""
RETURNED_LEADER_SECONDS = 0.1
"""The same of a leader that may have been paused (`may_have_returned`). One that was answers at
once; one that is cut off from this process may keep two engines at work for so much longer."""
NEXT_LEADER_SECONDS = 0.5
"""The same of another leader: it begins none for 0.2 s of its term, and is named when promised."""


class LeaveReason(StrEnum):
    """Why runs here have no leader any more, as the logs say it."""

    LINK_ENDED = "the link ended"
    LEADER_SILENT = "the leader is silent"
    STOPS = "this daemon stops"


class KeepEnd(StrEnum):
    """Why runs without a leader end though one was asked, as the logs say it."""

    NOT_TAKEN = "the leader did not take them"
    NO_ANSWER = "the leader that is named does not answer"
    NOT_BEGUN = "the leader that took them did not begin them"


class BeginRefusal(StrEnum):
    """Why a run is not begun for a leader, as the logs say it."""

    STOPS = "this daemon stops"
    OLDER_LEADER = "an older leader"


class HoldReason(StrEnum):
    """Why runs without a leader are kept, offered or ended, as the logs say it."""

    TOO_LONG = "no leader took them"
    CUT_OFF = "the replicas are not heard"
    NO_LEADER = "no leader is known"
    OTHER_LEADER = "another leader is known"
    LEADER_SILENT = "the leader is silent"
    LINK_ENDED = "the link ended"
    TOO_FEW_ANSWERED = "too few replicas answered"
    LEADER_LEADS = "the leader leads and does not reach this daemon"
    LOST_BY_ALL = "the replicas do not hear the leader either"
    LEADER_RETURNED = "the leader leads again"


class HoldStep(StrEnum):
    """What to do with runs whose leader is lost."""

    KEEP = "keep"
    OFFER = "offer"
    ASK = "ask"
    END = "end"


class LostLeader(NamedTuple):
    """Whose runs they were, and when it was last heard here.

    Attributes
    ----------
    heard_at
        In seconds of the steady clock.
    heard_running
        The same in seconds in which this process ran; never where it is not known.
    """

    epoch: int
    heard_at: float
    heard_running: float = float("-inf")


class HoldChoice(NamedTuple):
    """A step with its reason, for the logs."""

    step: HoldStep
    reason: HoldReason


def next_step(
    lost: LostLeader, leader_epoch: int | None, hears_quorum: bool, now: float
) -> HoldChoice:
    """Return what to do with the runs of a lost leader.

    Parameters
    ----------
    leader_epoch
        Of the leader that replicas name now; None while they name none.
    hears_quorum
        Whether most members of the replicas' group were heard lately, so that a new leader would
        be known here.
    """
    silence = now - lost.heard_at
    if silence >= LONGEST_SECONDS:
        return HoldChoice(HoldStep.END, HoldReason.TOO_LONG)
    if not hears_quorum:
        return HoldChoice(HoldStep.END, HoldReason.CUT_OFF)
    if leader_epoch is None:
        return HoldChoice(HoldStep.KEEP, HoldReason.NO_LEADER)
    if leader_epoch > lost.epoch:
        return HoldChoice(HoldStep.OFFER, HoldReason.OTHER_LEADER)
    if silence >= LEADER_SILENT_SECONDS:
        return HoldChoice(HoldStep.ASK, HoldReason.LEADER_SILENT)
    # Its connection ended, but it may live: then it says that it has begun them elsewhere.
    return HoldChoice(HoldStep.OFFER, HoldReason.LINK_ENDED)


def may_have_returned(lost: LostLeader, was_lost_by_all: bool, running: float) -> bool:
    """Return whether a silent leader that leads may have all its runs, and ask for them soon.

    Parameters
    ----------
    was_lost_by_all
        Whether replicas did not hear it for some time either: then it was paused itself.
    running
        Now, in seconds in which this process ran. A leader that was silent only while this process
        was paused may have been paused with it.
    """
    return was_lost_by_all or running - lost.heard_running < LEADER_SILENT_SECONDS


def after_asking(leader_age: float | None, may_return: bool = False) -> HoldChoice:
    """Return what to do with the runs of a silent leader whom the replicas still name.

    Parameters
    ----------
    leader_age
        How long ago any member of their group heard it, in seconds; None where too few answered.
    may_return
        See `may_have_returned`.
    """
    if leader_age is None:
        return HoldChoice(HoldStep.END, HoldReason.TOO_FEW_ANSWERED)
    if leader_age >= HEARD_SECONDS:
        return HoldChoice(HoldStep.KEEP, HoldReason.LOST_BY_ALL)
    if may_return:
        return HoldChoice(HoldStep.OFFER, HoldReason.LEADER_RETURNED)
    return HoldChoice(HoldStep.END, HoldReason.LEADER_LEADS)


def why_not_begun(epoch: int, highest_epoch: int, is_stopping: bool) -> BeginRefusal | None:
    """Return why a run is not begun for a leader; None where it is.

    Parameters
    ----------
    epoch
        Of the leader that asks.
    highest_epoch
        The highest that this gateway has heard of from replicas: an older leader is deposed.
    """
    if is_stopping:
        return BeginRefusal.STOPS
    return BeginRefusal.OLDER_LEADER if epoch < highest_epoch else None
