"""The table that is in force at this gateway.

Owns the table: set by the gateway's watches, read by whoever decides by its rows. It does not last;
a gateway that starts reads the table from the store. Whether a table may replace the one in force
is decided in `gateway/watches.py`.
"""

import math
from collections.abc import Callable
from typing import NamedTuple

from pondtiller.routes.table import RouteTable


class TableReading(NamedTuple):
    """Which table decided about a request, for its log line.

    Attributes
    ----------
    version
        Version of the table; 0 where none was known.
    age_seconds
        How long before the decision the store was last known to hold no newer one; NaN where that
        is not told.
    """

    version: int = 0
    age_seconds: float = math.nan


NOT_DECIDED = TableReading()
"""Of a request that no table routed."""


def _no_age() -> float:
    return math.nan


class TableInForce:
    """Holds the table.

    Attributes
    ----------
    table
        Rows in force; None until the first are known.
    age_seconds
        Returns for how long nothing was known of newer configurations, in seconds.
    """

    def __init__(self) -> None:
        self.table: RouteTable | None = None
        self.age_seconds: Callable[[], float] = _no_age

    def read(self) -> TableReading:
        """Return which table decides now."""
        version = self.table.version if self.table is not None else 0
        return TableReading(version, self.age_seconds())
