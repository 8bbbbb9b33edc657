"""How many engines load each new version, where several models share the engines.

A load takes an engine's time and has a price. A step may use the version before as well, so
where the engines that load take turns, twice as many can serve: those with the newest version
and those with the one before.

Where there are more engines than a model's steps fill, a version goes to as many as they need.
Answers the load of a large fleet with small steps: with 301 engines and steps of 96 samples a day
took 1,108 orders, 0.364 of worth, and a leader's connection to each engine.

Owns nothing. Does not say which engines these are (`load_choice.py`).
"""

import math

SPARE_ENGINES = 1.5
"""Engines that have a version, against those that a step's samples fill: some are lost or slow
while they serve, and one in three may be before samples wait."""


def load_shares(engines: int, demand: dict[str, float]) -> dict[str, int]:
    """Return how many of `engines` load each model's next version.

    Every model gets one; the others go by demand. A single model gets them all. Without a
    model there is nothing to share, as when the engines' entries have all lapsed.
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
    """Return how many engines a step of so many samples needs, with a part to spare.

    Parameters
    ----------
    slots
        Requests that one engine takes at a time.
    """
    return max(1, math.ceil(SPARE_ENGINES * samples / slots))
