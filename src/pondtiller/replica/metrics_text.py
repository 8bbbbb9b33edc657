"""A replica's metrics as Prometheus text; loaded at the first scrape.

Loading it late saves the client library's memory on replicas that are never scraped.
"""

from collections.abc import Iterator
from typing import NamedTuple

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric


class ReplicaFigures(NamedTuple):
    """One replica's figures at one moment, by name."""

    counters: dict[str, int]
    gauges: dict[str, float]


class ReplicaCollector:
    """Converts a replica's figures to metrics."""

    def __init__(self, figures: ReplicaFigures) -> None:
        self._figures = figures

    def collect(self) -> Iterator[Metric]:
        """Return all metrics."""
        for name, count in self._figures.counters.items():
            yield CounterMetricFamily(f"pondtiller_replica_{name}", name, value=count)
        for name, value in self._figures.gauges.items():
            yield GaugeMetricFamily(f"pondtiller_replica_{name}", name, value=value)


def render(figures: ReplicaFigures) -> bytes:
    """Return the text of one scrape."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(ReplicaCollector(figures))
    return generate_latest(registry)
