"""Number of samples that may be started at a cold engine now. No I/O.

Holds the starts of the last second at each cold engine, for one term of a leader. The senders'
shares limit what a cold engine gets (`gateway/engines/cold_sends.py`); this module only avoids
starts that would be refused.
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
        Which engines are cold; None if none ever is.

    Attributes
    ----------
    not_before
        Before this monotonic time no sample is started at a cold engine, since no runner can hold a
        share of its rate.
    """

    def __init__(self, cold: ColdEngines | None) -> None:
        self.not_before = -math.inf
        self._cold = cold
        self._starts: dict[str, SlidingCount] = {}

    def began(self, engine: Engine, now: float) -> None:
        """Count a start; an engine that is no longer cold is forgotten."""
        if self._cold is None:
            return
        if self._cold.is_cold(engine, now):
            self._starts.setdefault(engine.identifier, SlidingCount()).add(now)
        else:
            self._starts.pop(engine.identifier, None)

    def left(self, engine: Engine, now: float) -> float:
        """Return how many samples may start at an engine now; a cold one takes few a second."""
        if self._cold is None or not self._cold.is_cold(engine, now):
            return math.inf
        terms = self._cold.terms(engine.identifier)
        if terms is None:
            return math.inf
        if now < self.not_before:
            return 0
        count = self._starts.get(engine.identifier)
        return terms.most_each - (count.within(now) if count is not None else 0)
