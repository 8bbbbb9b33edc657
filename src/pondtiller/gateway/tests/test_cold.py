"""Cold engines in a small system: requests per second from all gateways together."""

from pathlib import Path
from typing import Any

import pytest

from pondtiller.gateway.tests.admissions import Admissions
from pondtiller.gateway.tests.system import System, run_system
from pondtiller.process import clock
from pondtiller.process.spawner import Spawner
from pondtiller.routes.answer_times import AnswerTimes
from pondtiller.routes.cold import subject_of
from pondtiller.standins.documents import configuration
from pondtiller.standins.engine import StandInEngine

RATE = 14
CALLS = 50
"""Calls to each of two gateways at once: five times what two cold engines may get in a second."""

NO_SECOND_TRY_SECONDS = 60.0
"""Longer than any request may take, so that there are no hedges."""


class TimedEngine(StandInEngine):
    """Records when requests arrive."""

    def __init__(self, identifier: str, service: str) -> None:
        super().__init__(identifier, service)
        self.times: list[float] = []

    async def _handle(self, exchange: Any) -> None:
        if not exchange.request.path.startswith("/pondtiller/"):
            self.times.append(clock.monotonic())
        await super()._handle(exchange)

    def most_in_a_second(self) -> int:
        return max(
            (sum(at <= each < at + 1.0 for each in self.times) for at in self.times), default=0
        )


async def start(system: System, cold: dict[str, float]) -> list[TimedEngine]:
    """Replace the system's engines by timed ones; those named are cold for so many seconds."""
    timed = [TimedEngine(f"t{number}", "app") for number in range(2)]
    samplers = [TimedEngine(f"s{number}", "llm") for number in range(2)]
    for engine in (*system.app, *system.llm):
        system.store.remove("servers", engine.identifier)
    for engine in (*timed, *samplers):
        engine.models = ["m"] if engine.service == "llm" else []
        await system.group.spawn(engine.serve)
        left = round(cold.get(engine.identifier, 0.0) * 1000)
        system.store.put("servers", engine.identifier, engine.entry() | {"cold_left_ms": left})
    table = configuration(3, *timed, *samplers)
    for row in table["services"]:
        row.update(cold_start_s=3.0, cold_per_s=float(RATE))
    system.store.put("config", "main", table)
    leader = await system.until_led()
    names = {each.identifier for each in (*timed, *samplers)}
    for process in system.gateways:
        engines = process.engines.engines
        await system.until(lambda engines=engines: names <= set(engines))
        await system.until(lambda process=process: process.front.table is not None)
    # Until a new leader may grant shares, since none of an earlier leader can be held any more.
    began = clock.monotonic()
    await system.until(lambda: clock.monotonic() > began + 3.0)
    assert leader.duties.term is not None
    return [*timed, *samplers]


async def call_all(system: System) -> list[int]:
    """Call both gateways at once, many times; return the statuses."""
    statuses: list[int] = []

    async def one(number: int) -> None:
        answer = await system.call("POST", "/quote/x", b"q", number % 2, request_id=f"q{number}")
        statuses.append(answer.status)

    async with Spawner() as group:
        for number in range(2 * CALLS):
            await group.spawn(one, number)
        await system.until(lambda: len(statuses) == 2 * CALLS, 20.0)
    return statuses


def check(engines: list[TimedEngine], through: Admissions) -> None:
    """Check that cold engines got only admitted requests, and no more than the bound."""
    for engine in engines:
        subject = subject_of(engine.identifier)
        assert len(engine.times) == through.count(subject)
        assert through.most_in_a_second(subject) <= RATE


def test_a_burst_at_two_gateways_stays_within_the_rates_of_cold_engines(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    through = Admissions(monkeypatch)

    async def test(system: System) -> None:
        engines = await start(system, {"t0": 60.0, "t1": 60.0})
        statuses = await call_all(system)
        assert set(statuses) <= {200, 503}
        check(engines[:2], through)
        # Cold engines do get work: at least half of their rate in one second.
        assert statuses.count(200) >= RATE
        assert sum(each.metrics.held_cold for each in system.gateways) > 0

    run_system(tmp_path, test, gateways=2, with_configuration=False)


def test_the_burst_breaks_the_bound_where_no_gate_counts(tmp_path: Path) -> None:
    async def test(system: System) -> None:
        engines = await start(system, {"t0": 60.0, "t1": 60.0})
        for process in system.gateways:
            process.gate.rules.remove(process.cold.rule)
        await call_all(system)
        assert max(each.most_in_a_second() for each in engines) > RATE

    run_system(tmp_path, test, gateways=2, with_configuration=False)


def test_a_warm_engine_serves_while_there_is_one(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Without hedges, which may go to a cold engine within its share if this machine is slow."""
    monkeypatch.setattr(AnswerTimes, "usual_seconds", NO_SECOND_TRY_SECONDS)

    async def test(system: System) -> None:
        engines = await start(system, {"t0": 60.0})
        statuses = await call_all(system)
        assert statuses == [200] * (2 * CALLS)
        assert not engines[0].times

    run_system(tmp_path, test, gateways=2, with_configuration=False)


def test_samples_run_on_cold_engines_within_the_bound(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    through = Admissions(monkeypatch)

    async def test(system: System) -> None:
        engines = await start(system, {"s0": 60.0, "s1": 60.0})
        assert await system.submit("step", samples=60) == 202
        listed: list[Any] = await system.read_all("step", 60)
        assert all(each["state"] == "succeeded" for each in listed)
        check(engines[2:], through)
        assert all(each.times for each in engines[2:])

    run_system(tmp_path, test, gateways=2, with_configuration=False)
