"""Log lines with the configuration that decided about a request, and its age."""

from pathlib import Path
from typing import Any

import pytest

from pondtiller.gateway.callers.table_in_force import TableInForce
from pondtiller.gateway.stale_configuration import StaleConfigurationLog
from pondtiller.gateway.tests.system import System, run_system
from pondtiller.gateway.tests.test_request_routing import table
from pondtiller.process import logs


@pytest.fixture
def decisions(monkeypatch: pytest.MonkeyPatch) -> list[tuple[str, dict[str, Any]]]:
    found: list[tuple[str, dict[str, Any]]] = []
    monkeypatch.setattr(logs, "decision", lambda event, **fields: found.append((event, fields)))
    return found


def test_a_request_is_logged_with_the_version_that_decided_it_and_its_age(
    tmp_path: Path, decisions: list[tuple[str, dict[str, Any]]]
) -> None:
    async def test(system: System) -> None:
        await system.until(system.gateways[0].is_ready)
        await system.call("GET", "/quote/1", request_id="found")
        await system.call("GET", "/x", host="nowhere.example", request_id="lost")

    run_system(tmp_path, test)
    lines = dict(decisions)
    assert lines["request_answered"]["table_version"] == 3
    assert 0.0 <= lines["request_answered"]["table_age"] < 40.0
    assert lines["no_route"]["version"] == 3
    assert 0.0 <= lines["no_route"]["table_age"] < 40.0


def test_a_configuration_that_becomes_older_than_its_bound_is_logged_once(
    decisions: list[tuple[str, dict[str, Any]]],
) -> None:
    in_force, ages = TableInForce(), iter([9.0, 3.9, 4.1, 5.0, 0.1])
    in_force.age_seconds = lambda: next(ages)
    late = StaleConfigurationLog(in_force, 4.0, lambda: "store")
    late.check()
    in_force.table = table()
    for _look in range(4):
        late.check()
    told = [(event, fields["age"], fields["reader"]) for event, fields in decisions]
    assert told == [
        ("configuration_stale", 4.1, "store"),
        ("configuration_fresh", 0.1, "store"),
    ]
