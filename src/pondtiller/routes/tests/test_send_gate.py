from pondtiller.address import Address
from pondtiller.routes.engines import EngineDirectory, EngineEntry, EngineState
from pondtiller.routes.send_gate import BlockReason, SendGate
from pondtiller.routes.topology import Topology


def entry(name: str, zone: str = "a", state: EngineState = EngineState.READY) -> EngineEntry:
    return EngineEntry(name, "llm", Address("10.0.0.1", 1), zone, 4, state)


def directory() -> EngineDirectory:
    engines = EngineDirectory(Topology({"a": "south", "b": "south", "c": "north"}))
    engines.replace_entries([entry("one"), entry("two", "b"), entry("far", "c")], 0.0)
    return engines


def test_an_engine_that_leaves_after_it_was_chosen_gets_no_request():
    engines = directory()
    gate = SendGate(engines)
    assert gate.check("one", 1.0) is None
    engines.update_entry(entry("one", state=EngineState.LEAVING))
    assert gate.check("one", 1.0) is BlockReason.LEAVING


def test_an_evacuated_zone_gets_no_request_until_the_evacuation_ends():
    engines = directory()
    gate = SendGate(engines)
    engines.evacuated = frozenset({"b"})
    assert gate.check("two", 1.0) is BlockReason.EVACUATED
    assert gate.check("one", 1.0) is None
    assert [each.identifier for each in engines.usable("llm", 1.0)] == ["one", "far"]
    engines.evacuated = frozenset()
    assert gate.check("two", 1.0) is None


def test_an_unknown_engine_is_allowed_unless_it_has_left():
    engines = directory()
    gate = SendGate(engines)
    assert gate.check("new", 1.0) is None
    engines.remove_entry("one", 1.0)
    engines.drop_expired(10.0)
    assert gate.check("one", 10.0) is BlockReason.LEAVING


def test_an_unknown_engine_is_blocked_while_a_zone_is_evacuated():
    engines = directory()
    gate = SendGate(engines)
    engines.evacuated = frozenset({"nowhere"})
    assert gate.check("new", 1.0) is BlockReason.EVACUATED
    assert gate.check("one", 1.0) is None


def test_nothing_is_sent_before_evacuations_are_known():
    engines = directory()
    gate = SendGate(engines)
    engines.awaits_evacuations = True
    assert gate.check("one", 1.0) is BlockReason.EVACUATED
    assert gate.check("new", 1.0) is BlockReason.EVACUATED
    assert engines.usable("llm", 1.0) == []


def test_a_counting_rule_is_not_checked_if_another_rule_blocks():
    engines = directory()
    gate = SendGate(engines)
    asked: list[str] = []

    def count(engine, _now):
        asked.append(engine.identifier)
        return BlockReason.COLD

    gate.rules.append(count)
    engines.evacuated = frozenset({"b"})
    assert gate.check("two", 1.0) is BlockReason.EVACUATED
    assert gate.check("one", 1.0) is BlockReason.COLD
    assert asked == ["one"]


def test_homes_select_engines_in_their_regions():
    engines = directory()
    found = engines.usable("llm", 1.0, frozenset({"north"}))
    assert [each.identifier for each in found] == ["far"]


def test_the_rule_for_unknown_engines_is_checked():
    gate = SendGate(directory())
    gate.unknown_rule = lambda name, _now: BlockReason.COLD if name == "new" else None
    assert gate.check("new", 1.0) is BlockReason.COLD
    assert gate.check("newer", 1.0) is None
