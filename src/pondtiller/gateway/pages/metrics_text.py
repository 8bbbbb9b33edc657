"""A gateway's figures in Prometheus text format; imported at the first scrape.

Uses prometheus-client for the format only; the values come from `GatewayFigures`.
"""

from collections.abc import Iterator

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)

from pondtiller.gateway.metrics import LATENCY_BOUNDS, Latencies
from pondtiller.gateway.pages.figures import GatewayFigures
from pondtiller.links.link import SENT_BYTES


class GatewayCollector:
    """Converts a gateway's figures into metrics."""

    def __init__(self, figures: GatewayFigures) -> None:
        self._figures = figures

    def collect(self) -> Iterator[Metric]:
        """Yield all metrics."""
        figures, metrics = self._figures, self._figures.metrics
        requests = CounterMetricFamily(
            "pondtiller_requests", "requests by route and outcome", labels=["route", "outcome"]
        )
        for (route, outcome), count in metrics.answered.items():
            requests.add_metric([route, outcome], count)
        yield requests
        calls = CounterMetricFamily(
            "pondtiller_store_calls", "calls to the object store", labels=["call"]
        )
        for call, count in figures.store_calls.items():
            calls.add_metric([call], count)
        yield calls
        yield link_bytes()
        yield _histogram("pondtiller_request_seconds", metrics.request_seconds)
        yield _histogram("pondtiller_commit_seconds", metrics.commit_seconds)
        for name, count in figures.counters.items():
            yield CounterMetricFamily(f"pondtiller_{name}", name.replace("_", " "), value=count)
        ages = {
            "configuration_age_seconds": figures.configuration_age_seconds,
            "engines_age_seconds": figures.engines_age_seconds,
        }
        for name, value in (figures.gauges | ages).items():
            yield GaugeMetricFamily(f"pondtiller_{name}", name.replace("_", " "), value=value)


def link_bytes() -> CounterMetricFamily:
    """Return the bytes sent by this process on links, by message type."""
    family = CounterMetricFamily(
        "pondtiller_link_sent_bytes", "bytes sent to other daemons", labels=["message"]
    )
    for message, count in SENT_BYTES.items():
        family.add_metric([message], count)
    return family


def _histogram(name: str, latencies: Latencies) -> HistogramMetricFamily:
    family = HistogramMetricFamily(name, name.replace("_", " "))
    buckets: list[tuple[str, float]] = []
    total = 0
    for bound, count in zip((*map(str, LATENCY_BOUNDS), "+Inf"), latencies.counts, strict=True):
        total += count
        buckets.append((bound, float(total)))
    family.add_metric([], buckets, latencies.total_seconds)
    return family


def render(figures: GatewayFigures) -> bytes:
    """Return the text of one scrape."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(GatewayCollector(figures))
    return generate_latest(registry)
