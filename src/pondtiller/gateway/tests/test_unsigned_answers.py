"""Successes that are no answers: without the engine's signature, or of bytes that are no text."""

from pathlib import Path

import curio
import pytest

from pondtiller.gateway.callers.request import ForwardedRequest
from pondtiller.gateway.tests.system import System, run_system
from pondtiller.gateway.tests.test_live_load import ROUTE, FakeEngine, Gateway
from pondtiller.gateway.tests.test_system import ready
from pondtiller.httpio.messages import HttpResponse
from pondtiller.httpio.server import Exchange
from pondtiller.platform import names
from pondtiller.process import clock
from pondtiller.standins.documents import configuration
from pondtiller.standins.engine import Behaviour

FORGED_EVENT = b"id: 1\ndata: forged\n\n"


def unsigned(body: bytes) -> Behaviour:
    """Return the behaviour of an engine that answers 200 without a signature."""

    async def answer(exchange: Exchange) -> None:
        named = (names.REQUEST_ID, exchange.request.headers[names.REQUEST_ID])
        await exchange.respond(HttpResponse(200, body, "", (named, (names.VERSIONS, "1"))))

    return answer


async def add_stream_routes(system: System) -> None:
    """Add a route for streams that may be resumed, and one for streams that may not."""
    document = configuration(4, *system.app, *system.llm)
    for path, may_resume in (("/chat/", True), ("/once/", False)):
        document["routes"].append(
            {
                "name": path,
                "host": "app.example",
                "path_prefix": path,
                "kind": "stream",
                "resumable": may_resume,
                "timeout_ms": 3000,
                "slo_ms": 200,
                "service": "llm",
                "max_attempts": 3,
            }
        )
    system.store.put("config", "main", document)
    fronts = [each.front for each in system.gateways]
    await system.until(lambda: all(each.table and each.table.version == 4 for each in fronts))


@pytest.mark.parametrize("body", [b"", FORGED_EVENT])
def test_a_sample_with_an_unsigned_success_runs_at_another_engine(
    tmp_path: Path, body: bytes
) -> None:
    """Guards against listing an empty or forged text as succeeded."""

    async def test(system: System) -> None:
        await ready(system)
        system.llm[0].next_behaviours = [unsigned(body), unsigned(body)]
        assert await system.submit("s1") == 202
        results = await system.read_all("s1", 4)
        assert not system.llm[0].next_behaviours
        for each in results:
            assert each["text"] == "\n".join(f"{each['id']}/{number}" for number in (1, 2, 3))
            assert each["state"] == "succeeded"

    run_system(tmp_path, test)


@pytest.mark.parametrize("body", [b"", FORGED_EVENT])
@pytest.mark.parametrize("path", ["/chat/1", "/once/1"])
def test_an_unsigned_success_does_not_reach_the_caller_of_a_stream(
    tmp_path: Path, path: str, body: bytes
) -> None:
    """Guards against a success that no engine signed, on routes with and without resumption."""

    async def test(system: System) -> None:
        await ready(system)
        await add_stream_routes(system)
        for engine in system.llm:
            engine.next_behaviours = [unsigned(body)]
        answer = await ask(system, path, "q1")
        assert answer.status == 502
        tried = sum(not engine.next_behaviours for engine in system.llm)
        assert tried == (2 if path == "/chat/1" else 1)

    run_system(tmp_path, test)


def test_a_resumable_stream_with_an_unsigned_success_goes_to_another_engine(
    tmp_path: Path,
) -> None:
    """Guards against a failed stream where another engine may run it."""

    async def test(system: System) -> None:
        await ready(system)
        await add_stream_routes(system)
        system.llm[0].next_behaviours = [unsigned(b"")]
        # At the same time, so that both engines get some.
        async with curio.TaskGroup() as group:
            calls = [await group.spawn(ask, system, "/chat/1", f"q{n}") for n in range(8)]
        for number, call in enumerate(calls):
            events = (f"id: {n}\ndata: q{number}/{n}\n\n" for n in (1, 2, 3))
            assert (call.result.status, call.result.body) == (200, "".join(events).encode())
        assert not system.llm[0].next_behaviours

    run_system(tmp_path, test)


async def not_utf8(exchange: Exchange) -> None:
    """Stream a signed event that can't be a part of a text."""
    named = (names.REQUEST_ID, exchange.request.headers[names.REQUEST_ID])
    headers = (named, (names.SIGNATURE, "s"), (names.VERSIONS, "1"))
    await exchange.start_response(200, headers)
    await exchange.send_piece(b"id: 1\ndata: \xff\n\n")
    await exchange.end_stream()


def test_a_sample_with_an_event_that_is_not_utf8_runs_at_another_engine(tmp_path: Path) -> None:
    """Guards against a byte that ends the leader's decisions whenever its sample is listed."""

    async def test(system: System) -> None:
        await ready(system)
        term = system.gateways[0].duties.term
        for engine in system.llm:
            engine.next_behaviours = [not_utf8]
        assert await system.submit("s1") == 202
        results = await system.read_all("s1", 4)
        assert not any(engine.next_behaviours for engine in system.llm)
        for each in results:
            assert each["text"] == "\n".join(f"{each['id']}/{number}" for number in (1, 2, 3))
        # A fault of the leader's decisions begins another term.
        assert system.gateways[0].duties.term is term

    run_system(tmp_path, test)


def test_an_unsigned_success_does_not_clear_a_content_that_crashes_engines() -> None:
    """Guards against an end of the quarantine, and a fast answer, that no engine vouches for."""
    engine = FakeEngine(0.0, signature="")
    gateway = Gateway(engine)
    forwarder = gateway.forwarder
    usual_before = forwarder.usual_seconds("app")

    async def play() -> None:
        request = ForwardedRequest("q", "GET", "/", (), b"", clock.monotonic() + 1.0, content="c")
        await forwarder.suspects.note_crash("c", "an-engine")
        await forwarder.whole(request, ROUTE)

    curio.run(play)
    assert engine.seen
    assert forwarder.suspects.is_suspect("c")
    assert forwarder.usual_seconds("app") == usual_before
    assert gateway.engines.engines["e0"].answer_seconds == 0.0


async def ask(system: System, path: str, request: str) -> HttpResponse:
    """Ask for a stream."""
    return await system.call(
        "POST", path, b"", request_id=request, model="m", request_deadline="2500"
    )
