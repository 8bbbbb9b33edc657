"""Samples on engines: order, moves, continuation, versions, giving up."""

from dataclasses import replace

import pytest

from pondtiller.rollouts import sample_work
from pondtiller.rollouts.sample_work import (
    CancelReason,
    CancelRun,
    CancelScore,
    ListResult,
    OfferedRun,
    RunEnd,
    RunName,
    SampleWork,
    ScoreEnd,
    ScoreText,
    StartRun,
)
from pondtiller.rollouts.samples import STARTS_PER_TICK, SampleScheduler
from pondtiller.rollouts.tests.scheduling import ROUTE, Bench, entry
from pondtiller.routes.cold import ColdBound, ColdEngines
from pondtiller.routes.engines import Engine, EngineState
from pondtiller.routes.table import RouteTable, ServiceRow
from pondtiller.wire.steplog import SampleProgress


def starts(instructions: list[object]) -> list[StartRun]:
    return [each for each in instructions if isinstance(each, StartRun)]


def test_engines_are_filled_and_never_overfilled() -> None:
    bench = Bench(engines=2)
    bench.open(groups=3, size=2)
    begun = starts(bench.tick(0.0))
    assert len(begun) == 4
    assert {run.engine for run in begun} == {"e0", "e1"}


def test_longest_samples_come_first_whatever_their_group() -> None:
    """A deferred group is submitted again, and is waited for then."""
    bench = Bench(engines=1)
    bench.open(groups=3, size=2, desired=2)
    begun = starts(bench.tick(0.0))
    assert [run.sample.id for run in begun] == ["s-2-1", "s-2-0"]


def test_an_older_step_comes_first_in_whichever_order_they_arrive() -> None:
    """A new leader finds the steps in the log in no order."""
    bench = Bench(engines=1)
    bench.open(step="late", accepted_at=8.0)
    bench.open(step="early", accepted_at=4.0)
    begun = starts(bench.tick(0.0))
    assert {run.sample.id for run in begun} == {"early-0-0", "early-0-1"}


def test_a_broken_run_continues_after_its_last_event_elsewhere() -> None:
    bench = Bench(engines=2)
    bench.open(size=1)
    (run,) = starts(bench.tick(0.0))
    assert bench.scheduler.run_event(run.run, 1, "a", 1, 0.1)
    assert bench.scheduler.run_event(run.run, 2, "b", 1, 0.2)
    bench.scheduler.run_ended(run.run, RunEnd.BROKEN, 0.3)
    (again,) = starts(bench.tick(0.3))
    assert (again.last_event, again.engine != run.engine) == (2, True)
    assert bench.scheduler.run_event(again.run, 3, "c", 2, 0.4)
    bench.scheduler.run_ended(again.run, RunEnd.WHOLE, 0.5)
    assert [type(each) for each in bench.scheduler.pop_instructions()] == [ScoreText]
    bench.scheduler.scored("s", "s-0-0", ScoreEnd.SCORED, "sig", 4)
    (listed,) = bench.scheduler.pop_instructions()
    assert isinstance(listed, ListResult)
    assert (listed.result.text, listed.result.versions) == ("a\nb\nc", [1, 2])


def test_a_large_step_costs_a_tick_only_the_free_slots(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """With 400 samples for 4 slots, the others are not examined needlessly in each tick."""
    bench = Bench(engines=2)
    looks: list[str] = []
    choose = bench.scheduler.placement.choose

    def counted(work: SampleWork, now: float) -> Engine | None:
        looks.append(work.sample_id)
        return choose(work, now)

    monkeypatch.setattr(bench.scheduler.placement, "choose", counted)
    bench.open(groups=50, size=8)
    runs = starts(bench.tick(0.0))
    assert (len(runs), len(looks)) == (4, 4)
    assert not starts(bench.tick(0.1))
    assert len(looks) == 4
    bench.scheduler.run_ended(runs[0].run, RunEnd.WHOLE, 0.2)
    assert len(starts(bench.tick(0.3))) == 1
    assert len(looks) == 5


def test_many_free_slots_are_filled_in_slices_in_the_same_order() -> None:
    """A step of 240 samples and 300 free slots: no tick starts more than it may."""
    bench = Bench(engines=150)
    bench.open(groups=24, size=10)
    begun: list[str] = []
    for tick, most in enumerate((STARTS_PER_TICK, STARTS_PER_TICK, 40, 0)):
        runs = starts(bench.tick(tick * 0.1))
        assert len(runs) == most
        assert bench.scheduler.has_more is (len(begun) + most < 240)
        begun += [each.sample.id for each in runs]
    # The longest samples of a step come first; here their number of tokens is their position.
    assert begun == [f"s-{place // 10}-{place % 10}" for place in reversed(range(240))]


def test_an_event_out_of_order_ends_the_run() -> None:
    bench = Bench(engines=1)
    bench.open(size=1)
    (run,) = starts(bench.tick(0.0))
    assert bench.scheduler.run_event(run.run, 1, "a", 1, 0.1)
    assert not bench.scheduler.run_event(run.run, 3, "c", 1, 0.2)
    assert not bench.scheduler.run_event(run.run, 1, "a", 1, 0.2)


def test_events_of_too_old_weights_are_not_taken() -> None:
    bench = Bench(engines=1, oldest=1)
    bench.open(size=1)
    (run,) = starts(bench.tick(0.0))
    bench.scheduler.work[("s", "s-0-0")].step.step.oldest_version = 2
    assert not bench.scheduler.run_event(run.run, 1, "a", 1, 0.1)


def test_engines_with_too_old_weights_or_loading_get_nothing() -> None:
    bench = Bench(engines=2, oldest=2)
    bench.open(size=1)
    assert starts(bench.tick(0.0)) == []
    bench.directory.update_entry(entry("e1", version=2))
    bench.loading.add("e1")
    assert starts(bench.tick(0.1)) == []
    bench.loading.clear()
    assert [run.engine for run in starts(bench.tick(0.2))] == ["e1"]


def test_a_silent_run_moves() -> None:
    bench = Bench(engines=2)
    bench.open(size=1)
    (run,) = starts(bench.tick(0.0))
    instructions = bench.tick(2.0)
    assert CancelRun(run.run, "s-0-0", run.engine, CancelReason.SILENT) in instructions
    assert [each.engine for each in starts(instructions)] != [run.engine]


def test_a_run_moves_away_from_a_slow_engine() -> None:
    bench = Bench(engines=3)
    bench.open(size=1)
    (run,) = starts(bench.tick(0.0))
    for engine in bench.directory.engines.values():
        engine.event_seconds = 0.3 if engine.identifier == run.engine else 0.03
    bench.scheduler.run_event(run.run, 1, "a", 1, 0.5)
    instructions = bench.tick(0.6)
    assert CancelRun(run.run, "s-0-0", run.engine, CancelReason.SLOW) in instructions
    # The engine that it leaves may be working on it until its runner says that it is not.
    assert starts(instructions) == starts(bench.tick(0.7)) == []
    bench.scheduler.run_is_over(run.run)
    (moved,) = starts(bench.tick(0.7))
    assert (moved.last_event, moved.engine != run.engine) == (1, True)


def test_samples_whose_engines_crashed_start_again_beside_each_other() -> None:
    """Guards against samples that wait for each other although engines have free slots."""
    bench = Bench(engines=6)
    bench.open(groups=1, size=4)
    now = 0.0
    for _ in range(6):
        begun = starts(bench.tick(now))
        assert len(begun) == 4
        for run in begun:
            bench.scheduler.run_ended(run.run, RunEnd.BROKEN, now + 0.1)
        now += 5.0
    assert len(starts(bench.tick(now))) == 4


def test_a_moved_sample_starts_elsewhere_once_its_runner_is_lost() -> None:
    bench = Bench(engines=3)
    bench.open(size=1)
    (run,) = starts(bench.tick(0.0))
    bench.tick(2.0)
    assert starts(bench.tick(2.5)) == []
    assert bench.scheduler.run_ended(run.run, RunEnd.STALE, 2.6) is None
    (moved,) = starts(bench.tick(2.6))
    assert moved.engine != run.engine


def test_a_resubmitted_sample_waits_for_the_end_of_its_run_in_an_earlier_step() -> None:
    bench = Bench(engines=2)
    bench.open(size=1)
    (run,) = starts(bench.tick(0.0))
    bench.scheduler.close("s")
    bench.open(step="t", size=1, names="s")
    assert starts(bench.tick(0.1)) == []
    bench.scheduler.run_is_over(run.run)
    assert [each.sample.id for each in starts(bench.tick(0.2))] == ["s-0-0"]


def test_a_run_of_an_earlier_leader_is_not_taken_over_beside_one_that_ends() -> None:
    bench = Bench(engines=2)
    bench.open(size=1)
    (run,) = starts(bench.tick(0.0))
    bench.scheduler.run_event(run.run, 1, "a", 1, 0.1)
    bench.tick(2.0)
    other = next(name for name in bench.directory.engines if name != run.engine)
    offered = OfferedRun("s-0-0", other, 1, RunName(1, 7), RunName(0, run.run))
    assert not bench.scheduler.take_over(offered, "g", 2.1)
    bench.scheduler.run_is_over(run.run)
    assert bench.scheduler.take_over(offered, "g", 2.2)


def slow_engine_bench(runs: int) -> tuple[Bench, list[StartRun]]:
    """Return a bench whose first engine is full of slow runs, beside one with few slots."""
    bench = Bench(engines=0)
    bench.directory.replace_entries([entry("e0", slots=runs)], 0.0)
    bench.open(size=runs)
    begun = starts(bench.tick(0.0))
    bench.directory.update_entry(entry("e1", slots=3))
    bench.directory.engines["e0"].event_seconds = 0.3
    bench.directory.engines["e1"].event_seconds = 0.03
    for run in begun:
        bench.scheduler.run_event(run.run, 1, "a", 1, 0.5)
    return bench, begun


def test_no_more_runs_leave_a_slow_engine_than_find_a_slot_elsewhere() -> None:
    """Guards against twelve runs moving to two slots, ten of which return to the slow engine."""
    bench, _ = slow_engine_bench(runs=8)
    instructions = bench.tick(0.6)
    cancelled = [each for each in instructions if isinstance(each, CancelRun)]
    assert len(cancelled) == 2
    for each in cancelled:
        bench.scheduler.run_is_over(each.run)
    assert [run.engine for run in starts(bench.tick(0.61))] == ["e1", "e1"]


def test_runs_are_looked_at_now_and_then_and_not_at_each_event() -> None:
    """With 22 engines and 260 runs a leader did nothing else, and no sample was ever listed."""
    bench = Bench(engines=4)
    bench.open(size=6)
    bench.tick(0.0)
    looked: list[str] = []
    why = bench.scheduler._move_reason
    bench.scheduler._move_reason = lambda work, now: (
        looked.append(work.sample_id),
        why(work, now),
    )[1]  # type: ignore[method-assign]
    for number in range(1, 100):
        bench.tick(0.2 + number * 0.001)
    assert len(looked) == 6


def test_a_long_run_goes_to_a_faster_engine_and_a_young_one_stays() -> None:
    """Engines of one service differ by a third: only a run with much left to make gains."""
    for began_before, moves in ((0.5, 0), (2.0, 1)):
        bench = Bench(engines=2)
        bench.open(size=1)
        (run,) = starts(bench.tick(0.0))
        for engine in bench.directory.engines.values():
            engine.event_seconds = 0.05 if engine.identifier == run.engine else 0.038
        bench.scheduler.run_event(run.run, 1, "a", 1, began_before)
        cancelled = [each for each in bench.tick(began_before) if isinstance(each, CancelRun)]
        assert len(cancelled) == moves


def test_an_engine_whose_pace_is_not_known_is_no_faster_one() -> None:
    """An engine that had just loaded weights attracted all long runs of the others."""
    bench = Bench(engines=3)
    bench.open(size=1)
    (run,) = starts(bench.tick(0.0))
    for engine in bench.directory.engines.values():
        engine.event_seconds = 0.04 if engine.identifier in (run.engine, "e2") else 0.0
    bench.scheduler.run_event(run.run, 1, "a", 1, 2.0)
    assert bench.tick(2.0) == []


def test_the_longest_samples_go_to_the_fastest_engines() -> None:
    bench = Bench(engines=2)
    bench.directory.engines["e0"].event_seconds = 0.05
    bench.directory.engines["e1"].event_seconds = 0.038
    bench.open(size=4)
    begun = {run.sample.id: run.engine for run in starts(bench.tick(0.0))}
    assert [begun[f"s-0-{number}"] for number in (3, 2)] == ["e1", "e1"]


def test_a_short_pause_of_all_engines_moves_nothing() -> None:
    """A daemon that paused for a tenth of a second considered all its engines slow."""
    bench = Bench(engines=3)
    bench.open(size=1)
    (run,) = starts(bench.tick(0.0))
    for engine in bench.directory.engines.values():
        engine.event_seconds = 0.04
    bench.scheduler.run_event(run.run, 1, "a", 1, 0.5)
    assert bench.tick(0.62) == []


def test_a_stall_of_this_daemon_is_no_silence_of_its_engines() -> None:
    bench = Bench(engines=3)
    bench.open(size=1)
    (run,) = starts(bench.tick(0.0))
    bench.scheduler.run_event(run.run, 1, "a", 1, 0.5)
    bench.scheduler.note_stall(2.0)
    assert bench.tick(2.0) == []


@pytest.mark.parametrize("is_told", [True, False])
def test_a_pause_of_a_runner_is_no_gap_between_events(is_told: bool) -> None:
    """Otherwise its engine looks slow, and the run is moved to another one."""
    bench = Bench(engines=2)
    bench.open(size=1)
    (run,) = starts(bench.tick(0.0))
    for engine in bench.directory.engines.values():
        engine.event_seconds = 0.05
    at = 0.5
    for number in range(1, 6):
        at += 0.05
        bench.scheduler.run_event(run.run, number, "a", 1, at)
    at += 0.6
    if is_told:
        bench.scheduler.runs_stalled([run.run], 0.6, at + 0.25)
    for number in range(6, 9):
        at += 0.05
        bench.scheduler.run_event(run.run, number, "a", 1, at)
    bench.scheduler.runs_checked([run.run], at)
    assert bool(bench.tick(at + 0.05)) is not is_told


@pytest.mark.parametrize("counted_seconds", [0.3, 0.6])
def test_a_pause_that_is_counted_in_part_moves_no_run(counted_seconds: float) -> None:
    """Guards against runs moved to an engine whose events were merely read earlier."""
    bench = Bench(engines=2)
    bench.open(size=1)
    (run,) = starts(bench.tick(0.0))
    for engine in bench.directory.engines.values():
        engine.event_seconds = 0.05
    for number in range(1, 11):
        bench.scheduler.run_event(run.run, number, "a", 1, 0.5 + 0.05 * number)
    bench.scheduler.runs_stalled([run.run], counted_seconds, 1.75)
    # Waiting events are read at once, then they arrive as before.
    for number in range(11, 16):
        bench.scheduler.run_event(run.run, number, "a", 1, 1.75)
    for number in range(16, 20):
        bench.scheduler.run_event(run.run, number, "a", 1, 1.75 + 0.05 * (number - 15))
    bench.scheduler.runs_checked([run.run], 1.96)
    assert bench.directory.engines[run.engine].event_seconds == pytest.approx(0.05, rel=0.1)
    assert bench.tick(1.96) == []


def test_a_pause_reported_by_runner_and_leader_makes_no_negative_gap() -> None:
    bench = Bench(engines=2)
    bench.open(size=1)
    (run,) = starts(bench.tick(0.0))
    bench.scheduler.run_event(run.run, 1, "a", 1, 0.5)
    bench.scheduler.run_event(run.run, 2, "a", 1, 0.55)
    bench.scheduler.runs_stalled([run.run], 0.6, 1.2)
    bench.scheduler.runs_stalled([run.run], 0.6, 1.2)
    bench.scheduler.run_event(run.run, 3, "a", 1, 1.19)
    engine = bench.directory.engines[run.engine]
    assert engine.event_seconds == pytest.approx(0.05)
    bench.scheduler.runs_checked([run.run], 1.25)
    assert bench.tick(1.25) == []


def test_failures_end_at_the_attempts_of_the_row_and_impossible_at_once() -> None:
    bench = Bench(engines=1)
    bench.open(size=2)
    now = 0.0
    for _ in range(3):
        now += 3.0
        for run in starts(bench.tick(now)):
            impossible = run.sample.id == "s-0-0"
            end = RunEnd.IMPOSSIBLE if impossible else RunEnd.FAILED
            bench.scheduler.run_ended(run.run, end, now)
    assert bench.scheduler.work == {}


def test_a_scorer_that_fails_too_often_gives_the_sample_up() -> None:
    bench = Bench(engines=1)
    bench.open(size=1)
    (run,) = starts(bench.tick(0.0))
    bench.scheduler.run_ended(run.run, RunEnd.WHOLE, 0.1)
    bench.scheduler.pop_instructions()
    bench.scheduler.scored("s", "s-0-0", ScoreEnd.LOST, "", 2)
    bench.scheduler.scored("s", "s-0-0", ScoreEnd.FAILED, "", 2)
    assert [type(each) for each in bench.scheduler.pop_instructions()] == [ScoreText, ScoreText]
    bench.scheduler.scored("s", "s-0-0", ScoreEnd.FAILED, "", 2)
    (listed,) = bench.scheduler.pop_instructions()
    assert isinstance(listed, ListResult) and not listed.result.succeeded


def test_a_sample_is_not_given_up_before_its_time() -> None:
    bench = Bench(engines=0)
    bench.open(size=1)
    assert bench.tick(1.0, wall=40.0) == []
    (listed,) = bench.tick(2.0, wall=44.0)
    assert isinstance(listed, ListResult) and not listed.result.succeeded


def test_an_ended_step_stops_its_runs_and_keeps_their_text_for_a_later_one() -> None:
    bench = Bench(engines=1)
    bench.open(size=1)
    (run,) = starts(bench.tick(0.0))
    bench.scheduler.run_event(run.run, 1, "a", 1, 0.1)
    bench.scheduler.close("s")
    ended = CancelRun(run.run, "s-0-0", "e0", CancelReason.STEP_ENDED)
    assert ended in bench.scheduler.pop_instructions()
    bench.scheduler.run_ended(run.run, RunEnd.BROKEN, 0.2)
    bench.open(size=1, step="s")
    (again,) = starts(bench.tick(3.0))
    assert again.last_event == 1


def test_a_successor_continues_the_saved_text() -> None:
    bench = Bench(engines=1)
    progress = SampleProgress(id="s-0-0", parts=[b'["a", "b"]'], versions=[1], last_event=2)
    bench.scheduler.keep_progress(progress)
    bench.open(size=1)
    (run,) = starts(bench.tick(0.0))
    assert run.last_event == 2


def test_a_step_whose_row_is_gone_waits_until_it_is_back() -> None:
    bench = Bench(engines=1)
    bench.open(size=1)
    bench.scheduler.refresh_routes(lambda _host, _path, _tenant: None)
    assert starts(bench.tick(0.0)) == []
    bench.scheduler.refresh_routes(lambda _host, _path, _tenant: ROUTE)
    assert len(starts(bench.tick(0.1))) == 1


def test_a_scorer_that_was_not_asked_counts_for_nothing_whatever_failed_before() -> None:
    """Guards against samples given up after a scorer without room and one reported failure."""
    bench = Bench(engines=1)
    bench.open(groups=1, size=1)
    (start,) = starts(bench.tick(0.0))
    bench.scheduler.run_ended(start.run, RunEnd.WHOLE, 0.5)
    bench.scheduler.pop_instructions()
    bench.scheduler.scored("s", "s-0-0", ScoreEnd.FAILED, "", 3)
    assert isinstance(bench.scheduler.pop_instructions()[0], ScoreText)
    for _ in range(5):
        bench.scheduler.scored("s", "s-0-0", ScoreEnd.LOST, "", 1)
        assert isinstance(bench.scheduler.pop_instructions()[0], ScoreText)
    bench.scheduler.scored("s", "s-0-0", ScoreEnd.FAILED, "", 3)
    assert isinstance(bench.scheduler.pop_instructions()[0], ScoreText)
    bench.scheduler.scored("s", "s-0-0", ScoreEnd.FAILED, "", 3)
    (given_up,) = bench.scheduler.pop_instructions()
    assert isinstance(given_up, ListResult)
    assert not given_up.result.succeeded


def scored_bench() -> tuple[Bench, ScoreText]:
    """Return a bench with one sample that waits for its score."""
    bench = Bench(engines=1)
    bench.open(groups=1, size=1)
    (start,) = starts(bench.tick(0.0))
    bench.scheduler.run_ended(start.run, RunEnd.WHOLE, 0.5)
    (score,) = bench.scheduler.pop_instructions()
    assert isinstance(score, ScoreText)
    return bench, score


def test_an_ended_step_cancels_the_scores_of_its_samples() -> None:
    bench, score = scored_bench()
    bench.scheduler.close("s")
    (cancelled,) = bench.scheduler.pop_instructions()
    assert cancelled == CancelScore("s", "s-0-0", score.run, CancelReason.STEP_ENDED)


def test_a_sample_that_is_given_up_for_its_age_cancels_its_score() -> None:
    bench, score = scored_bench()
    cancelled, listed = bench.tick(1.0, wall=44.0)
    assert cancelled == CancelScore("s", "s-0-0", score.run, CancelReason.GIVEN_UP)
    assert isinstance(listed, ListResult) and not listed.result.succeeded


def test_each_request_for_a_score_has_a_number_of_its_own() -> None:
    bench, score = scored_bench()
    bench.scheduler.scored("s", "s-0-0", ScoreEnd.LOST, "", 3)
    (again,) = bench.scheduler.pop_instructions()
    assert isinstance(again, ScoreText) and again.run != score.run
    bench.scheduler.close("s")
    (cancelled,) = bench.scheduler.pop_instructions()
    assert isinstance(cancelled, CancelScore) and cancelled.run == again.run


def test_nothing_is_placed_in_an_evacuated_zone_and_nothing_moves_there() -> None:
    bench = Bench(engines=2)
    bench.directory.update_entry(replace(entry("e1"), zone="y"))
    bench.directory.evacuated = frozenset({"y"})
    bench.open(groups=2, size=2)
    begun = starts(bench.tick(0.0))
    assert [run.engine for run in begun] == ["e0", "e0"]
    for number in range(1, 20):
        for run in begun:
            assert bench.scheduler.run_event(run.run, number, "a", 1, number * 0.5)
        bench.directory.engines["e1"].event_seconds = 0.01
        assert bench.tick(number * 0.5 + 0.1) == []


def test_if_all_zones_are_evacuated_samples_wait_and_start_once_an_evacuation_ends() -> None:
    bench = Bench(engines=2)
    bench.directory.evacuated = frozenset({"z"})
    bench.open(size=2)
    assert [bench.tick(number * 0.1) for number in range(5)] == [[]] * 5
    bench.directory.evacuated = frozenset()
    assert len(starts(bench.tick(1.0))) == 2


def test_a_blocked_run_counts_as_no_failure_of_its_engine() -> None:
    bench = Bench(engines=1)
    bench.open(size=1)
    (run,) = starts(bench.tick(0.0))
    bench.scheduler.run_ended(run.run, RunEnd.REFUSED, 0.1)
    assert bench.directory.engines["e0"].failures == 0
    assert len(starts(bench.tick(0.3))) == 1


def test_a_cold_engine_gets_no_more_starts_in_a_second_than_one_daemon_may_send() -> None:
    bench = Bench(engines=2)
    table = RouteTable(1, services={"llm": ServiceRow("llm", cold_seconds=9.0, cold_rate=2.0)})
    cold = ColdEngines(bench.directory, ColdBound(1.5, 5.0), lambda: table)
    bench.scheduler = SampleScheduler(bench.directory, lambda *_: False, cold=cold)
    bench.directory.update_entry(replace(entry("e0", slots=4), cold_seconds=9.0), 0.0)
    bench.directory.update_entry(entry("e1", slots=4))
    bench.open(groups=5)
    began = [each.engine for each in starts(bench.tick(1.0))]
    assert sorted(began) == ["e0", "e1", "e1", "e1", "e1"]
    assert not starts(bench.tick(1.5))
    bench.scheduler.note_stall(2.1)
    assert [each.engine for each in starts(bench.tick(2.1))] == ["e0"]
    # Once it is warm it takes as many as it has slots.
    bench.scheduler.note_stall(9.0)
    assert [each.engine for each in starts(bench.tick(9.0))] == ["e0", "e0"]


def test_a_leaving_engine_takes_no_new_sample_and_keeps_what_it_runs() -> None:
    bench = Bench(engines=2)
    bench.open(groups=2, size=4)
    bench.scheduler.tick(0.0, 0.0)
    runs = [each for each in bench.scheduler.pop_instructions() if isinstance(each, StartRun)]
    there = [each for each in runs if each.engine == "e0"]
    assert there
    leaving = replace(entry("e0"), state=EngineState.LEAVING, leaves_seconds=2.0)
    bench.directory.update_entry(leaving)
    for run in there:
        bench.scheduler.run_event(run.run, 1, "x", 1, 0.1)
    bench.scheduler.run_ended(there[0].run, RunEnd.WHOLE, 0.2)
    for now in (0.2, 0.3, 0.4):
        bench.scheduler.tick(now, now)
    done = bench.scheduler.pop_instructions()
    assert not [each for each in done if isinstance(each, CancelRun)]
    assert not [each for each in done if isinstance(each, StartRun) and each.engine == "e0"]
    assert len(bench.scheduler.runs) == len(runs) - 1


def break_off(bench: Bench, run: StartRun, now: float) -> None:
    bench.scheduler.run_ended(run.run, RunEnd.BROKEN, now)


def test_a_sample_does_not_go_back_to_an_engine_where_its_run_broke_off() -> None:
    bench = Bench(engines=3)
    bench.open(groups=1, size=1)
    (run,) = starts(bench.tick(0.0))
    seen = {run.engine}
    for now in (0.7, 1.4):
        break_off(bench, run, now - 0.1)
        (run,) = starts(bench.tick(now))
        assert run.engine not in seen
        seen.add(run.engine)


def test_it_waits_for_another_engine_rather_than_go_back_to_one_that_may_be_gone() -> None:
    bench = Bench(engines=2)
    bench.open(groups=2, size=2)
    runs = starts(bench.tick(0.0))
    broken = next(each for each in runs if each.engine == "e0")
    break_off(bench, broken, 0.1)
    bench.scheduler.note_stall(1.0)
    assert starts(bench.tick(1.0)) == []
    ended = next(each for each in runs if each.engine == "e1")
    bench.scheduler.run_ended(ended.run, RunEnd.WHOLE, 1.1)
    (again,) = starts(bench.tick(1.2))
    assert again.engine == "e1"


def test_it_goes_back_where_there_is_no_other_engine_and_after_a_while() -> None:
    bench = Bench(engines=1)
    bench.open(groups=1, size=1)
    (run,) = starts(bench.tick(0.0))
    break_off(bench, run, 0.1)
    (again,) = starts(bench.tick(1.0))
    assert again.engine == "e0"


def test_a_text_that_grows_without_end_begins_anew_at_another_engine(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a text that fills the memory, and one that continues after its events."""
    monkeypatch.setattr(sample_work, "MAX_TEXT_SIZE", 9 * (sample_work.EVENT_SIZE + 2))
    bench = Bench(engines=2)
    bench.open(size=1)
    (run,) = starts(bench.tick(0.0))
    taken = [bench.scheduler.run_event(run.run, n, "ab", 1, 0.1) for n in range(1, 11)]
    assert taken == [True] * 9 + [False]
    bench.scheduler.run_ended(run.run, RunEnd.STALE, 0.2)
    (again,) = starts(bench.tick(0.3))
    assert (again.last_event, again.engine != run.engine) == (0, True)
