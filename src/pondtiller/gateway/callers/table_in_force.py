"""The table that is in force at this gateway.

Set by the gateway's watches, read by everything that decides by its rows. It is not persisted: a
gateway reads the table from the store when it starts. Whether a table may replace the one in force
is decided in `gateway/watches.py`.
"""

import math
from collections.abc import Callable
from typing import NamedTuple

from pondtiller.routes.table import RouteTable


class TableReading(NamedTuple):
    """Table that decided about a request, for its log line.

    Attributes
    ----------
    version
        Version of the table; 0 if none was known.
    age_seconds
        Age of the latest information that the store holds no newer table; NaN if unknown.
    """

    version: int = 0
    age_seconds: float = math.nan


NOT_DECIDED = TableReading()
"""For a request that was not routed by a table."""


def _no_age() -> float:
    return math.nan


class TableInForce:
    """Holds the table.

    Attributes
    ----------
    table
        Table in force; None until the first one is known.
    age_seconds
        Returns how long no information about newer configurations has arrived, in seconds.
    """

    def __init__(self) -> None:
        self.table: RouteTable | None = None
        self.age_seconds: Callable[[], float] = _no_age

    def read(self) -> TableReading:
        """Return which table decides now."""
        version = self.table.version if self.table is not None else 0
        return TableReading(version, self.age_seconds())
