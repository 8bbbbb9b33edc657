"""`/metrics` of a daemon, by prometheus-client.

Reads the world's counts at each scrape, so nothing is counted twice; counters begin at 0 with the
process. Gateways and replicas have their own: `gateway.pages.metrics_text`, `replica.metrics_text`.
"""

from collections.abc import Iterator

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric

from pondtiller.serve.daemon.peer_transport import PeerTransport
from pondtiller.serve.daemon.runtime import Runtime
from pondtiller.table.sheet import DOCUMENT_NAME


class WorldCollector:
    """Reads the world's counters at each scrape; nothing is counted twice."""

    def __init__(self, runtime: Runtime, peers: PeerTransport) -> None:
        self._runtime = runtime
        self._peers = peers

    def collect(self) -> Iterator[Metric]:
        """Return all metrics."""
        yield from self._row_metrics()
        world = self._runtime.world
        counters = {
            "peer_messages_sent": self._peers.sent_messages,
            "peer_bytes_sent": self._peers.sent_bytes,
            "peer_messages_received": self._peers.received_messages,
            "peer_messages_invalid": self._peers.invalid_messages,
            "ticks": self._runtime.ticks,
            "busy_seconds": self._runtime.busy_seconds,
        }
        for name, value in counters.items():
            yield CounterMetricFamily(f"pondtiller_{name}", name.replace("_", " "), value=value)
        gauges = {
            "members_live": len(world.membership.live_names()),
            "engines": len(world.engines),
            "registers": world.acceptor.record_count(),
            "table_revision": world.documents.revision(DOCUMENT_NAME),
            "ready": float(world.ready and not world.draining),
        }
        for name, value in gauges.items():
            yield GaugeMetricFamily(f"pondtiller_{name}", name.replace("_", " "), value=value)

    def _row_metrics(self) -> Iterator[Metric]:
        for name in ("answered", "refused", "failed", "tokens", "samples", "attempts"):
            family = CounterMetricFamily(f"pondtiller_row_{name}", f"{name} by row", labels=["row"])
            for row, counts in self._runtime.world.counts.items():
                family.add_metric([row], getattr(counts, name))
            yield family
        for name in ("in_flight", "queued"):
            gauge = GaugeMetricFamily(f"pondtiller_row_{name}", f"{name} by row", labels=["row"])
            for row, counts in self._runtime.world.counts.items():
                gauge.add_metric([row], getattr(counts, name))
            yield gauge


def render(runtime: Runtime, peers: PeerTransport) -> bytes:
    """Return the text of one scrape."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(WorldCollector(runtime, peers))
    return generate_latest(registry)
