"""Number of engine slots that the open steps of a service need. No I/O.

Trainers submit a step every few seconds, so the open work alternates between nothing and a whole
step. The need is therefore the peak of the last seconds.

Holds the pace of work and the recent needs of one service, for one term of a leader. Does not order
engines: `scaling.py` decides how many from this.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from pondtiller.rollouts.sample_work import SampleWork, Stage

TARGET_SHARE = 0.6
"""Part of a step's time until due in which its samples should be made: 4.5 s of 7.5 s. The rest is
for the longest samples, for the scorer, and for retries. With 0.4, 29 engines were ordered where 18
made every step in time."""
MIN_SECONDS = 1.0
"""Lower bound of the remaining time of a late step, so that it does not demand every engine."""
PEAK_SECONDS = 10.0
"""How long a peak counts: two steps of a trainer with one every 4 s, and a late one."""
MIN_RUNS = 30
"""Complete runs needed before the pace is used, since lengths have a heavy tail."""
PACE_HALVING_RUNS = 300
"""Complete runs after which the weight of the earlier ones is halved."""


MIN_LEFT_SHARE = 0.1
"""Part of a sample that counts as remaining while its run continues, however long it has taken: a
run that takes longer than expected still occupies its slot."""


@dataclass
class WorkPace:
    """Slot-seconds per expected token, from complete runs.

    Attributes
    ----------
    seconds, tokens
        Sums over the observed runs, with decreasing weights.
    runs
        Complete runs observed.
    """

    seconds: float = 0.0
    tokens: float = 0.0
    runs: int = 0

    def note_run(self, tokens: float, seconds: float) -> None:
        """Record a run that made a sample from its first event to its last."""
        self.runs += 1
        if self.runs % PACE_HALVING_RUNS == 0:
            self.seconds /= 2
            self.tokens /= 2
        self.seconds += seconds
        self.tokens += tokens

    @property
    def seconds_per_token(self) -> float | None:
        """Pace of work; None while too few runs were observed."""
        if self.runs < MIN_RUNS or not self.tokens:
            return None
        return self.seconds / self.tokens


class NeedSample(NamedTuple):
    """Slots needed at a monotonic time."""

    at: float
    slots: float


class StepNeed(NamedTuple):
    """Remaining need of a step's samples.

    Attributes
    ----------
    samples
        Samples that are not complete.
    seconds
        Slot-seconds to complete them.
    due
        When they should be complete, in wall-clock time.
    """

    samples: int
    seconds: float
    due: float


NOTHING_NEEDED = StepNeed(0, 0.0, 0.0)


@dataclass
class EngineNeed:
    """Need of one service, as the peak of the last `PEAK_SECONDS`.

    Attributes
    ----------
    since
        Time of the first look with a known pace; None before.
    """

    pace: WorkPace = field(default_factory=WorkPace)
    since: float | None = None
    _samples: deque[NeedSample] = field(default_factory=deque)

    def update(self, works: Iterable[SampleWork], now: float, wall_now: float) -> None:
        """Record the current need."""
        per_token = self.pace.seconds_per_token
        if per_token is None:
            return
        if self.since is None:
            self.since = now
        self._samples.append(NeedSample(now, slots_needed(works, per_token, now, wall_now)))
        while self._samples[0].at < now - PEAK_SECONDS:
            self._samples.popleft()

    def peak_slots(self, now: float) -> float | None:
        """Return the peak number of slots; None until a whole period was observed."""
        if self.since is None or now < self.since + PEAK_SECONDS:
            return None
        return max((look.slots for look in self._samples), default=0.0)


def slots_needed(
    works: Iterable[SampleWork], seconds_per_token: float, now: float, wall_now: float
) -> float:
    """Return how many slots complete all open samples in the time left to their steps.

    At most one slot per sample: a sample cannot be made in two slots at once.
    """
    wanted: dict[str, StepNeed] = {}
    for work in works:
        if work.stage not in (Stage.WAITING, Stage.RUNNING):
            continue
        left = work.cost * seconds_per_token
        if work.stage is Stage.RUNNING:
            left = max(left - (now - work.run_started), MIN_LEFT_SHARE * left)
        due = work.accepted_at + TARGET_SHARE * work.route.step_seconds
        before = wanted.get(work.step_id, NOTHING_NEEDED)
        wanted[work.step_id] = StepNeed(before.samples + 1, before.seconds + left, due)
    return sum(
        min(need.samples, need.seconds / max(need.due - wall_now, MIN_SECONDS))
        for need in wanted.values()
    )
