"""How many engines' worth of places the open steps of a service need. No I/O.

Trainers ask for a step every few seconds, so what is open swings from nothing to a whole step and
back. The need is therefore the highest of the last moments, not that of one moment.

Owns the pace of work and the last moments of one service, for one term of a leader. Does not order
engines: `scaling.py` decides how many from this.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from pondtiller.rollouts.sample_work import SampleWork, Stage

TARGET_SHARE = 0.6
"""Part of a step's time until due within which its samples are to be made: 4.5 s of 7.5 s. The rest
is for the longest samples, for the scorer, and for what has to be made again. With 0.4, 29 engines
were ordered where 18 made every step of a day in time (design note 22)."""
SHORTEST_SECONDS = 1.0
"""A step that is late counts as if so much time were left: it asks for more, not for everything."""
PEAK_SECONDS = 10.0
"""How long a peak counts: two steps of a trainer that comes every 4 s, and a late one."""
LEAST_RUNS = 30
"""Whole runs that must have been seen before the pace is believed: lengths have a heavy tail."""
PACE_RUNS = 300
"""Whole runs after which what was seen before them weighs half."""


LEAST_LEFT_SHARE = 0.1
"""Part of a sample that counts as still to be made while its run goes on, however long it took.
Chosen, not measured: a run that takes longer than expected still has its place."""


@dataclass
class PaceOfWork:
    """Place-seconds that an expected token costs, as whole runs tell it.

    Attributes
    ----------
    seconds, tokens
        Sums over the runs seen, older ones weighing less.
    runs
        Whole runs seen.
    """

    seconds: float = 0.0
    tokens: float = 0.0
    runs: int = 0

    def note_run(self, tokens: float, seconds: float) -> None:
        """Take a run that made a sample from its first event to its last."""
        self.runs += 1
        if self.runs % PACE_RUNS == 0:
            self.seconds /= 2
            self.tokens /= 2
        self.seconds += seconds
        self.tokens += tokens

    @property
    def seconds_per_token(self) -> float | None:
        """Return the pace; None while too few runs were seen."""
        if self.runs < LEAST_RUNS or not self.tokens:
            return None
        return self.seconds / self.tokens


class NeedLook(NamedTuple):
    """Places that were needed at a moment, in seconds of the steady clock."""

    at: float
    places: float


class StepNeed(NamedTuple):
    """What a step's samples still need.

    Attributes
    ----------
    samples
        Samples that are not whole.
    seconds
        Place-seconds that make them.
    due
        When they are to be made, in seconds of the time of day.
    """

    samples: int
    seconds: float
    due: float


NOTHING_NEEDED = StepNeed(0, 0.0, 0.0)


@dataclass
class EngineNeed:
    """What one service needs, as a peak of the last `PEAK_SECONDS`.

    Attributes
    ----------
    since
        When the first look with a known pace was taken; None before.
    """

    pace: PaceOfWork = field(default_factory=PaceOfWork)
    since: float | None = None
    _looks: deque[NeedLook] = field(default_factory=deque)

    def look(self, works: Iterable[SampleWork], now: float, wall_now: float) -> None:
        """Take what is open now."""
        per_token = self.pace.seconds_per_token
        if per_token is None:
            return
        if self.since is None:
            self.since = now
        self._looks.append(NeedLook(now, places_needed(works, per_token, now, wall_now)))
        while self._looks[0].at < now - PEAK_SECONDS:
            self._looks.popleft()

    def peak_places(self, now: float) -> float | None:
        """Return places at engines that were needed at most; None until a peak was seen whole."""
        if self.since is None or now < self.since + PEAK_SECONDS:
            return None
        return max((look.places for look in self._looks), default=0.0)


def places_needed(
    works: Iterable[SampleWork], seconds_per_token: float, now: float, wall_now: float
) -> float:
    """Return how many places make all open samples in the time that their steps have left.

    Never more than one place a sample: a sample cannot be made at two places at once.
    """
    wanted: dict[str, StepNeed] = {}
    for work in works:
        if work.stage not in (Stage.WAITING, Stage.RUNNING):
            continue
        left = work.cost * seconds_per_token
        if work.stage is Stage.RUNNING:
            left = max(left - (now - work.run_started), LEAST_LEFT_SHARE * left)
        due = work.accepted_at + TARGET_SHARE * work.route.step_seconds
        before = wanted.get(work.step_id, NOTHING_NEEDED)
        wanted[work.step_id] = StepNeed(before.samples + 1, before.seconds + left, due)
    return sum(
        min(need.samples, need.seconds / max(need.due - wall_now, SHORTEST_SECONDS))
        for need in wanted.values()
    )
