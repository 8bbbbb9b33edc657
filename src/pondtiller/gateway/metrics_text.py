"""A gateway's figures as Prometheus text; loaded at the first scrape, since few need it."""

from collections.abc import Iterator
from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)

from pondtiller.daemon import clock
from pondtiller.gateway.metrics import LATENCY_BOUNDS, Latencies
from pondtiller.links.link import SENT_BYTES

if TYPE_CHECKING:
    from pondtiller.gateway.process import GatewayProcess


class GatewayCollector:
    """Reads a gateway's counters at each scrape."""

    def __init__(self, gateway: "GatewayProcess") -> None:
        self._gateway = gateway

    def collect(self) -> Iterator[Metric]:
        """Return all metrics."""
        gateway, metrics = self._gateway, self._gateway.metrics
        requests = CounterMetricFamily(
            "pondtiller_requests", "requests by route and outcome", labels=["route", "outcome"]
        )
        for (route, outcome), count in metrics.answered.items():
            requests.add_metric([route, outcome], count)
        yield requests
        calls = CounterMetricFamily(
            "pondtiller_store_calls", "calls to the object store", labels=["call"]
        )
        for call, count in gateway.store.calls.items():
            calls.add_metric([call], count)
        yield calls
        yield link_bytes()
        yield _histogram("pondtiller_request_seconds", metrics.request_seconds)
        yield _histogram("pondtiller_commit_seconds", metrics.commit_seconds)
        counters = {
            "attempts": metrics.attempts,
            "engine_connections": gateway.pool.opened,
            "results_from_cache": gateway.steps.cache.hits,
            "samples_listed": metrics.samples_listed,
            "samples_given_up": metrics.samples_given_up,
            "runs_started": metrics.runs_started,
            "orders": metrics.orders,
            "takeovers": metrics.takeovers,
        }
        for name, value in counters.items():
            yield CounterMetricFamily(f"pondtiller_{name}", name.replace("_", " "), value=value)
        yield from self._gauges()

    def _gauges(self) -> Iterator[Metric]:
        gateway = self._gateway
        table, term = gateway.front.table, gateway.duties.term
        now = clock.monotonic()
        gauges = {
            "table_version": float(table.version if table is not None else 0),
            "engines": float(len(gateway.engines.engines)),
            "leads": float(gateway.leadership.log.holds_lease(now)),
            "replicas": float(len(gateway.leadership.replicas.views())),
            "open_requests": float(gateway.front.open_exchanges),
            "samples_open": float(len(term.scheduler.work) if term is not None else 0),
            "runs": float(len(term.scheduler.runs) if term is not None else 0),
            "runners": float(len(term.runners.links) if term is not None else 0),
            "hosted_runs": float(gateway.run_host.runs),
            "configuration_age_seconds": now - gateway.watches.configuration.heard_at,
            "engines_age_seconds": now - gateway.watches.engines.heard_at,
        }
        for name, value in gauges.items():
            yield GaugeMetricFamily(f"pondtiller_{name}", name.replace("_", " "), value=value)


def link_bytes() -> CounterMetricFamily:
    """Return the bytes that this process has sent on links, by type of message."""
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


def render(gateway: "GatewayProcess") -> bytes:
    """Return the text of one scrape."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(GatewayCollector(gateway))
    return generate_latest(registry)
