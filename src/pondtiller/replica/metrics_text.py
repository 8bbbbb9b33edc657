"""A replica's figures as Prometheus text; loaded at the first scrape."""

from collections.abc import Iterator
from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric

from pondtiller.daemon import clock

if TYPE_CHECKING:
    from pondtiller.replica.process import ReplicaProcess


class ReplicaCollector:
    """Reads a replica's counters at each scrape."""

    def __init__(self, process: "ReplicaProcess") -> None:
        self.process = process

    def collect(self) -> Iterator[Metric]:
        """Return all metrics."""
        server, replica = self.process.server, self.process.replica
        counters = {
            "syncs": server.syncs,
            "messages": server.messages,
            "refused_writes": server.refused_writes,
            "mirror_answers": server.mirror.answers,
            "store_calls": sum(self.process.store.calls.values()),
        }
        for name, count in counters.items():
            yield CounterMetricFamily(f"pondtiller_replica_{name}", name, value=count)
        gauges: dict[str, float] = {
            "entries": len(replica.entries),
            "file_bytes": self.process.file.size,
            "subscribers": len(server.subscribers),
            "follows_leader": float(clock.monotonic() < replica.lease.until),
            "mirrors": float(server.mirror.is_fresh()),
            "generation": replica.groups[-1].generation if replica.groups else 0,
        }
        for name, value in gauges.items():
            yield GaugeMetricFamily(f"pondtiller_replica_{name}", name, value=value)


def render(process: "ReplicaProcess") -> bytes:
    """Return the text of one scrape."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(ReplicaCollector(process))
    return generate_latest(registry)
