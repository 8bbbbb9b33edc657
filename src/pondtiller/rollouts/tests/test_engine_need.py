"""Slots that open steps need: by their size, the pace and the time left; as a peak."""

import pytest

from pondtiller.rollouts.engine_need import (
    MIN_RUNS,
    MIN_SECONDS,
    PACE_HALVING_RUNS,
    PEAK_SECONDS,
    TARGET_SHARE,
    EngineNeed,
    WorkPace,
    slots_needed,
)
from pondtiller.rollouts.sample_work import SampleWork, Stage
from pondtiller.rollouts.step_record import add_sample
from pondtiller.rollouts.steps import StepBook
from pondtiller.routes.table import RequestKind, RouteRow, ServiceShare
from pondtiller.wire.steplog import Sample, Step

ROUTE = RouteRow("r", "h", "/p/", RequestKind.STEP, (ServiceShare("llm", 1.0),), step_seconds=7.5)
TIME = TARGET_SHARE * 7.5


def works(count: int, tokens: float = 100.0, accepted_at: float = 0.0) -> list[SampleWork]:
    step = Step(id=f"s{accepted_at}", model="m", accepted_at=accepted_at)
    for number in range(count):
        add_sample(step, Sample(id=f"{number}", group="g"), tokens)
    record = StepBook().open(step)
    return [SampleWork(record, ROUTE, sample, tokens) for sample in record.samples]


def known_pace() -> WorkPace:
    pace = WorkPace()
    for _ in range(MIN_RUNS):
        pace.note_run(100.0, 1.0)
    return pace


def test_the_pace_is_believed_after_enough_runs_and_follows_a_change() -> None:
    pace = WorkPace()
    for _ in range(MIN_RUNS - 1):
        pace.note_run(100.0, 1.0)
    assert pace.seconds_per_token is None
    pace.note_run(100.0, 1.0)
    assert pace.seconds_per_token == pytest.approx(0.01)
    for _ in range(6 * PACE_HALVING_RUNS):
        pace.note_run(100.0, 1.0)
    for _ in range(6 * PACE_HALVING_RUNS):
        pace.note_run(100.0, 3.0)
    assert pace.seconds_per_token == pytest.approx(0.03, rel=0.05)


def test_a_fresh_step_needs_its_work_over_the_time_it_should_take() -> None:
    assert slots_needed(works(60), 0.01, 0.0, 0.0) == pytest.approx(60 / TIME)


def test_a_late_step_needs_more_but_never_more_slots_than_samples() -> None:
    assert slots_needed(works(60), 0.02, 9.0, 9.0) == 60
    assert slots_needed(works(60), 0.005, 9.0, 9.0) == pytest.approx(30 / MIN_SECONDS)


def test_partial_samples_need_less_and_finished_samples_nothing() -> None:
    open_works = works(3)
    open_works[0].stage = Stage.RUNNING
    open_works[0].run_started = 0.0
    open_works[1].stage = Stage.SCORING
    assert slots_needed(open_works, 0.01, 0.4, 0.0) == pytest.approx(1.6 / TIME)


def test_the_need_is_the_peak_of_the_last_seconds_and_unknown_before() -> None:
    need = EngineNeed(known_pace())
    now = 0.0
    while now < PEAK_SECONDS:
        assert need.peak_slots(now) is None
        need.update(works(60, accepted_at=now) if now == 6.0 else [], now, now)
        now += 0.5
    assert need.peak_slots(now) == pytest.approx(60 / TIME)
    while now < 6.0 + PEAK_SECONDS + 1.0:
        need.update([], now, now)
        now += 0.5
    assert need.peak_slots(now) == 0.0
