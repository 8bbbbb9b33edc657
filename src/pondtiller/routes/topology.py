"""Zones, their regions, and the distance between two zones.

All comparisons of zones use `Topology`, so that a rule about regions applies in the same way to
machines, engines and replicas.
"""

from collections.abc import Collection, Mapping
from enum import IntEnum


class Distance(IntEnum):
    """Distance between two zones; each step adds latency and cost of transferred bytes."""

    SAME_ZONE = 0
    SAME_REGION = 1
    OTHER_REGION = 2


class Topology:
    """Zones of a deployment, from its settings.

    Parameters
    ----------
    regions
        Region by zone. A zone that is not listed counts as a region of its own without a name,
        since nothing is known to be near it.
    """

    def __init__(self, regions: Mapping[str, str] | None = None) -> None:
        self.regions = dict(regions or {})

    def region(self, zone: str) -> str:
        """Return a zone's region, or an empty string if unknown."""
        return self.regions.get(zone, "")

    def distance(self, one: str, other: str) -> Distance:
        """Return the distance between two zones."""
        if one == other:
            return Distance.SAME_ZONE
        if not self.regions:
            return Distance.SAME_REGION
        region = self.region(one)
        is_same = bool(region) and region == self.region(other)
        return Distance.SAME_REGION if is_same else Distance.OTHER_REGION

    def allows_zone(self, zone: str, homes: Collection[str]) -> bool:
        """Return whether data or work with the given home regions may be in a zone.

        Without homes it may be anywhere.
        """
        return not homes or self.region(zone) in homes

    def allows_all_zones(self, homes: Collection[str]) -> bool:
        """Return whether work with the given home regions may be in every zone."""
        return not homes or set(self.regions.values()) <= set(homes)


def common_homes(*homes: frozenset[str]) -> frozenset[str] | None:
    """Return the regions that several rules all allow; empty if none of them restricts regions.

    Returns
    -------
    frozenset of str, or None
        None if the rules have no region in common.
    """
    binding = [each for each in homes if each]
    if not binding:
        return frozenset()
    return frozenset.intersection(*binding) or None
