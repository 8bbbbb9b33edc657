"""Which groups go first while not all can be whole in time; looked at now and then. No I/O.

Owns the turns in force and how long whole runs take, both for one term of a leader. Relies on
`shedding.py`, which decides the order; while everything fits there are no turns, and samples
begin in their usual order (`start_order.py`).
"""

from collections.abc import Iterable

from pondtiller.rollouts.placement import Placement
from pondtiller.rollouts.sample_work import SampleWork
from pondtiller.rollouts.shedding import GroupKey, RunTimes, group_turns
from pondtiller.rollouts.step_loads import step_loads

SHED_SECONDS = 0.2
"""Between two looks at what can be made in time, in seconds. Chosen, not measured: a look costs all
open samples, and within it few groups become whole."""


class GroupTurns:
    """Keeps the turns of groups of all services.

    Attributes
    ----------
    run_times
        How long a whole run takes.
    turns
        Turn of each group, 0 first; empty while everything fits.
    """

    def __init__(self, placement: Placement) -> None:
        self.run_times = RunTimes()
        self.turns: dict[GroupKey, int] = {}
        self._placement = placement
        self._next_look = float("-inf")

    def look(self, works: Iterable[SampleWork], now: float, wall_now: float) -> None:
        """Look whether all groups can be whole in time, and which go first if not."""
        if now < self._next_look:
            return
        self._next_look = now + SHED_SECONDS
        by_service: dict[str, list[SampleWork]] = {}
        for work in works:
            if work.is_routed:
                by_service.setdefault(work.service, []).append(work)
        turns: list[GroupKey] = []
        for service, open_works in by_service.items():
            usable = self._placement.view(service, now).usable
            rate = self.run_times.rate(sum(each.entry.slots for each in usable))
            turns += group_turns(step_loads(open_works), rate, wall_now)
        self.turns = {key: turn for turn, key in enumerate(turns)}

    def order(self, work: SampleWork) -> tuple[int, tuple[float, ...]]:
        """Return a key for who begins first: by group where not all can be whole in time."""
        key = GroupKey(work.step_id, work.group)
        return self.turns.get(key, len(self.turns)), work.order
