"""Orders of engines: by need, without flapping, within limits, despite unavailable zones."""

import random
from dataclasses import dataclass, field
from itertools import pairwise

import pytest

from pondtiller.rollouts.scaling import (
    MARGIN,
    NO_CAPACITY_PAUSE_SECONDS,
    POLICIES,
    RAISE_AFTER_SECONDS,
    RAISE_BELOW,
    PolicyName,
    ScaleOrder,
    ServiceScale,
    ZoneEngines,
)
from pondtiller.routes.table import Scaling

PRICES = {"a": 0.85, "b": 1.2, "c": 1.0}
START_SECONDS = 4.0
STEP_SECONDS = 0.5


def scaling(least: int = 1, most: int = 12, spot_price: float = 0.2) -> Scaling:
    return Scaling(least, most, START_SECONDS, PRICES, spot_price)


@dataclass
class Fleet:
    """Engines that start and stop as ordered, and a policy that is called every half second."""

    policy: PolicyName = PolicyName.NEED
    row: Scaling = field(default_factory=scaling)
    engines: dict[tuple[str, bool], int] = field(default_factory=dict)
    booting: list[tuple[float, ScaleOrder]] = field(default_factory=list)
    dry: set[tuple[str, bool]] = field(default_factory=set)
    orders: list[tuple[float, ScaleOrder]] = field(default_factory=list)
    now: float = 0.0

    def __post_init__(self) -> None:
        for zone in PRICES:
            self.engines.setdefault((zone, False), 6)
            self.engines.setdefault((zone, True), 0)
        self.state = ServiceScale("llm", self.row)

    def total(self, is_spot: bool | None = None) -> int:
        return sum(
            count for (_, kind), count in self.engines.items() if is_spot is None or kind is is_spot
        )

    def run(self, needed: float | None, seconds: float) -> list[ScaleOrder]:
        """Let time pass with one need; return what was ordered."""
        first = len(self.orders)
        end = self.now + seconds
        while self.now < end:
            self._start_engines()
            self.state.zones = {
                zone: ZoneEngines(self.engines[zone, False], self.engines[zone, True])
                for zone in PRICES
            }
            self.state.needed = needed
            for order in POLICIES[self.policy].orders(self.state, self.now):
                self._take(order)
            self.now += STEP_SECONDS
        return [order for _, order in self.orders[first:]]

    def _take(self, order: ScaleOrder) -> None:
        self.orders.append((self.now, order))
        key = (order.zone, order.is_spot)
        if key in self.dry and order.desired > self.engines[key]:
            self.state.note_no_capacity(order, self.now)
            return
        self.state.note_order(order, self.now)
        if order.desired < self.engines[key]:
            self.engines[key] = order.desired
        else:
            self.booting.append((self.now + START_SECONDS, order))

    def _start_engines(self) -> None:
        for at, order in list(self.booting):
            if self.now >= at:
                self.booting.remove((at, order))
                key = (order.zone, order.is_spot)
                self.engines[key] = max(self.engines[key], order.desired)


def test_engines_are_left_as_they_are() -> None:
    fleet = Fleet(PolicyName.LEAVE)
    assert fleet.run(40.0, 30.0) + fleet.run(0.0, 30.0) == []


@pytest.mark.parametrize("policy", [PolicyName.NEED, PolicyName.NEED_SPOT])
def test_nothing_is_ordered_while_the_need_is_not_known(policy: PolicyName) -> None:
    fleet = Fleet(policy)
    assert fleet.run(None, 30.0) == []


def test_a_burst_gets_engines_the_cheapest_first_and_not_all_in_one_zone() -> None:
    fleet = Fleet()
    fleet.run(20.0, 10.0)
    assert fleet.total() == 26
    assert fleet.engines["a", False] == 12
    assert fleet.engines["b", False] == 6


def test_a_shortage_must_last_before_engines_are_ordered() -> None:
    fleet = Fleet()
    assert fleet.run(20.0, 2.5) == []
    assert fleet.run(13.0, STEP_SECONDS) == []
    assert fleet.run(20.0, 2.5) == []
    assert fleet.run(20.0, 1.0)


def test_when_it_is_quiet_the_dearest_go_first_and_no_zone_has_all_or_none() -> None:
    fleet = Fleet()
    fleet.run(8.0, 5.0)
    left = {zone: fleet.engines[zone, False] for zone in PRICES}
    assert left == {"a": 6, "b": 1, "c": 5}
    fleet.run(4.0, 15.0)
    left = {zone: fleet.engines[zone, False] for zone in PRICES}
    assert sum(left.values()) == 7
    assert max(left.values()) <= 4
    assert min(left.values()) >= 1


def test_a_few_engines_above_the_need_are_enough_to_order_none() -> None:
    fleet = Fleet()
    assert fleet.run(16.0, 20.0) == []
    assert fleet.run(17.0, 20.0)


def test_no_lowering_soon_after_an_order() -> None:
    fleet = Fleet(row=scaling()._replace(start_seconds=0.0))
    fleet.run(20.0, RAISE_AFTER_SECONDS + STEP_SECONDS)
    ordered_at = fleet.orders[-1][0]
    fleet.run(6.0, 20.0)
    lowered_at = min(at for at, order in fleet.orders if at > ordered_at)
    assert lowered_at >= ordered_at + 8.0


@pytest.mark.parametrize("policy", [PolicyName.NEED, PolicyName.NEED_SPOT])
def test_a_need_that_swings_by_a_tenth_does_not_flap(policy: PolicyName) -> None:
    luck = random.Random(5)
    fleet = Fleet(policy)
    fleet.run(10.0, 40.0)
    before = len(fleet.orders)
    for _ in range(100):
        fleet.run(10.0 * luck.uniform(0.9, 1.05), 3.0)
    assert len(fleet.orders) - before <= 6


@pytest.mark.parametrize("policy", [PolicyName.NEED, PolicyName.NEED_SPOT])
def test_never_fewer_engines_than_the_need_whatever_the_load(policy: PolicyName) -> None:
    luck = random.Random(7)
    fleet = Fleet(policy)
    needed = 12.0
    for _ in range(60):
        needed = min(14.0, max(1.0, needed * luck.uniform(0.7, 1.1)))
        fleet.run(needed, 4.0)
        assert fleet.total() >= needed


@pytest.mark.parametrize("policy", [PolicyName.NEED, PolicyName.NEED_SPOT])
def test_limits_hold_for_both_kinds_together_whatever_the_load(policy: PolicyName) -> None:
    luck = random.Random(9)
    fleet = Fleet(policy, scaling(least=2, most=8))
    for _ in range(60):
        fleet.run(luck.choice([0.0, 3.0, 9.0, 40.0]), luck.uniform(1.0, 12.0))
        for zone in PRICES:
            booked = {False: fleet.engines[zone, False], True: fleet.engines[zone, True]}
            for _, order in fleet.booting:
                if order.zone == zone:
                    booked[order.is_spot] = max(booked[order.is_spot], order.desired)
            assert sum(booked.values()) <= 8
            assert fleet.engines[zone, False] >= 2


def test_a_dry_zone_is_gone_round_and_asked_again_later() -> None:
    fleet = Fleet(dry={("a", False)})
    fleet.run(18.0, 20.0)
    assert fleet.engines["a", False] == 6
    assert fleet.total() >= 18.0 * MARGIN
    asked = [at for at, order in fleet.orders if order.zone == "a"]
    assert all(later - earlier >= NO_CAPACITY_PAUSE_SECONDS for earlier, later in pairwise(asked))


def test_an_evacuated_zone_counts_for_nothing_and_gets_no_order() -> None:
    fleet = Fleet()
    fleet.state.evacuated = frozenset({"a"})
    orders = fleet.run(12.0, 10.0)
    assert {order.zone for order in orders} <= {"b", "c"}
    assert fleet.total() - fleet.engines["a", False] >= 12.0 * MARGIN


def test_an_order_that_brought_no_engine_is_given_again() -> None:
    fleet = Fleet()
    fleet.run(20.0, RAISE_AFTER_SECONDS + STEP_SECONDS)
    fleet.booting.clear()
    fleet.run(20.0, 20.0)
    assert fleet.total() >= 20.0 * MARGIN


def test_spot_engines_serve_before_steady_ones_go_and_one_zone_of_them_may_be_lost() -> None:
    fleet = Fleet(PolicyName.NEED_SPOT)
    target = 10.0 * MARGIN
    for _ in range(80):
        fleet.run(10.0, STEP_SECONDS)
        spot = [fleet.engines[zone, True] for zone in PRICES]
        assert fleet.total() - max(spot) >= target
    assert fleet.total(True) > fleet.total(False)


def test_when_a_zone_loses_its_spot_engines_on_demand_ones_replace_them() -> None:
    fleet = Fleet(PolicyName.NEED_SPOT)
    fleet.run(10.0, 40.0)
    fleet.dry = {(zone, True) for zone in PRICES}
    taken = max(PRICES, key=lambda zone: fleet.engines[zone, True])
    fleet.engines[taken, True] = 0
    fleet.run(10.0, 15.0)
    spot = [fleet.engines[zone, True] for zone in PRICES]
    assert fleet.total() - max(spot) >= 10.0 * RAISE_BELOW


def test_no_spot_engines_where_they_do_not_pay() -> None:
    fleet = Fleet(PolicyName.NEED_SPOT, scaling(spot_price=0.9))
    fleet.run(10.0, 40.0)
    assert fleet.total(True) == 0
    fleet = Fleet(PolicyName.NEED_SPOT, scaling(spot_price=0.0))
    fleet.run(10.0, 40.0)
    assert fleet.total(True) == 0
