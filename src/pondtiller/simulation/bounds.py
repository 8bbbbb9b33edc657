"""What no policy can beat: bounds from perfect knowledge, by deployment.

Live cost. A request's answer of L tokens comes in pieces of C. Alone on an idle engine each
piece takes C * (s + r), s being the step time and r the addition for a request in the batch.
No request can be faster, so the mean over the requests that came, weighted by worth, is a
lower bound of the live cost. Network and prefill are left out, which only lowers it.

Trainer idle time. A step is whole no earlier than (a) its longest sample alone on an idle
engine, and (b) all its tokens at the rate of all engines of its model with full batches,
slots / (s + r * slots) each, as if no live request and no other trainer were there. The larger
of both is a lower bound for a step.
"""

import math
import statistics

from pondtiller.config.deployment import Deployment, EngineGroup
from pondtiller.emulator.fleet import trainer_settings
from pondtiller.emulator.text import answer_length
from pondtiller.emulator.trainer import TrainerSettings, step_prompts
from pondtiller.simulation.truth import CallerRequest
from pondtiller.table.sheet import RowKind


def live_cost_bound(deployment: Deployment, requests: list[CallerRequest]) -> float:
    """Return a lower bound of the live cost over the requests that came, in seconds."""
    worth = sum(request.worth for request in requests)
    if not worth:
        return 0.0
    return sum(request.worth * _alone(deployment, request) for request in requests) / worth


def _alone(deployment: Deployment, request: CallerRequest) -> float:
    model = _model(deployment, RowKind.SERVICE, request.service)
    length = answer_length(request.prompt, request.maximum_tokens)
    return min(_alone_seconds(group, length) for group in _groups(deployment, model))


def trainer_idle_bound(deployment: Deployment, trainer: str, steps: int) -> float:
    """Return a lower bound of a trainer's idle time a step, over its first `steps` steps."""
    settings = next(each for each in trainer_settings(deployment) if each.name == trainer)
    if not steps:
        return 0.0
    return statistics.fmean(_step_bound(deployment, settings, step) for step in range(1, steps + 1))


def _step_bound(deployment: Deployment, settings: TrainerSettings, step: int) -> float:
    model = _model(deployment, RowKind.TRAINER, settings.name)
    groups = _groups(deployment, model)
    lengths = [
        answer_length(prompt, settings.maximum_tokens) for prompt in step_prompts(settings, step)
    ]
    longest = min(_alone_seconds(group, max(lengths)) for group in groups)
    rate = sum(group.count * _full_rate(group) for group in groups)
    return max(longest, sum(lengths) / rate)


def _model(deployment: Deployment, kind: RowKind, name: str) -> str:
    rows = (row for row in deployment.table if row.kind is kind and row.name == name)
    return next(row.model for row in rows if row.model is not None)


def _groups(deployment: Deployment, model: str) -> list[EngineGroup]:
    return [group for group in deployment.engines if model in group.models]


def _alone_seconds(group: EngineGroup, length: int) -> float:
    pieces = math.ceil(length / group.chunk_tokens)
    return pieces * group.chunk_tokens * (group.step_seconds + group.step_seconds_a_request)


def _full_rate(group: EngineGroup) -> float:
    """Return tokens a second of one engine with a full batch."""
    return group.slots / (group.step_seconds + group.step_seconds_a_request * group.slots)
