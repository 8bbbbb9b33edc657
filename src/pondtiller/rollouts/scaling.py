"""How many engines of a service are ordered in each zone. No I/O.

A policy gets the engines as they are and the need (`engine_need`), and returns orders. An order
names a number, so the same one twice is one. Three policies: leave the engines as they are, order
by need, and order by need with engines that may be taken away, all of a zone at once.

Owns what was ordered last in each zone, for one term of a leader. Does not send orders, and does
not say how large the need is.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple, Protocol

from pondtiller.routes.table import Scaling

MARGIN = 1.3
"""Engines ordered against those that the need fills: of every 4 s an engine is without work for
0.9 s while it changes its weights, which is 1.29."""
RAISE_BELOW = 1.1
"""Engines are added, up to the margin, only where there are fewer than this many times the need: a
new engine costs its start and a load of each model, and comes cold."""
LOWER_BELOW = 0.85
"""Engines are given back only where what stays is under this part of what is there: steps of one
trainer differ by a tenth, and an engine that is ordered anew costs its start and its weights."""
SPARE_ENGINES = 1
"""Lowering leaves so many more than the target, for a next step that is a little larger."""
HOLD_SECONDS = 8.0
"""No lowering so soon after any order: two steps of a trainer show what the order did."""
RAISE_AFTER_SECONDS = 3.0
"""A shortage must last so long. Entries that lapse while the store is away come back within 2 s
of its return."""
SETTLE_SECONDS = 3.0
"""After its start time an ordered engine has so long to write its entry before it counts as not
coming."""
DRY_SECONDS = 5.0
"""A zone that had none is asked again after this: each try is a call that is paid, and zones stay
dry for some 10 s."""
ZONE_MOST_SHARE = 0.5
"""No zone gets more of the engines than this by price: the loss of one leaves half."""
ZONE_LEAST_SHARE = 0.2
"""No zone is emptied for its price below this part of an equal share of the target."""


class PolicyName(StrEnum):
    """Which policy orders."""

    LEAVE = "leave"
    NEED = "need"
    NEED_SPOT = "need_spot"


class ScaleOrder(NamedTuple):
    """Order the number of engines of one kind in a zone.

    Attributes
    ----------
    is_spot
        Whether they may be taken away.
    """

    service: str
    zone: str
    desired: int
    is_spot: bool


class ZoneEngines(NamedTuple):
    """Engines of a service in one zone; those that leave are in none of the numbers.

    Attributes
    ----------
    ready
        Engines that stay until they are told to go.
    spot_ready
        Engines that may be taken away.
    """

    ready: int
    spot_ready: int


class LastScale(NamedTuple):
    """The last order of a kind in a zone that was taken, or may have been."""

    desired: int
    at: float


@dataclass
class ServiceScale:
    """What a policy knows of one service.

    Attributes
    ----------
    needed
        Engines that the open steps fill, as a smoothed peak; None while unknown.
    zones
        Engines by zone.
    evacuated
        Zones whose engines get no work: they count for nothing and nothing is ordered there.
    last
        Orders by zone and kind.
    dry_until
        No order that raises before this time, by zone and kind.
    short_since
        Since when there are too few engines; None while there are enough.
    changed_at
        When an order was given last.
    """

    service: str
    scaling: Scaling
    needed: float | None = None
    zones: dict[str, ZoneEngines] = field(default_factory=dict)
    evacuated: frozenset[str] = frozenset()
    last: dict[tuple[str, bool], LastScale] = field(default_factory=dict)
    dry_until: dict[tuple[str, bool], float] = field(default_factory=dict)
    short_since: float | None = None
    changed_at: float = -math.inf

    def ordered(self, order: ScaleOrder, now: float) -> None:
        """Take an order that was given, whatever became of it."""
        self.last[order.zone, order.is_spot] = LastScale(order.desired, now)
        self.changed_at = now

    def refused(self, order: ScaleOrder, now: float) -> None:
        """Take that a zone had none: the order counts for nothing."""
        self.last.pop((order.zone, order.is_spot), None)
        self.dry_until[order.zone, order.is_spot] = now + DRY_SECONDS

    def is_dry(self, zone: str, is_spot: bool, now: float) -> bool:
        """Return whether a zone had none lately."""
        return now < self.dry_until.get((zone, is_spot), -math.inf)

    def in_use(self) -> list[str]:
        """Return the zones that count, by name."""
        return sorted(zone for zone in self.zones if zone not in self.evacuated)

    def ready(self, zone: str, is_spot: bool) -> int:
        """Return the engines that serve now."""
        engines = self.zones[zone]
        return engines.spot_ready if is_spot else engines.ready

    def counted(self, zone: str, is_spot: bool, now: float) -> int:
        """Return the engines that serve once a recent order is carried out."""
        last = self.last.get((zone, is_spot))
        if last is not None and now < last.at + self.scaling.start_seconds + SETTLE_SECONDS:
            return last.desired
        return self.ready(zone, is_spot)

    def price(self, zone: str) -> float:
        """Return what a second of an engine costs in a zone."""
        return self.scaling.zone_prices.get(zone, 1.0)


class ScalePolicy(Protocol):
    """Decides what is ordered now."""

    def orders(self, state: ServiceScale, now: float) -> list[ScaleOrder]:
        """Return the orders that are due."""


class LeaveEngines:
    """Orders nothing: the engines stay as the operator started them."""

    def orders(self, state: ServiceScale, now: float) -> list[ScaleOrder]:
        """Return no order."""
        return []


class EnginesByNeed:
    """Orders the engines that the need fills with a margin, in the cheapest zones."""

    def orders(self, state: ServiceScale, now: float) -> list[ScaleOrder]:
        """Return the orders that are due."""
        if state.needed is None or not state.in_use():
            return []
        low = math.ceil(state.needed * RAISE_BELOW)
        return order_steady(state, low, math.ceil(state.needed * MARGIN), now)


class EnginesByNeedSpot:
    """The same, most of them of the kind that may be taken away.

    Whichever zone loses all of its spot engines, the others and the steady ones meet the target.
    """

    def orders(self, state: ServiceScale, now: float) -> list[ScaleOrder]:
        """Return the orders that are due: spot engines first, steady ones go once those serve."""
        if state.needed is None or not state.in_use():
            return []
        target = math.ceil(state.needed * MARGIN)
        found = self._order_spot(state, target, now)
        serving = [state.ready(zone, True) for zone in state.in_use()]
        beside = sum(serving) - max(serving)
        floor = steady_floor(state, target)
        low = max(floor, math.ceil(state.needed * RAISE_BELOW) - beside)
        wanted = {order.zone: order.desired for order in found}
        return found + order_steady(state, low, max(floor, target - beside), now, wanted)

    def _order_spot(self, state: ServiceScale, target: int, now: float) -> list[ScaleOrder]:
        zones = [zone for zone in state.in_use() if not state.is_dry(zone, True, now)]
        each = spot_each_zone(state, target, zones)
        found = []
        for zone in zones:
            room = state.scaling.most - state.counted(zone, False, now)
            wanted = max(0, min(each, room))
            counted = state.counted(zone, True, now)
            is_lower = wanted + SPARE_ENGINES < counted and may_lower(state, now)
            if wanted > counted or is_lower:
                found.append(ScaleOrder(state.service, zone, wanted, True))
        return found


POLICIES: Mapping[PolicyName, ScalePolicy] = {
    PolicyName.LEAVE: LeaveEngines(),
    PolicyName.NEED: EnginesByNeed(),
    PolicyName.NEED_SPOT: EnginesByNeedSpot(),
}


def may_lower(state: ServiceScale, now: float) -> bool:
    """Return whether the last order is long enough ago to lower."""
    return now >= state.changed_at + max(HOLD_SECONDS, state.scaling.start_seconds + SETTLE_SECONDS)


def steady_floor(state: ServiceScale, target: int) -> int:
    """Return the engines that stay steady whatever spot engines there are: a third, or the least.

    Two zones of spot engines may go within the time that new ones need to start.
    """
    return max(state.scaling.least * len(state.in_use()), math.ceil(target / 3), 1)


def spot_each_zone(state: ServiceScale, target: int, zones: list[str]) -> int:
    """Return the spot engines of each zone; 0 where they do not pay.

    With one zone's gone, the others and the steady floor make the target.
    """
    price = state.scaling.spot_price
    floor = steady_floor(state, target)
    if not 0.0 < price < 1.0 or len(zones) < 2 or target <= floor:
        return 0
    each = math.ceil((target - floor) / (len(zones) - 1))
    return each if floor + price * each * len(zones) < target else 0


def order_steady(
    state: ServiceScale, low: int, target: int, now: float, spot: Mapping[str, int] | None = None
) -> list[ScaleOrder]:
    """Return what brings the steady engines to a target, with hysteresis; notes a shortage.

    Parameters
    ----------
    low
        Fewer engines than this are a shortage.
    spot
        Spot engines by zone that are about to be ordered: the limits hold for both kinds together.
    """
    zones = state.in_use()
    counts = {zone: state.counted(zone, False, now) for zone in zones}
    before = dict(counts)
    total = sum(counts.values())
    if low > total:
        if state.short_since is None:
            state.short_since = now
        if now < state.short_since + RAISE_AFTER_SECONDS:
            return []
        beside = {zone: state.counted(zone, True, now) for zone in zones} | dict(spot or {})
        _add(state, counts, beside, target, now)
    else:
        state.short_since = None
        kept = target + SPARE_ENGINES
        if kept >= LOWER_BELOW * total or not may_lower(state, now):
            return []
        _remove(state, counts, kept)
    changed = [zone for zone in zones if counts[zone] != before[zone]]
    return [ScaleOrder(state.service, zone, counts[zone], False) for zone in changed]


def _add(
    state: ServiceScale, counts: dict[str, int], beside: dict[str, int], target: int, now: float
) -> None:
    """Add engines where they are cheapest, up to what a zone may have."""
    share = _most_of_zone(target)
    while sum(counts.values()) < target:
        open_zones = [
            zone
            for zone in counts
            if not state.is_dry(zone, False, now)
            and counts[zone] + beside[zone] < state.scaling.most
        ]
        # Beyond the share by price only where no other zone has any.
        within = [zone for zone in open_zones if counts[zone] < share] or open_zones
        if not within:
            return
        counts[min(within, key=lambda zone: (state.price(zone), counts[zone], zone))] += 1


def _remove(state: ServiceScale, counts: dict[str, int], target: int) -> None:
    """Remove engines where they are dearest, down to what a zone must have."""
    floor = max(state.scaling.least, math.ceil(ZONE_LEAST_SHARE * target / len(counts)))
    while sum(counts.values()) > target:
        full = [zone for zone in counts if counts[zone] > floor]
        if not full:
            return
        full = [zone for zone in full if counts[zone] > _most_of_zone(target)] or full
        counts[max(full, key=lambda zone: (state.price(zone), counts[zone], zone))] -= 1


def _most_of_zone(target: int) -> int:
    return max(1, math.ceil(ZONE_MOST_SHARE * target))
