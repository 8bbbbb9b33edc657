"""Policies against each other over paired seeds, with intervals."""

import statistics
from collections.abc import Callable, Iterator

from pydantic import BaseModel, ConfigDict, Field, model_validator

from pondtiller.config.deployment import Deployment
from pondtiller.core.routing_policy import RoutingPolicy
from pondtiller.simulation.run import RunReport, RunSettings, run_scenario
from pondtiller.simulation.scenarios import SCENARIOS

NINETY_FIVE_PERCENT = 1.96


class ExperimentSettings(BaseModel):
    """What to compare; every policy runs every scenario with every seed."""

    model_config = ConfigDict(frozen=True, extra="forbid")

    deployment: str
    scenarios: tuple[str, ...] = Field(min_length=1)
    policies: tuple[RoutingPolicy, ...] = Field(min_length=1)
    first_seed: int = Field(default=1, ge=0)
    seeds: int = Field(default=5, ge=1, le=10_000)
    seconds: float = Field(default=300.0, ge=30, le=86_400)
    traffic_factor: float = Field(default=1.0, gt=0, le=100)
    slots_factor: float = Field(default=1.0, gt=0, le=10)

    @model_validator(mode="after")
    def _check_scenarios(self) -> "ExperimentSettings":
        unknown = [name for name in self.scenarios if name not in SCENARIOS]
        if unknown:
            raise ValueError(f"scenarios: unknown: {', '.join(unknown)}")
        return self


class ExperimentRun(BaseModel):
    """One run of one policy.

    Attributes
    ----------
    idle_seconds
        Trainer idle time a step, mean over trainers weighted by steps.
    idle_bound, cost_bound
        What no policy can beat for the same steps and requests.
    unanswered_share
        Share of live requests without an answer.
    """

    model_config = ConfigDict(frozen=True)

    scenario: str
    policy: RoutingPolicy
    seed: int
    idle_seconds: float
    idle_bound: float
    live_cost: float
    cost_bound: float
    unanswered_share: float
    mean_staleness: float
    violations: int


class Summary(BaseModel):
    """A figure of one policy in one scenario: mean and half the 95% interval."""

    model_config = ConfigDict(frozen=True)

    scenario: str
    policy: RoutingPolicy
    figure: str
    mean: float
    half_interval: float


Progress = Callable[[ExperimentRun], None]
FIGURES = ("idle_seconds", "live_cost", "unanswered_share", "mean_staleness")
BOUNDS = {"idle_seconds": "idle_bound", "live_cost": "cost_bound"}


def run_experiment(
    deployment: Deployment, settings: ExperimentSettings, progress: Progress
) -> list[ExperimentRun]:
    """Run everything, reporting each run as it ends."""
    scaled = scale(deployment, settings)
    runs: list[ExperimentRun] = []
    for run_settings in _all_settings(settings):
        report = run_scenario(scaled, run_settings)
        run = summarize_run(report, run_settings)
        progress(run)
        runs.append(run)
    return runs


def scale(deployment: Deployment, settings: ExperimentSettings) -> Deployment:
    """Return a deployment whose live traffic and engines' slots are multiplied."""
    factor = settings.traffic_factor
    traffic = tuple(
        each.model_copy(update={"requests_a_second": each.requests_a_second * factor})
        for each in deployment.traffic
    )
    engines = tuple(
        group.model_copy(update={"slots": max(1, round(group.slots * settings.slots_factor))})
        for group in deployment.engines
    )
    return deployment.model_copy(update={"traffic": traffic, "engines": engines})


def _all_settings(settings: ExperimentSettings) -> Iterator[RunSettings]:
    for scenario in settings.scenarios:
        for seed in range(settings.first_seed, settings.first_seed + settings.seeds):
            for policy in settings.policies:
                yield RunSettings(
                    scenario=scenario,
                    seed=seed,
                    seconds=settings.seconds,
                    routing_policy=policy,
                )


def summarize_run(report: RunReport, settings: RunSettings) -> ExperimentRun:
    """Reduce a report to the figures that are compared."""
    measures = report.measures
    steps = sum(trainer.steps for trainer in measures.trainers)
    requests = sum(caller.requests for caller in measures.callers)
    refused = sum(caller.refused for caller in measures.callers)

    def over_steps(figure: str) -> float:
        total = sum(getattr(each, figure) * each.steps for each in measures.trainers)
        return total / steps if steps else 0.0

    return ExperimentRun(
        scenario=settings.scenario,
        policy=settings.routing_policy,
        seed=settings.seed,
        idle_seconds=round(over_steps("idle_seconds_a_step"), 4),
        idle_bound=round(over_steps("idle_bound_a_step"), 4),
        live_cost=measures.cost_by_worth,
        cost_bound=measures.cost_bound,
        unanswered_share=round(refused / requests, 5) if requests else 0.0,
        mean_staleness=round(over_steps("mean_staleness"), 4),
        violations=len(report.violations),
    )


def summarize(runs: list[ExperimentRun]) -> list[Summary]:
    """Return mean and interval of each figure by scenario and policy."""
    groups: dict[tuple[str, RoutingPolicy], list[ExperimentRun]] = {}
    for run in runs:
        groups.setdefault((run.scenario, run.policy), []).append(run)
    return [
        _summary(scenario, policy, figure, [float(getattr(run, figure)) for run in group])
        for (scenario, policy), group in groups.items()
        for figure in (*FIGURES, *BOUNDS.values())
    ]


def _summary(scenario: str, policy: RoutingPolicy, figure: str, values: list[float]) -> Summary:
    half = 0.0
    if len(values) > 1:
        half = NINETY_FIVE_PERCENT * statistics.stdev(values) / len(values) ** 0.5
    return Summary(
        scenario=scenario,
        policy=policy,
        figure=figure,
        mean=round(statistics.fmean(values), 4),
        half_interval=round(half, 4),
    )
