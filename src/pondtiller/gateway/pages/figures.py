"""What a gateway's pages show, as values: the pages know nothing of the process.

Made for each page by `figure_sources`.
"""

from typing import NamedTuple

from pondtiller.gateway.metrics import GatewayMetrics
from pondtiller.routes.engines import Engine
from pondtiller.routes.table import RouteTable


class GatewayFigures(NamedTuple):
    """One gateway's figures at one moment.

    Attributes
    ----------
    name
        The gateway.
    metrics
        Its counters; a page reads them at once and keeps nothing.
    table
        Rows in force; None where none are known.
    engines
        Engines that it knows.
    leader
        Name of the leader as far as it is known; empty where none is.
    readers
        Who gave the last answer of a kind of the store's objects: a replica, or `store`.
    store_calls
        Calls to the object store by kind of call.
    counters, gauges
        Further figures by name.
    evacuated
        Zones that get nothing now.
    configuration_age_seconds, engines_age_seconds
        How long ago the store, or a mirror of it, was heard.
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
