"""Answers to a trainer by the status of a step, and the longest wait of one read."""

from typing import Any, cast

import curio
import pytest

from pondtiller.gateway.callers.failure_answers import FailureAnswers
from pondtiller.gateway.callers.step_requests import MAX_READ_WAIT_SECONDS, StepRequests
from pondtiller.gateway.metrics import GatewayMetrics
from pondtiller.httpio.messages import HttpRequest, HttpResponse, parse_target
from pondtiller.platform.requests import read_request
from pondtiller.rollouts.steps import StepStatus
from pondtiller.wire.steplog import ResultsPage, Sample, SampleBody

STEP = "/pondtiller/lots/s1"
SAMPLE = "/pondtiller/items/s1?id=a"


class PlayedSteps:
    """Answers each call with one status, and records the reads."""

    def __init__(self, status: StepStatus) -> None:
        self.status = status
        self.reads: list[tuple[str, int, float]] = []

    async def end(self, step: str) -> StepStatus:
        return self.status

    async def read(self, step: str, position: int, wait: float) -> ResultsPage:
        self.reads.append((step, position, wait))
        return ResultsPage(status=self.status)

    async def sample_body(self, step: str, sample: str) -> SampleBody:
        return SampleBody(status=self.status, content=bytes(Sample(id=sample, body=b"prompt")))


class PlayedExchange:
    """Receives the answer; the caller stays connected."""

    def __init__(self, request: HttpRequest) -> None:
        self.request = request
        self.answers: list[HttpResponse] = []

    async def respond(self, response: HttpResponse) -> None:
        self.answers.append(response)

    async def wait_closed(self) -> None:
        await curio.sleep(60.0)


def answer(
    steps: PlayedSteps, method: str, target: str, *headers: tuple[str, str], tenant: str = ""
) -> HttpResponse:
    """Return the answer to a request about a step."""
    received = parse_target(method, target, headers, b"")
    exchange = cast(Any, PlayedExchange(received))
    trainers = StepRequests(cast(Any, steps), cast(Any, None), FailureAnswers(GatewayMetrics()))
    handle = trainers.answer_sample if target == SAMPLE else trainers.answer
    curio.run(handle, exchange, read_request(received), tenant)
    (response,) = exchange.answers
    return cast(HttpResponse, response)


@pytest.mark.parametrize(
    ("status", "code", "retry_after"),
    [
        (StepStatus.OK, 200, None),
        (StepStatus.UNKNOWN, 404, None),
        (StepStatus.UNAVAILABLE, 503, "0.25"),
        (StepStatus.UNCERTAIN, 502, None),
    ],
)
@pytest.mark.parametrize(("method", "target"), [("GET", STEP), ("DELETE", STEP), ("GET", SAMPLE)])
def test_each_status_has_one_answer(
    status: StepStatus, code: int, retry_after: str | None, method: str, target: str
) -> None:
    response = answer(PlayedSteps(status), method, target)
    assert response.status == code
    assert dict(response.headers).get("Retry-After") == retry_after


def test_a_read_waits_no_longer_than_its_bound_and_starts_at_no_negative_position() -> None:
    steps = PlayedSteps(StepStatus.OK)
    answer(steps, "GET", f"{STEP}?since_rev=-3", ("wait-ms", "60000"))
    answer(steps, "GET", f"{STEP}?since_rev=7", ("wait-ms", "300"), tenant="ann")
    assert steps.reads == [("s1", 0, MAX_READ_WAIT_SECONDS), ("ann@s1", 7, 0.3)]


@pytest.mark.parametrize(("query", "wait"), [("?since_rev=x", "300"), ("", "long")])
def test_a_read_with_a_malformed_number_is_rejected(query: str, wait: str) -> None:
    steps = PlayedSteps(StepStatus.OK)
    assert answer(steps, "GET", STEP + query, ("wait-ms", wait)).status == 400
    assert steps.reads == []


def test_a_samples_body_is_returned_as_it_was_submitted() -> None:
    response = answer(PlayedSteps(StepStatus.OK), "GET", SAMPLE)
    assert (response.body, response.content_type) == (b"prompt", "application/octet-stream")
