"""What control costs a daemon does not grow with the group."""

import statistics
from dataclasses import replace
from typing import NamedTuple

from pondtiller.serve.core.events import VersionPublished
from pondtiller.serve.deployment import Deployment, EngineGroup, Latencies, WeightSection
from pondtiller.serve.simulation.cluster import Cluster
from pondtiller.serve.simulation.cluster_settings import ClusterSettings
from pondtiller.serve.simulation.shared_parts import ControlCosts
from pondtiller.table.sheet import Row, RowKind

MAX_GROWTH = 1.25
ZONES = ("north-a", "north-b", "north-c", "south-a", "south-b")
MODEL = "policy"
SETTLE_SECONDS, REST_SECONDS, PUBLISH_SECONDS = 90.0, 10.0, 20.0


class Costs(NamedTuple):
    """Means over the daemons, for each second at rest; and whether a version reached all."""

    messages: float
    sent_bytes: float
    ticks: float
    has_new_version: bool


def deployment(members: int, engines: int, rows: int) -> Deployment:
    table = [Row(kind=RowKind.TRAINER, name="t0", model=MODEL, staleness_bound=1)]
    table += [Row(kind=RowKind.CALLER, name=f"c{number}", priority=1) for number in range(rows - 1)]
    return Deployment(
        name=f"growth-{members}-{engines}",
        zones=ZONES,
        daemons_a_zone=members // len(ZONES),
        latencies=Latencies(between_zones_seconds=0.003, clients_seconds=0.003),
        engines=(EngineGroup(name="engine", count=engines, models=(MODEL,)),),
        weights=WeightSection(transfer_seconds=1.0, lanes=max(8, engines // 4)),
        table=tuple(table),
    )


def spent_since(before: ControlCosts, now: ControlCosts) -> ControlCosts:
    return ControlCosts(
        now.messages - before.messages,
        now.bytes_sent - before.bytes_sent,
        now.ticks - before.ticks,
        now.busy_seconds - before.busy_seconds,
    )


def costs(members: int, engines: int, rows: int, seed: int) -> Costs:
    settings = ClusterSettings(
        seed=seed, with_load=False, count_bytes=True, shard_count=max(4, members // 20)
    )
    cluster = Cluster(deployment(members, engines, rows), settings)
    cluster.start(0.0)
    cluster.run_until(SETTLE_SECONDS)
    start = [replace(node.costs) for node in cluster.daemons.values()]
    cluster.run_until(SETTLE_SECONDS + REST_SECONDS)
    spent = [
        spent_since(before, node.costs)
        for node, before in zip(cluster.daemons.values(), start, strict=True)
    ]
    node = next(iter(cluster.daemons.values()))
    node.call("publish", VersionPublished("publish", "t0", 1), lambda _answer: None)
    cluster.run_until(SETTLE_SECONDS + REST_SECONDS + PUBLISH_SECONDS)
    versions = [engine.model.versions.get(MODEL, 0) for engine in cluster.engines.values()]
    return Costs(
        statistics.fmean(each.messages for each in spent) / REST_SECONDS,
        statistics.fmean(each.bytes_sent for each in spent) / REST_SECONDS,
        statistics.fmean(each.ticks for each in spent) / REST_SECONDS,
        min(versions) >= 1,
    )


def test_control_messages_and_ticks_of_a_daemon_do_not_grow_with_the_group():
    small, large = (costs(members, members * 2, 10, 1) for members in (10, 40))
    assert large.messages <= small.messages * MAX_GROWTH
    assert large.sent_bytes <= small.sent_bytes * MAX_GROWTH
    assert large.ticks <= small.ticks * MAX_GROWTH
    assert large.has_new_version
