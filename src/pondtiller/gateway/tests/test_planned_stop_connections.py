"""A planned stop: what was read is answered in full, or refused as not run, before the end."""

from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path
from typing import Any

import curio
import pytest

from pondtiller.gateway import process as processes
from pondtiller.gateway.process import GatewayProcess
from pondtiller.gateway.tests.system import System, run_system
from pondtiller.httpio.messages import HttpResponse
from pondtiller.httpio.server import Exchange
from pondtiller.platform import names
from pondtiller.process import clock
from pondtiller.settings import Durations
from pondtiller.standins.documents import configuration

GRACE_SECONDS = 2.0
ACCEPT_SECONDS = 0.5
LONG_MS = 10_000
LONG_WORK_SECONDS = 5.0
BUSY_SECONDS = 1.0


def long_configuration(system: System) -> dict[str, Any]:
    """Return a configuration whose requests may take longer than the grace."""
    given = configuration(4, *system.app, *system.llm)
    streams = {**given["routes"][1], "name": "streams", "path_prefix": "/stream/", "kind": "stream"}
    given["routes"] = [{**each, "timeout_ms": LONG_MS} for each in (*given["routes"], streams)]
    return given


def run_stop(
    folder: Path,
    monkeypatch: pytest.MonkeyPatch,
    test: Callable[[System, GatewayProcess], Awaitable[None]],
    replicas: int = 3,
) -> None:
    """Run a test with a gateway that has a short grace."""
    monkeypatch.setattr(processes, "NOT_READY_SECONDS", ACCEPT_SECONDS)

    async def play(system: System) -> None:
        gateway = system.gateways[0]
        changed = {"durations": Durations(stop=GRACE_SECONDS)}
        gateway.reload(gateway.settings.model_copy(update=changed))
        system.store.put("config", "main", long_configuration(system))
        if replicas:
            await system.until_led()
        await system.until(lambda: getattr(gateway.front.table, "version", 0) == 4)
        await test(system, gateway)

    run_system(folder, play, replicas=replicas)


async def stop_and_end(system: System, gateway: GatewayProcess) -> float:
    """Stop a gateway; return the seconds until it has ended."""
    began = clock.monotonic()
    await gateway.stop()
    await system.tasks[gateway].join()
    return clock.monotonic() - began


def seen_at(system: System) -> set[str]:
    return {seen.identifier for engine in system.app for seen in engine.seen}


def is_refused_as_not_run(answer: HttpResponse) -> bool:
    given = {name.lower(): value for name, value in answer.headers}
    is_announced = given.get("connection") == "close" and float(given.get("retry-after", 0)) > 0
    return answer.status == 503 and is_announced


@pytest.mark.parametrize("path", ["/list/7", "/stream/7"])
def test_a_request_that_may_outlast_the_grace_and_not_repeat_is_not_passed_on(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, path: str
) -> None:
    async def test(system: System, gateway: GatewayProcess) -> None:
        for engine in system.app:
            engine.work_seconds = LONG_WORK_SECONDS
        stop = await curio.spawn(stop_and_end, system, gateway)
        await system.until(lambda: gateway.is_stopping)
        answer = await system.call("POST", path, b"x", request_id="late")
        assert await stop.join() < GRACE_SECONDS
        assert is_refused_as_not_run(answer)
        assert not seen_at(system)

    run_stop(tmp_path, monkeypatch, test)


def test_a_request_that_usually_ends_in_time_is_served_while_a_stop_begins(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test(system: System, gateway: GatewayProcess) -> None:
        stop = await curio.spawn(stop_and_end, system, gateway)
        await system.until(lambda: gateway.is_stopping)
        safe = await system.call("POST", "/quote/7", b"x", request_id="safe")
        short = await system.call(
            "POST", "/list/7", b"x", request_id="short", request_deadline="500"
        )
        await stop.join()
        assert (safe.status, short.status) == (200, 200)

    run_stop(tmp_path, monkeypatch, test)


def test_a_request_that_waits_for_an_engine_as_the_stop_begins_is_refused_as_not_run(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test(system: System, gateway: GatewayProcess) -> None:
        for engine in system.app:
            engine.next_behaviours.append(refuse)
        call = await curio.spawn(partial(system.call, "POST", "/list/7", request_id="waits"))
        await system.until(lambda: not any(engine.next_behaviours for engine in system.app))
        await curio.sleep(0.1)
        assert gateway.front.open_exchanges == 1
        stop = await curio.spawn(stop_and_end, system, gateway)
        assert is_refused_as_not_run(await curio.timeout_after(ACCEPT_SECONDS / 2, call.join))
        await stop.join()

    run_stop(tmp_path, monkeypatch, test)


async def refuse(exchange: Exchange) -> None:
    """Answer like a full engine."""
    identifier = exchange.request.headers[names.REQUEST_ID]
    headers = ((names.REQUEST_ID, identifier), (names.NOT_RUN, "1"))
    await exchange.respond(HttpResponse(503, headers=headers))
