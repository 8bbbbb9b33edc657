"""Orders of engines by a small system."""

from pathlib import Path
from typing import Any

import pytest

from pondtiller.gateway.leader.scaling_duty import CALL_SECONDS, ScalingDuty
from pondtiller.gateway.process import GatewayProcess
from pondtiller.gateway.tests.system import System, run_system
from pondtiller.process import clock
from pondtiller.rollouts import engine_need
from pondtiller.rollouts.scaling import PolicyName, ScaleOrder, ServiceScale
from pondtiller.standins.documents import configuration

AUTOSCALE = {
    "min_replicas": 1,
    "max_replicas": 4,
    "boot_time_s": 0.5,
    "zone_prices": {"z": 1.0},
    "spot_price": 0.2,
}


class Wanted:
    """A policy that wants so many engines in one zone until they are ordered."""

    def __init__(self, desired: int) -> None:
        self.desired = desired

    def orders(self, state: ServiceScale, now: float) -> list[ScaleOrder]:
        last = state.last.get(("z", False))
        if state.has_no_capacity("z", False, now) or (
            last is not None and last.desired == self.desired
        ):
            return []
        return [ScaleOrder(state.service, "z", self.desired, False)]


def put_scaling(system: System, autoscale: dict[str, Any] | None = AUTOSCALE) -> None:
    given = configuration(4, *system.app, *system.llm)
    for service in given["services"]:
        if service["name"] == "llm":
            service["autoscale"] = autoscale
    system.store.put("config", "main", given)


def duty(gateway: GatewayProcess) -> ScalingDuty:
    assert gateway.duties.term is not None and gateway.duties.term.scaling is not None
    return gateway.duties.term.scaling


def test_open_work_gets_engines_ordered(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(engine_need, "PEAK_SECONDS", 1.0)

    async def test(system: System) -> None:
        for engine in system.llm:
            engine.event_seconds = 0.2
        put_scaling(system)
        await system.until_led()
        for number in range(2):
            assert await system.submit(f"s{number}", 60) == 202
        await system.until(lambda: bool(system.operator.scales), 20.0)
        holder, fence, order = system.operator.scales[0]
        assert holder == "g0" and fence > 0
        assert order == {"service": "llm", "zone": "z", "desired": 4}

    run_system(tmp_path, test, with_configuration=False, scaling=PolicyName.NEED)


def test_nothing_is_ordered_unless_settings_and_row_say_so(tmp_path: Path) -> None:
    async def left(system: System) -> None:
        put_scaling(system)
        leader = await system.until_led()
        assert leader.duties.term is not None and leader.duties.term.scaling is None

    async def without_row(system: System) -> None:
        put_scaling(system, None)
        leader = await system.until_led()
        duty(leader).policy = Wanted(3)
        assert await system.submit("s", 4) == 202
        await system.read_all("s", 4)
        assert system.operator.scales == []

    run_system(tmp_path / "a", left, with_configuration=False)
    run_system(tmp_path / "b", without_row, with_configuration=False, scaling=PolicyName.NEED)


def test_an_order_whose_answer_is_lost_is_given_again(tmp_path: Path) -> None:
    async def test(system: System) -> None:
        system.operator.next_scale_statuses = [0, 429, 503]
        put_scaling(system)
        leader = await system.until_led()
        duty(leader).policy = Wanted(3)
        await system.until(lambda: len(system.operator.scales) == 4, 20.0)
        assert all(call == system.operator.scales[0] for call in system.operator.scales)
        await system.until(lambda: leader.metrics.scale_orders == 1)
        assert leader.metrics.scale_orders_failed == 3

    run_system(tmp_path, test, with_configuration=False, scaling=PolicyName.NEED)


def test_a_zone_that_has_none_is_noted_as_dry(tmp_path: Path) -> None:
    async def test(system: System) -> None:
        system.operator.next_scale_statuses = [409]
        put_scaling(system)
        leader = await system.until_led()
        duty(leader).policy = Wanted(3)
        await system.until(lambda: leader.metrics.scale_orders_failed == 1)
        state = duty(leader).states["llm"]
        assert state.has_no_capacity("z", False, clock.monotonic())
        assert state.last == {}
        await system.until(lambda: len(system.operator.scales) == 2, 12.0)

    run_system(tmp_path, test, with_configuration=False, scaling=PolicyName.NEED)


def test_a_successor_waits_for_the_last_order_and_its_fence_is_higher(tmp_path: Path) -> None:
    async def test(system: System) -> None:
        put_scaling(system)
        leader = await system.until_led()
        other = next(each for each in system.gateways if each is not leader)
        duty(leader).policy = Wanted(3)
        await system.until(lambda: len(system.operator.scales) == 1)
        last_at = clock.monotonic()
        await leader.leadership.resign()
        await system.until(lambda: other.duties.term is not None)
        duty(other).policy = Wanted(2)
        await system.until(lambda: len(system.operator.scales) == 2, 20.0)
        lease = other.settings.durations.lease
        # The call was sent within NOTE_SECONDS of the note, from which the pause counts.
        assert clock.monotonic() - last_at >= lease + CALL_SECONDS
        (first, low, _), (second, high, order) = system.operator.scales
        assert first != second and high > low
        assert order["desired"] == 2

    run_system(tmp_path, test, gateways=2, with_configuration=False, scaling=PolicyName.NEED)


def test_no_order_leaves_without_its_note_in_the_log(tmp_path: Path) -> None:
    async def test(system: System) -> None:
        put_scaling(system)
        leader = await system.until_led()
        duty(leader).policy = Wanted(3)
        await system.until(lambda: len(system.operator.scales) == 1)
        notes = [key for key in leader.leadership.log.entries if "scale:llm:z" in key]
        assert len(notes) == 1

    run_system(tmp_path, test, with_configuration=False, scaling=PolicyName.NEED)
