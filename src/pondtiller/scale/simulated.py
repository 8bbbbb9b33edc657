"""Control costs by size, on the virtual clock: how each grows with members and engines."""

import gc
import statistics
import time
from dataclasses import replace

from pydantic import BaseModel, ConfigDict

from pondtiller.config.deployment import Deployment, EngineGroup, Latencies, WeightSection
from pondtiller.core.events import VersionPublished
from pondtiller.scale.memory import resident_bytes
from pondtiller.simulation.cluster import Cluster
from pondtiller.simulation.cluster_settings import ClusterSettings
from pondtiller.simulation.measures import table_delays
from pondtiller.systems.status import quantile
from pondtiller.table.sheet import Row, RowKind

ZONES = ("north-a", "north-b", "north-c", "south-a", "south-b")
SETTLE_SECONDS = 90.0
EDIT_SECONDS = 20.0
PUBLISH_SECONDS = 20.0
MODEL = "policy"
NEW_VERSION = 1


class ScaleRun(BaseModel):
    """What one size cost; figures are for each daemon, on average over all of them.

    Attributes
    ----------
    processor_share
        Share of one core spent on ticks, encoding and decoding.
    memory_bytes
        Growth of the process by the cluster, divided by the daemons; it includes the
        models of engines and network.
    table_median_seconds, table_worst_seconds
        From the acceptance of an edit until it was in force on a daemon.
    version_worst_seconds
        From the publication of a version until the last engine ran it; None where some
        engine did not.
    """

    model_config = ConfigDict(frozen=True)

    members: int
    engines: int
    rows: int
    messages_a_second: float
    bytes_a_second: float
    ticks_a_second: float
    processor_share: float
    busiest_processor_share: float
    memory_bytes: int
    table_median_seconds: float
    table_worst_seconds: float
    version_worst_seconds: float | None


def scale_deployment(members: int, engines: int, rows: int) -> Deployment:
    """Return a deployment of a size, spread over five zones, without load."""
    table = [Row(kind=RowKind.TRAINER, name="t0", model=MODEL, staleness_bound=1)]
    table += [
        Row(kind=RowKind.CALLER, name=f"caller-{number}", priority=1) for number in range(rows - 1)
    ]
    return Deployment(
        name=f"scale-{members}-{engines}",
        zones=ZONES,
        daemons_a_zone=max(1, members // len(ZONES)),
        latencies=Latencies(between_zones_seconds=0.003, clients_seconds=0.003),
        engines=(EngineGroup(name="engine", count=engines, models=(MODEL,)),),
        weights=WeightSection(transfer_seconds=1.0, lanes=max(8, engines // 4)),
        table=tuple(table),
    )


def run_size(members: int, engines: int, rows: int, seconds: float, seed: int) -> ScaleRun:
    """Measure one size: at rest for `seconds`, then an edit, then a new version."""
    gc.collect()
    before = resident_bytes()
    deployment = scale_deployment(members, engines, rows)
    settings = ClusterSettings(
        seed=seed,
        with_load=False,
        count_bytes=True,
        processor_clock=time.process_time,
        shard_count=max(4, members // 20),
    )
    cluster = Cluster(deployment, settings)
    cluster.start(0.0)
    cluster.run_until(SETTLE_SECONDS)
    start = [replace(node.costs) for node in cluster.daemons.values()]
    cluster.run_until(SETTLE_SECONDS + seconds)
    end = [replace(node.costs) for node in cluster.daemons.values()]
    memory = (resident_bytes() - before) // len(end)
    cluster.operators.raise_priority("caller-0")
    cluster.run_until(SETTLE_SECONDS + seconds + EDIT_SECONDS)
    version_seconds = _publish(cluster, SETTLE_SECONDS + seconds + EDIT_SECONDS)
    spent = [after.minus(earlier) for earlier, after in zip(start, end, strict=True)]
    delays = table_delays(cluster.truth)
    return ScaleRun(
        members=len(end),
        engines=engines,
        rows=rows,
        messages_a_second=round(statistics.fmean(each.messages for each in spent) / seconds, 2),
        bytes_a_second=round(statistics.fmean(each.bytes_sent for each in spent) / seconds, 1),
        ticks_a_second=round(statistics.fmean(each.ticks for each in spent) / seconds, 2),
        processor_share=round(statistics.fmean(each.busy_seconds for each in spent) / seconds, 6),
        busiest_processor_share=round(max(each.busy_seconds for each in spent) / seconds, 6),
        memory_bytes=memory,
        table_median_seconds=round(quantile(delays, 0.5), 3),
        table_worst_seconds=round(quantile(delays, 1.0), 3),
        version_worst_seconds=version_seconds,
    )


def _publish(cluster: Cluster, at: float) -> float | None:
    """Publish a version through one daemon and return when the last engine ran it."""
    node = next(iter(cluster.daemons.values()))
    node.call("publish", VersionPublished("publish", "t0", NEW_VERSION), lambda _answer: None)
    end = at
    while end < at + PUBLISH_SECONDS:
        end += 0.25
        cluster.run_until(end)
        versions = [engine.model.versions.get(MODEL, 0) for engine in cluster.engines.values()]
        if min(versions) >= NEW_VERSION:
            return round(end - at, 2)
    return None
