"""The soak sees an engine that goes on with a sample after another one has begun it."""

import pytest

from pondtiller.soak.promises import Promises
from pondtiller.soak.sample_runs import TWICE_SECONDS, SampleRun, SampleRuns

PROMISE = "no two engines work on a sample"


def run(engine: str, can_act_since: float = float("-inf"), sample: str = "s-1") -> SampleRun:
    return SampleRun(sample, engine, "g0", lambda: can_act_since)


def breaches_of(first: SampleRun, second: SampleRun, seconds: float) -> list[str]:
    """Play a run that goes on for so long after a second one has begun."""
    seen = Promises()
    runs = SampleRuns(seen)
    runs.began(first, 10.0)
    runs.began(second, 20.0)
    runs.ended(first, 20.0 + seconds)
    runs.ended(first, 30.0)
    runs.ended(second, 40.0)
    return [each.promise for each in seen.breaches]


def test_an_engine_that_goes_on_for_too_long_breaks_the_promise_and_a_shorter_time_does_not() -> (
    None
):
    assert breaches_of(run("m0"), run("m1"), TWICE_SECONDS + 0.01) == [PROMISE]
    assert breaches_of(run("m0"), run("m1"), TWICE_SECONDS - 0.01) == []


@pytest.mark.parametrize(
    ("can_act_since", "broken"), [(float("inf"), []), (20.2, []), (20.05, [PROMISE])]
)
def test_time_counts_from_when_the_gateway_runs_and_reaches_the_engine(
    can_act_since: float, broken: list[str]
) -> None:
    assert breaches_of(run("m0", can_act_since), run("m1"), 0.5) == broken


def test_one_engine_that_begins_again_and_other_samples_break_nothing() -> None:
    assert breaches_of(run("m0"), run("m0"), 5.0) == []
    assert breaches_of(run("m0"), run("m1", sample="s-2"), 5.0) == []
