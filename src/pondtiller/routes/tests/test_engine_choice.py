"""Choice of the engine for a live request."""

import random
from collections.abc import Callable

import pytest

from pondtiller.address import Address
from pondtiller.routes.engine_choice import (
    CONNECTION_COST,
    HEDGE_MAX_FILL,
    JITTER,
    MAX_SLOWNESS_COST,
    REGION_COST,
    SCORER_MAX_FILL,
    ZONE_COST,
    CostInputs,
    EngineChoice,
    EngineConstraints,
    cost,
)
from pondtiller.routes.engines import Engine, EngineDirectory, EngineEntry, EngineState
from pondtiller.routes.live_queue import RECHECK_SECONDS
from pondtiller.routes.topology import Distance

NOW = 100.0
SLOTS = 4
IDLE = CostInputs(
    running=0,
    slots=SLOTS,
    answer_seconds=0.0,
    usual_seconds=0.0,
    distance=Distance.SAME_ZONE,
    has_connection=True,
    draw=0.0,
)


class OneCold:
    """Reports a single engine as cold."""

    def __init__(self, cold: str) -> None:
        self._cold = cold

    def preferred(self, engines: list[Engine], now: float) -> list[Engine]:
        return [each for each in engines if not self.is_cold(each, now)] or engines

    def is_cold(self, engine: Engine, _now: float) -> bool:
        return engine.identifier == self._cold


def directory(count: int) -> EngineDirectory:
    engines = EngineDirectory()
    place = Address("10.0.0.1", 1)
    entries = [
        EngineEntry(f"e{number}", "app", place, "z", SLOTS, EngineState.READY)
        for number in range(count)
    ]
    engines.replace_entries(entries, 0.0)
    return engines


def choice_of(
    engines: EngineDirectory,
    cold: OneCold | None = None,
    has_connection: Callable[[str], bool] = lambda _engine: True,
) -> EngineChoice:
    return EngineChoice("z", engines, has_connection, cold, random.Random(1))


def wanted(
    excluded: frozenset[str] = frozenset(),
    again: frozenset[str] = frozenset(),
    used: int = 0,
    most: int = 2,
) -> EngineConstraints:
    return EngineConstraints("app", frozenset(), excluded, again, used, most)


@pytest.mark.parametrize(
    ("inputs", "expected"),
    [
        (IDLE, 0.0),
        (IDLE._replace(running=SLOTS), 1.0),
        (IDLE._replace(draw=1.0), JITTER),
        (IDLE._replace(has_connection=False), CONNECTION_COST),
        (IDLE._replace(distance=Distance.SAME_REGION), ZONE_COST),
        (IDLE._replace(distance=Distance.OTHER_REGION), REGION_COST),
        (IDLE._replace(answer_seconds=0.2, usual_seconds=0.1), 0.0),
        (IDLE._replace(answer_seconds=0.25, usual_seconds=0.1), 0.5),
        (IDLE._replace(answer_seconds=9.0, usual_seconds=0.1), MAX_SLOWNESS_COST),
        (IDLE._replace(answer_seconds=9.0), 0.0),
    ],
)
def test_each_input_adds_its_cost(inputs: CostInputs, expected: float) -> None:
    assert cost(inputs) == pytest.approx(expected)


def test_one_number_is_drawn_for_each_engine_that_is_compared() -> None:
    choice = choice_of(directory(3))
    choice.choose("app", {"e1"}, frozenset(), NOW)
    same = random.Random(1)
    for _compared in range(2):
        same.random()
    assert choice.rng.random() == same.random()


def test_an_engine_that_failed_just_now_comes_last() -> None:
    engines = directory(2)
    engines.engines["e0"].note_failure(NOW)
    engines.engines["e1"].running = SLOTS
    choice = choice_of(engines)
    found = choice.choose("app", set(), frozenset(), NOW)
    assert found is engines.engines["e1"]
    assert choice.choose("app", {"e1"}, frozenset(), NOW) is engines.engines["e0"]


def test_a_failed_or_cold_engine_is_not_used_while_others_are_merely_full() -> None:
    engines = directory(2)
    full, last = engines.engines["e0"], engines.engines["e1"]
    full.note_refusal(NOW)
    full.not_before = NOW
    assert choice_of(engines, OneCold("e1")).choose_available(wanted(), NOW) is None
    last.not_before = NOW + 1.0
    assert choice_of(engines).choose_available(wanted(), NOW) is None
    last.not_before = NOW
    assert choice_of(engines).choose_available(wanted(), NOW) is last


def test_engines_that_all_failed_are_probed_one_request_at_a_time() -> None:
    engines = directory(1)
    engine = engines.engines["e0"]
    engine.note_failure(NOW)
    choice = choice_of(engines)
    assert choice.choose_available(wanted(), NOW) is engine
    choice.note_attempt("app", engine, NOW)
    assert choice.choose_available(wanted(), NOW + RECHECK_SECONDS / 2) is None
    assert choice.choose_available(wanted(), NOW + RECHECK_SECONDS) is engine


def test_a_request_exceeds_its_engine_count_only_at_an_engine_that_refused_it() -> None:
    engines = directory(2)
    choice = choice_of(engines)
    assert choice.choose_available(wanted(used=1, most=1), NOW) is None
    again = wanted(again=frozenset({"e1"}), used=1, most=1)
    assert choice.choose_available(again, NOW) is engines.engines["e1"]
    assert choice.choose_available(again._replace(excluded=frozenset({"e1"})), NOW) is None


def test_an_early_hedge_needs_an_engine_with_free_slots() -> None:
    engines = directory(1)
    engine = engines.engines["e0"]
    choice = choice_of(engines)
    engine.running = int(SLOTS * HEDGE_MAX_FILL) - 1
    assert choice.has_spare(wanted(), NOW)
    engine.running += 1
    assert not choice.has_spare(wanted(), NOW)


def test_a_scorer_s_request_needs_an_engine_that_starts_it_soon() -> None:
    engines = directory(1)
    engine = engines.engines["e0"]
    choice = choice_of(engines)
    engine.running = int(SLOTS * SCORER_MAX_FILL) - 1
    assert choice.has_room("app", frozenset(), NOW)
    engine.running += 1
    assert not choice.has_room("app", frozenset(), NOW)
    assert not choice.has_room("other", frozenset(), NOW)
