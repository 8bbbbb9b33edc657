from pondtiller.address import Address
from pondtiller.routes.engines import EngineDirectory, EngineEntry, EngineState
from pondtiller.routes.places import Places
from pondtiller.routes.send_gate import Held, SendGate


def entry(name: str, zone: str = "a", state: EngineState = EngineState.READY) -> EngineEntry:
    return EngineEntry(name, "llm", Address("10.0.0.1", 1), zone, 4, state)


def directory() -> EngineDirectory:
    engines = EngineDirectory(Places({"a": "south", "b": "south", "c": "north"}))
    engines.replace([entry("one"), entry("two", "b"), entry("far", "c")], 0.0)
    return engines


def test_an_engine_that_leaves_after_it_was_chosen_gets_nothing():
    engines = directory()
    gate = SendGate(engines)
    assert gate.check("one", 1.0) is None
    engines.changed(entry("one", state=EngineState.LEAVING))
    assert gate.check("one", 1.0) is Held.LEAVING


def test_an_evacuated_zone_gets_nothing_until_it_is_taken_back():
    engines = directory()
    gate = SendGate(engines)
    engines.evacuated = frozenset({"b"})
    assert gate.check("two", 1.0) is Held.EVACUATED
    assert gate.check("one", 1.0) is None
    assert [each.identifier for each in engines.usable("llm", 1.0)] == ["one", "far"]
    engines.evacuated = frozenset()
    assert gate.check("two", 1.0) is None


def test_an_engine_that_is_not_known_here_passes_unless_it_has_left():
    engines = directory()
    gate = SendGate(engines)
    assert gate.check("new", 1.0) is None
    engines.gone("one", 1.0)
    engines.keep_house(10.0)
    assert gate.check("one", 10.0) is Held.LEAVING


def test_an_engine_that_is_not_known_here_is_held_back_while_a_zone_is_evacuated():
    engines = directory()
    gate = SendGate(engines)
    engines.evacuated = frozenset({"nowhere"})
    assert gate.check("new", 1.0) is Held.EVACUATED
    assert gate.check("one", 1.0) is None


def test_before_evacuations_are_known_nothing_leaves():
    engines = directory()
    gate = SendGate(engines)
    engines.awaits_evacuations = True
    assert gate.check("one", 1.0) is Held.EVACUATED
    assert gate.check("new", 1.0) is Held.EVACUATED
    assert engines.usable("llm", 1.0) == []


def test_a_rule_that_counts_is_not_asked_where_another_forbids():
    engines = directory()
    gate = SendGate(engines)
    asked: list[str] = []

    def count(engine, _now):
        asked.append(engine.identifier)
        return Held.COLD

    gate.rules.append(count)
    engines.evacuated = frozenset({"b"})
    assert gate.check("two", 1.0) is Held.EVACUATED
    assert gate.check("one", 1.0) is Held.COLD
    assert asked == ["one"]


def test_homes_leave_engines_of_their_regions():
    engines = directory()
    found = engines.usable("llm", 1.0, frozenset({"north"}))
    assert [each.identifier for each in found] == ["far"]


def test_an_engine_that_is_known_by_its_name_alone_is_asked_about_too():
    gate = SendGate(directory())
    gate.unknown_rule = lambda name, _now: Held.COLD if name == "new" else None
    assert gate.check("new", 1.0) is Held.COLD
    assert gate.check("newer", 1.0) is None
