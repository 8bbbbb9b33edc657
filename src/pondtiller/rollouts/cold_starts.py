"""How many samples may be ordered at a cold engine now. No I/O.

Owns the starts of the last second at each cold engine, for one term of a leader. What a cold engine
gets is bounded by the shares of those who send (`gateway/engines/cold_sends.py`); this only keeps
samples from being ordered in vain.
"""

import math

from pondtiller.coordination.rate_shares import SlidingCount
from pondtiller.routes.cold import ColdEngines
from pondtiller.routes.engines import Engine


class ColdStarts:
    """Counts starts at cold engines.

    Parameters
    ----------
    cold
        Which engines are cold; None where none ever is.

    Attributes
    ----------
    not_before
        Before this time no sample is ordered at a cold engine, in seconds of the steady clock: no
        runner can hold a share of it.
    """

    def __init__(self, cold: ColdEngines | None) -> None:
        self.not_before = -math.inf
        self._cold = cold
        self._starts: dict[str, SlidingCount] = {}

    def began(self, engine: Engine, now: float) -> None:
        """Count a start; an engine that is cold no more is forgotten."""
        if self._cold is None:
            return
        if self._cold.is_cold(engine, now):
            self._starts.setdefault(engine.identifier, SlidingCount()).add(now)
        else:
            self._starts.pop(engine.identifier, None)

    def left(self, engine: Engine, now: float) -> float:
        """Return how many samples may start at an engine now; a cold one takes few in a second."""
        if self._cold is None or not self._cold.is_cold(engine, now):
            return math.inf
        terms = self._cold.terms(engine.identifier)
        if terms is None:
            return math.inf
        if now < self.not_before:
            return 0
        count = self._starts.get(engine.identifier)
        return terms.most_each - (count.within(now) if count is not None else 0)
