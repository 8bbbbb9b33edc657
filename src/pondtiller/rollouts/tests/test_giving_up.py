"""When a sample is given up: each reason at its bound."""

import pytest

from pondtiller.rollouts.giving_up import (
    QUEUE_MARGIN_SECONDS,
    reason_after_run,
    reason_after_scoring,
)
from pondtiller.rollouts.sample_work import GiveUpReason, ListResult, RunEnd, ScoreEnd
from pondtiller.rollouts.tests.scheduling import ROUTE, Bench


def test_a_sample_is_late_beyond_its_rows_time_and_the_margin() -> None:
    """Its row allows 40 s; the other sample's step is younger."""
    bench = Bench(engines=1)
    bench.open(step="old", size=1)
    bench.open(step="young", size=1, accepted_at=1.0)
    bench.tick(0.0, wall=ROUTE.queue_seconds + QUEUE_MARGIN_SECONDS)
    assert len(bench.scheduler.work) == 2
    given = bench.tick(0.1, wall=ROUTE.queue_seconds + QUEUE_MARGIN_SECONDS + 0.01)
    (listed,) = [each for each in given if isinstance(each, ListResult)]
    assert (listed.step, listed.given_up) == ("old", GiveUpReason.LATE)


@pytest.mark.parametrize("end", list(RunEnd))
def test_only_answers_of_engines_end_a_sample(end: RunEnd) -> None:
    is_impossible = end is RunEnd.IMPOSSIBLE
    assert reason_after_run(end, 2, 3) is (GiveUpReason.IMPOSSIBLE if is_impossible else None)
    if not is_impossible:
        assert reason_after_run(end, 3, 3) is GiveUpReason.RUNS_FAILED


@pytest.mark.parametrize("end", list(ScoreEnd))
def test_only_a_scorers_failure_ends_a_sample(end: ScoreEnd) -> None:
    expected = GiveUpReason.SCORER_FAILED if end is ScoreEnd.FAILED else None
    assert reason_after_scoring(end, 1, 1) is expected
    assert reason_after_scoring(end, 0, 1) is None
