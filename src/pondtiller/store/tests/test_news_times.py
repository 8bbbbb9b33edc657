"""The waits until a change is acted on, added up."""

import pytest
from pydantic import ValidationError

from pondtiller.settings import News
from pondtiller.store.news_times import MIN_BOUND_SECONDS, news_times

BOUNDS_SECONDS = (2.0, 3.0, 4.0)
"""What the users' deployments give from the acknowledgement until a version is in force."""


@pytest.mark.parametrize("bound", [MIN_BOUND_SECONDS, *BOUNDS_SECONDS, 60.0])
def test_no_sum_of_waits_reaches_the_bound(bound: float) -> None:
    times = news_times(bound)
    assert times.unanswered_seconds < bound
    assert times.returned_seconds < bound
    assert times.longest_seconds < bound
    assert times.wait_seconds > 0.0 and times.retry_seconds > 0.0


def test_a_bound_that_no_waits_can_keep_is_refused() -> None:
    assert News(configuration=MIN_BOUND_SECONDS)
    with pytest.raises(ValidationError, match="news of a change may take"):
        News(configuration=MIN_BOUND_SECONDS - 0.1)
