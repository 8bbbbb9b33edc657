"""A gateway's figures as values, which decouples the pages from the process.

`figure_sources` creates them for each page.
"""

from typing import NamedTuple

from pondtiller.gateway.metrics import GatewayMetrics
from pondtiller.routes.engines import Engine
from pondtiller.routes.table import RouteTable


class GatewayFigures(NamedTuple):
    """Figures of one gateway at one moment.

    Attributes
    ----------
    name
        Name of the gateway.
    metrics
        Its counters; a page reads them at once and keeps nothing.
    table
        Table in force; None if unknown.
    engines
        Known engines.
    leader
        Name of the leader; empty if none is known.
    readers
        Source of the last answer for each kind of store object: a replica, or `store`.
    store_calls
        Calls to the object store by kind of call.
    counters, gauges
        Further figures by name.
    evacuated
        Zones that get no new work.
    configuration_age_seconds, engines_age_seconds
        Time since the last answer of the store or of a mirror of it.
    """

    name: str
    metrics: GatewayMetrics
    table: RouteTable | None
    engines: tuple[Engine, ...]
    leader: str
    readers: dict[str, str]
    store_calls: dict[str, int]
    counters: dict[str, int]
    gauges: dict[str, float]
    evacuated: tuple[str, ...]
    configuration_age_seconds: float
    engines_age_seconds: float
