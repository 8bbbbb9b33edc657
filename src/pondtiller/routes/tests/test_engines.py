"""Properties of engines that a daemon observes by itself."""

import random
from dataclasses import replace

from pondtiller.address import Address
from pondtiller.routes.engine_choice import EngineChoice
from pondtiller.routes.engines import EngineDirectory, EngineEntry, EngineState


def directory(count: int) -> EngineDirectory:
    made = EngineDirectory()
    place = Address("10.0.0.1", 1)
    entries = [
        EngineEntry(f"e{number}", "app", place, "z", 6, EngineState.READY)
        for number in range(count)
    ]
    made.replace_entries(entries, 0.0)
    return made


def test_a_slow_engine_is_avoided_while_others_are_fast_and_tried_again_later() -> None:
    engines = directory(3)
    choice = EngineChoice("z", engines, lambda _engine: False, None, random.Random())

    def chosen_at(now: float) -> str:
        engine = choice.choose("app", set(), frozenset(), now)
        return engine.identifier if engine is not None else ""

    for name, seconds in (("e0", 0.2), ("e1", 0.03), ("e2", 0.04)):
        engines.engines[name].note_answer(seconds, 10.0)
    chosen = {chosen_at(10.0) for _ in range(50)}
    assert chosen == {"e1", "e2"}
    engines.drop_expired(14.0)
    chosen = {chosen_at(14.0) for _ in range(200)}
    assert chosen == {"e0", "e1", "e2"}


def test_engines_are_found_by_their_service_after_changes() -> None:
    engines = directory(3)
    usable = [each.identifier for each in engines.usable("app", 0.0)]
    assert sorted(usable) == ["e0", "e1", "e2"]
    other = replace(engines.engines["e1"].entry, service="other")
    engines.update_entry(other)
    engines.remove_entry("e2", 0.0)
    engines.drop_expired(5.0)
    assert [each.identifier for each in engines.usable("app", 5.0)] == ["e0"]
    assert [each.identifier for each in engines.usable("other", 5.0)] == ["e1"]
    engines.update_entry(replace(other, state=EngineState.LEAVING))
    engines.remove_entry("e1", 6.0)
    assert engines.usable("other", 6.0) == []
    assert set(engines.engines) == {"e0"}
