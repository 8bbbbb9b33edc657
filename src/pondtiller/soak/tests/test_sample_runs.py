"""The soak sees an engine that goes on with a sample after another one has begun it."""

import pytest

from pondtiller.soak.promises import Promises
from pondtiller.soak.sample_runs import TWICE_SECONDS, SampleRun, SampleRuns

PROMISE = "no two engines work on a sample"


def run(
    engine: str, began_at: float, can_act_since: float = float("-inf"), sample: str = "s-1"
) -> SampleRun:
    return SampleRun(sample, engine, "g0", lambda: can_act_since, began_at)


def breaches_of(older: SampleRun, newer: SampleRun, *ends: tuple[SampleRun, float]) -> list[str]:
    """Play two runs with the times of their ends; each end may be told again later."""
    seen = Promises()
    runs = SampleRuns(seen)
    runs.began(older)
    runs.began(newer)
    for each, at in ends:
        runs.ended(each, at)
    for each, at in ends:
        runs.ended(each, at + 50.0)
    return [each.promise for each in seen.breaches]


@pytest.mark.parametrize(
    ("seconds", "broken"), [(TWICE_SECONDS + 0.01, [PROMISE]), (TWICE_SECONDS - 0.01, [])]
)
def test_two_engines_may_work_on_a_sample_for_a_moment_only(
    seconds: float, broken: list[str]
) -> None:
    for ends_first in (0, 1):
        both = (run("m0", 10.0), run("m1", 20.0))
        first, second = both[ends_first], both[1 - ends_first]
        assert breaches_of(*both, (first, 20.0 + seconds), (second, 40.0)) == broken


def test_a_newer_run_that_ends_at_once_leaves_the_older_one_its_time() -> None:
    older, newer = run("m0", 10.0), run("m1", 20.0)
    assert breaches_of(older, newer, (newer, 20.05), (older, 25.0)) == []


@pytest.mark.parametrize(
    ("can_act_since", "broken"), [(float("inf"), []), (20.2, []), (20.05, [PROMISE])]
)
def test_time_counts_from_when_the_older_ones_gateway_can_act(
    can_act_since: float, broken: list[str]
) -> None:
    older, newer = run("m0", 10.0, can_act_since), run("m1", 20.0)
    assert breaches_of(older, newer, (older, 20.5), (newer, 40.0)) == broken


def test_one_engine_that_begins_again_and_other_samples_break_nothing() -> None:
    older = run("m0", 10.0)
    for newer in (run("m0", 20.0), run("m1", 20.0, sample="s-2")):
        assert breaches_of(older, newer, (older, 30.0), (newer, 40.0)) == []
