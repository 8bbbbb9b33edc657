"""Engines that restart under their name: earlier incarnations must not affect later ones.

Each test is a row of the table in docs/design/29-starts-of-engines.md.
"""

from dataclasses import replace

from pondtiller.address import Address
from pondtiller.platform.engine_orders import engine_report, order_headers
from pondtiller.rollouts.sample_work import CancelReason, CancelRun, StartRun
from pondtiller.rollouts.samples import SampleScheduler
from pondtiller.rollouts.tests.scheduling import Bench
from pondtiller.rollouts.tests.scheduling import entry as engine_entry
from pondtiller.rollouts.versions import AskEngine, VersionSteward
from pondtiller.routes.engines import Engine, EngineDirectory, EngineEntry, EngineState, name_of
from pondtiller.routes.send_gate import BlockReason, SendGate

FIRST, SECOND = 1_700_000_000_000, 1_700_000_009_000
SERVICE = "app"


def entry(started_ms: int, revision: int = 0, cold_seconds: float = 0.0) -> EngineEntry:
    return EngineEntry(
        "e",
        SERVICE,
        Address("10.0.0.1", 1),
        "z",
        4,
        EngineState.READY,
        {"m": 1},
        cold_seconds=cold_seconds,
        revision=revision,
        started_ms=started_ms,
    )


def restarted_directory() -> tuple[EngineDirectory, Engine]:
    """Return a directory after a restart, and the engine's earlier incarnation."""
    directory = EngineDirectory()
    directory.replace_entries([entry(FIRST, 10)], 0.0)
    (before,) = directory.engines.values()
    before.running = 3
    before.note_failure(1.0)
    before.note_answer(0.4, 1.0)
    before.note_event_gap(0.2, 1.0)
    before.limit.note_late(1, 0.2, 1.0)
    directory.update_entry(entry(SECOND, 20), 2.0)
    return directory, before


def test_slots_health_times_and_limits_are_reset() -> None:
    directory, _ = restarted_directory()
    (engine,) = directory.usable(SERVICE, 2.0)
    assert (engine.running, engine.failures, engine.not_before) == (0, 0, 0.0)
    assert (engine.answer_seconds, engine.event_seconds, engine.failed_at) == (0.0, 0.0, None)
    assert vars(engine.limit) == vars(Engine(entry(SECOND)).limit)


def test_work_that_ends_at_the_earlier_incarnation_frees_no_slot_of_the_later() -> None:
    directory, before = restarted_directory()
    (engine,) = directory.usable(SERVICE, 2.0)
    engine.running = 1
    before.end_work()
    before.note_failure(2.0)
    assert (engine.running, engine.failures) == (1, 0)


def test_the_earlier_incarnation_gets_no_more_work() -> None:
    directory, before = restarted_directory()
    assert directory.has_left(before.identifier, 2.0)
    assert directory.has_restarted(before.identifier)
    assert SendGate(directory).check(before.identifier, 2.0) is BlockReason.LEAVING
    assert [each.identifier for each in directory.usable(SERVICE, 2.0)] == [f"e@{SECOND}"]


def test_a_late_entry_of_the_earlier_incarnation_is_ignored() -> None:
    directory, before = restarted_directory()
    directory.update_entry(entry(FIRST, 15), 3.0)
    directory.replace_entries([entry(FIRST, 15)], 3.0)
    assert before.identifier not in directory.engines
    assert list(directory.engines) == [f"e@{SECOND}"]


def test_the_store_revision_decides_the_later_incarnation_not_the_clock() -> None:
    # The engine's clock was wrong, or another writer's entry named a time in the future.
    directory = EngineDirectory()
    directory.replace_entries([entry(SECOND, 10)], 0.0)
    directory.update_entry(entry(FIRST, 20), 1.0)
    assert list(directory.engines) == [f"e@{FIRST}"]


def test_an_entry_without_a_start_time_belongs_to_the_known_incarnation() -> None:
    directory = EngineDirectory()
    directory.replace_entries([entry(FIRST, 10)], 0.0)
    directory.engines[f"e@{FIRST}"].running = 2
    directory.update_entry(entry(0, 20), 1.0)
    (engine,) = directory.engines.values()
    assert (engine.identifier, engine.running) == (f"e@{FIRST}", 2)


def test_removing_the_entry_ends_the_known_incarnation() -> None:
    directory, _ = restarted_directory()
    directory.remove_entry("e", 3.0)
    directory.drop_expired(10.0)
    assert directory.engines == {}
    directory.update_entry(entry(SECOND, 30), 11.0)
    assert list(directory.engines) == [f"e@{SECOND}"]


def test_a_later_incarnation_is_cold_by_its_own_entry() -> None:
    directory = EngineDirectory()
    directory.replace_entries([entry(FIRST, 10, cold_seconds=50.0)], 0.0)
    directory.update_entry(entry(SECOND, 20), 1.0)
    (engine,) = directory.engines.values()
    assert engine.cold_until < 1.0


def test_a_run_at_the_earlier_incarnation_is_moved_at_once() -> None:
    bench = Bench(engines=0)
    first = replace(engine_entry("e"), started_ms=FIRST)
    bench.directory.replace_entries([first, engine_entry("other")], 0.0)
    bench.open(size=4)
    begun = [each for each in bench.tick(0.0) if isinstance(each, StartRun)]
    there = [each for each in begun if each.engine == first.identifier]
    assert there
    bench.directory.update_entry(replace(first, started_ms=SECOND), 0.05)
    instructions = bench.tick(0.05)
    for run in there:
        moved = CancelRun(run.run, run.sample.id, run.engine, CancelReason.ENGINE_STARTED_AGAIN)
        assert moved in instructions
        bench.scheduler.run_is_over(run.run)
    again = [each for each in bench.tick(0.1) if isinstance(each, StartRun)]
    assert {each.sample.id for each in again} == {each.sample.id for each in there}
    assert {each.engine for each in again} == {f"e@{SECOND}"}


def test_a_sample_may_go_back_to_an_engine_that_restarted() -> None:
    scheduler: SampleScheduler = Bench(engines=1).scheduler
    bench = Bench(engines=1)
    bench.open(size=1)
    (work,) = bench.scheduler.work.values()
    work.left[f"e@{FIRST}"] = 0.0
    assert work.has_left(f"e@{FIRST}", 1.0)
    assert not work.has_left(f"e@{SECOND}", 1.0)
    assert scheduler.runs == {}


def test_loads_and_the_order_count_belong_to_one_incarnation() -> None:
    directory = EngineDirectory()
    directory.replace_entries([entry(FIRST, 10)], 0.0)
    steward = VersionSteward(directory)
    steward.may_order_from = 0.0
    steward.note_report(f"e@{FIRST}", {"m": 1}, 7, busy=False)
    steward.note_version("m", 2)
    steward.tick(0.0)
    assert steward.loads and steward.pop_instructions()
    directory.update_entry(entry(SECOND, 20), 1.0)
    steward.tick(1.0)
    # The engine is asked for its order count again: a lower number than before is not outdated.
    assert steward.pop_instructions() == [AskEngine(f"e@{SECOND}")]
    assert steward.loads == {}
    steward.note_report(f"e@{SECOND}", {"m": 1}, 0, busy=False)
    steward.tick(2.0)
    (order,) = steward.pop_instructions()
    assert (order.engine, getattr(order, "orders_taken", None)) == (f"e@{SECOND}", 0)


def test_requests_to_engines_use_the_name_that_all_incarnations_share() -> None:
    assert order_headers(f"e@{FIRST}")[0][1] == "e"
    assert name_of("e") == "e"
    odd = replace(entry(0), engine="a@5")
    assert name_of(odd.identifier) == "a@5"


def test_a_report_contains_its_start_time() -> None:
    report = engine_report(b'{"models": [], "sequence": 3, "born": 1700000009000}')
    assert report is not None
    assert report.started_ms == SECOND
