"""A request that crashes each engine which runs it.

Failure: a service of three engines was unavailable for seconds again and again; fourteen engines
crashed in 85 s. A caller's request crashed two engines within 0.07 s (its two attempts); the caller
got 502 and retried with the same content under a new identifier at another gateway, which crashed
the third engine; the engines restarted, and so on. Each request had its own attempts, and no
gateway knew what a content had done before.

The content is the cause: at each of the eight crashes in the logs a request of its row broke off
and the engine's port refused afterwards, while requests of the other row were answered at their
next attempt. Load was not the cause: two engines crashed at 8 requests a second, none at 163.
"""

import base64
from pathlib import Path

import curio
import pytest

from pondtiller.gateway.engines import suspect_sharing
from pondtiller.gateway.tests.ending_engines import replace_engines
from pondtiller.gateway.tests.system import System, run_system
from pondtiller.hashing import content_digest
from pondtiller.httpio.server import ConnectionLostError, Exchange
from pondtiller.platform import names
from pondtiller.process import clock
from pondtiller.routes import quarantine
from pondtiller.routes.quarantine import MAX_CRASHES, QUARANTINE_SECONDS
from pondtiller.standins.documents import configuration, step_body
from pondtiller.standins.ending_engine import DOWN_SECONDS, ENDING, EndingEngine, EndingRun

ENDS = 2
"""Crashes under a content after which it is sent to no engine."""
MIRRORS_ONLY_SECONDS = 1.0
"""Time from the last of these crashes until every gateway knows of them."""
STEP_SECONDS = 7.5
"""`run_deadline_ms` of the steps' row."""
CALLS = 60
PAUSE_SECONDS = 0.05


def runs_after_the_last_crash(runs: list[EndingRun], ends: int = ENDS) -> list[EndingRun]:
    runs = sorted(runs, key=lambda run: run.at)
    return [run for run in runs[ends:] if run.at > runs[ends - 1].at + MIRRORS_ONLY_SECONDS]


async def call_repeatedly(system: System, path: str) -> list[int]:
    """Send the content to one gateway after the other, each time under a new identifier."""
    statuses = []
    for number in range(CALLS):
        answer = await system.call(
            "POST", path, ENDING, number % len(system.gateways), request_id=f"e{number}"
        )
        statuses.append(answer.status)
        await curio.sleep(PAUSE_SECONDS)
    return statuses


@pytest.mark.parametrize("path", ["/quote/7", "/list/7"])
def test_a_content_that_crashes_engines_is_soon_sent_to_none_by_any_gateway(
    tmp_path: Path, path: str
) -> None:
    async def test(system: System) -> None:
        await system.until_led()
        await system.until(lambda: all(each.is_ready() for each in system.gateways))
        engines = await replace_engines(system, "app", 3)
        statuses = await call_repeatedly(system, path)
        runs = [run for engine in engines for run in engine.runs]
        assert len(runs) >= ENDS
        assert runs_after_the_last_crash(runs) == []
        assert 200 not in statuses
        # The caller is told at once that it did not run, and when to retry.
        refused = await system.call("POST", path, ENDING, request_id="last")
        assert refused.status == statuses[-1] == 503
        assert 3000 < int(dict(refused.headers)["retry-after"]) <= 3600
        began = clock.monotonic()
        answer = await system.call("POST", path, b"another", request_id="other")
        assert answer.status == 200
        assert clock.monotonic() < began + 1.0

    run_system(tmp_path, test, gateways=3)


async def until_ready(system: System) -> None:
    await system.until_led()
    await system.until(lambda: all(each.is_ready() for each in system.gateways))


async def until_quarantined(
    system: System, engines: list[EndingEngine], path: str = "/quote/7"
) -> int:
    """Send the content until it is rejected as not run; return the runs."""
    for number in range(CALLS):
        answer = await system.call("POST", path, ENDING, request_id=f"h{number}")
        if answer.status == 503 and b"Engines ended" in answer.body:
            return sum(len(engine.runs) for engine in engines)
        await curio.sleep(PAUSE_SECONDS)
    raise AssertionError("it was never held back")


def is_quarantined_at(system: System, gateway: int) -> bool:
    suspects = system.gateways[gateway].suspects
    return any(suspects.is_quarantined(each) for each in suspects.quarantine.suspects)


def test_a_gateway_that_starts_later_knows_a_quarantine_at_once(tmp_path: Path) -> None:
    async def test(system: System) -> None:
        await until_ready(system)
        engines = await replace_engines(system, "app", 3)
        runs = await until_quarantined(system, engines)
        await system.until(lambda: bool(system.store.kinds.get(names.SUSPECTS)))
        late = system.make_gateway(1)
        system.gateways.append(late)
        await system.group.spawn(late.run)
        await system.until(late.is_ready)
        await system.until(lambda: is_quarantined_at(system, 1))
        answer = await system.call("POST", "/quote/7", ENDING, 1, request_id="late")
        assert answer.status == 503
        assert sum(len(engine.runs) for engine in engines) == runs

    run_system(tmp_path, test)


def test_crashes_during_a_store_outage_are_shared_afterwards(tmp_path: Path) -> None:
    async def test(system: System) -> None:
        await until_ready(system)
        engines = await replace_engines(system, "app", 3)
        # Restarted engines cannot be discovered while the store is down.
        system.store.is_down = True
        for number in range(3):
            await system.call("POST", "/quote/7", ENDING, request_id=f"d{number}")
        ends = sum(len(engine.runs) for engine in engines)
        assert ends == ENDS
        assert is_quarantined_at(system, 0)
        assert not is_quarantined_at(system, 1)
        system.store.is_down = False
        await system.until(lambda: is_quarantined_at(system, 1))

    run_system(tmp_path, test, gateways=2)


def test_the_operator_can_end_a_quarantine(tmp_path: Path) -> None:
    async def test(system: System) -> None:
        await until_ready(system)
        engines = await replace_engines(system, "app", 3)
        runs = await until_quarantined(system, engines)
        await system.until(lambda: is_quarantined_at(system, 1))
        (content,) = system.store.kinds[names.SUSPECTS]
        system.store.remove(names.SUSPECTS, content)
        await system.until(
            lambda: not is_quarantined_at(system, 0) and not is_quarantined_at(system, 1)
        )
        # Its engines may be about to restart.
        for number in range(CALLS):
            await system.call("POST", "/quote/7", ENDING, 1, request_id=f"again{number}")
            if sum(len(engine.runs) for engine in engines) > runs:
                return
            await curio.sleep(PAUSE_SECONDS)
        raise AssertionError("it was not let through")

    run_system(tmp_path, test, gateways=2)


def test_a_content_recently_answered_at_one_gateway_is_quarantined_by_none(
    tmp_path: Path,
) -> None:
    """Guards against quarantined scorers' requests, which are all alike and then never sent."""

    async def test(system: System) -> None:
        await until_ready(system)
        assert (await system.call("POST", "/quote/7", b"sound", 0, request_id="q")).status == 200
        (content,) = system.gateways[0].suspects.quarantine._answered
        ends = [f"e{number}@1" for number in range(MAX_CRASHES)]
        spec = {"ends": ends, "until": clock.wall() + QUARANTINE_SECONDS}
        system.store.put(names.SUSPECTS, content, spec)
        stored = system.store.kinds[names.SUSPECTS]
        await system.until(lambda: not stored[content]["spec"]["ends"])
        await system.until(
            lambda: not any(each.suspects.is_quarantined(content) for each in system.gateways)
        )
        assert (await system.call("POST", "/quote/7", b"sound", 1, request_id="r")).status == 200

    run_system(tmp_path, test, gateways=2)


async def quarantine_scorers(system: System) -> str:
    """Have two engines crash beside scorers' requests, all alike; return their content."""
    scorer = step_body("s1", 1, 1)["requests"][0]["scorer"]
    body = base64.b64decode(scorer["body"])
    content = content_digest(scorer["host"].encode(), scorer["path"].encode(), body)
    for number in range(MAX_CRASHES):
        await system.gateways[0].suspects.note_crash(content, f"e{number}@1")
    await system.until(
        lambda: all(is_quarantined_at(system, each) for each in range(len(system.gateways)))
    )
    return content


def test_samples_do_not_wait_for_an_hour_because_engines_crashed_beside_their_scorers_requests(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(quarantine, "TRIAL_PAUSES_SECONDS", (1.0, 60.0))

    async def test(system: System) -> None:
        await until_ready(system)
        content = await quarantine_scorers(system)
        assert await system.submit("s1") == 202
        assert all(each["state"] == "succeeded" for each in await system.read_all("s1", 4))
        await system.until(
            lambda: not any(each.suspects.is_quarantined(content) for each in system.gateways)
        )

    run_system(tmp_path, test, gateways=2)


def test_a_trial_that_the_store_does_not_grant_costs_few_calls(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(quarantine, "TRIAL_PAUSES_SECONDS", (0.1,))
    monkeypatch.setattr(suspect_sharing, "TRIAL_RETRY_SECONDS", 60.0)

    async def test(system: System) -> None:
        await until_ready(system)
        content = await quarantine_scorers(system)
        gateway = system.gateways[0]
        await curio.sleep(0.2)
        system.store.is_down = True
        before = gateway.store.calls.get("read", 0)
        for _request in range(50):
            assert not await gateway.suspects.take_trial(content)
            await curio.sleep(0.01)
        assert gateway.store.calls["read"] == before + 1

    run_system(tmp_path, test)


def test_a_content_that_crashes_each_engine_gets_no_more_than_the_allowed_trials(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    pauses = (0.3, 0.3, 0.3)
    monkeypatch.setattr(quarantine, "TRIAL_PAUSES_SECONDS", pauses)

    async def test(system: System) -> None:
        await until_ready(system)
        engines = await replace_engines(system, "app", 3)
        await call_repeatedly(system, "/quote/7")
        await call_repeatedly(system, "/quote/7")
        runs = [run for engine in engines for run in engine.runs]
        assert ENDS < len(runs) <= ENDS + len(pauses)

    run_system(tmp_path, test, gateways=3)


def test_unreadable_objects_quarantine_nothing(tmp_path: Path) -> None:
    async def test(system: System) -> None:
        await until_ready(system)
        bad: list[object] = [None, 7, [], {}, {"ends": "x", "until": 1}, {"ends": [], "until": "x"}]
        for number, spec in enumerate(bad):
            system.store.put(names.SUSPECTS, f"bad{number}", spec)
        engines = await replace_engines(system, "app", 3)
        await until_quarantined(system, engines)
        assert len(system.gateways[0].suspects.quarantine.suspects) == 1
        # Another version of the program may have written them.
        assert set(system.store.kinds[names.SUSPECTS]) > {f"bad{each}" for each in range(len(bad))}

    run_system(tmp_path, test)


def test_requests_that_broke_off_beside_it_are_answered_and_not_suspected(tmp_path: Path) -> None:
    async def test(system: System) -> None:
        await until_ready(system)
        engines = await replace_engines(system, "app", 3)
        answered = 0

        async def call_others() -> None:
            nonlocal answered
            number = 0
            while True:
                number += 1
                body = f"other {number}".encode()
                answer = await system.call("POST", "/quote/8", body, request_id=f"o{number}")
                answered += answer.status == 200
                await curio.sleep(0.01)

        for _ in range(4):
            await system.group.spawn(call_others)
        await until_quarantined(system, engines)
        await curio.sleep(DOWN_SECONDS + 0.5)
        before = answered
        await curio.sleep(0.5)
        assert answered > before
        held = [
            each
            for each in system.gateways[0].suspects.quarantine.suspects.values()
            if each.is_quarantined
        ]
        assert len(held) == 1

    run_system(tmp_path, test)


def test_a_broken_connection_alone_is_no_crash(tmp_path: Path) -> None:
    async def cut(_exchange: Exchange) -> None:
        raise ConnectionLostError("cut")

    async def test(system: System) -> None:
        await until_ready(system)
        for number in range(5):
            for engine in system.app:
                engine.next_behaviours.append(cut)
            await system.call("POST", "/quote/7", b"cut", request_id=f"c{number}")
            for engine in system.app:
                engine.next_behaviours.clear()
        assert system.gateways[0].suspects.quarantine.suspects == {}

    run_system(tmp_path, test)


def test_an_engine_that_closes_its_connections_before_its_port_counts_as_ended(
    tmp_path: Path,
) -> None:
    async def test(system: System) -> None:
        await until_ready(system)
        engines = await replace_engines(system, "app", 3)
        for engine in engines:
            engine.lingers_seconds = 0.04
        await until_quarantined(system, engines)

    run_system(tmp_path, test)


class CrashingRuns:
    """Has engines crash under the first runs of samples, whatever these hold.

    Attributes
    ----------
    crashes_left
        Runs under which an engine crashes, by sample.
    last_crash_at
        Monotonic time.
    most_at_once
        Most streams that ran at the same time after the last crash.
    """

    def __init__(self, crashes: dict[str, int]) -> None:
        self.crashes_left = crashes
        self.last_crash_at = 0.0
        self.most_at_once = 0
        self._running = 0

    async def stream(self, engine: EndingEngine, exchange: Exchange) -> None:
        """Stream a sample, or crash before its first event."""
        sample = exchange.request.headers[names.REQUEST_ID]
        if self.crashes_left.get(sample, 0):
            self.crashes_left[sample] -= 1
            self.last_crash_at = clock.monotonic()
            await engine.end()
            raise ConnectionLostError("the engine ends")
        self._running += 1
        if not any(self.crashes_left.values()):
            self.most_at_once = max(self.most_at_once, self._running)
        try:
            await EndingEngine.stream(engine, exchange)
        finally:
            self._running -= 1

    async def until_over(self, system: System) -> None:
        """Wait for the last crash."""
        await system.until(lambda: not any(self.crashes_left.values()), 15.0)


async def submit_beside_crashes(system: System, runs: CrashingRuns) -> None:
    await until_ready(system)
    for engine in await replace_engines(system, "llm", 3):
        engine.event_seconds = 0.1
        engine.stream = lambda exchange, engine=engine: runs.stream(engine, exchange)
    assert await system.submit("s1") == 202


@pytest.mark.parametrize("crashes", [5, 12])
def test_a_sample_under_which_engines_crashed_is_listed_once_they_run(
    tmp_path: Path, crashes: int
) -> None:
    """Guards against a sample that is never placed again although engines have room."""

    async def test(system: System) -> None:
        runs = CrashingRuns({"s1-3": crashes})
        await submit_beside_crashes(system, runs)
        await runs.until_over(system)
        # The next leader must place it too.
        leader = next(each for each in system.gateways if each.duties.term is not None)
        await leader.leadership.resign()
        results = await system.read_all("s1", 4)
        assert {each["state"] for each in results} == {"succeeded"}
        assert clock.monotonic() < runs.last_crash_at + STEP_SECONDS

    run_system(tmp_path, test, gateways=2)


def test_samples_under_which_engines_crashed_run_beside_each_other(tmp_path: Path) -> None:
    """Guards against samples that run one at a time after a burst of crashes."""

    async def test(system: System) -> None:
        runs = CrashingRuns({f"s1-{number}": 3 for number in range(4)})
        await submit_beside_crashes(system, runs)
        await runs.until_over(system)
        await system.read_all("s1", 4)
        assert runs.most_at_once == 4

    run_system(tmp_path, test, gateways=2)


def test_a_stream_that_crashes_engines_is_soon_sent_to_none(tmp_path: Path) -> None:
    async def test(system: System) -> None:
        await until_ready(system)
        engines = await replace_engines(system, "app", 3)
        given = configuration(4, *system.app, *system.llm)
        row = {**given["routes"][0], "name": "talks", "path_prefix": "/talk/", "kind": "stream"}
        given["routes"].append({**row, "resumable": True})
        system.store.put("config", "main", given)
        await system.until(
            lambda: all(
                each.front.table is not None and each.front.table.version == 4
                for each in system.gateways
            )
        )
        runs = await until_quarantined(system, engines, "/talk/1")
        await system.until(lambda: is_quarantined_at(system, 1))
        answer = await system.call("POST", "/talk/1", ENDING, 1, request_id="late")
        assert answer.status == 503
        assert sum(len(engine.runs) for engine in engines) == runs

    run_system(tmp_path, test, gateways=2)
