"""Which simultaneous losses a group of replicas tolerates. No I/O.

A group tolerates a loss if the remaining members are a write quorum of the whole group: no
acknowledged value is lost then, and writes continue. Machines, zones and regions are counted
separately: the settings name so many machines, or so many zones, or so many regions.
"""

from collections import Counter
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from pondtiller.routes.topology import Topology
from pondtiller.steplog.group import write_quorum
from pondtiller.wire.steplog import GroupMember


class Tolerance(NamedTuple):
    """Simultaneous losses that must be tolerated.

    Attributes
    ----------
    machines
        Replicas with their disks.
    zones, regions
        Whole zones or regions, each with all of its replicas.
    """

    machines: int = 1
    zones: int = 0
    regions: int = 0

    @property
    def smallest_size(self) -> int:
        """Smallest group that can tolerate it, given enough zones and regions."""
        return 2 * max(self.machines, self.zones, self.regions) + 1


class GroupRules(NamedTuple):
    """Rules for the choice of members: the losses to tolerate, and the regions of zones."""

    tolerance: Tolerance = Tolerance()
    topology: Topology = Topology()


DEFAULT_RULES = GroupRules()
"""One replica may be lost; no regions are known."""


def shortfall(members: Iterable[GroupMember], size: int, rules: GroupRules) -> int:
    """Return how many additional members would have to survive the losses; 0 if all are tolerated.

    Parameters
    ----------
    members
        Present or planned members.
    size
        Size of the whole group, which determines the quorum.
    """
    present = list(members)
    tolerance, quorum = rules.tolerance, write_quorum(size)
    lost_with_machines = min(tolerance.machines, len(present))
    lost_with_zones = _largest((each.zone for each in present), tolerance.zones)
    regions = (_region(each.zone, rules.topology) for each in present)
    lost_with_regions = _largest(regions, tolerance.regions)
    left = [
        len(present) - each for each in (lost_with_machines, lost_with_zones, lost_with_regions)
    ]
    return sum(max(0, quorum - each) for each in left)


def zone_crowding(members: Iterable[GroupMember]) -> int:
    """Return how unevenly members are spread over zones: the sum of the squares of their counts."""
    counts = Counter(each.zone for each in members)
    return sum(count * count for count in counts.values())


def home_region(
    members: Sequence[GroupMember], candidates: Iterable[GroupMember], rules: GroupRules
) -> str:
    """Return the region that should have a majority of the members; empty if there is none.

    If no loss of a region must be tolerated, a majority in one region saves each write a round trip
    to another. It is the region of most members, so that it stays, then that of most replicas.
    """
    places = rules.topology
    if rules.tolerance.regions or len(set(places.regions.values())) < 2:
        return ""
    of_members = Counter(places.region(each.zone) for each in members)
    of_candidates = Counter(places.region(each.zone) for each in candidates)
    named = sorted(set(places.regions.values()))
    return max(named, key=lambda each: (of_members[each], of_candidates[each]))


def missing_at_home(members: Iterable[GroupMember], size: int, home: str, places: Topology) -> int:
    """Return how many members the home region lacks for a write quorum."""
    if not home:
        return 0
    at_home = sum(places.region(each.zone) == home for each in members)
    return max(0, write_quorum(size) - at_home)


def _largest(places: Iterable[str], lost: int) -> int:
    """Return how many members the loss of so many places can take."""
    return sum(count for _, count in Counter(places).most_common(lost))


def _region(zone: str, places: Topology) -> str:
    """Return a zone's region; a zone that the settings do not name is a region of its own."""
    return places.region(zone) or (zone if places.regions else "")
