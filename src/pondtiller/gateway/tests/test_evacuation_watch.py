"""Objects that a gateway treats as an evacuation, in whichever order it reads them."""

from collections.abc import Awaitable, Callable

import curio
import pytest
from pydantic import ValidationError

from pondtiller.address import Address
from pondtiller.platform.object_client import (
    StoreChange,
    StoreChanges,
    StoreListing,
    StoreObject,
)
from pondtiller.process import logs
from pondtiller.routes.engines import EngineDirectory, EngineEntry, EngineState
from pondtiller.settings import Evacuation
from pondtiller.store import evacuation_bounds as bounds
from pondtiller.store.evacuation_watch import EvacuationWatch
from pondtiller.store.store_watch import StoreHealth


class NoStore:
    async def list_all(self, _kind: str) -> StoreListing:
        raise NotImplementedError

    async def watch(self, _kind: str, _at: int, _wait_seconds: float) -> StoreChanges:
        raise NotImplementedError


def evacuation(zone: str, revision: int, spec: object = None) -> StoreObject:
    return StoreObject(zone, revision, {} if spec is None else spec)


def play(act: Callable[[EvacuationWatch, EngineDirectory], Awaitable[None]]) -> EngineDirectory:
    engines = EngineDirectory()
    engine = EngineEntry("e", "app", Address("10.0.0.1", 1), "b", 4, EngineState.READY)
    engines.replace_entries([engine], 0.0)

    async def changed() -> None:
        pass

    async def main() -> None:
        watch = EvacuationWatch(NoStore(), StoreHealth(), engines, {"a"}, changed, lambda: 1.0)
        await act(watch, engines)

    curio.run(main)
    return engines


@pytest.fixture
def lines(monkeypatch: pytest.MonkeyPatch) -> list[tuple[str, dict[str, object]]]:
    found: list[tuple[str, dict[str, object]]] = []
    monkeypatch.setattr(logs, "decision", lambda event, **given: found.append((event, given)))
    return found


def test_nothing_reaches_any_engine_before_the_first_listing() -> None:
    async def act(watch: EvacuationWatch, engines: EngineDirectory) -> None:
        assert not watch.is_known
        assert engines.usable("app", 0.0) == []
        await watch._replace(())
        assert watch.is_known
        assert [each.identifier for each in engines.usable("app", 0.0)] == ["e"]

    play(act)


def test_a_zone_is_evacuated_until_its_object_is_gone(lines) -> None:
    async def act(watch: EvacuationWatch, engines: EngineDirectory) -> None:
        await watch._replace(())
        await watch._change(StoreChange(evacuation("b", 10), False))
        assert engines.usable("app", 0.0) == []
        await watch._change(StoreChange(evacuation("b", 10), True))
        assert engines.usable("app", 0.0) != []

    play(act)
    told = [each for each in lines if each[0].startswith("zone_")]
    assert told == [
        ("zone_evacuated", {"zone": "b", "revision": 10, "engines": 1}),
        ("zone_returned", {"zone": "b", "revision": 10, "engines": 1}),
    ]


def test_a_listing_replaces_the_known_state() -> None:
    async def act(watch: EvacuationWatch, _engines: EngineDirectory) -> None:
        await watch._replace((evacuation("a", 3), evacuation("b", 4)))
        await watch._replace((evacuation("b", 4),))

    assert play(act).evacuated == {"b"}


def test_a_lower_revision_never_replaces_a_higher_one() -> None:
    async def act(watch: EvacuationWatch, engines: EngineDirectory) -> None:
        await watch._replace((evacuation("b", 10),))
        await watch._change(StoreChange(evacuation("b", 12), True))
        await watch._change(StoreChange(evacuation("b", 11), False))
        assert engines.evacuated == set()
        await watch._change(StoreChange(evacuation("b", 15), False))
        await watch._change(StoreChange(evacuation("b", 12), True))
        assert engines.evacuated == {"b"}

    play(act)


@pytest.mark.parametrize("odd", [evacuation("b", 5, ["x"]), evacuation("nowhere", 5)])
def test_an_odd_object_is_logged_and_in_force_for_its_zone_only(lines, odd) -> None:
    async def act(watch: EvacuationWatch, _engines: EngineDirectory) -> None:
        await watch._replace((odd,))

    engines = play(act)
    assert engines.evacuated == {odd.name}
    assert bool(engines.usable("app", 0.0)) == (odd.name != "b")
    ((_, given),) = [each for each in lines if each[0] == "evacuation_odd"]
    assert given["reason"]


def test_settings_that_promise_less_than_the_sum_of_the_waits_are_refused() -> None:
    assert Evacuation(within=0.0).within == 0.0
    assert Evacuation(within=bounds.MAX_SECONDS + 0.01)
    with pytest.raises(ValidationError, match="news of an evacuation may take"):
        Evacuation(within=bounds.MAX_SECONDS - 0.01)


def test_a_hanging_call_ends_before_its_machine_counts_as_connected() -> None:
    # The platform considers a machine connected again 4 s after its network path recovered.
    assert bounds.DIRECT_CHANGE_SECONDS < 4.0
