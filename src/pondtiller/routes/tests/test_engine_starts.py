"""An engine that starts again under its name: nothing of an earlier start counts for a later one.

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
from pondtiller.routes.send_gate import Held, SendGate

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


def started_again() -> tuple[EngineDirectory, Engine]:
    """Return a directory after a second start, and what was known of the first."""
    directory = EngineDirectory()
    directory.replace([entry(FIRST, 10)], 0.0)
    (before,) = directory.engines.values()
    before.running = 3
    before.note_failure(1.0)
    before.note_answer(0.4, 1.0)
    before.note_event_gap(0.2, 1.0)
    before.limit.note_late(1, 0.2, 1.0)
    directory.changed(entry(SECOND, 20), 2.0)
    return directory, before


def test_places_health_times_and_limits_begin_anew() -> None:
    directory, _ = started_again()
    (engine,) = directory.usable(SERVICE, 2.0)
    assert (engine.running, engine.failures, engine.not_before) == (0, 0, 0.0)
    assert (engine.answer_seconds, engine.event_seconds, engine.failed_at) == (0.0, 0.0, None)
    assert vars(engine.limit) == vars(Engine(entry(SECOND)).limit)


def test_work_that_ends_at_the_earlier_start_gives_no_place_back_at_the_later() -> None:
    directory, before = started_again()
    (engine,) = directory.usable(SERVICE, 2.0)
    engine.running = 1
    before.end_work()
    before.note_failure(2.0)
    assert (engine.running, engine.failures) == (1, 0)


def test_the_earlier_start_gets_nothing_more() -> None:
    directory, before = started_again()
    assert directory.has_left(before.identifier, 2.0)
    assert directory.has_started_again(before.identifier)
    assert SendGate(directory).check(before.identifier, 2.0) is Held.LEAVING
    assert [each.identifier for each in directory.usable(SERVICE, 2.0)] == [f"e@{SECOND}"]


def test_a_late_word_of_the_earlier_start_does_not_bring_it_back() -> None:
    directory, before = started_again()
    directory.changed(entry(FIRST, 15), 3.0)
    directory.replace([entry(FIRST, 15)], 3.0)
    assert before.identifier not in directory.engines
    assert list(directory.engines) == [f"e@{SECOND}"]


def test_the_stores_order_tells_the_later_start_and_not_the_clock() -> None:
    # An engine whose clock was wrong, or another writer's entry, named a time to come.
    directory = EngineDirectory()
    directory.replace([entry(SECOND, 10)], 0.0)
    directory.changed(entry(FIRST, 20), 1.0)
    assert list(directory.engines) == [f"e@{FIRST}"]


def test_an_entry_that_names_no_start_is_of_the_start_that_is_known() -> None:
    directory = EngineDirectory()
    directory.replace([entry(FIRST, 10)], 0.0)
    directory.engines[f"e@{FIRST}"].running = 2
    directory.changed(entry(0, 20), 1.0)
    (engine,) = directory.engines.values()
    assert (engine.identifier, engine.running) == (f"e@{FIRST}", 2)


def test_the_end_of_the_entry_is_the_end_of_the_start_that_is_known() -> None:
    directory, _ = started_again()
    directory.gone("e", 3.0)
    directory.keep_house(10.0)
    assert directory.engines == {}
    directory.changed(entry(SECOND, 30), 11.0)
    assert list(directory.engines) == [f"e@{SECOND}"]


def test_a_later_start_is_cold_by_its_own_entry() -> None:
    directory = EngineDirectory()
    directory.replace([entry(FIRST, 10, cold_seconds=50.0)], 0.0)
    directory.changed(entry(SECOND, 20), 1.0)
    (engine,) = directory.engines.values()
    assert engine.cold_until < 1.0


def test_a_run_at_the_earlier_start_is_moved_at_once() -> None:
    bench = Bench(engines=0)
    first = replace(engine_entry("e"), started_ms=FIRST)
    bench.directory.replace([first, engine_entry("other")], 0.0)
    bench.open(size=4)
    begun = [each for each in bench.tick(0.0) if isinstance(each, StartRun)]
    there = [each for each in begun if each.engine == first.identifier]
    assert there
    bench.directory.changed(replace(first, started_ms=SECOND), 0.05)
    instructions = bench.tick(0.05)
    for run in there:
        moved = CancelRun(run.run, run.sample.id, run.engine, CancelReason.ENGINE_STARTED_AGAIN)
        assert moved in instructions
        bench.scheduler.run_is_over(run.run)
    again = [each for each in bench.tick(0.1) if isinstance(each, StartRun)]
    assert {each.sample.id for each in again} == {each.sample.id for each in there}
    assert {each.engine for each in again} == {f"e@{SECOND}"}


def test_a_sample_may_go_back_to_an_engine_that_started_again() -> None:
    scheduler: SampleScheduler = Bench(engines=1).scheduler
    bench = Bench(engines=1)
    bench.open(size=1)
    (work,) = bench.scheduler.work.values()
    work.left[f"e@{FIRST}"] = 0.0
    assert work.has_left(f"e@{FIRST}", 1.0)
    assert not work.has_left(f"e@{SECOND}", 1.0)
    assert scheduler.runs == {}


def test_loads_and_the_count_of_orders_are_of_one_start() -> None:
    directory = EngineDirectory()
    directory.replace([entry(FIRST, 10)], 0.0)
    steward = VersionSteward(directory)
    steward.may_order_from = 0.0
    steward.reported(f"e@{FIRST}", {"m": 1}, 7, busy=False)
    steward.named("m", 2)
    steward.tick(0.0)
    assert steward.loads and steward.take()
    directory.changed(entry(SECOND, 20), 1.0)
    steward.tick(1.0)
    # It is asked how many orders it has taken: a lower number than before is no stale word.
    assert steward.take() == [AskEngine(f"e@{SECOND}")]
    assert steward.loads == {}
    steward.reported(f"e@{SECOND}", {"m": 1}, 0, busy=False)
    steward.tick(2.0)
    (order,) = steward.take()
    assert (order.engine, getattr(order, "orders_taken", None)) == (f"e@{SECOND}", 0)


def test_engines_are_called_by_the_name_that_all_starts_share() -> None:
    assert order_headers(f"e@{FIRST}")[0][1] == "e"
    assert name_of("e") == "e"
    odd = replace(entry(0), engine="a@5")
    assert name_of(odd.identifier) == "a@5"


def test_a_report_names_its_start() -> None:
    report = engine_report(b'{"models": [], "sequence": 3, "born": 1700000009000}')
    assert report is not None
    assert report.started_ms == SECOND
