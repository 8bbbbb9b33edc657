"""Steps that engines cannot complete in time together: which groups go first, and the effect."""

from dataclasses import dataclass, replace

from pondtiller.rollouts import turns as turns_module
from pondtiller.rollouts.sample_work import ListResult, RunEnd, ScoreEnd, ScoreText, StartRun
from pondtiller.rollouts.samples import SampleScheduler
from pondtiller.rollouts.shedding import (
    GroupKey,
    GroupLoad,
    RunTimes,
    StepLoad,
    order_groups,
)
from pondtiller.rollouts.step_record import StepRecord, add_sample
from pondtiller.rollouts.steps import StepBook
from pondtiller.rollouts.tests.scheduling import ROUTE, entry
from pondtiller.routes.engines import EngineDirectory
from pondtiller.wire.steplog import Sample, Step

DUE_SECONDS = 7.5


def load(step: str, due: float, groups: int, rank: int = 0, wanted: int = 99) -> StepLoad:
    parts = tuple(GroupLoad(f"g{number}", 8, False, number) for number in range(groups))
    return StepLoad(step, rank, due, wanted, parts)


def turns(steps: list[StepLoad], rate: float, now: float = 0.0) -> list[str]:
    """Return the steps of the groups in their order."""
    return [key.step for key in order_groups(steps, rate, now)]


def test_the_order_stays_while_everything_fits_or_the_rate_is_not_known() -> None:
    steps = [load("a", 7.5, 9), load("b", 7.5, 9)]
    assert turns(steps, 30.0) == []
    assert turns(steps, 0.0) == []


def test_of_a_step_as_many_groups_stay_first_as_can_be_whole_in_time() -> None:
    steps = [load("a", 4.7, 9), load("b", 6.8, 2)]
    assert turns(steps, 8.0) == [*"aaaa", "b", "b", *"aaaaa"]


def test_a_step_that_is_late_anyway_goes_behind_one_that_can_be_whole() -> None:
    steps = [load("late", 1.0, 3), load("young", 7.5, 4)]
    assert turns(steps, 8.0) == [*["young"] * 4, *["late"] * 3]


def test_of_two_steps_of_one_moment_the_lower_rank_gives_way() -> None:
    steps = [load("low", 7.0, 6, rank=1), load("high", 7.1, 6, rank=0)]
    assert turns(steps, 8.0) == [*["high"] * 6, *["low"] * 6]


def test_a_nearly_complete_group_goes_before_one_that_is_not_started() -> None:
    groups = (GroupLoad("new", 8, False, 0), GroupLoad("begun", 2, True, 1))
    found = order_groups([StepLoad("s", 0, 1.7, 2, groups)], 8.0, 0.0)
    assert found == (GroupKey("s", "begun"), GroupKey("s", "new"))


def test_groups_that_the_trainer_does_not_need_are_deferred_if_not_all_fit() -> None:
    steps = [load("a", 7.5, 5, wanted=2), load("b", 7.5, 4, wanted=4)]
    assert turns(steps, 8.0) == [*"aa", *"bbbb", *"aaa"]


def test_the_rate_follows_the_times_of_runs() -> None:
    times = RunTimes()
    assert times.rate(30) == 0.0
    times.note(1.0)
    assert times.rate(30) == 30.0
    for _ in range(60):
        times.note(2.0)
    assert 14.9 < times.rate(30) < 15.2


@dataclass
class Run:
    """A run at an engine."""

    ends_at: float
    events: int


class Trainers:
    """Three trainers that submit a step every four seconds, more than the engines can make.

    Six engines with six slots at 1.3 s a run make 28 samples a second, and 48 are requested.
    """

    def __init__(self) -> None:
        engines = EngineDirectory()
        engines.replace_entries([entry(f"e{number}", slots=6) for number in range(6)], 0.0)
        self.scheduler = SampleScheduler(engines, lambda _engine, _model: False)
        self.book = StepBook()
        self.records: dict[str, StepRecord] = {}
        self.runs: dict[int, Run] = {}
        self.left: dict[tuple[str, str], int] = {}
        self.in_time = dict.fromkeys(range(3), 0)
        self.group_of: dict[tuple[str, str], str] = {}

    def ask(self, number: int, rank: int, now: float) -> None:
        step = Step(
            id=f"{rank}-{number}",
            model="m",
            oldest_version=1,
            desired_groups=8,
            accepted_at=now,
        )
        for place in range(64):
            sample = Sample(id=f"{step.id}-{place}", group=f"{step.id}-g{place // 8}")
            add_sample(step, sample, 100.0 + place % 7)
            self.left[step.id, sample.group] = 8
            self.group_of[step.id, sample.id] = sample.group
        record = self.records[step.id] = self.book.open(step)
        route = replace(ROUTE, priority=rank, step_seconds=DUE_SECONDS, queue_seconds=120.0)
        self.scheduler.open(record, route)

    def play(self, seconds: float) -> None:
        now = 0.0
        while now < seconds:
            for rank in range(3):
                if abs((now - rank) % 4.0) < 0.05:
                    self.ask(int(now // 4), rank, now)
            self._go_on(now)
            self.scheduler.tick(now, now)
            self._carry_out(now)
            now = round(now + 0.1, 1)

    def _go_on(self, now: float) -> None:
        """Let each run make an event, or end."""
        for number, run in list(self.runs.items()):
            if now >= run.ends_at:
                del self.runs[number]
                self.scheduler.run_ended(number, RunEnd.WHOLE, now)
            else:
                run.events += 1
                self.scheduler.run_event(number, run.events, "x", 1, now)

    def _carry_out(self, now: float) -> None:
        for each in self.scheduler.pop_instructions():
            match each:
                case StartRun():
                    self.runs[each.run] = Run(now + 1.25, each.last_event)
                case ScoreText():
                    self.scheduler.scored(each.step, each.sample.id, ScoreEnd.SCORED, "x", 1)
                    self._carry_out(now)
                case ListResult():
                    self._listed(each, now)

    def _listed(self, listed: ListResult, now: float) -> None:
        record = self.records[listed.step]
        record.listed.add(listed.result.id)
        group = self.group_of[listed.step, listed.result.id]
        self.left[listed.step, group] -= 1
        is_in_time = now <= record.step.accepted_at + DUE_SECONDS
        if not self.left[listed.step, group] and is_in_time:
            self.in_time[int(listed.step.partition("-")[0])] += 1


def test_trainers_that_ask_for_too_much_get_more_groups_in_time(monkeypatch) -> None:
    with_shedding = Trainers()
    with_shedding.play(40.0)
    monkeypatch.setattr(turns_module, "order_groups", lambda *_: ())
    without = Trainers()
    without.play(40.0)
    assert sum(with_shedding.in_time.values()) > 2 * sum(without.in_time.values())
    assert min(with_shedding.in_time.values()) > max(without.in_time.values())
