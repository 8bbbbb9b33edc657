"""How many engines load each new version when several models share the engines.

A load takes an engine's time and has a price. A step may also use the previous version, so if the
loading engines alternate, twice as many can serve: those with the newest version and those with the
previous one.

If there are more engines than a model's steps fill, a version goes only to as many as they need.
Otherwise a large fleet with small steps is overloaded by orders: with 301 engines and steps of 96
samples, 1,108 orders a day cost 0.364 of its worth and a leader's connection to each engine.

Stateless. Does not decide which engines these are (`load_choice.py`).
"""

import math

SPARE_ENGINES = 1.5
"""Engines that get a version, as a multiple of those that a step's samples fill. Some are lost or
slow while they serve, and one in three may be before samples wait."""


def load_shares(engines: int, demand: dict[str, float]) -> dict[str, int]:
    """Return how many of `engines` load each model's next version.

    Every model gets one; the rest is distributed by demand. A single model gets all of them.
    Without models, for example when all engine entries have lapsed, the result is empty.
    """
    if not demand:
        return {}
    models = sorted(demand)
    shares = dict.fromkeys(models, 1)
    total = sum(demand.values()) or 1.0
    for _ in range(engines - len(models)):
        neediest = max(models, key=lambda model: demand[model] / total / shares[model])
        shares[neediest] += 1
    return shares


def engines_needed(samples: float, slots: float) -> int:
    """Return how many engines a step of so many samples needs, including spare ones.

    Parameters
    ----------
    slots
        Requests that one engine takes at a time.
    """
    return max(1, math.ceil(SPARE_ENGINES * samples / slots))
