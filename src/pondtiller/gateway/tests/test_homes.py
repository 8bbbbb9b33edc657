"""Homes in a small system of two regions: engines elsewhere get nothing."""

from pathlib import Path
from typing import Any

from pondtiller.gateway.process import GatewayProcess
from pondtiller.gateway.tests.system import System, run_system
from pondtiller.standins.documents import configuration


async def put_homes(system: System, **homes: list[str]) -> None:
    """Set homes of routes by name; engine a1 is in the other region than everything else."""
    for gateway in system.gateways:
        gateway.topology.regions.update({"z": "south", "y": "north"})
    far = system.app[1]
    system.store.put("servers", far.identifier, {**far.entry(), "zone": "y"})
    table: dict[str, Any] = configuration(9, *system.app, *system.llm)
    for route in table["routes"]:
        route["allowed_regions"] = homes.get(route["name"], [])
    system.store.put("config", "main", table)

    await system.until(lambda: all(map(knows_homes, system.gateways)))


def knows_homes(gateway: GatewayProcess) -> bool:
    table, far = gateway.front.table, gateway.engines.engines.get("a1")
    is_moved = far is not None and far.entry.zone == "y"
    return is_moved and table is not None and table.version == 9


def test_only_engines_of_the_home_region_get_requests(tmp_path: Path) -> None:
    async def test(system: System) -> None:
        await put_homes(system, quotes=["north"])
        for number in range(12):
            answer = await system.call("POST", "/quote/x", b"q", request_id=f"q{number}")
            assert answer.status == 200
        assert not system.app[0].seen
        assert len(system.app[1].seen) >= 12

    run_system(tmp_path, test)


def test_a_request_is_refused_at_once_where_no_engine_is_at_home(tmp_path: Path) -> None:
    async def test(system: System) -> None:
        await put_homes(system, quotes=["east"])
        answer = await system.call("POST", "/quote/x", b"q", request_id="q1")
        assert answer.status == 503
        assert not system.app[0].seen
        assert not system.app[1].seen

    run_system(tmp_path, test)


def test_a_step_that_cannot_be_kept_inside_is_refused_and_never_runs(tmp_path: Path) -> None:
    async def test(system: System) -> None:
        await system.until_led()
        await put_homes(system, rollouts=["south"])
        assert await system.submit("s1") == 503
        leader = await system.until_led()
        assert leader.duties.term is not None
        assert "s1" not in leader.duties.term.book.steps
        await put_homes_of_both(system)
        assert await system.submit("s2") == 202
        assert len(await system.read_all("s2", 4)) == 4

    async def put_homes_of_both(system: System) -> None:
        table: dict[str, Any] = configuration(10, *system.app, *system.llm)
        for route in table["routes"]:
            route["allowed_regions"] = ["south", "north"]
        system.store.put("config", "main", table)
        front = system.gateways[0].front
        await system.until(lambda: front.table is not None and front.table.version == 10)

    run_system(tmp_path, test)
