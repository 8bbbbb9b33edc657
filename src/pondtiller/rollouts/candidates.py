"""Engines that a sample may go to, of which only the best few are compared closely. No I/O.

The cost of an engine also depends on the sample: whether its group runs there, and its length.
Comparing every engine for every sample took 0.58 s of a core for 288 samples on 3,000 engines
(`tools/bench_leader.py`), which is too long for a leader that must renew its lease. The engines are
therefore ranked once a tick by their cost for any sample, and only the first ones are compared for
each sample.

Holds the ranking for one tick and one kind of sample. The cost is defined in `slot_cost.py`.
"""

from bisect import insort
from collections.abc import Callable, Iterable
from typing import NamedTuple

from pondtiller.routes.engines import Engine

COMPARED_ENGINES = 40
"""Engines that are compared for each sample. If there are more, the rest is neither emptier nor
faster than any of these."""


class RankedEngine(NamedTuple):
    """An engine with its cost for any sample; the identifier breaks ties."""

    cost: float
    identifier: str
    engine: Engine


class Candidates:
    """Engines that may take one kind of sample during one tick.

    Parameters
    ----------
    base_cost
        Returns the cost of an engine for any sample at its current load.

    Attributes
    ----------
    compared
        Engines that are compared for each sample, by identifier; the others are not better.
    """

    def __init__(self, engines: Iterable[Engine], base_cost: Callable[[Engine], float]) -> None:
        self.compared = {each.identifier: each for each in engines}
        self._base_cost = base_cost
        self._waiting: list[RankedEngine] = []
        if len(self.compared) > COMPARED_ENGINES:
            ranked = sorted(map(self._rank, self.compared.values()))
            self._waiting = ranked[COMPARED_ENGINES:]
            self.compared = {each.identifier: each.engine for each in ranked[:COMPARED_ENGINES]}

    @property
    def compares_all(self) -> bool:
        """Whether there are no engines besides the compared ones."""
        return not self._waiting

    def note_start(self, engine: Engine, is_full: bool) -> None:
        """Record that an engine got a sample, and replace it if another one is better now."""
        if engine.identifier not in self.compared:
            return
        if is_full:
            del self.compared[engine.identifier]
        elif self._waiting and self._rank(engine) > self._waiting[0]:
            del self.compared[engine.identifier]
            insort(self._waiting, self._rank(engine))
        if self._waiting and len(self.compared) < COMPARED_ENGINES:
            first = self._waiting.pop(0)
            self.compared[first.identifier] = first.engine

    def _rank(self, engine: Engine) -> RankedEngine:
        return RankedEngine(self._base_cost(engine), engine.identifier, engine)
