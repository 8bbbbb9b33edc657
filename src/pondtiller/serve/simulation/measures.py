"""What a run measured: trainer idle time, staleness, live cost, recovery, control costs.

Computed at the end from `Truth` and the daemons' counts. Figures only: what must hold is checked in
`checks`.
"""

import statistics

from pydantic import BaseModel, ConfigDict

from pondtiller.serve.simulation.checks import oldest_made
from pondtiller.serve.simulation.cluster import Cluster
from pondtiller.serve.simulation.truth import CallerRequest, Truth
from pondtiller.serve.systems.status import quantile


class TrainerMeasures(BaseModel):
    """One trainer over the run; idle time is in seconds a step."""

    model_config = ConfigDict(frozen=True)

    trainer: str
    steps: int
    idle_seconds_a_step: float
    longest_step_seconds: float
    mean_staleness: float
    largest_staleness: int


class CallerMeasures(BaseModel):
    """One caller class over the run; latencies in seconds over answered requests."""

    model_config = ConfigDict(frozen=True)

    caller: str
    requests: int
    answered: int
    refused: int
    median_seconds: float
    slowest_seconds: float


class Measures(BaseModel):
    """Everything that one run measured."""

    model_config = ConfigDict(frozen=True)

    trainers: tuple[TrainerMeasures, ...]
    callers: tuple[CallerMeasures, ...]
    cost_by_worth: float
    attempts_a_request: float
    table_median_seconds: float
    table_worst_seconds: float
    messages_a_daemon_second: float
    bytes_a_daemon_second: float
    store_reads: int
    store_writes: int


def measure(cluster: Cluster, seconds: float) -> Measures:
    """Return the measures of a run that lasted `seconds`."""
    truth = cluster.truth
    costs = [node.costs for node in cluster.daemons.values()]
    delays = table_delays(truth)
    daemon_seconds = max(1.0, seconds * len(costs))
    return Measures(
        trainers=tuple(_trainer(cluster, node.model.settings.name) for node in cluster.trainers),
        callers=tuple(_caller(truth, name) for name in _caller_names(truth)),
        cost_by_worth=round(_cost(truth), 4),
        attempts_a_request=round(_attempts(truth), 4),
        table_median_seconds=round(quantile(delays, 0.5), 3),
        table_worst_seconds=round(quantile(delays, 1.0), 3),
        messages_a_daemon_second=round(sum(each.messages for each in costs) / daemon_seconds, 2),
        bytes_a_daemon_second=round(sum(each.bytes_sent for each in costs) / daemon_seconds, 1),
        store_reads=cluster.platform.reads,
        store_writes=cluster.platform.writes,
    )


def _trainer(cluster: Cluster, name: str) -> TrainerMeasures:
    model = next(node.model for node in cluster.trainers if node.model.settings.name == name)
    truth = cluster.truth
    staleness = [
        received.trainer_version
        - oldest_made(received, truth.tokens.get(received.sample.prompt, []))
        for received in model.received
    ]
    steps = model.step_seconds
    return TrainerMeasures(
        trainer=name,
        steps=model.steps_done,
        idle_seconds_a_step=round(statistics.fmean(steps), 3) if steps else 0.0,
        longest_step_seconds=round(max(steps, default=0.0), 3),
        mean_staleness=round(statistics.fmean(staleness), 4) if staleness else 0.0,
        largest_staleness=max(staleness, default=0),
    )


def _caller_names(truth: Truth) -> list[str]:
    return sorted({request.caller for request in truth.callers})


def latency(request: CallerRequest) -> float | None:
    """Return the seconds from a request's arrival to its answer, None without one."""
    answered = request.answered()
    if answered is None or answered.ended_at is None:
        return None
    return answered.ended_at - request.arrived_at


def _caller(truth: Truth, name: str) -> CallerMeasures:
    requests = [request for request in truth.callers if request.caller == name]
    latencies = sorted(each for request in requests if (each := latency(request)) is not None)
    return CallerMeasures(
        caller=name,
        requests=len(requests),
        answered=len(latencies),
        refused=len(requests) - len(latencies),
        median_seconds=round(quantile(latencies, 0.5), 4),
        slowest_seconds=round(quantile(latencies, 0.99), 4),
    )


def _cost(truth: Truth) -> float:
    """Return seconds of live service for each answered request, weighted by worth."""
    weighted = [
        (request.worth, seconds)
        for request in truth.callers
        if (seconds := latency(request)) is not None
    ]
    worth = sum(each[0] for each in weighted)
    return sum(each[0] * each[1] for each in weighted) / worth if worth else 0.0


def _attempts(truth: Truth) -> float:
    prompts = {request.prompt for request in truth.callers}
    starts = [start for start in truth.starts if start.prompt in prompts]
    started = {start.prompt for start in starts}
    return len(starts) / len(started) if started else 0.0


def table_delays(truth: Truth) -> list[float]:
    """Return, for each accepted edit and daemon, the seconds until it was in force there."""
    delays: list[float] = []
    for edit in truth.edits:
        if edit.accepted_at <= 0:
            continue
        by_daemon: dict[str, float] = {}
        for revision, times in truth.first_in_force.items():
            if revision < edit.revision:
                continue
            for daemon, at in times.items():
                by_daemon[daemon] = min(at, by_daemon.get(daemon, at))
        delays.extend(at - edit.accepted_at for at in by_daemon.values())
    return sorted(delays)
