"""Engines that a sample may go to, the best few of them looked at closely. No I/O.

What an engine costs depends on the sample as well: whether its group is there, and how long it is.
Looking at each engine for each sample costs samples times engines: 0.58 s of a core for 288 samples
on 3,000 engines (`tools/bench_leader.py`), longer than a lease bears. So the engines are put in
order once a tick by what they cost any sample, and only the first are compared for each one.

Owns the order for one tick and one kind of sample. What an engine costs is said by `place_cost.py`.
"""

from bisect import insort
from collections.abc import Callable, Iterable
from typing import NamedTuple

from pondtiller.routes.engines import Engine

COMPARED_ENGINES = 40
"""Engines that are compared for each sample. Up to so many all are; of more, one that is further
behind is emptier or faster than none of these."""


class RankedEngine(NamedTuple):
    """An engine with what it costs any sample; the identifier decides between equals."""

    cost: float
    identifier: str
    engine: Engine


class Candidates:
    """The engines that may take one kind of sample during one tick.

    Parameters
    ----------
    base_cost
        Returns what an engine costs any sample as it is filled now.

    Attributes
    ----------
    compared
        Those that are compared for each sample, by identifier; the others are no better.
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
        """Whether there is no engine besides those that are compared."""
        return not self._waiting

    def filled(self, engine: Engine, is_full: bool) -> None:
        """Take that an engine got a sample: one that is better now takes its turn."""
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
