"""Runs of an earlier leader: taken over only if they continue the known text."""

import pytest

from pondtiller.rollouts.progress import pack_events
from pondtiller.rollouts.sample_work import NO_RUN, OfferedRun, RunName, Stage, StartRun
from pondtiller.rollouts.taking_over import OfferedSample, TakeOverRefusal, refusal_to_take_over
from pondtiller.rollouts.tests.test_samples import Bench, starts
from pondtiller.wire.steplog import SampleProgress

EARLIER = RunName(4, 17)
BEFORE = RunName(4, 16)
SAMPLE = "s-0-0"


def bench(last_event: int, made_by: RunName = EARLIER) -> Bench:
    """Return a new leader with one open sample, of which a text is known."""
    made = Bench()
    made.scheduler.epoch = 9
    made.scheduler.may_not_start = True
    if last_event:
        made.scheduler.keep_progress(
            SampleProgress(
                id=SAMPLE,
                parts=[pack_events([f"e{number}" for number in range(1, last_event + 1)])],
                versions=[1],
                last_event=last_event,
                epoch=made_by.epoch,
                run=made_by.run,
            )
        )
    made.open(size=1)
    return made


def offer(made: Bench, after_event: int, text_by: RunName = NO_RUN) -> bool:
    offered = OfferedRun(SAMPLE, "e1", after_event, EARLIER, text_by)
    return made.scheduler.take_over(offered, "d", 1.0)


def test_a_run_is_taken_over_at_its_engine_and_runner() -> None:
    made = bench(last_event=5)
    assert made.tick(0.9) == []
    assert offer(made, after_event=0)
    (start,) = starts(made.scheduler.pop_instructions())
    assert isinstance(start, StartRun)
    assert (start.engine, start.runner, start.last_event) == ("e1", "d", 5)
    assert made.directory.engines["e1"].running == 1
    made.scheduler.run_event(start.run, 6, "e6", 1, 1.1)
    work = made.scheduler.work[("s", SAMPLE)]
    assert work.text.events == [f"e{number}" for number in range(1, 7)]


@pytest.mark.parametrize(
    ("last_event", "made_by", "after_event", "text_by", "is_taken"),
    [
        (0, NO_RUN, 0, NO_RUN, True),
        (5, EARLIER, 0, NO_RUN, True),
        (5, EARLIER, 2, BEFORE, True),
        # It started after the known text, so events in between are lost.
        (5, BEFORE, 6, BEFORE, False),
        # Another run made the end of the text, which this one would not continue.
        (5, RunName(4, 18), 2, BEFORE, False),
        (5, RunName(3, 17), 2, BEFORE, False),
        # It continues the known text, or another one of the same length.
        (5, BEFORE, 5, BEFORE, True),
        (5, BEFORE, 5, RunName(4, 15), False),
    ],
)
def test_events_of_two_runs_are_never_joined(
    last_event: int, made_by: RunName, after_event: int, text_by: RunName, is_taken: bool
) -> None:
    made = bench(last_event, made_by)
    assert offer(made, after_event, text_by) is is_taken
    assert len(starts(made.scheduler.pop_instructions())) == is_taken


def test_a_run_is_taken_over_again_under_the_name_of_its_last_leader() -> None:
    made = bench(last_event=5)
    assert offer(made, after_event=2)
    (start,) = starts(made.scheduler.pop_instructions())
    work = made.scheduler.work[("s", SAMPLE)]
    assert work.text.made_by == RunName(9, start.run)


@pytest.mark.parametrize(("earlier_names", "is_taken"), [((EARLIER,), True), ((), False)])
def test_a_text_with_an_earlier_name_of_the_run_belongs_to_it(
    earlier_names: tuple[RunName, ...], is_taken: bool
) -> None:
    """Guards against restarted runs if no text was saved under the leader in between."""
    made = bench(last_event=5, made_by=EARLIER)
    offered = OfferedRun(SAMPLE, "e1", 2, RunName(7, 3), BEFORE, earlier_names)
    refusal = None if is_taken else TakeOverRefusal.OTHER_TEXT
    assert made.scheduler.refusal_to_take_over(offered, 1.0) is refusal
    assert made.scheduler.take_over(offered, "d", 1.0) is is_taken


@pytest.mark.parametrize("why", ["runs elsewhere", "unknown engine", "ended", "other sample"])
def test_an_unwanted_run_is_not_taken_over(why: str) -> None:
    made = bench(last_event=0)
    if why == "runs elsewhere":
        made.scheduler.may_not_start = False
        made.tick(0.9)
        assert made.scheduler.work[("s", SAMPLE)].stage is Stage.RUNNING
    if why == "ended":
        made.scheduler.close("s")
    engine = "gone" if why == "unknown engine" else "e1"
    sample = "s-0-9" if why == "other sample" else SAMPLE
    made.scheduler.pop_instructions()
    offered = OfferedRun(sample, engine, 0, EARLIER)
    assert not made.scheduler.take_over(offered, "d", 1.0)
    assert made.scheduler.pop_instructions() == []


OFFERED = OfferedRun("s-0-0", "e0", 2, RunName(6, 1), text_by=RunName(5, 9))
WAITING = OfferedSample(
    stage=Stage.WAITING,
    is_routed=True,
    is_ending=False,
    has_left=False,
    last_event=2,
    made_by=RunName(5, 9),
    in_home=True,
)


@pytest.mark.parametrize(
    ("sample", "refusal"),
    [
        (WAITING, None),
        (WAITING._replace(last_event=3, made_by=RunName(6, 1)), None),
        (WAITING._replace(stage=Stage.RUNNING), TakeOverRefusal.NOT_WAITING),
        (WAITING._replace(is_routed=False), TakeOverRefusal.NOT_ROUTED),
        (WAITING._replace(is_ending=True), TakeOverRefusal.STILL_ENDING),
        (WAITING._replace(has_left=True), TakeOverRefusal.LEFT_ENGINE),
        (WAITING._replace(last_event=1), TakeOverRefusal.OTHER_TEXT),
        (WAITING._replace(last_event=3), TakeOverRefusal.OTHER_TEXT),
        (WAITING._replace(made_by=RunName(6, 1)), TakeOverRefusal.OTHER_TEXT),
        (WAITING._replace(in_home=False), TakeOverRefusal.OUTSIDE_HOME),
    ],
)
def test_each_reason_not_to_take_a_run_over(
    sample: OfferedSample, refusal: TakeOverRefusal | None
) -> None:
    assert refusal_to_take_over(OFFERED, sample) is refusal
