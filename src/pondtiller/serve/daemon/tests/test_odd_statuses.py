"""Engines and a platform whose answers are whole, but have an odd status or that of a failure."""

import itertools
import json

import curio
import pytest

from pondtiller.address import to_address
from pondtiller.errors import Ran
from pondtiller.httpio.client import HttpClient
from pondtiller.httpio.messages import HttpResponse, json_response
from pondtiller.serve.core.events import (
    AttemptFailed,
    EnginePollFailed,
    OrderAnswered,
    OrderResult,
    ScoreArrived,
    StoreFailed,
    StoreWriteEnded,
    StoreWriteResult,
)
from pondtiller.serve.core.instructions import (
    EngineOrder,
    EngineRequest,
    OrderEngine,
    PollEngine,
    ScoreSample,
    StartAttempt,
    WatchStore,
    WriteStore,
)
from pondtiller.serve.daemon.engine_client import EngineClient
from pondtiller.serve.daemon.platform_client import PlatformClient
from pondtiller.standins.listening import StandIn, listen_on_loopback
from pondtiller.standins.statuses import INTERIM, ODD_STATUSES

# Nothing follows an interim head, so a call that gets one lasts for its whole time limit.
STATUSES = [status for kind in ODD_STATUSES.values() for status in kind if status not in INTERIM]
FAILURES = [b"302", b"404", b"500", b"503"]
REFUSED = HttpResponse(503, json.dumps({"refused": "busy"}).encode())
CHUNK = {"first_token": 0, "token_count": 1, "text": "a", "version": 1, "finish_reason": "stop"}
STORED = {"metadata": {"name": "a", "resourceVersion": "2"}, "spec": {}}
ANSWERS = {
    "/v1/completions": HttpResponse(200, b"data: " + json.dumps(CHUNK).encode() + b"\n"),
    "/load": json_response(
        200, {"running": 0, "urgent": 0, "leaving": False, "broken": False, "versions": {}}
    ),
    "/orders": json_response(200, {"result": OrderResult.DONE}),
    "/score": json_response(200, {"score": 1.0}),
    "/api/v1/objects": json_response(
        200, {"metadata": {"resourceVersion": "2"}, "items": [STORED]}
    ),
    "/api/v1/objects/a": json_response(200, STORED),
}


class Server(StandIn):
    """An engine, a platform and a scorer, with one answer for each path."""

    def __init__(self, answers: dict[str, HttpResponse]) -> None:
        self.listener = listen_on_loopback()
        self.answers = answers

    async def _handle(self, exchange):
        await exchange.respond(self.answers[exchange.request.path])


def posted(server, call):
    """Return what clients of an engine and of the platform post for a call."""
    events = []

    async def post(event):
        events.append(event)

    async def main():
        serving = await curio.spawn(server.serve)
        address = to_address(server.address)
        client = HttpClient()
        await call(EngineClient(client, post), PlatformClient(client, post, address, address))
        await serving.cancel()

    curio.run(main)
    return events


def spoilt(status):
    server = Server(ANSWERS)
    server.statuses = itertools.repeat(status)
    return server


@pytest.mark.parametrize("answer", [ANSWERS["/v1/completions"], REFUSED])
@pytest.mark.parametrize("status", STATUSES)
def test_an_attempt_with_an_odd_status_may_have_run(status, answer):
    """Guards against an answer of such a status, and a refusal read from its body."""
    server = spoilt(status)
    server.answers = {"/v1/completions": answer}
    request = EngineRequest("q", "m", "prompt", 1, 0, "", 0, 0)
    start = StartAttempt("q-1", "e", to_address(server.address), request)
    (event,) = posted(server, lambda engines, _platform: engines.attempt(start))
    assert isinstance(event, AttemptFailed)
    assert event.ran is Ran.UNKNOWN


@pytest.mark.parametrize("status", [*STATUSES, *FAILURES])
def test_an_engine_has_not_answered_a_poll_or_an_order_without_a_success(status):
    """Guards against a report, or the end of an order, of such a status."""
    server = spoilt(status)
    address = to_address(server.address)
    order = OrderEngine("e", address, EngineOrder("o", 1, "load", "m", 2))

    async def call(engines, _platform):
        await engines.poll(PollEngine("e", address))
        await engines.order(order)

    failed, answered = posted(server, call)
    assert isinstance(failed, EnginePollFailed)
    assert isinstance(answered, OrderAnswered)
    assert answered.result == OrderResult.NO_ANSWER


@pytest.mark.parametrize("status", [*STATUSES, *FAILURES])
def test_a_platform_has_not_answered_without_a_success(status):
    """Guards against a state, a write or a score of such a status."""

    async def call(_engines, platform):
        await platform.list_all()
        await platform.watch(WatchStore(1))
        await platform.write(WriteStore("a", 1, b"{}"))
        await platform.score(ScoreSample("s", "prompt", "text"))

    assert posted(spoilt(status), call) == [
        StoreFailed(expired=False),
        StoreFailed(expired=False),
        StoreWriteEnded("a", StoreWriteResult.UNKNOWN, 0),
        ScoreArrived("s", None),
    ]
