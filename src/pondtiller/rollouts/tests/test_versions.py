"""Orders for versions: which engines load, when, how often, and the effect of a late order."""

from dataclasses import replace

from pondtiller.address import Address
from pondtiller.rollouts.load_shares import load_shares
from pondtiller.rollouts.versions import AskEngine, OrderVersion, VersionSteward
from pondtiller.routes.engines import EngineDirectory, EngineEntry, EngineState


def entry(
    name: str, models: dict[str, int], state: EngineState = EngineState.READY, port: int = 1
) -> EngineEntry:
    return EngineEntry(name, "llm", Address("10.0.0.1", port), "z", 8, state, models)


def steward(engines: int, models: dict[str, int]) -> VersionSteward:
    directory = EngineDirectory()
    directory.replace_entries([entry(f"e{number}", dict(models)) for number in range(engines)], 0.0)
    made = VersionSteward(directory)
    made.may_order_from = 0.0
    for number in range(engines):
        made.note_report(f"e{number}", dict(models), 0, busy=False)
    return made


def orders(made: VersionSteward, now: float) -> list[OrderVersion]:
    made.tick(now)
    return [each for each in made.pop_instructions() if isinstance(each, OrderVersion)]


def load_all(made: VersionSteward, now: float) -> list[OrderVersion]:
    """Give all orders that are due, each of them executed at once."""
    given: list[OrderVersion] = []
    while found := orders(made, now):
        for order in found:
            made.note_answer(order.engine, True, now)
            engine = made.engines.engines[order.engine]
            models = {**engine.entry.models, order.model: order.version}
            made.engines.update_entry(entry(order.engine, models))
            given.append(order)
    return given


def test_all_engines_of_a_single_model_load_each_version_two_at_a_time() -> None:
    made = steward(4, {"m": 1})
    made.note_version("m", 2)
    assert len(orders(made, 0.0)) == 2
    assert orders(made, 0.1) == []
    for name in list(made.loads):
        made.note_answer(name, True, 0.1)
        made.engines.update_entry(entry(name, {"m": 2}))
    assert len(orders(made, 1.0)) == 2


def test_more_engines_load_together_where_there_are_more() -> None:
    made = steward(20, {"m": 1})
    made.note_version("m", 2)
    assert len(orders(made, 0.0)) == 8


def test_models_that_share_engines_share_the_loads_and_take_turns() -> None:
    made = steward(5, {"a": 1, "b": 1, "c": 1})
    for model in ("a", "b", "c"):
        made.step_opened(model, 100.0, samples=100)
    loaded: dict[int, set[str]] = {}
    for version in (2, 3):
        made.note_version("a", version)
        loaded[version] = {order.engine for order in load_all(made, float(version))}
    assert all(len(engines) <= 2 for engines in loaded.values())
    assert not loaded[2] & loaded[3]


def test_shares_give_every_model_one_and_the_rest_by_demand() -> None:
    assert load_shares(5, {"a": 1.0, "b": 2.0, "c": 2.0}) == {"a": 1, "b": 2, "c": 2}
    assert load_shares(2, {"a": 1.0, "b": 1.0, "c": 1.0}) == {"a": 1, "b": 1, "c": 1}
    assert load_shares(4, {"a": 1.0}) == {"a": 4}


def test_no_order_before_an_earlier_leaders_orders_have_expired() -> None:
    made = steward(1, {"m": 1})
    made.may_order_from = 4.0
    made.note_version("m", 2)
    assert orders(made, 3.9) == []
    assert len(orders(made, 4.0)) == 1


def test_only_engines_that_another_leader_ordered_lately_wait() -> None:
    made = steward(2, {"m": 1})
    made.engines.replace_entries([entry("e0", {"m": 1}), entry("e1", {"m": 1}, port=2)], 0.0)
    made.waits = {"10.0.0.1:2": 4.0}
    made.note_version("m", 2)
    assert [order.engine for order in orders(made, 3.9)] == ["e0"]
    assert [order.engine for order in orders(made, 4.0)] == ["e1"]


def test_an_order_names_how_many_the_engine_had_taken_and_is_not_given_unknowing() -> None:
    made = steward(1, {"m": 1})
    made.known.clear()
    made.note_version("m", 2)
    made.tick(0.0)
    assert made.pop_instructions() == [AskEngine("e0")]
    made.note_report("e0", {"m": 1}, 7, busy=False)
    (order,) = orders(made, 1.0)
    assert order.orders_taken == 7


def test_an_unanswered_order_is_asked_after_and_given_again() -> None:
    made = steward(1, {"m": 1})
    made.note_version("m", 2)
    assert len(orders(made, 0.0)) == 1
    made.tick(1.0)
    assert AskEngine("e0") in made.pop_instructions()
    made.note_report("e0", {"m": 1}, 0, busy=False)
    (again,) = orders(made, 1.1)
    assert again.orders_taken == 0


def test_a_refused_order_is_given_again_with_the_right_number() -> None:
    made = steward(1, {"m": 1})
    made.note_version("m", 2)
    orders(made, 0.0)
    made.note_answer("e0", False, 0.1)
    assert made.pop_instructions() == [AskEngine("e0")]
    made.note_report("e0", {"m": 1}, 3, busy=False)
    (again,) = orders(made, 0.2)
    assert again.orders_taken == 3


def test_leaving_engines_are_not_ordered_and_slow_ones_last() -> None:
    made = steward(3, {"m": 1, "n": 1})
    made.engines.update_entry(entry("e0", {"m": 1, "n": 1}, EngineState.LEAVING))
    for number, pace in ((1, 0.3), (2, 0.03)):
        made.engines.engines[f"e{number}"].event_seconds = pace
    made.note_version("m", 2)
    assert [order.engine for order in orders(made, 0.0)] == ["e2"]


def test_a_version_goes_to_another_engine_when_its_engine_is_gone() -> None:
    made = steward(3, {"m": 1, "n": 1})
    made.note_version("m", 2)
    given = load_all(made, 0.0)
    made.engines.engines.pop(given[0].engine)
    assert load_all(made, 1.0) or len(given) > 1


def test_engines_whose_entries_have_all_lapsed_leave_nothing_to_share() -> None:
    """Guards against a steward that failed here, so that its leader ran no samples any more."""
    made = steward(2, {"m": 1})
    made.note_version("m", 2)
    made.engines.replace_entries([], 0.0)
    assert orders(made, 0.1) == []
    assert load_shares(3, {}) == {}


def test_engines_of_an_evacuated_zone_hold_no_version_until_it_is_taken_back() -> None:
    made = steward(4, {"m": 1, "n": 1})
    made.step_opened("m", 100.0, samples=100)
    made.step_opened("n", 100.0, samples=100)
    made.note_version("m", 2)
    first = {each.engine for each in load_all(made, 0.0)}
    assert len(first) == 2
    for name in first:
        made.engines.update_entry(replace(made.engines.engines[name].entry, zone="y"))
    made.engines.evacuated = frozenset({"y"})
    (order,) = load_all(made, 10.0)
    assert order.engine not in first
    made.engines.evacuated = frozenset()
    assert load_all(made, 20.0) == []


def test_a_load_under_way_at_an_evacuated_engine_keeps_no_other_from_loading() -> None:
    made = steward(2, {"m": 1, "n": 1})
    made.note_version("m", 2)
    (order,) = orders(made, 0.0)
    made.engines.update_entry(replace(made.engines.engines[order.engine].entry, zone="y"))
    assert orders(made, 0.1) == []
    made.engines.evacuated = frozenset({"y"})
    (other,) = orders(made, 0.2)
    assert other.engine != order.engine


def load_version(made: VersionSteward, version: int, now: float) -> list[str]:
    for model in ("a", "b"):
        made.note_version(model, version)
    return [f"{order.model}/{order.engine}" for order in load_all(made, now)]


def test_a_version_goes_to_as_many_engines_as_the_steps_need_and_a_part_to_spare() -> None:
    made = steward(100, {"a": 1, "b": 1})
    made.step_opened("a", 100.0, samples=32)
    made.step_opened("b", 100.0, samples=16)
    loaded = load_version(made, 2, 0.0)
    assert len([each for each in loaded if each.startswith("a/")]) == 6
    assert len([each for each in loaded if each.startswith("b/")]) == 3


def test_engines_that_served_the_last_versions_take_turns_and_others_stay_as_they_are() -> None:
    made = steward(100, {"a": 1, "b": 1})
    for model in ("a", "b"):
        made.step_opened(model, 100.0, samples=16)
    used = {each for version in range(2, 12) for each in load_version(made, version, version * 9.0)}
    assert len([each for each in used if each.startswith("a/")]) <= 2 * 3 + 3


def test_a_lost_engine_is_replaced_by_one_that_was_not_needed() -> None:
    made = steward(20, {"a": 1, "b": 1})
    for model in ("a", "b"):
        made.step_opened(model, 100.0, samples=16)
    first = load_version(made, 2, 0.0)
    made.engines.update_entry(entry(first[0].split("/")[1], {"a": 2, "b": 1}, EngineState.LEAVING))
    again = load_all(made, 5.0)
    assert [order.model for order in again] == ["a"]


def test_the_engines_needed_follow_a_larger_step_at_once_and_smaller_ones_slowly() -> None:
    made = steward(100, {"a": 1, "b": 1})
    for samples in (16, 64, 16):
        made.step_opened("a", 100.0, samples)
        made.step_opened("b", 100.0, 8)
    made.note_version("a", 2)
    loaded = load_all(made, 0.0)
    assert 3 < len(loaded) <= 12
