"""How many engines load each new version, where several models share the engines.

A load takes an engine's time and has a price. A step may use the version before as well, so
where the engines that load take turns, twice as many can serve: those with the newest version
and those with the one before.
"""


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
