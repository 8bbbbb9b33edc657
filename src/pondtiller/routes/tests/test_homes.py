"""Home regions of rows and tenants: both apply, and without a common region nothing is routed."""

from dataclasses import replace

from pondtiller.platform.configuration import route_table, without_keys
from pondtiller.routes.table import RequestKind, RouteRow, RouteTable, ServiceShare
from pondtiller.routes.tenants import TenantRow
from pondtiller.routes.topology import Topology

SOUTH, NORTH = frozenset({"south"}), frozenset({"north"})
TOPOLOGY = Topology({"a": "south", "b": "north"})
ROW = RouteRow("r", "h", "/p/", RequestKind.SAFE, (ServiceShare("app", 1.0),))


def table(row: RouteRow, **homes: frozenset[str]) -> RouteTable:
    tenants = tuple(TenantRow(name, homes=each) for name, each in homes.items())
    return RouteTable(1, (row,), tenants=tenants)


def test_the_homes_of_a_row_and_of_its_tenant_both_apply() -> None:
    found = table(replace(ROW, homes=SOUTH | NORTH), ann=SOUTH, bob=frozenset())
    assert found.homes_for(found.routes[0], "ann") == SOUTH
    assert found.homes_for(found.routes[0], "bob") == SOUTH | NORTH
    assert found.homes_for(found.routes[0], "") == SOUTH | NORTH
    row = found.find_for("h", "/p/x", "ann")
    assert row is not None and row.homes == SOUTH


def test_no_row_is_found_if_homes_have_no_region_in_common() -> None:
    found = table(replace(ROW, homes=NORTH), ann=SOUTH)
    assert found.homes_for(found.routes[0], "ann") is None
    assert found.find_for("h", "/p/x", "ann") is None


def test_homes_allow_all_zones_only_if_they_contain_every_region() -> None:
    assert TOPOLOGY.allows_all_zones(frozenset())
    assert TOPOLOGY.allows_all_zones(SOUTH | NORTH)
    assert not TOPOLOGY.allows_all_zones(SOUTH)
    assert Topology({"a": "south"}).allows_all_zones(SOUTH)


def test_homes_are_read_from_a_configuration() -> None:
    spec = {
        "version": 3,
        "routes": [
            {
                "name": "r",
                "host": "h",
                "path_prefix": "/p/",
                "kind": "safe",
                "service": "app",
                "allowed_regions": ["south"],
            }
        ],
        "services": [{"name": "app", "cold_start_s": 3.0, "cold_per_s": 14.0}],
        "tenants": [{"name": "ann", "api_keys": ["k"], "allowed_regions": ["north"]}],
    }
    found = route_table(without_keys(spec)).unwrap()
    assert found.routes[0].homes == SOUTH
    assert found.tenant_index.by_name["ann"].homes == NORTH
    assert (found.services["app"].cold_seconds, found.services["app"].cold_rate) == (3.0, 14.0)
