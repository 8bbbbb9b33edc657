"""Number of engines of a service to order in each zone. No I/O.

A policy gets the current engines and the need (`engine_need`), and returns orders. An order states
an absolute number, so repeating it has no effect. There are three policies: leave the engines as
they are, order by need, and order by need with spot engines, which a zone may lose all at once.

Holds the last order in each zone, for one term of a leader. Does not send orders, and does not
compute the need.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple, Protocol

from pondtiller.routes.table import Scaling

MARGIN = 1.3
"""Engines ordered, as a multiple of those that the need fills: in every 4 s an engine is idle for
0.9 s while it changes its weights, which is a factor of 1.29."""
RAISE_BELOW = 1.1
"""Engines are added, up to the margin, only if there are fewer than this multiple of the need: a
new engine costs its start and a load of each model, and is cold at first."""
LOWER_BELOW = 0.85
"""Engines are removed only if less than this part would remain: steps of one trainer differ by a
tenth, and an engine that is ordered again costs its start and its weights."""
SPARE_ENGINES = 1
"""Engines kept beyond the target when removing some, for a slightly larger next step."""
HOLD_SECONDS = 8.0
"""No removal this soon after any order: two steps of a trainer show the effect of the order."""
RAISE_AFTER_SECONDS = 3.0
"""How long a shortage must last. Entries that lapse while the store is away return within 2 s after
it does."""
SETTLE_SECONDS = 3.0
"""Time after the start time in which an ordered engine must write its entry before it counts as not
coming."""
NO_CAPACITY_PAUSE_SECONDS = 5.0
"""Pause after a zone had no capacity: each attempt is a priced call, and zones stay without
capacity for some 10 s."""
ZONE_MAX_SHARE = 0.5
"""No zone gets a larger part of the engines because of its price: losing one leaves half."""
ZONE_MIN_SHARE = 0.2
"""No zone is reduced because of its price below this part of an equal share of the target."""


class PolicyName(StrEnum):
    """Policy for ordering engines."""

    LEAVE = "leave"
    NEED = "need"
    NEED_SPOT = "need_spot"


class ScaleOrder(NamedTuple):
    """Order for the number of engines of one kind in a zone.

    Attributes
    ----------
    is_spot
        Whether they are spot engines.
    """

    service: str
    zone: str
    desired: int
    is_spot: bool


class ZoneEngines(NamedTuple):
    """Engines of a service in one zone, without those that are leaving.

    Attributes
    ----------
    ready
        On-demand engines.
    spot_ready
        Spot engines.
    """

    ready: int
    spot_ready: int


class LastScale(NamedTuple):
    """The last order of a kind in a zone that was accepted, or may have been."""

    desired: int
    at: float


@dataclass
class ServiceScale:
    """State of one service for a policy.

    Attributes
    ----------
    needed
        Engines that the open steps fill, as a smoothed peak; None if unknown.
    zones
        Engines by zone.
    evacuated
        Zones whose engines get no work; they do not count and nothing is ordered there.
    last
        Orders by zone and kind.
    no_capacity_until
        No order that adds engines before this time, by zone and kind.
    short_since
        Since when there are too few engines; None while there are enough.
    changed_at
        Time of the last order.
    """

    service: str
    scaling: Scaling
    needed: float | None = None
    zones: dict[str, ZoneEngines] = field(default_factory=dict)
    evacuated: frozenset[str] = frozenset()
    last: dict[tuple[str, bool], LastScale] = field(default_factory=dict)
    no_capacity_until: dict[tuple[str, bool], float] = field(default_factory=dict)
    short_since: float | None = None
    changed_at: float = -math.inf

    def note_order(self, order: ScaleOrder, now: float) -> None:
        """Record an order that was sent, whatever its outcome."""
        self.last[order.zone, order.is_spot] = LastScale(order.desired, now)
        self.changed_at = now

    def note_no_capacity(self, order: ScaleOrder, now: float) -> None:
        """Record that a zone has no capacity: the order does not count."""
        self.last.pop((order.zone, order.is_spot), None)
        self.no_capacity_until[order.zone, order.is_spot] = now + NO_CAPACITY_PAUSE_SECONDS

    def has_no_capacity(self, zone: str, is_spot: bool, now: float) -> bool:
        """Return whether a zone had no capacity recently."""
        return now < self.no_capacity_until.get((zone, is_spot), -math.inf)

    def in_use(self) -> list[str]:
        """Return the zones that count, by name."""
        return sorted(zone for zone in self.zones if zone not in self.evacuated)

    def ready(self, zone: str, is_spot: bool) -> int:
        """Return the number of engines that serve now."""
        engines = self.zones[zone]
        return engines.spot_ready if is_spot else engines.ready

    def counted(self, zone: str, is_spot: bool, now: float) -> int:
        """Return the number of engines once a recent order has taken effect."""
        last = self.last.get((zone, is_spot))
        if last is not None and now < last.at + self.scaling.start_seconds + SETTLE_SECONDS:
            return last.desired
        return self.ready(zone, is_spot)

    def price(self, zone: str) -> float:
        """Return the price of an engine second in a zone."""
        return self.scaling.zone_prices.get(zone, 1.0)


class ScalePolicy(Protocol):
    """Decides what is ordered now."""

    def orders(self, state: ServiceScale, now: float) -> list[ScaleOrder]:
        """Return the orders that are due."""


class KeepEngines:
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
        return order_on_demand(state, low, math.ceil(state.needed * MARGIN), now)


class EnginesByNeedSpot:
    """Orders by need, with mostly spot engines.

    Whichever zone loses all of its spot engines, the others and the on-demand ones meet the target.
    """

    def orders(self, state: ServiceScale, now: float) -> list[ScaleOrder]:
        """Return the orders that are due; on-demand engines are removed once spot engines serve."""
        if state.needed is None or not state.in_use():
            return []
        target = math.ceil(state.needed * MARGIN)
        found = self._order_spot(state, target, now)
        serving = [state.ready(zone, True) for zone in state.in_use()]
        beside = sum(serving) - max(serving)
        floor = on_demand_floor(state, target)
        low = max(floor, math.ceil(state.needed * RAISE_BELOW) - beside)
        wanted = {order.zone: order.desired for order in found}
        return found + order_on_demand(state, low, max(floor, target - beside), now, wanted)

    def _order_spot(self, state: ServiceScale, target: int, now: float) -> list[ScaleOrder]:
        zones = [zone for zone in state.in_use() if not state.has_no_capacity(zone, True, now)]
        each = spot_per_zone(state, target, zones)
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
    PolicyName.LEAVE: KeepEngines(),
    PolicyName.NEED: EnginesByNeed(),
    PolicyName.NEED_SPOT: EnginesByNeedSpot(),
}


def may_lower(state: ServiceScale, now: float) -> bool:
    """Return whether the last order is long enough ago to remove engines."""
    return now >= state.changed_at + max(HOLD_SECONDS, state.scaling.start_seconds + SETTLE_SECONDS)


def on_demand_floor(state: ServiceScale, target: int) -> int:
    """Return the on-demand engines to keep beside any spot engines: a third, or the minimum.

    Two zones may lose their spot engines within the time that new ones need to start.
    """
    return max(state.scaling.least * len(state.in_use()), math.ceil(target / 3), 1)


def spot_per_zone(state: ServiceScale, target: int, zones: list[str]) -> int:
    """Return the spot engines of each zone; 0 if they do not pay.

    If one zone loses its spot engines, the others and the on-demand floor make the target.
    """
    price = state.scaling.spot_price
    floor = on_demand_floor(state, target)
    if not 0.0 < price < 1.0 or len(zones) < 2 or target <= floor:
        return 0
    each = math.ceil((target - floor) / (len(zones) - 1))
    return each if floor + price * each * len(zones) < target else 0


def order_on_demand(
    state: ServiceScale, low: int, target: int, now: float, spot: Mapping[str, int] | None = None
) -> list[ScaleOrder]:
    """Return orders that bring the on-demand engines to a target, with hysteresis; notes a
    shortage.

    Parameters
    ----------
    low
        Fewer engines than this are a shortage.
    spot
        Spot engines by zone that are about to be ordered: limits apply to both kinds together.
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
    """Add engines where they are cheapest, up to the limits of a zone."""
    share = _max_of_zone(target)
    while sum(counts.values()) < target:
        open_zones = [
            zone
            for zone in counts
            if not state.has_no_capacity(zone, False, now)
            and counts[zone] + beside[zone] < state.scaling.most
        ]
        # The share may be exceeded only if no other zone has capacity.
        within = [zone for zone in open_zones if counts[zone] < share] or open_zones
        if not within:
            return
        counts[min(within, key=lambda zone: (state.price(zone), counts[zone], zone))] += 1


def _remove(state: ServiceScale, counts: dict[str, int], target: int) -> None:
    """Remove engines where they are most expensive, down to the minimum of a zone."""
    floor = max(state.scaling.least, math.ceil(ZONE_MIN_SHARE * target / len(counts)))
    while sum(counts.values()) > target:
        full = [zone for zone in counts if counts[zone] > floor]
        if not full:
            return
        full = [zone for zone in full if counts[zone] > _max_of_zone(target)] or full
        counts[max(full, key=lambda zone: (state.price(zone), counts[zone], zone))] -= 1


def _max_of_zone(target: int) -> int:
    return max(1, math.ceil(ZONE_MAX_SHARE * target))
