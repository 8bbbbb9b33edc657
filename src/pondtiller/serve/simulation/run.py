"""Runs one scenario with one seed and returns its measures and violations.

The report holds nothing of the machine that ran it, so a seed gives the same bytes everywhere.
"""

import random

from pydantic import BaseModel, ConfigDict

from pondtiller.serve.core.world_settings import Mechanisms
from pondtiller.serve.deployment import Deployment
from pondtiller.serve.simulation.checks import CheckSettings, Property, Violation, check_all
from pondtiller.serve.simulation.cluster import Cluster
from pondtiller.serve.simulation.cluster_settings import ClusterSettings
from pondtiller.serve.simulation.faults import (
    CrashDaemon,
    CutZones,
    Fault,
    PauseDaemon,
    StoreOutage,
)
from pondtiller.serve.simulation.faults import schedule as schedule_faults
from pondtiller.serve.simulation.measures import Measures, measure
from pondtiller.serve.simulation.scenarios import SCENARIOS, Setting
from pondtiller.table.sheet import DOCUMENT_NAME, RowKind, Sheet

SETTLE_SECONDS = 60.0
"""After the load ends: what was begun ends, and the checks judge a system at rest. Chosen, not
measured."""


class RunSettings(BaseModel):
    """What to run.

    Attributes
    ----------
    seconds
        Simulated length of the load; the run goes on for `SETTLE_SECONDS` more.
    """

    model_config = ConfigDict(frozen=True)

    scenario: str
    seed: int
    seconds: float = 180.0
    count_bytes: bool = False


class FoundViolation(BaseModel):
    """A violation as it is reported."""

    model_config = ConfigDict(frozen=True)

    property: str
    detail: str


class RunReport(BaseModel):
    """Outcome of one run; the same settings give the same report."""

    model_config = ConfigDict(frozen=True)

    deployment: str
    scenario: str
    seed: int
    seconds: float
    violations: tuple[FoundViolation, ...]
    measures: Measures


def run_scenario(
    deployment: Deployment, settings: RunSettings, mechanisms: Mechanisms | None = None
) -> RunReport:
    """Run a named scenario."""
    setting = Setting(deployment, settings.seconds, random.Random(settings.seed))
    faults = SCENARIOS[settings.scenario](setting)
    cluster = Cluster(
        deployment,
        ClusterSettings(
            seed=settings.seed,
            mechanisms=mechanisms or Mechanisms(),
            count_bytes=settings.count_bytes,
        ),
    )
    return run_faults(cluster, settings, faults)


def run_faults(cluster: Cluster, settings: RunSettings, faults: tuple[Fault, ...]) -> RunReport:
    """Run a cluster under given faults."""
    schedule_faults(cluster, faults)
    cluster.start(settings.seconds)
    end = settings.seconds + SETTLE_SECONDS
    cluster.run_until(end)
    found = check_all(cluster.truth, check_settings(cluster.deployment, faults))
    found.extend(check_edits(cluster))
    return RunReport(
        deployment=cluster.deployment.name,
        scenario=settings.scenario,
        seed=settings.seed,
        seconds=settings.seconds,
        violations=tuple(
            FoundViolation(property=each.property.value, detail=each.detail) for each in found
        ),
        measures=measure(cluster, end),
    )


def check_settings(deployment: Deployment, faults: tuple[Fault, ...]) -> CheckSettings:
    """Return what the checks must know of a deployment and its faults."""
    bounds = {
        row.name: row.staleness_bound for row in deployment.table if row.staleness_bound is not None
    }
    limits = {
        row.name: row.limit
        for row in deployment.table
        if row.kind is RowKind.CALLER and row.limit is not None
    }
    return CheckSettings(
        staleness_bounds=bounds,
        samples={trainer.name: trainer.samples for trainer in deployment.trainers},
        unreachable=tuple(
            (fault.at, fault.at + fault.seconds)
            for fault in faults
            if isinstance(fault, CutZones | PauseDaemon | StoreOutage | CrashDaemon)
        ),
        limits=limits,
    )


def check_edits(cluster: Cluster) -> list[Violation]:
    """Return edits whose outcome, as reported to their operators, is not true."""
    body = cluster.platform.store.objects[DOCUMENT_NAME].body
    sheet = Sheet.model_validate_json(body)
    violations: list[Violation] = []
    for edit_id in cluster.operators.accepted:
        if not sheet.has_edit(edit_id):
            violations.append(Violation(Property.TABLE_IN_FORCE, f"{edit_id} was lost"))
    for edit_id in cluster.operators.refused:
        if sheet.has_edit(edit_id):
            violations.append(Violation(Property.TABLE_IN_FORCE, f"{edit_id} was not refused"))
    return violations
