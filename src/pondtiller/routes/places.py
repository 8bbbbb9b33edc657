"""Places: zones, the regions that they lie in, and how far two of them are apart.

Every comparison of zones goes through `Places`, so that a rule about regions holds wherever a
machine, an engine or a replica is chosen.
"""

from collections.abc import Collection, Mapping
from enum import IntEnum


class Distance(IntEnum):
    """How far two places are apart; each step costs more time, and bytes that are paid for."""

    SAME_ZONE = 0
    SAME_REGION = 1
    OTHER_REGION = 2


class Places:
    """The zones of a deployment, as its settings name them.

    Parameters
    ----------
    regions
        Region by zone. A zone that stands nowhere here is a region of its own, without a name:
        nothing is known to be near it.
    """

    def __init__(self, regions: Mapping[str, str] | None = None) -> None:
        self.regions = dict(regions or {})

    def region(self, zone: str) -> str:
        """Return a zone's region, or empty text where it is not known."""
        return self.regions.get(zone, "")

    def distance(self, one: str, other: str) -> Distance:
        """Return how far two zones are apart."""
        if one == other:
            return Distance.SAME_ZONE
        if not self.regions:
            return Distance.SAME_REGION
        region = self.region(one)
        is_same = bool(region) and region == self.region(other)
        return Distance.SAME_REGION if is_same else Distance.OTHER_REGION

    def may_hold(self, zone: str, homes: Collection[str]) -> bool:
        """Return whether what has these home regions may be in a zone; no homes bind nothing."""
        return not homes or self.region(zone) in homes

    def covers_all(self, homes: Collection[str]) -> bool:
        """Return whether what has these homes may be in every zone; no homes bind nothing."""
        return not homes or set(self.regions.values()) <= set(homes)


def common_homes(*homes: frozenset[str]) -> frozenset[str] | None:
    """Return the regions that all of several rules allow; empty where none of them binds.

    Returns
    -------
    frozenset of str, or None
        None where the rules leave no region at all.
    """
    binding = [each for each in homes if each]
    if not binding:
        return frozenset()
    return frozenset.intersection(*binding) or None
