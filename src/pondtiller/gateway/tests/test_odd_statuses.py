"""Engines, and a store, whose answers are signed and whole, but have no status of an answer."""

import itertools
from collections import Counter
from pathlib import Path

import curio
import logbook
import pytest

from pondtiller.gateway.engines.orders import EngineOrders
from pondtiller.gateway.tests.system import System, run_system
from pondtiller.gateway.tests.test_endless_answers import (
    CALLS,
    ask_streams,
    call_all,
    stream_body,
)
from pondtiller.gateway.tests.test_system import ready
from pondtiller.gateway.tests.test_unsigned_answers import add_stream_routes, ask
from pondtiller.httpio.client import HttpClient
from pondtiller.httpio.messages import HttpResponse
from pondtiller.httpio.server import Exchange
from pondtiller.platform import names
from pondtiller.platform.engine_entries import engine_entry
from pondtiller.rollouts.versions import OrderVersion
from pondtiller.routes.engines import EngineDirectory
from pondtiller.standins.documents import configuration
from pondtiller.standins.engine import StandInEngine
from pondtiller.standins.statuses import ODD_STATUSES

KINDS = tuple(ODD_STATUSES)
SIGNATURE = "response-signature"


def spoil(engine: StandInEngine, kind: str) -> None:
    """Let an engine answer with odd statuses from now on."""
    engine.statuses = itertools.cycle(ODD_STATUSES[kind])


def check_alive(system: System) -> None:
    """Check that no process has ended."""
    assert not any(task.terminated for task in system.tasks.values())


def has_logged(log: logbook.TestHandler, event: str) -> bool:
    """Return whether a decision was logged."""
    return any(f"event={event}" in record.message for record in log.records)


@pytest.mark.parametrize("kind", KINDS)
def test_a_safe_request_with_an_odd_status_is_answered_by_another_engine(
    tmp_path: Path, kind: str
) -> None:
    """Guards against a caller that gets such a status as its answer."""

    async def test(system: System) -> None:
        await ready(system)
        spoil(system.app[0], kind)
        for number, answer in enumerate(await call_all(system, "/quote/7")):
            assert (answer.status, answer.body) == (200, b"answer %d" % number)
        assert system.app[0].seen
        check_alive(system)

    run_system(tmp_path, test)


@pytest.mark.parametrize("kind", KINDS)
def test_a_safe_request_fails_where_all_engines_answer_with_odd_statuses(
    tmp_path: Path, kind: str
) -> None:
    """Guards against the last such answer as the answer to the caller."""

    async def test(system: System) -> None:
        await ready(system)
        for engine in system.app:
            spoil(engine, kind)
        for answer in await call_all(system, "/quote/7"):
            assert answer.status in (502, 504)
            assert SIGNATURE not in dict(answer.headers)
        check_alive(system)

    run_system(tmp_path, test)


@pytest.mark.parametrize("kind", KINDS)
def test_an_unsafe_request_with_an_odd_status_fails_as_unknown(tmp_path: Path, kind: str) -> None:
    """Guards against such a status for the caller, a second run, or a promise of none."""

    async def test(system: System) -> None:
        await ready(system)
        spoil(system.app[0], kind)
        answers = await call_all(system, "/list/7")
        met = {each.identifier for each in system.app[0].seen}
        assert met
        for number, answer in enumerate(answers):
            # 504 where nothing follows an interim head.
            assert answer.status in ((502, 504) if f"q{number}" in met else (200,))
            assert (SIGNATURE in dict(answer.headers)) == (answer.status == 200)
        runs = Counter(each.identifier for engine in system.app for each in engine.seen)
        assert set(runs.values()) == {1}
        check_alive(system)

    run_system(tmp_path, test)


@pytest.mark.parametrize("path", ["/list/7", "/once/1"])
def test_an_engines_own_status_reaches_the_caller_unchanged(tmp_path: Path, path: str) -> None:
    """Guards against a valid status, defined or not, that counts as odd."""
    # Without 204 and 304, which have no body: the stand-in sends one.
    statuses = [200, 205, 299, 300, 399, 400, 404, 451, 499, 500, 502, 599]

    async def test(system: System) -> None:
        await ready(system)
        await add_stream_routes(system)
        for status in statuses:
            for engine in (*system.app, *system.llm):
                engine.statuses = itertools.repeat(b"%d" % status)
            answer = await ask(system, path, f"q{status}")
            assert answer.status == status
            assert dict(answer.headers)[SIGNATURE] == f"sig-q{status}"

    run_system(tmp_path, test)


async def not_run(exchange: Exchange) -> None:
    """Answer that the request did not run."""
    named = (names.REQUEST_ID, exchange.request.headers[names.REQUEST_ID])
    await exchange.respond(HttpResponse(503, b"", "", (named, (names.NOT_RUN, "1"))))


@pytest.mark.parametrize("kind", KINDS)
def test_an_odd_status_is_no_proof_that_a_request_did_not_run(tmp_path: Path, kind: str) -> None:
    """Guards against a second run after a refusal that is no answer."""

    async def test(system: System) -> None:
        await ready(system)
        for engine in system.app:
            engine.next_behaviours = [not_run] * CALLS
            spoil(engine, kind)
        for answer in await call_all(system, "/list/7"):
            assert answer.status in (502, 504)
        runs = Counter(each.identifier for engine in system.app for each in engine.seen)
        assert set(runs.values()) == {1}
        check_alive(system)

    run_system(tmp_path, test)


@pytest.mark.parametrize("kind", KINDS)
def test_a_resumable_stream_with_an_odd_status_goes_to_another_engine(
    tmp_path: Path, kind: str
) -> None:
    """Guards against a stream of such a status."""

    async def test(system: System) -> None:
        await ready(system)
        await add_stream_routes(system)
        spoil(system.llm[0], kind)
        for number, answer in enumerate(await ask_streams(system, "/chat/1")):
            assert answer is not None
            # A stream has one attempt at a time, and waits for what follows an interim head.
            if kind != "interim" or answer.status == 200:
                assert (answer.status, answer.body) == (200, stream_body(number))
            else:
                assert answer.status in (502, 504)
        assert system.llm[0].seen
        check_alive(system)

    run_system(tmp_path, test)


@pytest.mark.parametrize("kind", KINDS)
def test_a_stream_with_an_odd_status_that_may_not_resume_fails_as_unknown(
    tmp_path: Path, kind: str
) -> None:
    """Guards against such a status for the caller, or a second run."""

    async def test(system: System) -> None:
        await ready(system)
        await add_stream_routes(system)
        spoil(system.llm[0], kind)
        answers = await ask_streams(system, "/once/1")
        met = {each.identifier for each in system.llm[0].seen}
        assert met
        for number, answer in enumerate(answers):
            assert answer is not None
            assert answer.status in ((502, 504) if f"q{number}" in met else (200,))
            assert (SIGNATURE in dict(answer.headers)) == (answer.status == 200)
        runs = Counter(each.identifier for engine in system.llm for each in engine.seen)
        assert set(runs.values()) == {1}
        check_alive(system)

    run_system(tmp_path, test)


@pytest.mark.parametrize("kind", KINDS)
def test_a_sample_with_an_odd_status_is_made_by_another_engine(tmp_path: Path, kind: str) -> None:
    """Guards against a text taken from such an answer."""

    async def test(system: System) -> None:
        await ready(system)
        term = (await system.until_led()).duties.term
        spoil(system.llm[0], kind)
        assert await system.submit("s1", samples=8) == 202
        for each in await system.read_all("s1", 8):
            assert each["text"] == "\n".join(f"{each['id']}/{n}" for n in (1, 2, 3))
            assert each["state"] == "succeeded"
        assert system.llm[0].seen
        assert system.gateways[0].duties.term is term
        check_alive(system)

    run_system(tmp_path, test)


@pytest.mark.parametrize("kind", KINDS)
def test_a_scorer_with_an_odd_status_does_not_end_its_sample(tmp_path: Path, kind: str) -> None:
    """Guards against a score of such an answer, and a sample given up for it."""

    async def test(system: System) -> None:
        await ready(system)
        for engine in system.app:
            spoil(engine, kind)
        assert await system.submit("s1", samples=4) == 202
        await system.until(lambda: sum(len(engine.seen) for engine in system.app) >= 16)
        assert not (await system.read("s1"))["results"]
        for engine in system.app:
            engine.statuses = None
        for each in await system.read_all("s1", 4):
            assert each["state"] == "succeeded"
            assert each["score"].startswith("sig-")
        check_alive(system)

    run_system(tmp_path, test)


@pytest.mark.parametrize("status", [b"302", b"404", b"422", b"503", b"504", b"599"])
def test_only_an_answer_of_500_counts_as_a_failure_of_a_scorer(
    tmp_path: Path, status: bytes
) -> None:
    """Guards against a sample that is given up for another failure, such as a passed deadline."""
    log = logbook.TestHandler(bubble=True)

    async def test(system: System) -> None:
        await ready(system)
        for engine in system.app:
            engine.statuses = itertools.repeat(status)
        assert await system.submit("s1", samples=4) == 202
        # More calls than the row allows failures of all samples together.
        await system.until(
            lambda: (
                sum(len(engine.seen) for engine in system.app) >= 32
                or has_logged(log, "sample_listed")
            )
        )
        assert not has_logged(log, "sample_listed")
        for engine in system.app:
            engine.statuses = itertools.repeat(b"500")
        assert {each["state"] for each in await system.read_all("s1", 4)} == {"terminated"}

    with log.applicationbound():
        run_system(tmp_path, test)


@pytest.mark.parametrize("kind", KINDS)
def test_an_order_answered_with_an_odd_status_may_have_been_taken(kind: str) -> None:
    """Guards against an order that counts as refused and is given again."""
    engine = StandInEngine("m0", "llm")
    engine.models = ["m"]
    engines = EngineDirectory()

    async def main() -> None:
        entry = engine_entry("m0", engine.entry())
        assert entry is not None
        engines.update_entry(entry)
        orders = EngineOrders("g0", engines, HttpClient())
        serving = await curio.spawn(engine.serve)
        for status in ODD_STATUSES[kind]:
            engine.statuses = itertools.repeat(status)
            assert await orders.ask("m0") is None
            order = OrderVersion("m0", "m", 2, len(engine.orders), must_wait=True)
            assert await orders.order(order, 1, lambda: True) is None
        assert len(engine.orders) == len(ODD_STATUSES[kind])
        engine.statuses = None
        assert await orders.ask("m0") is not None
        await serving.cancel()

    curio.run(main)


@pytest.mark.parametrize("kind", KINDS)
def test_a_store_with_odd_statuses_leaves_the_state_in_force(tmp_path: Path, kind: str) -> None:
    """Guards against a state read from such answers, and a process that ends at one."""
    log = logbook.TestHandler(bubble=True)

    async def test(system: System) -> None:
        await ready(system)
        system.store.statuses = itertools.cycle(ODD_STATUSES[kind])
        calls = system.store.calls
        for engine in (*system.app, *system.llm):
            system.store.remove("servers", engine.identifier)
        system.store.put("config", "main", configuration(4, *system.app, *system.llm))
        # Nothing follows an interim head, so a watch notices it at the end of its time only.
        await system.until(lambda: has_logged(log, "store_lost"), seconds=15.0)
        await system.until(lambda: system.store.calls >= calls + 16, seconds=15.0)
        assert [each.front.table.version for each in system.gateways] == [3, 3]
        for path in ("/quote/7", "/list/7"):
            assert {each.status for each in await call_all(system, path)} == {200}
        system.store.statuses = None
        fronts = [each.front for each in system.gateways]
        await system.until(lambda: all(each.table.version == 4 for each in fronts))
        check_alive(system)

    with log.applicationbound():
        run_system(tmp_path, test, gateways=2)
