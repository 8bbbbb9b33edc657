"""What becomes of runs whose leader is lost: they go on until another leader takes them. No I/O.

A takeover takes 1.5 s and more. A long sample lost as much each time, since its run was ended
and another one began from the text saved last. Now the runner goes on, and offers its runs to
the leader that the replicas name. What must not be is that an engine works on a sample while a
leader has begun it at another one: so a run ends as soon as its runner cannot know that any more.
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
NEXT_LEADER_SECONDS = 0.5
"""The same of another leader: it begins none for 0.2 s of its term, and is named when promised."""


class HoldStep(StrEnum):
    """What to do with runs whose leader is lost."""

    KEEP = "keep"
    OFFER = "offer"
    ASK = "ask"
    END = "end"


class LostLeader(NamedTuple):
    """Whose runs they were, and when it was last heard here, in seconds of the steady clock."""

    epoch: int
    heard_at: float


class HoldChoice(NamedTuple):
    """A step with its reason, for the logs."""

    step: HoldStep
    reason: str


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
        return HoldChoice(HoldStep.END, "no leader took them")
    if not hears_quorum:
        return HoldChoice(HoldStep.END, "the replicas are not heard")
    if leader_epoch is None:
        return HoldChoice(HoldStep.KEEP, "no leader is known")
    if leader_epoch > lost.epoch:
        return HoldChoice(HoldStep.OFFER, "another leader is known")
    if silence >= LEADER_SILENT_SECONDS:
        return HoldChoice(HoldStep.ASK, "the leader is silent")
    # Its connection ended, but it may live: then it says that it has begun them elsewhere.
    return HoldChoice(HoldStep.OFFER, "the link ended")


def after_asking(leader_age: float | None) -> HoldChoice:
    """Return what to do with the runs of a silent leader whom the replicas still name.

    Parameters
    ----------
    leader_age
        How long ago any member of their group heard it, in seconds; None where too few answered.
    """
    if leader_age is None:
        return HoldChoice(HoldStep.END, "too few replicas answered")
    if leader_age < HEARD_SECONDS:
        return HoldChoice(HoldStep.END, "the leader leads and does not reach this daemon")
    return HoldChoice(HoldStep.KEEP, "the replicas do not hear the leader either")
