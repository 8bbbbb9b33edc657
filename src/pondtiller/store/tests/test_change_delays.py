"""Sums of the waits until a change is acted on."""

import pytest
from pydantic import ValidationError

from pondtiller.settings import News
from pondtiller.store.change_delays import MIN_BOUND_SECONDS, change_delays

BOUNDS_SECONDS = (2.0, 3.0, 4.0)
"""Bounds of the users' deployments, from the acknowledgement until a version is in force."""


@pytest.mark.parametrize("bound", [MIN_BOUND_SECONDS, *BOUNDS_SECONDS, 60.0])
def test_every_sum_of_waits_is_below_the_bound(bound: float) -> None:
    times = change_delays(bound)
    assert times.unanswered_seconds < bound
    assert times.returned_seconds < bound
    assert times.longest_seconds < bound
    assert times.wait_seconds > 0.0 and times.retry_seconds > 0.0


def test_a_bound_below_the_minimum_is_rejected() -> None:
    assert News(configuration=MIN_BOUND_SECONDS)
    with pytest.raises(ValidationError, match="news of a change may take"):
        News(configuration=MIN_BOUND_SECONDS - 0.1)
