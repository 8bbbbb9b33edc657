"""What a daemon learns of engines by itself."""

from dataclasses import replace

from pondtiller.address import Address
from pondtiller.gateway.callers.forward import Forwarder
from pondtiller.gateway.engines.engine_pool import EnginePool
from pondtiller.gateway.metrics import GatewayMetrics
from pondtiller.routes.engines import EngineDirectory, EngineEntry, EngineState
from pondtiller.routes.send_gate import SendGate


def directory(count: int) -> EngineDirectory:
    made = EngineDirectory()
    place = Address("10.0.0.1", 1)
    entries = [
        EngineEntry(f"e{number}", "app", place, "z", 6, EngineState.READY)
        for number in range(count)
    ]
    made.replace(entries, 0.0)
    return made


def test_a_slow_engine_is_left_while_others_are_fast_and_tried_again_later() -> None:
    engines = directory(3)
    forwarder = Forwarder("z", engines, EnginePool(), GatewayMetrics(), SendGate(engines))
    for name, seconds in (("e0", 0.2), ("e1", 0.03), ("e2", 0.04)):
        engines.engines[name].note_answer(seconds, 10.0)
    chosen = {forwarder.choose("app", set()).identifier for _ in range(50)}  # type: ignore[union-attr]
    assert chosen == {"e1", "e2"}
    engines.keep_house(14.0)
    chosen = {forwarder.choose("app", set()).identifier for _ in range(200)}  # type: ignore[union-attr]
    assert chosen == {"e0", "e1", "e2"}


def test_engines_are_found_by_their_service_through_all_changes() -> None:
    engines = directory(3)
    usable = [each.identifier for each in engines.usable("app", 0.0)]
    assert sorted(usable) == ["e0", "e1", "e2"]
    other = replace(engines.engines["e1"].entry, service="other")
    engines.changed(other)
    engines.gone("e2", 0.0)
    engines.keep_house(5.0)
    assert [each.identifier for each in engines.usable("app", 5.0)] == ["e0"]
    assert [each.identifier for each in engines.usable("other", 5.0)] == ["e1"]
    engines.changed(replace(other, state=EngineState.LEAVING))
    engines.gone("e1", 6.0)
    assert engines.usable("other", 6.0) == []
    assert set(engines.engines) == {"e0"}
