"""Steps that are late after a pause: fewer slots than samples, engines with weights."""

import pytest

from pondtiller.rollouts import start_order
from pondtiller.rollouts.sample_work import RunEnd, StartRun
from pondtiller.rollouts.samples import SampleScheduler
from pondtiller.rollouts.step_record import add_sample
from pondtiller.rollouts.steps import StepBook
from pondtiller.rollouts.tests.scheduling import ROUTE, entry
from pondtiller.routes.engines import EngineDirectory
from pondtiller.wire.steplog import Sample, Step

ENGINES = 4
SLOTS = 4
VERSION = 7
"""Version of the weights that the engines kept through the pause."""
TOKENS_SECONDS = 0.01
SHORT_TOKENS = 40.0
LONG_TOKENS = 400.0
TICK_SECONDS = 0.1


class Pause:
    """Three trainers whose steps wait when a leader returns; engines run at one pace."""

    def __init__(self) -> None:
        self.directory = EngineDirectory()
        entries = [entry(f"e{number}", VERSION, SLOTS) for number in range(ENGINES)]
        self.directory.replace_entries(entries, 0.0)
        self.scheduler = SampleScheduler(self.directory, lambda _engine, _model: False)
        self.whole_at: dict[str, float] = {}
        self.versions: set[int] = set()
        self._ends: dict[int, tuple[float, str]] = {}

    def open(self, step: str, accepted_at: float, oldest: int, shorts: int = 30) -> None:
        opened = Step(id=step, model="m", oldest_version=oldest, accepted_at=accepted_at)
        for number, tokens in enumerate([LONG_TOKENS] * 2 + [SHORT_TOKENS] * shorts):
            sample = Sample(id=f"{step}-{number}", group=f"{step}-g{number // 8}")
            add_sample(opened, sample, tokens)
        self.scheduler.open(StepBook().open(opened), ROUTE)

    def play(self, seconds: float) -> None:
        now = 100.0
        end = now + seconds
        while now < end:
            self.scheduler.note_stall(now)  # No run counts as silent.
            self.scheduler.tick(now, now)
            for each in self.scheduler.pop_instructions():
                if isinstance(each, StartRun):
                    work = self.scheduler.runs[each.run]
                    self._ends[each.run] = (now + work.cost * TOKENS_SECONDS, work.step_id)
                    self.versions.add(self.directory.engines[each.engine].entry.models["m"])
            now += TICK_SECONDS
            for run, (at, step) in list(self._ends.items()):
                if at <= now:
                    del self._ends[run]
                    self.scheduler.run_ended(run, RunEnd.WHOLE, now)
                    self.whole_at[step] = now - 100.0


def catch_up() -> Pause:
    """Play steps that were accepted 6, 4 and 3 s ago; the engines have weights of all."""
    pause = Pause()
    pause.open("first", 94.0, VERSION - 1)
    pause.open("second", 96.0, VERSION)
    pause.open("third", 97.0, VERSION)
    pause.play(15.0)
    return pause


def test_no_trainer_waits_for_a_long_sample_behind_short_ones() -> None:
    whole_at = catch_up().whole_at
    longest = LONG_TOKENS * TOKENS_SECONDS
    assert set(whole_at) == {"first", "second", "third"}
    assert max(whole_at.values()) < longest + 1.0


def test_oldest_step_strictly_first_makes_younger_steps_late(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Shows the purpose of the head start: the same load without it."""
    with_it = catch_up().whole_at
    monkeypatch.setattr(start_order, "LONG_HEAD_START_SECONDS", 0.0)
    without = catch_up().whole_at
    assert without["third"] > with_it["third"] + 1.0
    assert with_it["first"] < without["first"] + 1.0


def test_a_much_older_step_keeps_its_slots() -> None:
    pause = Pause()
    pause.open("old", 90.0, VERSION)
    for number in range(6):
        pause.open(f"young{number}", 99.0, VERSION)
    pause.play(2.0)
    assert pause.whole_at["old"] > 0.0
    assert not [
        key for key in pause.scheduler.work if key[0] == "old" and not _has_started(pause, key)
    ]


def test_weights_that_are_too_old_are_not_used_to_catch_up() -> None:
    pause = Pause()
    pause.open("new", 94.0, VERSION + 1)
    pause.play(3.0)
    assert not pause.versions
    assert not pause.whole_at


def _has_started(pause: Pause, key: tuple[str, str]) -> bool:
    work = pause.scheduler.work[key]
    return work.run > 0
