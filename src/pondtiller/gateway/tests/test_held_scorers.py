"""Scorers' requests that are quarantined since engines crashed beside them, in a fixed order.

Failure: whole steps were accepted and never listed. A caller's content crashed two engines within
0.1 s while scorers' requests, which are all alike, ran at both. No gateway had an answer to these,
so both contents were quarantined. The engine with the first trial of the scorers' requests crashed
for another reason, and the next trial was due a minute later.
"""

import base64
from pathlib import Path

import curio
import pytest

from pondtiller.gateway import process
from pondtiller.gateway.callers.content_trials import SETTLE_SECONDS, ContentTrials
from pondtiller.gateway.callers.request import ForwardedRequest
from pondtiller.gateway.engines import suspect_sharing
from pondtiller.gateway.tests.ending_engines import replace_engines
from pondtiller.gateway.tests.system import System, run_system
from pondtiller.hashing import content_digest
from pondtiller.httpio.messages import HttpResponse
from pondtiller.httpio.server import ConnectionLostError, Exchange
from pondtiller.platform import names, objects
from pondtiller.platform.object_client import StoreObject
from pondtiller.process import clock
from pondtiller.routes import quarantine
from pondtiller.routes.quarantine import MAX_CRASHES, Suspect
from pondtiller.standins.documents import step_body
from pondtiller.standins.ending_engine import ENDING, EndingEngine, ends_engine

STEP_SECONDS = 7.5
"""`run_deadline_ms` of the steps' row."""
SAMPLES = 4
LATE_SECONDS = 0.3


class Score:
    """Behaviour of engines towards scorers' requests.

    Attributes
    ----------
    are_answered
        Whether engines answer them; otherwise these wait, and crashing requests wait for one.
    are_refused
        Whether engines answer meanwhile that they did not run them.
    ends_late
        Whether an engine crashes `LATE_SECONDS` after a scorer's request was given up there.
    crashes
        Scorers' requests under which an engine crashes for another reason.
    at_work
        Scorers' requests at each engine.
    """

    def __init__(self, crashes: int = 0) -> None:
        self.are_answered = False
        self.are_refused = False
        self.ends_late = False
        self.crashes = crashes
        self.at_work: dict[str, int] = {}

    async def let_end(self, engine: EndingEngine, exchange: Exchange) -> None:
        """Crash under a content only once a scorer's request is in progress there too."""
        while not self.are_answered and not self.at_work.get(engine.identifier):
            await curio.sleep(0.01)
        await EndingEngine.whole(engine, exchange)

    async def answer(self, engine: EndingEngine, exchange: Exchange) -> None:
        """Answer a scorer's request, wait, or crash."""
        name = engine.identifier
        self.at_work[name] = self.at_work.get(name, 0) + 1
        try:
            if self.are_refused:
                own = (names.REQUEST_ID, exchange.request.headers[names.REQUEST_ID])
                await exchange.respond(HttpResponse(503, headers=(own, (names.NOT_RUN, "1"))))
                return
            if not self.are_answered:
                await exchange.wait_closed()
                if self.ends_late:
                    await curio.sleep(LATE_SECONDS)
                    await engine.end()
                raise ConnectionLostError("left")
            if self.crashes:
                self.crashes -= 1
                await engine.end()
                raise ConnectionLostError("the engine ends")
            await EndingEngine.whole(engine, exchange)
        finally:
            self.at_work[name] -= 1

    async def whole(self, engine: EndingEngine, exchange: Exchange) -> None:
        """Handle a request by its sender."""
        if exchange.request.headers[names.REQUEST_ID].endswith("-score"):
            await self.answer(engine, exchange)
        elif ends_engine(exchange.request.body):
            await self.let_end(engine, exchange)
        else:
            await EndingEngine.whole(engine, exchange)


def scorers_content() -> str:
    scorer = step_body("s1", 1, 1)["requests"][0]["scorer"]
    body = base64.b64decode(scorer["body"])
    return content_digest(scorer["host"].encode(), scorer["path"].encode(), body)


def is_held_by_all(system: System, content: str) -> bool:
    return all(each.suspects.is_quarantined(content) for each in system.gateways)


async def until_ready(system: System) -> None:
    await system.until_led()
    await system.until(lambda: all(each.is_ready() for each in system.gateways))


async def hold_beside(system: System, score: Score) -> list[EndingEngine]:
    """Have a caller's content crash two engines at which scorers' requests are in progress."""
    engines = await replace_engines(system, "app", 3)
    for engine in engines:
        engine.whole = lambda exchange, engine=engine: score.whole(engine, exchange)
    assert await system.submit("s1", SAMPLES) == 202
    await system.until(lambda: sum(score.at_work.values()) > 0)
    await system.call("POST", "/quote/7", ENDING, request_id="e1")
    await system.until(lambda: is_held_by_all(system, scorers_content()))
    await system.until(lambda: scorers_content() in system.store.kinds.get(names.SUSPECTS, {}))
    return engines


@pytest.mark.parametrize("crashes", [0, 1])
def test_a_step_is_listed_in_time_although_engines_crashed_beside_its_scorers_requests(
    tmp_path: Path, crashes: int
) -> None:
    async def test(system: System) -> None:
        await until_ready(system)
        score = Score(crashes)
        await hold_beside(system, score)
        quarantined_at = clock.monotonic()
        score.are_answered = True
        results = await system.read_all("s1", SAMPLES)
        assert [each["state"] for each in results] == ["succeeded"] * SAMPLES
        assert clock.monotonic() < quarantined_at + STEP_SECONDS
        assert score.crashes == 0

    run_system(tmp_path, test, gateways=2)


@pytest.mark.parametrize("crashes", [2, 6])
def test_a_step_is_listed_in_time_although_engines_crashed_under_its_scorers_requests_alone(
    tmp_path: Path, crashes: int
) -> None:
    """Guards against a whole sample whose scorer is not asked any more after a burst of crashes."""

    async def test(system: System) -> None:
        await until_ready(system)
        score = Score(crashes)
        score.are_answered = True
        for engine in await replace_engines(system, "app", 3):
            engine.whole = lambda exchange, engine=engine: score.whole(engine, exchange)
        assert await system.submit("s1", SAMPLES) == 202
        await system.until(lambda: not score.crashes, 20.0)
        over_at = clock.monotonic()
        results = await system.read_all("s1", SAMPLES)
        assert [each["state"] for each in results] == ["succeeded"] * SAMPLES
        assert clock.monotonic() < over_at + STEP_SECONDS

    run_system(tmp_path, test, gateways=2)


def stored_scorers_report(system: System) -> Suspect:
    """Return the stored report on the scorers' requests, once they are quarantined."""
    content = scorers_content()
    spec = system.store.kinds[names.SUSPECTS][content]["spec"]
    told = objects.read_suspect(StoreObject(content, 1, spec))
    assert told is not None
    return told


async def hold_another(system: System, engine: EndingEngine) -> None:
    """Have an engine, and one more, crash under ordinary requests of another content."""
    for start in (engine.identifier, "e9@1"):
        await system.gateways[0].suspects.note_crash("another", start)


async def hold_until_trial(system: System, score: Score) -> EndingEngine:
    """Quarantine scorers' requests; return the engine that has the first trial now."""
    engines = await hold_beside(system, score)
    await system.until(lambda: stored_scorers_report(system).trials == 1)
    await system.until(lambda: any(score.at_work.get(each.identifier) for each in engines))
    (engine,) = [each for each in engines if score.at_work.get(each.identifier)]
    return engine


@pytest.mark.parametrize("are_refused", [False, True])
def test_trials_that_no_engine_ran_or_that_crashed_none_do_not_count(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, are_refused: bool
) -> None:
    monkeypatch.setattr(quarantine, "SHARED_TRIAL_PAUSE_SECONDS", 0.5)
    monkeypatch.setattr(suspect_sharing, "TRIAL_RETRY_SECONDS", 0.5)

    async def test(system: System) -> None:
        await until_ready(system)
        score = Score()
        await hold_beside(system, score)
        score.are_refused = are_refused
        most = len(quarantine.TRIAL_PAUSES_SECONDS)
        await system.until(lambda: stored_scorers_report(system).trials >= most, 15.0)
        await curio.sleep(SETTLE_SECONDS)
        score.are_refused, score.are_answered = False, True
        answered_at = clock.monotonic()
        await system.read_all("s1", SAMPLES)
        assert clock.monotonic() < answered_at + STEP_SECONDS

    run_system(tmp_path, test, gateways=2)


@pytest.mark.parametrize("is_others", [False, True])
def test_a_trial_whose_engine_crashes_after_its_deadline_counts_unless_another_content_did_it(
    tmp_path: Path, is_others: bool
) -> None:
    async def test(system: System) -> None:
        await until_ready(system)
        score = Score()
        engine = await hold_until_trial(system, score)
        # From here on each of them crashes its engine, some time after its sender gave up.
        score.ends_late = True
        if is_others:
            await hold_another(system, engine)
        await system.until(lambda: not score.at_work[engine.identifier])
        await curio.sleep(1.5 * SETTLE_SECONDS)
        assert stored_scorers_report(system).inconclusive == is_others

    run_system(tmp_path, test, gateways=2)


@pytest.mark.parametrize("is_others", [False, True])
def test_a_trial_whose_engine_crashes_under_another_content_does_not_count(
    tmp_path: Path, is_others: bool
) -> None:
    async def test(system: System) -> None:
        await until_ready(system)
        score = Score()
        engine = await hold_until_trial(system, score)
        if is_others:
            await hold_another(system, engine)
        await engine.end()
        await curio.sleep(1.5 * SETTLE_SECONDS)
        assert stored_scorers_report(system).inconclusive == is_others

    run_system(tmp_path, test, gateways=2)


def test_a_planned_stop_waits_for_the_outcome_of_a_trial(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(process, "NOT_READY_SECONDS", 0.0)

    async def test(system: System) -> None:
        await until_ready(system)
        await hold_beside(system, Score())
        await system.until(lambda: stored_scorers_report(system).trials == 1)
        await system.gateways[0].stop()
        assert stored_scorers_report(system).inconclusive == 1

    run_system(tmp_path, test)


async def hold_together(system: System, contents: list[str]) -> None:
    """Have two engines crash under all of some contents."""
    for number in range(MAX_CRASHES):
        for content in contents:
            await system.gateways[0].suspects.note_crash(content, f"e{number}@1")
    await system.until(lambda: all(is_held_by_all(system, each) for each in contents))
    await system.until(lambda: len(system.store.kinds.get(names.SUSPECTS, {})) == len(contents))


@pytest.mark.parametrize(("engines", "is_granted"), [(1, False), (2, True)])
def test_an_early_trial_leaves_its_service_an_engine(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, engines: int, is_granted: bool
) -> None:
    monkeypatch.setattr(quarantine, "SHARED_TRIAL_PAUSE_SECONDS", 0.0)

    async def test(system: System) -> None:
        await until_ready(system)
        await replace_engines(system, "app", engines)
        await hold_together(system, ["a", "b"])
        gateway = system.gateways[0]
        trials = ContentTrials(gateway.engines, gateway.forwarder.ends, gateway.suspects)
        request = ForwardedRequest("q", "POST", "/quote/7", (), b"", 0.0, content="a")
        assert await trials.try_start(request, "app", frozenset()) is is_granted

    run_system(tmp_path, test)


def test_contents_that_share_crashes_get_no_more_trials_than_others(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    pauses = (0.3, 0.3, 0.3)
    monkeypatch.setattr(quarantine, "TRIAL_PAUSES_SECONDS", pauses)
    monkeypatch.setattr(quarantine, "SHARED_TRIAL_PAUSE_SECONDS", 0.3)
    bodies = [ENDING + b" a", ENDING + b" b"]

    async def test(system: System) -> None:
        await until_ready(system)
        engines = await replace_engines(system, "app", 3)
        # Without a tenant.
        parts = (b"", b"app.example", b"POST", b"/quote/7")
        contents = [content_digest(*parts, body) for body in bodies]
        await hold_together(system, contents)
        for number in range(240):
            await system.call(
                "POST", "/quote/7", bodies[number % 2], number // 2 % 2, request_id=f"e{number}"
            )
            await curio.sleep(0.02)
        runs = [run for engine in engines for run in engine.runs]
        assert 0 < len(runs) <= len(bodies) * len(pauses)

    run_system(tmp_path, test, gateways=2)
