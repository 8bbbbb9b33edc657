"""The whole path over real sockets, and the effects of misbehaving parts."""

from pathlib import Path

import curio
import pytest

from pondtiller.gateway.tests.system import System, run_system
from pondtiller.httpio.messages import HttpResponse
from pondtiller.httpio.server import ConnectionLostError, Exchange
from pondtiller.process import clock
from pondtiller.routes.answer_times import INITIAL_USUAL_SECONDS
from pondtiller.standins.documents import configuration
from pondtiller.steplog.instructions import StepDownReason


async def ready(system: System) -> None:
    gateway = await system.until_led()
    await system.until(lambda: all(each.is_ready() for each in system.gateways))
    assert gateway.duties.term is not None


def test_a_request_goes_to_an_engine_and_its_answer_back_unchanged(tmp_path: Path) -> None:
    async def test(system: System) -> None:
        await ready(system)
        answer = await system.call("POST", "/quote/7?x=%20y", b"body", request_id="q1")
        assert (answer.status, answer.body) == (200, b"answer body")
        assert ("response-signature", "sig-q1") in answer.headers
        (seen,) = [each for engine in system.app for each in engine.seen]
        assert seen[1] == "/quote/7?x=%20y"
        assert int(seen[2]["request-deadline"]) <= 1500

    run_system(tmp_path, test)


def test_before_any_configuration_requests_are_refused_as_not_run(tmp_path: Path) -> None:
    async def test(system: System) -> None:
        await curio.sleep(0.3)
        answer = await system.call("POST", "/quote/7", request_id="q1")
        assert answer.status == 503
        assert any(name == "retry-after" for name, _ in answer.headers)
        ready = await system.client.request(system.readiness(), "GET", "/pondtiller/readyz")
        assert ready.status == 503

    run_system(tmp_path, test, with_configuration=False)


def test_an_unknown_route_is_not_found(tmp_path: Path) -> None:
    async def test(system: System) -> None:
        await ready(system)
        assert (await system.call("POST", "/other/7", request_id="q1")).status == 404
        assert (await system.call("POST", "/quote/7", host="x", request_id="q1")).status == 404

    run_system(tmp_path, test)


async def refuse(exchange: Exchange) -> None:
    named = ("Request-Id", exchange.request.headers["request-id"])
    await exchange.respond(HttpResponse(503, b"", "", (named, ("Not-Executed", "1"))))


async def fail(exchange: Exchange) -> None:
    named = ("Request-Id", exchange.request.headers["request-id"])
    await exchange.respond(HttpResponse(500, b"own", "", (named, ("Response-Signature", "f"))))


async def cut(_exchange: Exchange) -> None:
    raise ConnectionLostError("cut")


async def unsigned(exchange: Exchange) -> None:
    named = ("Request-Id", exchange.request.headers["request-id"])
    await exchange.respond(HttpResponse(200, b"forged", "", (named,)))


async def of_another(exchange: Exchange) -> None:
    headers = (("Request-Id", "other"), ("Response-Signature", "other"))
    await exchange.respond(HttpResponse(200, b"not yours", "", headers))


@pytest.mark.parametrize("behaviour", [refuse, fail, cut, unsigned, of_another])
def test_a_repeatable_request_is_served_by_another_engine(tmp_path: Path, behaviour) -> None:
    async def test(system: System) -> None:
        await ready(system)
        for engine in system.app:
            engine.next_behaviours = [behaviour]
        system.app[1].next_behaviours = []
        for number in range(6):
            answer = await system.call("POST", "/quote/7", b"x", request_id=f"q{number}")
            assert (answer.status, answer.body) == (200, b"answer x")

    run_system(tmp_path, test)


@pytest.mark.parametrize(
    ("behaviour", "status"), [(refuse, 503), (fail, 500), (cut, 502), (unsigned, 502)]
)
def test_an_unrepeatable_request_runs_at_most_once(tmp_path: Path, behaviour, status: int) -> None:
    async def test(system: System) -> None:
        await ready(system)
        for engine in system.app:
            engine.next_behaviours = [behaviour, behaviour]
        answer = await system.call("POST", "/list/7", b"x", request_id="q1")
        assert answer.status == status
        runs = [each for engine in system.app for each in engine.seen]
        assert len(runs) == (2 if behaviour is refuse else 1)

    run_system(tmp_path, test)


def test_a_stray_answer_is_skipped_and_the_right_one_returned(tmp_path: Path) -> None:
    async def stray(exchange: Exchange) -> None:
        stray_head = b"HTTP/1.1 200 OK\r\nRequest-Id: old\r\nContent-Length: 3\r\n\r\nold"
        own_head = b"HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nResponse-Signature: s\r\n"
        data = stray_head + own_head + b"Content-Length: 2\r\n\r\nme"
        await exchange._connection._socket.sendall(data)
        raise ConnectionLostError("cut")

    async def test(system: System) -> None:
        await ready(system)
        for engine in system.app:
            engine.next_behaviours = [stray]
        answer = await system.call("POST", "/list/7", b"x", request_id="q1")
        assert (answer.status, answer.body) == (200, b"me")

    run_system(tmp_path, test)


def test_an_engine_that_leaves_gets_nothing_more(tmp_path: Path) -> None:
    async def test(system: System) -> None:
        await ready(system)
        system.store.put("servers", "a0", system.app[0].entry("draining"))
        directory = system.gateways[0].engines
        await system.until(lambda: directory.engines["a0"].entry.state.value == "leaving")
        for number in range(5):
            answer = await system.call("POST", "/quote/7", request_id=f"q{number}")
            assert answer.status == 200
        assert system.app[0].seen == []

    run_system(tmp_path, test)


def test_an_older_configuration_never_replaces_a_newer_one(tmp_path: Path) -> None:
    async def test(system: System) -> None:
        await ready(system)
        engines = (*system.app, *system.llm)
        system.store.put("config", "main", configuration(9, *engines))
        front = system.gateways[0].front
        await system.until(lambda: front.table is not None and front.table.version == 9)
        system.store.put("config", "main", configuration(5, *engines))
        system.store.forget_history()
        await curio.sleep(0.5)
        assert front.table is not None and front.table.version == 9

    run_system(tmp_path, test)


def test_a_table_in_another_object_keeps_no_configuration_out_of_force(tmp_path: Path) -> None:
    async def test(system: System) -> None:
        await ready(system)
        engines = (*system.app, *system.llm)
        system.store.put("config", "other", configuration(99, *engines))
        system.store.put("config", "main", configuration(10, *engines))
        front = system.gateways[0].front
        await system.until(lambda: front.table is not None and front.table.version != 3)
        assert front.table is not None and front.table.version == 10

    run_system(tmp_path, test)


def test_the_store_may_forget_its_history_and_be_down(tmp_path: Path) -> None:
    async def test(system: System) -> None:
        await ready(system)
        system.store.is_down = True
        await curio.sleep(0.6)
        assert (await system.call("POST", "/quote/7", request_id="q1")).status == 200
        assert await system.submit("s1") == 202
        system.store.forget_history()
        system.store.put("config", "main", configuration(11, *system.app, *system.llm))
        system.store.is_down = False
        front = system.gateways[0].front
        await system.until(lambda: front.table is not None and front.table.version == 11)

    run_system(tmp_path, test)


def test_a_step_is_run_scored_and_read_at_every_gateway(tmp_path: Path) -> None:
    async def test(system: System) -> None:
        await ready(system)
        assert await system.submit("s1", gateway=1) == 202
        assert await system.submit("s1", gateway=0) == 202
        results = await system.read_all("s1", 4)
        assert {each["id"] for each in results} == {f"s1-{n}" for n in range(4)}
        for each in results:
            text = "\n".join(f"{each['id']}/{number}" for number in (1, 2, 3))
            assert (each["state"], each["text"], each["versions"]) == ("succeeded", text, [1])
            assert each["score"] == f"sig-{each['id']}-score"
        assert await system.read_all("s1", 4, gateway=1) == results
        body = await system.call("GET", "/pondtiller/items/s1?id=s1-2", gateway=1)
        assert (body.status, body.body) == (200, b"prompt")
        ended = await system.call("DELETE", "/pondtiller/lots/s1", gateway=1)
        assert ended.status == 200

    run_system(tmp_path, test, gateways=2)


def test_an_unknown_step_is_not_found_and_a_bad_one_refused(tmp_path: Path) -> None:
    async def test(system: System) -> None:
        await ready(system)
        assert (await system.call("GET", "/pondtiller/lots/none")).status == 404
        assert (await system.call("DELETE", "/pondtiller/lots/none")).status == 404
        for body in (b"", b"[]", b'{"requests": 3}', b'{"requests": [{"id": 1}]}'):
            answer = await system.call(
                "POST", "/rollout/x", body, host="train.example", request_id="bad"
            )
            assert answer.status == 400

    run_system(tmp_path, test)


def test_steps_outlive_the_leader_and_all_replicas(tmp_path: Path) -> None:
    async def test(system: System) -> None:
        leader = await system.until_led()
        await ready(system)
        for engine in system.llm:
            engine.event_seconds = 0.15
        assert await system.submit("s1") == 202
        await leader.leadership.resign()
        other = next(each for each in system.gateways if each is not leader)
        await system.until(lambda: other.duties.term is not None)
        number = system.gateways.index(other)
        results = await system.read_all("s1", 4, gateway=number)
        assert len({each["id"] for each in results}) == 4

    run_system(tmp_path, test, gateways=2)


def test_engines_follow_a_named_version_and_samples_name_it(tmp_path: Path) -> None:
    async def test(system: System) -> None:
        await ready(system)
        system.store.put("versions", "m", {"model": "m", "version": 2})
        await system.until(lambda: all(engine.version == 2 for engine in system.llm))
        for engine in system.llm:
            system.store.put("servers", engine.identifier, engine.entry())
        assert await system.submit("s1", oldest=2) == 202
        results = await system.read_all("s1", 4)
        assert {tuple(each["versions"]) for each in results} == {(2,)}
        fences = {order["fencing_token"] for engine in system.llm for order in engine.orders}
        assert len(fences) == 1

    run_system(tmp_path, test)


def test_a_broken_sample_continues_after_its_last_event(tmp_path: Path) -> None:
    async def test(system: System) -> None:
        await ready(system)
        for engine in system.llm:
            engine.next_behaviours = [lambda exchange, of=engine: of.stream(exchange, stop_after=2)]
        assert await system.submit("s1", samples=2) == 202
        results = await system.read_all("s1", 2)
        for each in results:
            assert each["text"] == "\n".join(f"{each['id']}/{number}" for number in (1, 2, 3))
        continued = [
            headers["last-event-id"]
            for engine in system.llm
            for _, _, headers in engine.seen
            if "last-event-id" in headers
        ]
        assert set(continued) <= {"2"}

    run_system(tmp_path, test)


def test_a_planned_stop_answers_open_requests_and_rejects_new_ones(tmp_path: Path) -> None:
    async def slow(exchange: Exchange) -> None:
        await curio.sleep(1.0)
        identifier = exchange.request.headers["request-id"]
        headers = (("Request-Id", identifier), ("Response-Signature", "s"))
        await exchange.respond(HttpResponse(200, b"slow", "", headers))

    async def test(system: System) -> None:
        await ready(system)
        for engine in system.app:
            engine.next_behaviours = [slow]
        request = await curio.spawn(system.call, "POST", "/list/1", b"", 0, "app.example")
        await curio.sleep(0.05)
        await request.cancel()
        waiting = await curio.spawn(_call_listing, system)
        await curio.sleep(0.2)
        stopping = await curio.spawn(system.gateways[0].stop)
        await curio.sleep(0.1)
        ready_now = await system.client.request(system.readiness(), "GET", "/pondtiller/readyz")
        assert ready_now.status == 503
        answer = await waiting.join()
        assert (answer.status, answer.body) == (200, b"slow")
        assert ("connection", "close") in answer.headers
        began = clock.monotonic()
        await stopping.join()
        assert clock.monotonic() - began < 8.0

    run_system(tmp_path, test)


async def _call_listing(system: System) -> HttpResponse:
    return await system.call("POST", "/list/2", b"", request_id="q2")


def test_a_caller_that_leaves_ends_the_engines_work(tmp_path: Path) -> None:
    left = curio.Event()

    async def watched(exchange: Exchange) -> None:
        await exchange.wait_closed()
        await left.set()

    async def test(system: System) -> None:
        await ready(system)
        for engine in system.app:
            engine.next_behaviours = [watched]
        request = await curio.spawn(_call_listing, system)
        await system.until(lambda: any(engine.seen for engine in system.app))
        await request.cancel()
        await curio.timeout_after(1.0, left.wait)

    run_system(tmp_path, test)


def test_metrics_are_served_on_the_readiness_address(tmp_path: Path) -> None:
    async def test(system: System) -> None:
        await ready(system)
        await system.call("POST", "/quote/7", request_id="q1")
        answer = await system.client.request(system.readiness(), "GET", "/metrics")
        text = answer.body.decode()
        assert 'pondtiller_requests_total{outcome="200",route="quotes"} 1.0' in text
        assert "pondtiller_request_seconds_bucket" in text
        assert "pondtiller_leads 1.0" in text

    run_system(tmp_path, test)


def test_replicas_that_register_late_still_form_the_first_group(tmp_path: Path) -> None:
    """Guards against a gateway that listed only the first of them and waited forever."""

    async def test(system: System) -> None:
        await system.until(lambda: len(system.gateways[0].leadership.replicas.views()) == 1)
        for number in (1, 2):
            late = system.make_replica(number)
            await system.group.spawn(late.run)
        await system.until_led()

    run_system(tmp_path, test, replicas=1)


async def mute(_exchange: Exchange) -> None:
    """Answer nothing for longer than any test waits."""
    await curio.sleep(20.0)


async def answered_within(system: System, seconds: float, times: int) -> None:
    """Send some requests, and check that each is answered in time."""
    for number in range(times):
        began = clock.monotonic()
        answer = await system.call("POST", "/quote/7", b"x", request_id=f"q{number}")
        assert answer.status == 200
        assert clock.monotonic() - began < seconds


def test_a_silent_engine_is_hedged_within_the_objective(tmp_path: Path) -> None:
    async def test(system: System) -> None:
        await ready(system)
        await system.call("POST", "/quote/1", request_id="warm")
        system.app[0].next_behaviours = [mute] * 4
        await answered_within(system, 0.4, times=8)

    run_system(tmp_path, test)


def test_an_unrepeatable_request_is_not_hedged(tmp_path: Path) -> None:
    async def slow(exchange: Exchange) -> None:
        await curio.sleep(0.5)
        headers = (("Request-Id", "q1"), ("Response-Signature", "s"))
        await exchange.respond(HttpResponse(200, b"late", "", headers))

    async def test(system: System) -> None:
        await ready(system)
        for engine in system.app:
            engine.next_behaviours = [slow]
        answer = await system.call("POST", "/list/7", b"x", request_id="q1")
        assert (answer.status, answer.body) == (200, b"late")
        assert sum(len(engine.seen) for engine in system.app) == 1

    run_system(tmp_path, test)


def test_full_engines_get_no_second_tries_and_no_more_scorers(tmp_path: Path) -> None:
    """An early hedge would come after the usual time, an overdue one after twice that."""

    async def slow(exchange: Exchange) -> None:
        await curio.sleep(1.6 * INITIAL_USUAL_SECONDS)
        identifier = exchange.request.headers["request-id"]
        headers = (("Request-Id", identifier), ("Response-Signature", "s"))
        await exchange.respond(HttpResponse(200, b"late", "", headers))

    async def test(system: System) -> None:
        await ready(system)
        gateway = system.gateways[0]
        busy = [each for each in gateway.engines.engines.values() if not each.entry.models]
        service = busy[0].entry.service
        for engine in busy:
            engine.running = engine.entry.slots
        assert gateway.forwarder.has_room(service, frozenset())
        for stand_in in system.app:
            stand_in.next_behaviours = [slow]
        answer = await system.call("POST", "/quote/7", b"x", request_id="q1")
        assert answer.status == 200
        assert sum(len(stand_in.seen) for stand_in in system.app) == 1
        for engine in busy:
            engine.running = 2 * engine.entry.slots
        assert not gateway.forwarder.has_room(service, frozenset())

    run_system(tmp_path, test)


def test_an_engine_that_is_gone_is_left_though_the_others_are_full(tmp_path: Path) -> None:
    async def test(system: System) -> None:
        await ready(system)
        gateway = system.gateways[0]
        for engine in gateway.engines.engines.values():
            engine.running = engine.entry.slots
        system.app[0].next_behaviours = [mute] * 8
        await answered_within(system, 1.0, times=4)

    run_system(tmp_path, test)


def test_the_end_of_a_term_releases_its_slots_at_engines(tmp_path: Path) -> None:
    """Guards against a former leader that counts its own earlier runs as the engines' work."""

    async def test(system: System) -> None:
        await ready(system)
        for engine in system.llm:
            engine.next_behaviours = [mute] * 8
        assert await system.submit("s1", samples=8) == 202
        gateway = await system.until_led()
        engines = gateway.engines.engines.values()
        await system.until(lambda: sum(each.running for each in engines) > 0)
        gateway.leadership.log._step_down(StepDownReason.LEASE_ENDED, gateway.leadership.log.epoch)
        await gateway.leadership.flush()
        assert sum(each.running for each in engines) == 0
        for engine in system.llm:
            engine.next_behaviours = []
        await system.until_led()
        assert len(await system.read_all("s1", 8)) == 8

    run_system(tmp_path, test)
