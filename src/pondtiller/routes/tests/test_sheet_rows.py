"""Conversion between the operators' table and the routing rows."""

from pathlib import Path

import pytest
from pydantic import ValidationError
from result import Ok

from pondtiller.gateway.tests.system import System, run_system
from pondtiller.routes.sheet_rows import sheet_of
from pondtiller.routes.table import RequestKind, RouteRow, RouteTable, ServiceRow, ServiceShare
from pondtiller.routes.tenants import TenantRow, digest_of
from pondtiller.routes.tests.sheet_reader import routes_of
from pondtiller.table.csv_format import from_csv, to_csv
from pondtiller.table.sheet import Row, RowKind

TABLE = RouteTable(
    7,
    (
        RouteRow(
            name="quotes",
            host="app.example",
            path_prefix="/q/",
            kind=RequestKind.SAFE,
            shares=(ServiceShare("a", 90.0), ServiceShare("b", 10.0)),
            time_limit_seconds=1.5,
            objective_seconds=0.2,
            attempts=2,
            priority=2,
        ),
        RouteRow(
            name="rollouts",
            host="train.example",
            path_prefix="/r/",
            kind=RequestKind.STEP,
            shares=(ServiceShare("llm", 1.0),),
            single_version=True,
            step_seconds=7.5,
            queue_seconds=40.0,
            is_public=True,
        ),
    ),
    {name: ServiceRow(name, models=(name,)) for name in ("a", "b", "llm")},
    tenants=(
        TenantRow("ann", frozenset({digest_of("k1"), digest_of("k2")}), 1, 2.5),
        TenantRow("bob"),
    ),
)


def test_a_route_table_survives_the_conversion_to_a_sheet_and_back() -> None:
    again = routes_of(sheet_of(TABLE), 7)
    assert again.routes == TABLE.routes
    assert again.services == TABLE.services
    assert again.tenants == TABLE.tenants


def test_a_sheet_with_routes_survives_csv() -> None:
    sheet = sheet_of(TABLE)
    read = from_csv(to_csv(sheet))
    assert isinstance(read, Ok)
    assert routes_of(read.ok_value, 7).routes == TABLE.routes
    assert routes_of(read.ok_value, 7).tenants == TABLE.tenants


def test_routing_cells_are_validated() -> None:
    with pytest.raises(ValidationError, match="needs host, path, request and split"):
        Row(kind=RowKind.CALLER, name="x", host="h")
    with pytest.raises(ValidationError, match="only a tenant row has keys"):
        Row(kind=RowKind.CALLER, name="x", keys=digest_of("k"))
    with pytest.raises(ValidationError, match="String should match pattern"):
        Row(kind=RowKind.TENANT, name="x", keys="a-key-itself")
    with pytest.raises(ValidationError, match="a tenant row has no model"):
        Row(kind=RowKind.TENANT, name="x", model="m")
    with pytest.raises(ValidationError, match="only a caller row"):
        Row(kind=RowKind.SERVICE, name="x", model="m", attempts=2)
    with pytest.raises(ValidationError):
        Row(kind=RowKind.CALLER, name="x", host="h", path="q", request="safe", split="a:1")


def test_a_gateway_shows_its_table_with_status_columns(tmp_path: Path) -> None:
    async def test(system: System) -> None:
        await system.until(lambda: system.gateways[0].is_ready())
        await system.until(lambda: len(system.gateways[0].engines.engines) == 4)
        await system.call("POST", "/quote/7", request_id="q1")
        answer = await system.client.request(system.readiness(), "GET", "/table")
        head, columns, *rows = answer.body.decode().splitlines()
        assert "table version 3" in head
        lines = {row.split("\t")[0]: row.split("\t") for row in rows}
        names = columns.split("\t")
        assert lines["caller/quotes"][names.index("answered")] == "1"
        assert lines["caller/quotes"][names.index("split")] == "app:1"
        assert lines["service/llm"][names.index("engines_ready")] == "2"

    run_system(tmp_path, test)
