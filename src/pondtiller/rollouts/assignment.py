"""Which engines follow which model's new versions, where several models share the engines.

Each load of weights takes an engine's time and has a price, so an engine follows one model
where there are engines enough. Models get engines by their demand; slow engines do not count.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AssignableEngine:
    """An engine that may follow a model.

    Attributes
    ----------
    is_slow
        Whether it is much slower than the others now.
    """

    engine: str
    is_slow: bool = False


def quotas(engines: int, demand: dict[str, float]) -> dict[str, int]:
    """Return how many of `engines` follow each model: at least one each, then by demand."""
    models = sorted(demand)
    shares = dict.fromkeys(models, 1)
    total = sum(demand.values()) or 1.0
    for _ in range(engines - len(models)):
        neediest = max(models, key=lambda model: demand[model] / total / shares[model])
        shares[neediest] += 1
    return shares


def assign(
    engines: list[AssignableEngine], demand: dict[str, float], before: dict[str, str]
) -> dict[str, str]:
    """Return the model that each engine follows; engines keep their model where they can.

    With fewer engines than models every engine would have to follow several: the result is
    then empty, and all engines follow all models.
    """
    sound = [each.engine for each in engines if not each.is_slow]
    slow = [each.engine for each in engines if each.is_slow]
    if len(demand) <= 1 or len(sound) < len(demand):
        return {}
    left = quotas(len(sound), demand)
    result: dict[str, str] = {}
    for engine in sound:
        model = before.get(engine, "")
        if left.get(model, 0) > 0:
            result[engine] = model
            left[model] -= 1
    for engine in sound:
        if engine not in result:
            model = max(left, key=lambda each: (left[each], each))
            result[engine] = model
            left[model] -= 1
    for engine in slow:
        result[engine] = before.get(engine) or max(demand, key=lambda each: demand[each])
    return result
