"""Each check is shown to fail: its mechanism is switched off and the violation is seen."""

from dataclasses import replace

import pytest

from pondtiller.serve.core.world_settings import Mechanisms
from pondtiller.serve.deployment import load_deployment
from pondtiller.serve.simulation.checks import Property
from pondtiller.serve.simulation.cluster import Cluster
from pondtiller.serve.simulation.cluster_settings import ClusterSettings
from pondtiller.serve.simulation.faults import (
    CrashDaemon,
    CrashEngine,
    EditTable,
    LeaveEngine,
    NetworkTrouble,
    StopDaemon,
    StoreTrouble,
)
from pondtiller.serve.simulation.run import RunSettings, run_faults

SECONDS = 60.0
KYUSHU = load_deployment("kyushu").unwrap()
ENGINES = tuple(
    f"{group.name}-{number}" for group in KYUSHU.engines for number in range(group.count)
)
DAEMONS = tuple(f"{zone}-{number}" for zone in KYUSHU.zones for number in range(2))


def with_rows(deployment, **changes):
    rows = tuple(
        row.model_copy(update=changes.get(row.name.replace("-", "_"), {}))
        for row in deployment.table
    )
    return deployment.model_copy(update={"table": rows})


def with_traffic(deployment, **changes):
    traffic = tuple(each.model_copy(update=changes) for each in deployment.traffic)
    return deployment.model_copy(update={"traffic": traffic})


def with_quick_trainer(deployment, **changes):
    trainers = tuple(each.model_copy(update=changes) for each in deployment.trainers)
    return deployment.model_copy(update={"trainers": trainers})


SLOW_WEIGHTS = with_quick_trainer(KYUSHU, train_seconds=1.0, samples=16).model_copy(
    update={"weights": KYUSHU.weights.model_copy(update={"transfer_seconds": 25.0})}
)
QUICK_WEIGHTS = with_quick_trainer(KYUSHU, train_seconds=0.2, samples=16)
TIGHT_LIMIT = with_rows(with_traffic(KYUSHU, requests_a_second=12.0), cost_check={"limit": 3})
LONG_ANSWERS = with_traffic(KYUSHU, maximum_tokens=400)
EARLY_EDITS = tuple(EditTable("cost-check", 15.0 + 4 * number, 1) for number in range(3))
CASES = {
    Property.VERSIONS_NAMED: (QUICK_WEIGHTS, (), "version_segments"),
    Property.STALENESS_BOUND: (SLOW_WEIGHTS, (), "staleness_checks"),
    Property.EXACTLY_ONCE: (
        with_quick_trainer(KYUSHU, train_seconds=1.0),
        tuple(CrashDaemon(name, 12.0 + 3.5 * n, 3.0) for n, name in enumerate(DAEMONS * 2)),
        "slot_cursor",
    ),
    Property.OWN_WHOLE_ANSWER: (
        KYUSHU,
        (NetworkTrouble(10.0, 45.0, 0.0, 0.0, 0.1),),
        "offset_checks",
    ),
    Property.NOT_RUN_IS_TRUE: (
        with_rows(KYUSHU, quote={"deadline_seconds": 3.0}),
        tuple(CrashEngine(engine, 20.0, 45.0) for engine in ENGINES),
        "truthful_refusals",
    ),
    Property.AT_MOST_ONCE: (
        KYUSHU,
        tuple(CrashDaemon(name, 15.0 + 6 * n, 4.0) for n, name in enumerate(DAEMONS)),
        "claims",
    ),
    Property.LEAVING_GETS_NOTHING: (KYUSHU, (LeaveEngine("quote-api-0", 20.0),), "leaving_marks"),
    Property.STOP_CUTS_NOTHING: (
        LONG_ANSWERS,
        tuple(StopDaemon(name, 15.0 + 7 * n) for n, name in enumerate(DAEMONS)),
        "drain",
    ),
    Property.TABLE_IN_FORCE: (
        KYUSHU,
        (
            *EARLY_EDITS,
            StoreTrouble(32.0, 25.0, 0.1, 0.0, 0.8),
        ),
        "forward_only_documents",
    ),
    Property.LIMIT_KEPT: (TIGHT_LIMIT, (), "share_leases"),
}


def run(deployment, faults, mechanisms):
    cluster = Cluster(deployment, ClusterSettings(seed=7, mechanisms=mechanisms))
    report = run_faults(cluster, RunSettings(scenario="test", seed=7, seconds=SECONDS), faults)
    return {violation.property for violation in report.violations}


@pytest.mark.parametrize("name", list(CASES))
def test_property_is_violated_without_its_mechanism_and_holds_with_it(name):
    deployment, faults, mechanism = CASES[name]
    everything = Mechanisms()
    assert run(deployment, faults, everything) == set()
    assert name.value in run(deployment, faults, replace(everything, **{mechanism: False}))


def test_every_property_has_a_case():
    assert set(CASES) == set(Property)
