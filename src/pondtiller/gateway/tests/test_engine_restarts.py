"""Engines that restart under their names, and malformed entries, in a small system."""

import random
from pathlib import Path
from typing import Any

import curio
import pytest

from pondtiller.gateway.tests.ending_engines import replace_engines
from pondtiller.gateway.tests.system import System, run_system
from pondtiller.httpio.messages import HttpResponse
from pondtiller.routes.engines import EngineState
from pondtiller.standins.ending_engine import EndingEngine
from pondtiller.standins.engine import StandInEngine

STEPS = 3
SAMPLES = 6


async def until_ready(system: System) -> None:
    await system.until_led()
    await system.until(lambda: all(each.is_ready() for each in system.gateways))


async def crash_now_and_then(engines: list[EndingEngine], seed: int) -> None:
    source = random.Random(seed)
    while True:
        await curio.sleep(source.uniform(0.15, 0.4))
        engine = source.choice(engines)
        engine.down_seconds = source.choice((0.0, 0.05, 0.3))
        await engine.end()


@pytest.mark.parametrize("seed", [1, 2])
def test_steps_complete_while_engines_restart_under_their_names(tmp_path: Path, seed: int) -> None:
    async def test(system: System) -> None:
        await until_ready(system)
        engines = await replace_engines(system, "llm", 3, keeps_name=True)
        for engine in engines:
            engine.events, engine.event_seconds = 6, 0.02
        ending = await system.group.spawn(crash_now_and_then, engines, seed)
        for step in range(STEPS):
            name = f"s{step}"
            assert await system.submit(name, samples=SAMPLES, gateway=step % 2) == 202
            listed = await system.read_all(name, SAMPLES, step % 2)
            for each in listed:
                # Complete and in order, whichever incarnations of engines made it.
                lines = [f"{each['id']}/{number}" for number in range(1, 7)]
                assert each["text"] == "\n".join(lines)
        await ending.cancel()
        assert sum(each.engines.restarts for each in system.gateways) > 0

    run_system(tmp_path, test, gateways=2)


def test_a_load_ordered_from_an_earlier_incarnation_is_ordered_again_from_the_later(
    tmp_path: Path,
) -> None:
    async def test(system: System) -> None:
        await until_ready(system)
        engines = await replace_engines(system, "llm", 2, keeps_name=True)
        system.store.put("versions", "m", {"model": "m", "version": 2})
        await system.until(lambda: any(engine.orders for engine in engines))
        for engine in engines:
            engine.version = 1
            await engine.end()
        # A restarted engine reports its version and counts its orders from 0.
        await system.until(lambda: all(engine.version == 2 for engine in engines))
        assert all(engine.orders[0]["if_rev"] == 0 for engine in engines if engine.orders)

    run_system(tmp_path, test)


BAD: list[Any] = [
    None,
    7,
    "bytes \ufffd",
    [],
    {},
    {"service": "app"},
    {"service": "app", "address": "127.0.0.1:1", "zone": "z", "state": "ready"},
]


def usable(system: System, service: str) -> set[str]:
    return {
        each.entry.engine
        for each in system.gateways[0].engines.engines.values()
        if each.entry.service == service
        and each.entry.state is EngineState.READY
        and each.gone_at is None
    }


def test_bad_entries_in_the_middle_of_a_list_take_none_of_the_others_with_them(
    tmp_path: Path,
) -> None:
    async def test(system: System) -> None:
        for number, spec in enumerate(BAD):
            system.store.put("servers", f"a0{number}", spec)
        await until_ready(system)
        assert usable(system, "app") == {"a0", "a1"}
        answer = await system.call("POST", "/quote/7", b"x", request_id="q")
        assert answer.status == 200
        # Each is logged once, and nothing is listed again because of it.
        calls = system.gateways[0].store.calls["list"]
        await curio.sleep(1.0)
        assert system.gateways[0].store.calls["list"] == calls
        assert system.gateways[0].watches.entries_unread == len(BAD)

    run_system(tmp_path, test)


def test_an_object_without_a_name_or_revision_takes_none_of_the_others_with_it(
    tmp_path: Path,
) -> None:
    async def test(system: System) -> None:
        # A page continues after the last name in it, so it must contain one.
        system.store.page = 500
        servers = system.store.kinds["servers"]
        servers["a00"] = {"metadata": {"name": "a00", "revision": "x"}, "spec": {}}
        servers["a01"] = {"metadata": 5, "spec": {}}
        servers["a02"] = {}
        await until_ready(system)
        assert usable(system, "app") == {"a0", "a1"}
        assert system.gateways[0].store.unread >= 2

    run_system(tmp_path, test)


def test_a_malformed_entry_stops_new_work_and_a_corrected_one_resumes_it(
    tmp_path: Path,
) -> None:
    async def test(system: System) -> None:
        await until_ready(system)
        began = curio.Event()

        async def slow(exchange: Any) -> None:
            await began.set()
            await curio.sleep(1.0)
            await engine.whole(exchange)

        engine, other = system.app
        engine.next_behaviours.append(slow)
        other.next_behaviours.append(slow)
        call = await curio.spawn(lambda: system.call("POST", "/list/7", b"x", request_id="l"))
        await began.wait()
        for each in system.app:
            system.store.put("servers", each.identifier, {**each.entry(), "slots": "four"})
        await system.until(lambda: not usable(system, "app"))
        refused = await system.call("POST", "/list/7", b"y", request_id="q")
        assert refused.status == 503
        # Requests in progress there continue.
        answer = await call.join()
        assert answer.status == 200
        for each in system.app:
            system.store.put("servers", each.identifier, each.entry())
        await system.until(lambda: usable(system, "app") == {"a0", "a1"})
        answer = await system.call("POST", "/quote/7", b"z", request_id="r")
        assert answer.status == 200

    run_system(tmp_path, test)


def test_an_entry_of_a_service_that_is_not_named_gets_neither_orders_nor_questions(
    tmp_path: Path,
) -> None:
    async def test(system: System) -> None:
        stranger = StandInEngine("zz", "nobody's")
        stranger.models = ["m"]
        asked: list[str] = []

        async def noted(exchange: Any) -> None:
            asked.append(exchange.request.path)
            await exchange.respond(HttpResponse(404))

        stranger._handle = noted  # type: ignore[method-assign]
        await system.group.spawn(stranger.serve)
        system.store.put("servers", "zz", stranger.entry())
        await until_ready(system)
        system.store.put("versions", "m", {"model": "m", "version": 2})
        await system.until(lambda: all(engine.version == 2 for engine in system.llm))
        await curio.sleep(1.0)
        assert asked == []

    run_system(tmp_path, test)
