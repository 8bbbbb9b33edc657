"""Few of many engines are compared for a sample, and no better one is left out."""

import random

from pondtiller.address import Address
from pondtiller.rollouts.candidates import COMPARED_ENGINES, Candidates
from pondtiller.routes.engines import Engine, EngineEntry, EngineState

SLOTS = 6


def engines(count: int) -> list[Engine]:
    place = Address("10.0.0.1", 1)
    return [
        Engine(EngineEntry(f"e{number:04}", "llm", place, "z", SLOTS, EngineState.READY))
        for number in range(count)
    ]


def filling(engine: Engine) -> float:
    return engine.running / engine.entry.slots


def place(candidates: Candidates) -> Engine:
    """Put a sample on the least filled of the compared engines."""
    chosen = min(candidates.compared.values(), key=filling)
    chosen.running += 1
    candidates.note_start(chosen, chosen.running >= SLOTS)
    return chosen


def test_up_to_the_limit_all_engines_are_compared() -> None:
    assert Candidates(engines(COMPARED_ENGINES), filling).compares_all
    assert not Candidates(engines(COMPARED_ENGINES + 1), filling).compares_all


def test_samples_are_spread_as_evenly_as_if_all_engines_were_compared() -> None:
    fleet = engines(300)
    source = random.Random(5)
    for each in fleet:
        each.running = source.randrange(SLOTS)
    candidates = Candidates([each for each in fleet if each.running < SLOTS], filling)
    for _ in range(400):
        emptiest = min(each.running for each in fleet)
        assert place(candidates).running == emptiest + 1


def test_every_slot_is_found_and_none_twice() -> None:
    fleet = engines(100)
    candidates = Candidates(fleet, filling)
    for _ in range(100 * SLOTS):
        place(candidates)
    assert not candidates.compared
    assert all(each.running == SLOTS for each in fleet)
