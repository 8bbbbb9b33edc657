"""Which groups are deferred when open steps hold more samples than engines can make in time.

Several trainers' steps may together need more slots than there are: after a pause in which nothing
was made, on a smaller fleet, or when more is requested than fits. If samples were made in order of
arrival, all steps would be slightly late, and each trainer would wait. Instead, groups that can
still be complete when their step is due go first, and the rest is deferred: groups that are due
later, and of a lower rank. A group starts once those before it have their slots, so that an
overestimated rate leaves some groups out instead of a part of each. Nothing is given up: deferred
groups are made when slots are free.

While everything fits, nothing is deferred, and the order is unchanged. No I/O.

Holds nothing but the mean duration of runs. `turns.py` calls it at intervals and keeps the order in
force; within a group samples start in the order of `start_order.py`.
"""

from collections.abc import Iterable
from typing import NamedTuple

READ_SECONDS = 0.7
"""Time from the end of a group's last run until its trainer has read it: a scorer's answer (0.1 to
0.2 s), a write to the replicas, and half of the interval of a trainer's reads."""
RANK_SECONDS = 0.2
"""Advance, in seconds, of a step's due time for each rank above another. Ranks thus decide between
steps that are due at about the same time; with 1 s the lowest of three ranks got 1% of its groups
in time, with 0.2 s each of them 51% or more."""
RATE_WEIGHT = 0.1
"""Weight of one run in the mean duration of runs; a few engines complete ten runs in a second."""


class GroupLoad(NamedTuple):
    """A group that is not complete.

    Attributes
    ----------
    remaining
        Samples that are not listed yet.
    has_started
        Whether any part of it was made.
    position
        Position in its step: a trainer puts those first that it waits for anyway.
    """

    name: str
    remaining: int
    has_started: bool
    position: int


class StepLoad(NamedTuple):
    """An open step with its remaining work.

    Attributes
    ----------
    rank
        Its row's priority, 0 first.
    due
        When results are due, on the clock of `order_groups`.
    wanted
        Number of groups that its trainer still waits for.
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
    """Mean duration of a complete run, in seconds; 0 if unknown."""

    def __init__(self) -> None:
        self.mean_seconds = 0.0

    def note(self, seconds: float) -> None:
        """Record the duration of a run that completed a sample."""
        if self.mean_seconds == 0.0:
            self.mean_seconds = seconds
        else:
            self.mean_seconds += RATE_WEIGHT * (seconds - self.mean_seconds)

    def rate(self, places: int) -> float:
        """Return the samples a second that so many slots make; 0 if unknown."""
        return places / self.mean_seconds if self.mean_seconds else 0.0


def order_groups(steps: Iterable[StepLoad], rate: float, now: float) -> tuple[GroupKey, ...]:
    """Return the groups in the order in which they should be completed.

    Those that can be complete in time come first, the others after them.

    Parameters
    ----------
    rate
        Samples a second that the engines make; 0 if unknown.

    Returns
    -------
    tuple of GroupKey
        Empty if everything fits, or if that is unknown.
    """
    ordered = sorted(steps, key=lambda each: (each.due + each.rank * RANK_SECONDS, each.step))
    if rate <= 0.0 or _all_fit(ordered, rate, now):
        return ()
    first: list[GroupKey] = []
    behind: list[GroupKey] = []
    free_at = now
    for step in ordered:
        wanted = step.wanted
        for group in sorted(step.groups, key=_completion_order):
            whole_at = free_at + group.remaining / rate
            if wanted > 0 and whole_at <= step.due - READ_SECONDS:
                free_at = whole_at
                wanted -= 1
                first.append(GroupKey(step.step, group.name))
            else:
                behind.append(GroupKey(step.step, group.name))
    return (*first, *behind)


def _all_fit(steps: list[StepLoad], rate: float, now: float) -> bool:
    """Return whether all groups are complete in time if the first due goes first."""
    free_at = now
    for step in sorted(steps, key=lambda each: each.due):
        free_at += sum(group.remaining for group in step.groups) / rate
        if step.groups and free_at > step.due - READ_SECONDS:
            return False
    return True


def _completion_order(group: GroupLoad) -> tuple[bool, int, int]:
    return not group.has_started, group.remaining, group.position
