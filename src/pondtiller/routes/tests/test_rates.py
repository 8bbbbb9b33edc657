import math

import pytest

from pondtiller.coordination.rate_shares import WINDOW_SECONDS
from pondtiller.errors import ErrorKind
from pondtiller.routes.rates import RefusalInputs, rate_refusal, rate_terms


@pytest.mark.parametrize(
    ("rate", "excess", "total"), [(10.0, 0.1, 11), (10.0, 0.0, 10), (1.9, 0.0, 1), (30.0, 0.1, 33)]
)
def test_whole_requests_in_a_second(rate, excess, total):
    terms = rate_terms(rate, excess)
    assert (terms.total, terms.window_seconds) == (total, WINDOW_SECONDS)


def test_a_rate_below_one_a_second_is_one_request_in_a_longer_window():
    terms = rate_terms(0.25, 0.0)
    assert (terms.total, terms.window_seconds) == (1, 4 * WINDOW_SECONDS)
    assert rate_terms(0.0, 0.1).total == 0


def test_a_rejection_says_whether_the_rate_is_reached_and_when_to_retry():
    inputs = RefusalInputs(is_known=True, free_at=10.5, window_seconds=1.0, now=10.0)
    assert rate_refusal(inputs) == (ErrorKind.LIMIT_REACHED, 0.5)
    unknown = inputs._replace(is_known=False, free_at=math.inf)
    assert rate_refusal(unknown) == (ErrorKind.NOT_READY, 1.0)
