from dataclasses import replace

from pondtiller.address import Address
from pondtiller.routes.cold import TOLD_SECONDS, ColdBound, ColdEngines
from pondtiller.routes.engines import (
    LONGEST_COLD_SECONDS,
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
    directory.replace([first], now)
    return ColdEngines(directory, ColdBound(1.5, 5.0), lambda: RouteTable(1, services=ROWS))


def cold_at(cold: ColdEngines, *times: float) -> list[bool]:
    return [cold.is_cold(cold.engines.engines["e"], at) for at in times]


def test_an_engine_is_cold_for_as_long_as_its_entry_said_when_it_was_written():
    cold = engines(entry(3.0), 10.0)
    assert cold_at(cold, 10.0, 12.9, 13.0) == [True, True, False]
    # The same entry, read again, begins no other time.
    cold.engines.replace([entry(3.0)], 12.0)
    assert cold_at(cold, 12.9, 13.0) == [True, False]


def test_a_later_entry_says_that_it_is_warm_or_cold_again():
    cold = engines(entry(3.0), 10.0)
    cold.engines.changed(entry(0.0, 2), 11.0)
    assert cold_at(cold, 11.0) == [False]
    cold.engines.changed(entry(3.0, 3), 20.0)
    assert cold_at(cold, 22.9) == [True]
    cold.engines.changed(entry(0.0, 2), 21.0)  # Late, from a list that was read before.
    assert cold_at(cold, 22.9) == [True]


def test_a_time_beyond_all_measure_is_bounded():
    cold = engines(entry(1e9))
    assert cold_at(cold, LONGEST_COLD_SECONDS - 0.1, LONGEST_COLD_SECONDS) == [True, False]


def test_an_engine_that_failed_is_cold_until_it_writes_an_entry():
    cold = engines(entry(0.0))
    engine = cold.engines.engines["e"]
    engine.note_failure(5.0)
    engine.note_success()
    assert cold_at(cold, 5.1, 7.9, 8.0) == [True, True, False]
    cold.engines.changed(entry(0.0, 2), 6.0)
    assert cold_at(cold, 6.1) == [False]


def test_engines_of_services_without_a_cold_rate_are_never_cold():
    cold = engines(entry(3.0, service="app"))
    cold.engines.engines["e"].note_failure(0.0)
    assert cold_at(cold, 0.1) == [False]
    assert cold.terms("e") is None


def test_a_leader_that_knows_more_is_believed_for_a_moment():
    cold = engines(entry(0.0))
    cold.told("e", 1.0)
    cold.told("new", 1.0)
    assert cold_at(cold, 1.1, 1.0 + TOLD_SECONDS) == [True, False]
    assert cold.is_cold_name("new", 1.1)
    cold.keep_house(3.0)
    assert not cold.is_cold_name("new", 3.0)


def test_no_more_is_granted_than_an_engine_bears_nor_than_the_bound():
    row = ROWS["llm"]
    assert ColdBound(1.5, 5.0).terms(row).total == 14
    assert ColdBound(0.5, 1.0).terms(row).total == 8
    assert ColdBound(1.5, 5.0).terms(row).most_each == 10
    assert ColdBound(1.0, 0.0).terms(replace(row, cold_rate=0.5)).total == 0
