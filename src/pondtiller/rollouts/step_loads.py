"""Remaining work of open steps by group, counted from their samples. No I/O.

These are the inputs of `shedding.py`, computed from the scheduler's samples.
"""

from collections import Counter
from collections.abc import Iterable

from pondtiller.rollouts.sample_work import SampleWork, Stage
from pondtiller.rollouts.shedding import GroupLoad, StepLoad


def step_loads(works: Iterable[SampleWork]) -> list[StepLoad]:
    """Return the steps of these samples with the groups that are not complete."""
    by_step: dict[str, list[SampleWork]] = {}
    for work in works:
        by_step.setdefault(work.step_id, []).append(work)
    return [_step_load(found) for found in by_step.values()]


def _step_load(works: list[SampleWork]) -> StepLoad:
    first = works[0]
    sizes = first.step.group_sizes
    left = Counter(work.group for work in works)
    begun = {work.group for work in works if _has_started(work)}
    groups = tuple(
        GroupLoad(name, left[name], name in begun or left[name] < size, place)
        for place, (name, size) in enumerate(sizes.items())
        if left[name]
    )
    desired = first.step.step.desired_groups or len(sizes)
    whole = len(sizes) - len(groups)
    return StepLoad(
        step=first.step_id,
        rank=first.route.priority,
        due=first.accepted_at + first.route.step_seconds,
        wanted=max(0, desired - whole),
        groups=groups,
    )


def _has_started(work: SampleWork) -> bool:
    return work.stage is not Stage.WAITING or work.text.last_event > 0
