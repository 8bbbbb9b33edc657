"""A sample's order is checked against the runner's table, which may be newer than the leader's."""

from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from pondtiller.address import Address
from pondtiller.gateway.leader.run_links import _begin
from pondtiller.gateway.runs.leader_runs import _order
from pondtiller.gateway.runs.sample_runner import RunOrder, RunOutcome
from pondtiller.gateway.tests.system import System, run_system
from pondtiller.rollouts.sample_work import RunEnd, RunName
from pondtiller.standins.documents import configuration
from pondtiller.wire.steplog import Header, Sample

LEADERS_VERSION = 3
NEWER_VERSION = 9
REFUSED = RunOutcome(RunEnd.REFUSED, "old_table")


def order_for(system: System, table_version: int = LEADERS_VERSION) -> RunOrder:
    """Return the order to run a sample at the first engine of the steps' service."""
    host, port = system.llm[0].listener.getsockname()
    return RunOrder(
        1,
        system.llm[0].identifier,
        Address(host, port),
        "train.example",
        0,
        0,
        None,
        bytes(Sample(id="x", path="/rollout/0", headers=[Header(name="Model", value="m")])),
        table_version=table_version,
        step_path="/rollout/x",
    )


def moved(table: dict[str, Any]) -> None:
    table["routes"][2]["service"] = "app"


def dropped(table: dict[str, Any]) -> None:
    del table["routes"][2]


def kept(table: dict[str, Any]) -> None:
    table["routes"][2]["timeout_ms"] = 8000


async def outcome_under_newer_table(
    system: System, change: Callable[[dict[str, Any]], None], leaders_version: int
) -> RunOutcome:
    """Change the steps' row at the runner, then have it execute an order."""
    gateway = system.gateways[0]
    await system.until(gateway.is_ready)
    table = configuration(NEWER_VERSION, *system.app, *system.llm)
    change(table)
    system.store.put("config", "main", table)
    await system.until(lambda: gateway.front.table.version == NEWER_VERSION)
    order = order_for(system, leaders_version)
    return await gateway.run_host.runner.run(order, lambda *_: True)


@pytest.mark.parametrize("change", [moved, dropped])
def test_a_leader_with_an_old_table_gets_no_sample_to_a_service_that_the_row_has_left(
    tmp_path: Path, change: Callable[[dict[str, Any]], None]
) -> None:
    async def test(system: System) -> None:
        assert await outcome_under_newer_table(system, change, LEADERS_VERSION) == REFUSED
        assert not system.llm[0].seen

    run_system(tmp_path, test)


@pytest.mark.parametrize(
    ("change", "leaders_version"),
    [(kept, LEADERS_VERSION), (moved, NEWER_VERSION), (moved, NEWER_VERSION + 1), (moved, 0)],
)
def test_an_order_is_carried_out_where_no_newer_table_speaks_against_it(
    tmp_path: Path, change: Callable[[dict[str, Any]], None], leaders_version: int
) -> None:
    async def test(system: System) -> None:
        outcome = await outcome_under_newer_table(system, change, leaders_version)
        assert outcome.end is RunEnd.WHOLE

    run_system(tmp_path, test)


def test_an_order_names_its_table_on_the_way_to_the_runner(tmp_path: Path) -> None:
    async def test(system: System) -> None:
        order = order_for(system)._replace(held=RunName(4, 5), text_by=RunName(6, 7))
        assert _order(_begin(order, 8)) == order

    run_system(tmp_path, test)


def test_a_leader_logs_by_which_table_it_chose_an_engine(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    async def test(system: System) -> None:
        await system.until_led()
        assert await system.submit("s1") == 202
        await system.read_all("s1", 4)

    run_system(tmp_path, test)
    started = [line for line in capsys.readouterr().out.splitlines() if "sample_started" in line]
    assert len(started) >= 4
    assert all(f"table_version={LEADERS_VERSION}" in line for line in started)
