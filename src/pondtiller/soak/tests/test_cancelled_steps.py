"""The rule about steps that were ended."""

import pytest

from pondtiller.soak.cancelled_steps import (
    CANCEL_SECONDS,
    PROMISE,
    CancelledSteps,
    EngineRequest,
    scorer_of,
)
from pondtiller.soak.promises import Promises

ENDED_AT = 10.0
LONG_AGO = float("-inf")


def breaches(identifier: str, at: float, acts_since: float = LONG_AGO) -> int:
    """Return the breaches where a request of a step that was ended begins at an engine."""
    promises = Promises()
    steps = CancelledSteps(promises)
    steps.acknowledged(["end1-0"], ENDED_AT)
    steps.began(EngineRequest(identifier, "g0", lambda: acts_since), at)
    assert {each.promise for each in promises.breaches} <= {PROMISE}
    return len(promises.breaches)


@pytest.mark.parametrize("identifier", ["end1-0", scorer_of("end1-0")])
def test_a_request_that_begins_long_after_the_end_of_its_step_is_a_breach(identifier: str) -> None:
    assert breaches(identifier, ENDED_AT + CANCEL_SECONDS) == 0
    assert breaches(identifier, ENDED_AT + CANCEL_SECONDS + 0.1) == 1


def test_requests_of_other_steps_are_not_checked() -> None:
    assert breaches("end2-0", ENDED_AT + 2 * CANCEL_SECONDS) == 0


@pytest.mark.parametrize(("acts_since", "found"), [(12.0, 0), (float("inf"), 0), (9.0, 1)])
def test_a_gateway_that_could_not_act_has_the_same_time_from_then_on(
    acts_since: float, found: int
) -> None:
    assert breaches("end1-0", ENDED_AT + CANCEL_SECONDS + 1.0, acts_since) == found


@pytest.mark.parametrize(("acts_since", "found"), [(LONG_AGO, 1), (ENDED_AT + 3.4, 0)])
def test_a_link_that_held_the_cancellation_up_counts_until_it_has_healed(
    acts_since: float, found: int
) -> None:
    promises, acts = Promises(), [LONG_AGO]
    steps = CancelledSteps(promises)
    request = EngineRequest("end1-0", "g0", lambda: acts[0])
    steps.began(request, ENDED_AT - 1.0)
    steps.acknowledged(["end1-0"], ENDED_AT)
    acts[0] = acts_since
    steps.left(request, ENDED_AT + CANCEL_SECONDS + 0.5)
    assert len(promises.breaches) == found
