"""Which groups are put behind when open steps hold more samples than engines can make in time.

Answers the load of several trainers whose steps together need more places than there are: after a
pause in which nothing was made, on a fleet that has shrunk, or when more is asked than fits. Taken
in the order in which they came, all steps are then a little late, and each trainer waits. So what
can still be whole when its step is due goes first, group by group, and the rest goes behind it:
those due later, and of a lower rank. A group is begun once those before it have their places, so
that a rate taken too high leaves some groups out, and not each of them in part. Nothing is given
up: what is behind is made when places are free.

While everything fits, nothing is put behind, and the order stays as it is. No I/O.

Owns nothing but the mean time of runs. `turns.py` looks now and then and keeps the order in force;
within a group samples begin as `start_order.py` says.
"""

from collections.abc import Iterable
from typing import NamedTuple

READ_SECONDS = 0.7
"""From the end of a group's last run until its trainer has read it: a scorer's answer (0.1 to 0.2
s), a write to the replicas, and half of the time between two reads of a trainer."""
RANK_SECONDS = 0.2
"""By how much sooner than another a step counts as due for each rank that it is before it. Ranks
decide between steps of the same moment; with 1 s the last of three ranks got one group in a hundred
in time, with 0.2 s each of them 51 or more (test_shedding.py, 60 s)."""
RATE_WEIGHT = 0.1
"""Of one run in the mean time of runs; ten runs are what a few engines make in a second. Chosen,
not measured."""


class GroupLoad(NamedTuple):
    """A group that is not whole.

    Attributes
    ----------
    left
        Samples that are not listed yet.
    is_begun
        Whether anything of it was made.
    place
        Where it stands in its step: a trainer puts those first that it waits for anyway.
    """

    name: str
    left: int
    is_begun: bool
    place: int


class StepLoad(NamedTuple):
    """An open step with what is left of it.

    Attributes
    ----------
    rank
        Its row's priority, 0 first.
    due
        When results are due, on the clock of `groups_behind`.
    wanted
        Groups that its trainer still waits for.
    """

    step: str
    rank: int
    due: float
    wanted: int
    groups: tuple[GroupLoad, ...]


class GroupKey(NamedTuple):
    """A group of a step."""

    step: str
    group: str


class RunTimes:
    """The mean time of a whole run, in seconds; 0 while unknown."""

    def __init__(self) -> None:
        self.mean_seconds = 0.0

    def note(self, seconds: float) -> None:
        """Take how long a run took that made a sample whole."""
        if self.mean_seconds == 0.0:
            self.mean_seconds = seconds
        else:
            self.mean_seconds += RATE_WEIGHT * (seconds - self.mean_seconds)

    def rate(self, places: int) -> float:
        """Return the samples a second that so many places make; 0 while unknown."""
        return places / self.mean_seconds if self.mean_seconds else 0.0


def group_turns(steps: Iterable[StepLoad], rate: float, now: float) -> tuple[GroupKey, ...]:
    """Return the groups in the order in which they are to be made whole.

    Those that can be whole in time come first, the others behind them.

    Parameters
    ----------
    rate
        Samples a second that the engines make; 0 where it is not known.

    Returns
    -------
    tuple of GroupKey
        Empty where everything fits, or where that is not known.
    """
    ordered = sorted(steps, key=lambda each: (each.due + each.rank * RANK_SECONDS, each.step))
    if rate <= 0.0 or _all_fit(ordered, rate, now):
        return ()
    first: list[GroupKey] = []
    behind: list[GroupKey] = []
    free_at = now
    for step in ordered:
        wanted = step.wanted
        for group in sorted(step.groups, key=_nearly_whole_first):
            whole_at = free_at + group.left / rate
            if wanted > 0 and whole_at <= step.due - READ_SECONDS:
                free_at = whole_at
                wanted -= 1
                first.append(GroupKey(step.step, group.name))
            else:
                behind.append(GroupKey(step.step, group.name))
    return (*first, *behind)


def _all_fit(steps: list[StepLoad], rate: float, now: float) -> bool:
    """Return whether all groups are whole in time where the first that is due goes first."""
    free_at = now
    for step in sorted(steps, key=lambda each: each.due):
        free_at += sum(group.left for group in step.groups) / rate
        if step.groups and free_at > step.due - READ_SECONDS:
            return False
    return True


def _nearly_whole_first(group: GroupLoad) -> tuple[bool, int, int]:
    return not group.is_begun, group.left, group.place
