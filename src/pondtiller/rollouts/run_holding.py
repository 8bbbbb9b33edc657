"""What happens to runs whose leader is lost: they continue until another leader takes them. No I/O.

A takeover takes 1.5 s and more. If the runner ended its runs, a long sample would lose as much each
time, since another run would start from the last saved text. Instead the runner continues, and
offers its runs to the leader that the replicas name. An engine must not work on a sample that a
leader has started at another engine, so a run ends as soon as its runner can no longer exclude
that.

Stateless; `gateway/runs/leaderless_runs.py` keeps the runs and executes the decisions. All times
are in seconds.
"""

from enum import StrEnum
from typing import NamedTuple

from pondtiller.steplog.replica import LEASE_SECONDS

LEADER_SILENT_SECONDS = LEASE_SECONDS - 0.2
"""Silence after which a leader counts as lost. A successor leads one lease after its predecessor's
last message to the replicas at the earliest. The last message to a runner may have been sent 0.3 s
before that, or been delayed. A run that is ended slightly too late is only made twice."""
LEADER_LOST_SECONDS = 0.5
"""Age of a leader's last message to replicas from which on it counts as lost for them too. A leader
sends one every 0.3 s; one that was lost before it was silent here for 1.0 s sent its last one at
least 0.7 s ago."""
MAX_SECONDS = 4.0
"""Longest time without a leader. Elections take 1.5 s to 3.7 s, the longest on machines of 0.12 of
a core. While the replicas name no leader nobody else works on the sample, so this only bounds the
wasted work of an engine."""
TAKE_OVER_START_SECONDS = 0.3
"""Time from a leader's answer that it takes a run over until it must start it. Both messages leave
together; if the second is lost, the leader starts the sample elsewhere as soon as it notices."""
SAME_LEADER_SECONDS = 0.3
"""Longest wait for the answer of a leader whose link ended. If it is alive, it starts the samples
elsewhere then, so the wait must be under 0.4 s. Between regions an answer takes at least 80 ms."""
RETURNED_LEADER_SECONDS = 0.1
"""The same for a leader that may have been paused (`may_have_returned`). One that was paused
answers at once; one that is disconnected from this process may keep two engines busy for this
long."""
NEXT_LEADER_SECONDS = 0.5
"""The same for another leader: it starts no runs for 0.2 s of its term, and is named once
promised."""


class LeaveReason(StrEnum):
    """Why runs here no longer have a leader; the values are logged."""

    LINK_ENDED = "the link ended"
    LEADER_SILENT = "the leader is silent"
    STOPS = "this daemon stops"


class KeepEnd(StrEnum):
    """Why runs without a leader end although one was asked; the values are logged."""

    NOT_TAKEN = "the leader did not take them"
    NO_ANSWER = "the leader that is named does not answer"
    NOT_BEGUN = "the leader that took them did not begin them"


class BeginRefusal(StrEnum):
    """Why a run is not started for a leader; the values are logged."""

    STOPS = "this daemon stops"
    OLDER_LEADER = "an older leader"


class HoldReason(StrEnum):
    """Why runs without a leader are kept, offered or ended; the values are logged."""

    TOO_LONG = "no leader took them"
    CUT_OFF = "the replicas are not heard"
    NO_LEADER = "no leader is known"
    OTHER_LEADER = "another leader is known"
    LEADER_SILENT = "the leader is silent"
    LINK_ENDED = "the link ended"
    TOO_FEW_ANSWERED = "too few replicas answered"
    LEADER_LEADS = "the leader leads and does not reach this daemon"
    LOST_BY_REPLICAS = "the replicas do not hear the leader either"
    LEADER_RETURNED = "the leader leads again"


class HoldStep(StrEnum):
    """What to do with runs whose leader is lost."""

    KEEP = "keep"
    OFFER = "offer"
    ASK = "ask"
    END = "end"


class LostLeader(NamedTuple):
    """A lost leader, and when its last message arrived here.

    Attributes
    ----------
    last_message_at
        Monotonic time in seconds.
    last_message_running
        The same in running time of this process; minus infinity if unknown.
    """

    epoch: int
    last_message_at: float
    last_message_running: float = float("-inf")


class HoldChoice(NamedTuple):
    """A step with its reason, for logs."""

    step: HoldStep
    reason: HoldReason


def next_step(
    lost: LostLeader, leader_epoch: int | None, has_quorum_contact: bool, now: float
) -> HoldChoice:
    """Return what to do with the runs of a lost leader.

    Parameters
    ----------
    leader_epoch
        Epoch of the leader that replicas name now; None if they name none.
    has_quorum_contact
        Whether messages of a quorum of the replica group arrived recently, so that a new leader
        would be known here.
    """
    silence = now - lost.last_message_at
    if silence >= MAX_SECONDS:
        return HoldChoice(HoldStep.END, HoldReason.TOO_LONG)
    if not has_quorum_contact:
        return HoldChoice(HoldStep.END, HoldReason.CUT_OFF)
    if leader_epoch is None:
        return HoldChoice(HoldStep.KEEP, HoldReason.NO_LEADER)
    if leader_epoch > lost.epoch:
        return HoldChoice(HoldStep.OFFER, HoldReason.OTHER_LEADER)
    if silence >= LEADER_SILENT_SECONDS:
        return HoldChoice(HoldStep.ASK, HoldReason.LEADER_SILENT)
    # Its connection ended, but it may be alive; then it answers that it has started them elsewhere.
    return HoldChoice(HoldStep.OFFER, HoldReason.LINK_ENDED)


def may_have_returned(lost: LostLeader, was_lost_by_replicas: bool, running: float) -> bool:
    """Return whether a silent leader that is still leading may have all its runs, and ask for them.

    Parameters
    ----------
    was_lost_by_replicas
        Whether replicas received nothing from it for some time either: then it was paused itself.
    running
        Current time in running time of this process. A leader that was silent only while this
        process was paused may have been paused with it.
    """
    return was_lost_by_replicas or running - lost.last_message_running < LEADER_SILENT_SECONDS


def after_asking(leader_age: float | None, may_return: bool = False) -> HoldChoice:
    """Return what to do with the runs of a silent leader that the replicas still name.

    Parameters
    ----------
    leader_age
        Seconds since any member of the group received its last message; None if too few answered.
    may_return
        See `may_have_returned`.
    """
    if leader_age is None:
        return HoldChoice(HoldStep.END, HoldReason.TOO_FEW_ANSWERED)
    if leader_age >= LEADER_LOST_SECONDS:
        return HoldChoice(HoldStep.KEEP, HoldReason.LOST_BY_REPLICAS)
    if may_return:
        return HoldChoice(HoldStep.OFFER, HoldReason.LEADER_RETURNED)
    return HoldChoice(HoldStep.END, HoldReason.LEADER_LEADS)


def begin_refusal(epoch: int, highest_epoch: int, is_stopping: bool) -> BeginRefusal | None:
    """Return why a run is not started for a leader; None if it is.

    Parameters
    ----------
    epoch
        Epoch of the requesting leader.
    highest_epoch
        Highest epoch that replicas reported to this gateway: an older leader is deposed.
    """
    if is_stopping:
        return BeginRefusal.STOPS
    return BeginRefusal.OLDER_LEADER if epoch < highest_epoch else None
