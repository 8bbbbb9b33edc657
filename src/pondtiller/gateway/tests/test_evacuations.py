"""Evacuated zones: nothing new reaches an engine there, on any path, whatever fails."""

from collections.abc import Callable
from pathlib import Path
from typing import Any

import curio
import pytest

from pondtiller.address import Address
from pondtiller.gateway.pages.table_view import render
from pondtiller.gateway.process import GatewayProcess
from pondtiller.gateway.runs.sample_runner import RunOrder
from pondtiller.gateway.tests.system import System, run_system
from pondtiller.httpio.client_errors import BrokenError
from pondtiller.httpio.messages import HttpResponse
from pondtiller.httpio.server import Exchange
from pondtiller.platform.object_client import StoreCallError
from pondtiller.process import clock, logs
from pondtiller.rollouts.sample_work import RunEnd
from pondtiller.standins.documents import configuration
from pondtiller.standins.engine import StandInEngine
from pondtiller.store import evacuation_bounds as bounds
from pondtiller.store import mirror as mirrors
from pondtiller.store.evacuation_watch import EvacuationWatch
from pondtiller.wire.steplog import Sample

WITHIN = 5.0


def run(folder: Path, test: Callable[[System], Any], within: float = WITHIN, **given: int) -> None:
    """Run a test in which the second engine of each service is in zone `y`."""

    async def in_zones(system: System) -> None:
        for engine in (system.app[1], system.llm[1]):
            engine.zone = "y"
            system.store.put("servers", engine.identifier, engine.entry())
        spec = configuration(4, *system.app, *system.llm)
        stream = dict(spec["routes"][0], name="s", path_prefix="/s/", kind="stream", resumable=True)
        stream["service"] = "llm"
        system.store.put("config", "main", {**spec, "routes": [*spec["routes"], stream]})
        await system.until_led()
        await system.until(lambda: all(each.is_ready() for each in system.gateways))

        def is_known(gateway: GatewayProcess) -> bool:
            zones = {each.entry.zone for each in gateway.engines.engines.values()}
            table = gateway.front.table
            return zones == {"z", "y"} and table is not None and table.version == 4

        await system.until(lambda: all(map(is_known, system.gateways)))
        await test(system)

    run_system(folder, in_zones, evacuate_within=within, **given)


async def evacuated(system: System, *zones: str) -> None:
    """Evacuate zones and wait until all gateways know."""
    for zone in zones:
        system.store.put("evacuations", zone, {})
    await known(system, *zones)


async def known(system: System, *zones: str) -> None:
    def is_known(gateway: GatewayProcess) -> bool:
        return gateway.engines.evacuated == set(zones)

    await system.until(lambda: all(map(is_known, system.gateways)), WITHIN)


def seen(*engines: StandInEngine) -> int:
    return sum(len(each.seen) for each in engines)


async def ask(system: System, count: int = 6, path: str = "/quote/7") -> list[int]:
    answers = [
        await system.call("POST", path, b"x", request_id=f"q{number}") for number in range(count)
    ]
    return [each.status for each in answers]


def test_an_evacuated_zone_gets_no_requests_until_it_is_taken_back(tmp_path: Path) -> None:
    async def test(system: System) -> None:
        await evacuated(system, "y")
        assert await ask(system, 10) == [200] * 10
        assert seen(system.app[1]) == 0
        figures = system.gateways[0].sources.figures(clock.monotonic())
        assert figures.gauges["evacuated_zones"] == 1.0
        assert b"evacuated y (0 still running)" in render(figures)
        system.store.remove("evacuations", "y")
        await evacuated(system, "z")
        before = seen(system.app[0])
        assert await ask(system, 10) == [200] * 10
        assert seen(system.app[0]) == before
        assert seen(system.app[1]) == 10

    run(tmp_path, test)


def test_a_zone_that_is_evacuated_while_a_connection_opens_gets_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    lines: list[dict[str, Any]] = []
    decision = logs.decision

    def noted(event: str, **given: Any) -> None:
        if event == "request_answered":
            lines.append(given)
        decision(event, **given)

    monkeypatch.setattr(logs, "decision", noted)

    async def test(system: System) -> None:
        gateway = system.gateways[0]
        take = gateway.pool.take

        async def slowly(engine: str, address: Address) -> Any:
            connection = await take(engine, address)
            gateway.engines.evacuated = frozenset({gateway.engines.engines[engine].entry.zone})
            gateway.pool.take = take  # type: ignore[method-assign]
            return connection

        gateway.pool.take = slowly  # type: ignore[method-assign]
        assert await ask(system, 1) == [200]
        assert seen(*system.app) == 1
        (line,) = lines
        assert "held(evacuated)" in line["tried"]

    run(tmp_path, test, within=0.0)


@pytest.mark.parametrize("path", ["/quote/7", "/list/7"])
def test_a_second_try_does_not_go_to_a_zone_that_was_evacuated_meanwhile(
    tmp_path: Path, path: str
) -> None:
    async def test(system: System) -> None:
        engines = system.gateways[0].engines

        async def refuse(exchange: Exchange) -> None:
            engines.evacuated = frozenset({"z", "y"})
            named = ("Request-Id", exchange.request.headers["request-id"])
            await exchange.respond(HttpResponse(503, b"", "", (named, ("Not-Executed", "1"))))

        for engine in system.app:
            engine.next_behaviours = [refuse]
        assert await ask(system, 1, path) == [503]
        assert seen(*system.app) == 1

    run(tmp_path, test, within=0.0)


def test_a_hedge_does_not_go_to_a_zone_that_was_evacuated_meanwhile(tmp_path: Path) -> None:
    async def test(system: System) -> None:
        engines = system.gateways[0].engines

        async def hang(_exchange: Exchange) -> None:
            engines.evacuated = frozenset({"z", "y"})
            await curio.sleep(100.0)

        for engine in system.app:
            engine.next_behaviours = [hang]
        assert await ask(system, 1) == [504]
        assert seen(*system.app) == 1

    run(tmp_path, test, within=0.0)


def test_a_stream_is_not_resumed_in_a_zone_that_was_evacuated_meanwhile(tmp_path: Path) -> None:
    async def test(system: System) -> None:
        engines = system.gateways[0].engines

        def cut(engine: StandInEngine) -> Any:
            async def behaviour(exchange: Exchange) -> None:
                engines.evacuated = frozenset({"z", "y"})
                await engine.stream(exchange, stop_after=1)

            return behaviour

        for engine in system.llm:
            engine.next_behaviours = [cut(engine)]
        with pytest.raises(BrokenError):
            await system.call("POST", "/s/7", b"x", request_id="q1", model="m")
        assert seen(*system.llm) == 1

    run(tmp_path, test, within=0.0)


def test_a_running_stream_of_an_evacuated_zone_continues(tmp_path: Path) -> None:
    async def test(system: System) -> None:
        for engine in system.llm:
            engine.events, engine.event_seconds = 10, 0.05
        asking = await curio.spawn(
            lambda: system.call("POST", "/s/7", b"x", request_id="q1", model="m")
        )
        await system.until(lambda: seen(*system.llm) == 1)
        await evacuated(system, "z", "y")
        answer = await asking.join()
        assert answer.body.count(b"data:") == 10
        assert seen(*system.llm) == 1

    run(tmp_path, test)


def test_samples_and_their_scorers_go_to_the_other_zones_only(tmp_path: Path) -> None:
    async def test(system: System) -> None:
        await evacuated(system, "y")
        assert await system.submit("s1", samples=8) == 202
        results = await system.read_all("s1", 8)
        assert all(each["state"] == "succeeded" for each in results)
        assert seen(system.llm[1], system.app[1]) == 0
        assert seen(system.app[0]) == 8

    run(tmp_path, test, gateways=2)


def test_an_order_that_reaches_a_runner_late_is_refused_there_and_goes_elsewhere(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    refused: list[str] = []
    decision = logs.decision

    def noted(event: str, **given: Any) -> None:
        if event == "sample_run_ended" and given["detail"] == "evacuated":
            refused.append(given["outcome"])
        decision(event, **given)

    monkeypatch.setattr(logs, "decision", noted)

    async def test(system: System) -> None:
        leader = await system.until_led()
        term = leader.duties.term
        assert term is not None
        await system.until(lambda: len(term.runners.links) >= 1)
        for each in system.gateways:
            if each is not leader:
                each.engines.evacuated = frozenset({"z", "y"})
        assert await system.submit("s1", samples=12) == 202
        await curio.sleep(1.2)
        # Four slots at each of two engines, requested at once and then twice a second.
        assert 0 < len(refused) <= 24
        assert set(refused) == {"refused"}
        for each in system.gateways:
            each.engines.evacuated = frozenset({"y"})
        results = await system.read_all("s1", 12)
        assert all(each["state"] == "succeeded" for each in results)
        assert seen(system.llm[1]) == 0
        assert leader.engines.engines["m1"].failures == 0

    run(tmp_path, test, within=0.0, gateways=3)


def test_a_runner_refuses_an_order_for_an_engine_that_may_be_in_an_evacuated_zone(
    tmp_path: Path,
) -> None:
    async def test(system: System) -> None:
        gateway = system.gateways[0]
        host, port = system.llm[1].listener.getsockname()
        order = RunOrder(
            1, "new", Address(host, port), "h", 0, 0, None, bytes(Sample(id="x", path="/"))
        )
        gateway.engines.evacuated = frozenset({"y"})
        outcome = await gateway.run_host.runner.run(order, lambda *_: True)
        assert (outcome.end, outcome.detail) == (RunEnd.REFUSED, "evacuated")
        assert seen(system.llm[1]) == 0

    run(tmp_path, test, within=0.0)


def test_where_all_zones_are_evacuated_requests_are_refused_at_once_as_not_run(
    tmp_path: Path,
) -> None:
    async def test(system: System) -> None:
        await evacuated(system, "z", "y")
        began = clock.monotonic()
        for path in ("/quote/7", "/list/7", "/s/7"):
            answer = await system.call("POST", path, b"x", request_id="q1", model="m")
            assert answer.status == 503
            assert any(name.lower() == "retry-after" for name, _ in answer.headers)
        assert clock.monotonic() - began < 0.5
        assert await system.submit("s1", samples=2) == 202
        await curio.sleep(0.5)
        assert seen(*system.app, *system.llm) == 0
        system.store.remove("evacuations", "z")
        await known(system, "y")
        assert len(await system.read_all("s1", 2)) == 2
        assert seen(system.app[1], system.llm[1]) == 0

    run(tmp_path, test)


def test_a_zone_that_is_taken_back_while_the_store_is_down_stays_evacuated_until_then(
    tmp_path: Path,
) -> None:
    async def test(system: System) -> None:
        await evacuated(system, "z")
        system.store.is_down = True
        await curio.sleep(0.3)
        system.store.remove("evacuations", "z")
        await curio.sleep(0.3)
        assert await ask(system) == [200] * 6
        assert seen(system.app[0]) == 0
        system.store.is_down = False
        await known(system)

    run(tmp_path, test)


def test_a_gateway_that_starts_meanwhile_is_not_ready_before_it_knows(tmp_path: Path) -> None:
    async def test(system: System) -> None:
        await evacuated(system, "y")
        later = system.make_gateway(7)
        listed = later.store.list_all
        may_list = curio.Event()

        async def late(kind: str) -> Any:
            if kind == "evacuations" and not may_list.is_set():
                raise StoreCallError("status 503")
            return await listed(kind)

        later.store.list_all = late  # type: ignore[method-assign]
        later.mirrored_store._not_before = float("inf")
        system.gateways.append(later)
        await system.group.spawn(later.run)
        await system.until(lambda: later.front.table is not None and later.engines.is_known)
        assert not later.is_ready()
        answer = await system.call("POST", "/quote/7", b"x", gateway=1, request_id="q1")
        assert answer.status == 503
        await may_list.set()
        await system.until(later.is_ready, WITHIN)
        assert later.engines.evacuated == {"y"}

    run(tmp_path, test)


# Evacuations read through mirrors


@pytest.fixture
def few_followers(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(mirrors, "MIN_FOLLOWERS", 0.5)
    monkeypatch.setattr(mirrors, "FRESH_SECONDS", 10.0)


async def mirrored(system: System) -> GatewayProcess:
    """Return a gateway that reads evacuations through a replica."""
    follower = next(each for each in system.gateways if not each.leadership.log.is_leading)

    def is_mirrored() -> bool:
        follower.mirrored_store._not_before = 0.0
        return follower.mirrored_store.reader.get("evacuations", "store") != "store"

    await system.until(is_mirrored, 15.0)
    return follower


def watch_of(gateway: GatewayProcess) -> EvacuationWatch:
    assert gateway.evacuations is not None
    return gateway.evacuations


@pytest.mark.usefixtures("few_followers")
def test_changes_arrive_through_mirrors_without_calls_of_the_gateways(tmp_path: Path) -> None:
    async def test(system: System) -> None:
        follower = await mirrored(system)
        await curio.sleep(0.5)
        readers = follower.mirrored_store.reader
        before = sum(follower.store.calls.values())
        system.store.put("evacuations", "y", {})
        await system.until(lambda: follower.engines.evacuated == {"y"}, 1.0)
        system.store.remove("evacuations", "y")
        await system.until(lambda: follower.engines.evacuated == set(), 1.0)
        if "store" not in readers.values():
            assert sum(follower.store.calls.values()) == before

    run(tmp_path, test, gateways=3)


@pytest.mark.usefixtures("few_followers")
@pytest.mark.parametrize("silent_mirrors", [1, 3])
def test_changes_arrive_in_time_if_mirrors_become_silent(
    tmp_path: Path, silent_mirrors: int
) -> None:
    async def test(system: System) -> None:
        follower = await mirrored(system)
        asked = curio.Event()

        async def silent(message: mirrors.ReadMirror) -> None:
            if message.kind == "evacuations":
                await asked.set()
            await curio.sleep(1000.0)

        name = follower.mirrored_store.reader["evacuations"]
        others = [each for each in system.replicas if each.settings.name != name]
        one = [each for each in system.replicas if each.settings.name == name]
        for replica in (one + others)[:silent_mirrors]:
            replica.server.mirror.answer = silent  # type: ignore[method-assign]
        await asked.wait()
        began = clock.monotonic()
        system.store.put("evacuations", "y", {})
        await system.until(lambda: follower.engines.evacuated == {"y"}, 6.0)
        assert clock.monotonic() - began < bounds.MIRRORED_CHANGE_SECONDS

    run(tmp_path, test, gateways=3)


@pytest.mark.usefixtures("few_followers")
def test_mirrors_that_the_store_rejects_are_abandoned_in_time(tmp_path: Path) -> None:
    async def hang(*_given: object) -> None:
        await curio.sleep(1000.0)

    async def test(system: System) -> None:
        follower = await mirrored(system)
        for replica in system.replicas:
            replica.store.watch = hang  # type: ignore[method-assign]
        # Calls in progress still return what changes before their wait is over.
        await curio.sleep(bounds.MIRROR_TIMES.wait_seconds + 0.1)
        began = clock.monotonic()
        system.store.put("evacuations", "y", {})
        await system.until(lambda: follower.engines.evacuated == {"y"}, 6.0)
        assert clock.monotonic() - began < bounds.MIRRORED_CHANGE_SECONDS

    run(tmp_path, test, gateways=3)
