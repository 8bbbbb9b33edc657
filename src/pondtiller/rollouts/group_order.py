"""Which groups of a step come first."""

from pondtiller.rollouts.steps import StepRecord


def rank_groups(record: StepRecord, costs: dict[str, float]) -> dict[str, float]:
    """Return an order of a step's groups: 0 for those to complete first, 1 for the others.

    A trainer waits for `desired_groups` of them, whichever are whole first, so the groups
    with the longest samples come last. Groups that are asked for again stand first in the
    step and are among those that it waits for; up to half of the desired ones.
    """
    longest: dict[str, float] = {}
    for sample in record.step.samples:
        longest[sample.group] = max(longest.get(sample.group, 0.0), costs[sample.id])
    desired = record.step.desired_groups or len(longest)
    spared = max(0, len(longest) - desired)
    by_cost = sorted(longest, key=lambda group: -longest[group])
    return {group: float(place < spared) for place, group in enumerate(by_cost)}
