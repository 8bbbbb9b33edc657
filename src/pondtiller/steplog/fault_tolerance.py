"""What may be lost at one time, and whether a group of replicas bears it. No I/O.

A group bears a loss where the members that are left are a write quorum of the whole group: then
no acknowledged value is gone, and writes go on. Machines, zones and regions are each counted
alone: the settings name so many machines, or so many zones, or so many regions.
"""

from collections import Counter
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from pondtiller.routes.topology import Topology
from pondtiller.steplog.group import write_quorum
from pondtiller.wire.steplog import GroupMember


class Tolerance(NamedTuple):
    """What may be lost at one time with all promises kept.

    Attributes
    ----------
    machines
        Replicas with their disks.
    zones, regions
        Whole ones, each with all of its replicas.
    """

    machines: int = 1
    zones: int = 0
    regions: int = 0

    @property
    def smallest_size(self) -> int:
        """Fewest members of a group that can bear it, where there are places enough."""
        return 2 * max(self.machines, self.zones, self.regions) + 1


class PlaceRules(NamedTuple):
    """What a choice of members follows: the losses to be borne, and where zones lie."""

    tolerance: Tolerance = Tolerance()
    places: Topology = Topology()


USUAL_RULES = PlaceRules()
"""One replica may be lost; no places are known."""


def shortfall(members: Iterable[GroupMember], size: int, rules: PlaceRules) -> int:
    """Return how many members more would have to be left after the losses; 0 where all is borne.

    Parameters
    ----------
    members
        Those that there are, or are to be.
    size
        Of the whole group, which sets the quorum.
    """
    present = list(members)
    tolerance, quorum = rules.tolerance, write_quorum(size)
    lost_with_machines = min(tolerance.machines, len(present))
    lost_with_zones = _largest((each.zone for each in present), tolerance.zones)
    regions = (_region(each.zone, rules.places) for each in present)
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
    members: Sequence[GroupMember], candidates: Iterable[GroupMember], rules: PlaceRules
) -> str:
    """Return the region in which a majority of the members is to be; empty where there is none.

    Where no region's loss is to be borne, a majority in one region spares each write the way to
    another. It is the region of most members, so that it stays, and else that of most replicas.
    """
    places = rules.places
    if rules.tolerance.regions or len(set(places.regions.values())) < 2:
        return ""
    of_members = Counter(places.region(each.zone) for each in members)
    of_candidates = Counter(places.region(each.zone) for each in candidates)
    named = sorted(set(places.regions.values()))
    return max(named, key=lambda each: (of_members[each], of_candidates[each]))


def lacks_at_home(members: Iterable[GroupMember], size: int, home: str, places: Topology) -> int:
    """Return how many members the home region lacks to have a write quorum."""
    if not home:
        return 0
    at_home = sum(places.region(each.zone) == home for each in members)
    return max(0, write_quorum(size) - at_home)


def _largest(places: Iterable[str], lost: int) -> int:
    """Return how many members the loss of so many places can take."""
    return sum(count for _, count in Counter(places).most_common(lost))


def _region(zone: str, places: Topology) -> str:
    """Return a zone's region; one that the settings do not name is a region of its own."""
    return places.region(zone) or (zone if places.regions else "")
