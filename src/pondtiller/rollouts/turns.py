"""Order of groups while not all can be complete in time; recomputed at intervals. No I/O.

Holds the turns in force and the mean duration of runs, for one term of a leader. `shedding.py`
decides the order; while everything fits there are no turns, and samples start in their usual order
(`start_order.py`).
"""

from collections.abc import Iterable

from pondtiller.rollouts.placement import Placement
from pondtiller.rollouts.sample_work import SampleWork
from pondtiller.rollouts.shedding import GroupKey, RunTimes, order_groups
from pondtiller.rollouts.step_loads import step_loads

RECOMPUTE_SECONDS = 0.2
"""Interval of the recomputation, which examines all open samples; few groups are completed within
it."""


class GroupTurns:
    """Turns of the groups of all services.

    Attributes
    ----------
    run_times
        Mean duration of a complete run.
    turns
        Turn of each group, 0 first; empty while everything fits.
    """

    def __init__(self, placement: Placement) -> None:
        self.run_times = RunTimes()
        self.turns: dict[GroupKey, int] = {}
        self._placement = placement
        self._next_update = float("-inf")

    def update(self, works: Iterable[SampleWork], now: float, wall_now: float) -> None:
        """Check whether all groups can be complete in time, and which go first if not."""
        if now < self._next_update:
            return
        self._next_update = now + RECOMPUTE_SECONDS
        by_service: dict[str, list[SampleWork]] = {}
        for work in works:
            if work.is_routed:
                by_service.setdefault(work.service, []).append(work)
        turns: list[GroupKey] = []
        for service, open_works in by_service.items():
            usable = self._placement.view(service, now).usable
            rate = self.run_times.rate(sum(each.entry.slots for each in usable))
            turns += order_groups(step_loads(open_works), rate, wall_now)
        self.turns = {key: turn for turn, key in enumerate(turns)}

    def order(self, work: SampleWork) -> tuple[int, tuple[float, ...]]:
        """Return a sort key: by group turn if not all can be complete in time, else the usual."""
        key = GroupKey(work.step_id, work.group)
        return self.turns.get(key, len(self.turns)), work.order
