from dataclasses import replace

from pondtiller.address import Address
from pondtiller.routes.cold import COLD_REPORT_SECONDS, ColdBound, ColdEngines
from pondtiller.routes.engines import (
    MAX_COLD_SECONDS,
    EngineDirectory,
    EngineEntry,
    EngineState,
)
from pondtiller.routes.table import RouteTable, ServiceRow

ROWS = {
    "llm": ServiceRow("llm", cold_seconds=3.0, cold_rate=14.0),
    "app": ServiceRow("app", cold_seconds=3.0),
}


def entry(cold: float, revision: int = 1, service: str = "llm") -> EngineEntry:
    place = Address("10.0.0.1", 1)
    return EngineEntry("e", service, place, "z", 6, EngineState.READY, {}, cold, revision)


def engines(first: EngineEntry, now: float = 0.0) -> ColdEngines:
    directory = EngineDirectory()
    directory.replace_entries([first], now)
    return ColdEngines(directory, ColdBound(1.5, 5.0), lambda: RouteTable(1, services=ROWS))


def cold_at(cold: ColdEngines, *times: float) -> list[bool]:
    return [cold.is_cold(cold.engines.engines["e"], at) for at in times]


def test_an_engine_is_cold_for_as_long_as_its_entry_said_when_it_was_written():
    cold = engines(entry(3.0), 10.0)
    assert cold_at(cold, 10.0, 12.9, 13.0) == [True, True, False]
    # Reading the same entry again does not restart the warm-up time.
    cold.engines.replace_entries([entry(3.0)], 12.0)
    assert cold_at(cold, 12.9, 13.0) == [True, False]


def test_a_later_entry_marks_the_engine_warm_or_cold_again():
    cold = engines(entry(3.0), 10.0)
    cold.engines.update_entry(entry(0.0, 2), 11.0)
    assert cold_at(cold, 11.0) == [False]
    cold.engines.update_entry(entry(3.0, 3), 20.0)
    assert cold_at(cold, 22.9) == [True]
    cold.engines.update_entry(entry(0.0, 2), 21.0)  # A late entry from an older listing.
    assert cold_at(cold, 22.9) == [True]


def test_an_implausible_cold_time_is_bounded():
    cold = engines(entry(1e9))
    assert cold_at(cold, MAX_COLD_SECONDS - 0.1, MAX_COLD_SECONDS) == [True, False]


def test_an_engine_that_failed_is_cold_until_it_writes_an_entry():
    cold = engines(entry(0.0))
    engine = cold.engines.engines["e"]
    engine.note_failure(5.0)
    engine.note_success()
    assert cold_at(cold, 5.1, 7.9, 8.0) == [True, True, False]
    cold.engines.update_entry(entry(0.0, 2), 6.0)
    assert cold_at(cold, 6.1) == [False]


def test_engines_of_services_without_a_cold_rate_are_never_cold():
    cold = engines(entry(3.0, service="app"))
    cold.engines.engines["e"].note_failure(0.0)
    assert cold_at(cold, 0.1) == [False]
    assert cold.terms("e") is None


def test_a_leaders_cold_report_counts_for_a_moment():
    cold = engines(entry(0.0))
    cold.note_cold_report("e", 1.0)
    cold.note_cold_report("new", 1.0)
    assert cold_at(cold, 1.1, 1.0 + COLD_REPORT_SECONDS) == [True, False]
    assert cold.is_cold_name("new", 1.1)
    cold.drop_expired(3.0)
    assert not cold.is_cold_name("new", 3.0)


def test_no_more_is_granted_than_the_cold_rate_or_the_bound():
    row = ROWS["llm"]
    assert ColdBound(1.5, 5.0).terms(row).total == 14
    assert ColdBound(0.5, 1.0).terms(row).total == 8
    assert ColdBound(1.5, 5.0).terms(row).most_each == 10
    assert ColdBound(1.0, 0.0).terms(replace(row, cold_rate=0.5)).total == 0
