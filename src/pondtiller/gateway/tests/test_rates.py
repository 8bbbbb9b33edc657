"""Tenants' rates in a small system: requests admitted at all gateways together."""

from pathlib import Path
from typing import Any

import curio
import pytest

from pondtiller.coordination.rate_shares import WINDOW_SECONDS
from pondtiller.gateway.tests.admissions import Admissions
from pondtiller.gateway.tests.system import System, run_system
from pondtiller.gateway.tests.test_cold import NO_SECOND_TRY_SECONDS
from pondtiller.gateway.tests.test_tenants import ANN, BOB, KEYS, until_in_force
from pondtiller.process import clock
from pondtiller.process.spawner import Spawner
from pondtiller.routes.answer_times import AnswerTimes
from pondtiller.routes.rates import rate_terms, subject_of
from pondtiller.standins.documents import configuration, with_tenants

RATE = 10.0
SUBJECT = subject_of("ann")
MOST = 11
"""Most requests in any second, with an excess of a tenth."""
MAX_BURSTS = 3
"""Bursts until one is undisturbed: each costs 8 s of the 40 s of a test."""
MAX_STALL_SECONDS = 0.12
"""A longer pause of this process is a disturbance: a call waits 0.25 s for a share."""
BURST = 30
"""Concurrent calls, three times the rate. Twice as many take longer than the wait for a share on a
busy machine, and calls without a leader's answer by then are correctly answered 503."""


def put_rate(system: System, version: int, rate: float) -> None:
    """Store a table in which one of two tenants has a rate."""
    table = with_tenants(configuration(version, *system.app, *system.llm), KEYS, public=())
    for row in table["tenants"]:
        if row["name"] == "ann":
            row["rate_per_s"] = rate
    system.store.put("config", "main", table)


async def until_granted(system: System) -> None:
    """Wait until a leader grants shares again, since none of an earlier leader is held."""
    await system.until_led()
    terms = rate_terms(RATE, 0.1)
    await curio.sleep(terms.takeover_wait_seconds + 0.2)


class Callers:
    """Calls of one tenant at all gateways in turn, with their answers."""

    def __init__(self, system: System, key: str) -> None:
        self.system = system
        self.key = key
        self.number = 0
        self.answers: list[Any] = []

    async def call(self) -> None:
        self.number += 1
        number, gateways = self.number, len(self.system.gateways)
        answer = await self.system.call(
            "POST",
            "/quote/x",
            b"q",
            number % gateways,
            request_id=f"{self.key}{number}",
            credential=self.key,
        )
        self.answers.append(answer)

    async def burst(self, calls: int) -> None:
        """Make so many concurrent calls; return when all are answered."""
        expected = len(self.answers) + calls
        async with Spawner() as group:
            for _ in range(calls):
                await group.spawn(self.call)
            await self.system.until(lambda: len(self.answers) >= expected, 15.0)

    async def undisturbed_burst(self, calls: int) -> list[Any]:
        """Return the answers of a burst during which this process was not paused.

        All parts share the process. After a pause longer than the wait for a share calls are
        answered 503, and after one longer than the shares' lease 429; both are correct.
        """
        for _ in range(MAX_BURSTS):
            first, looks = len(self.answers), len(self.system.stalls)
            await self.burst(calls)
            if max(self.system.stalls[looks:], default=0.0) < MAX_STALL_SECONDS:
                return self.answers[first:]
            await curio.sleep(2 * WINDOW_SECONDS)
            await until_granted(self.system)
        raise AssertionError("the process stood still in each burst")

    def count(self, status: int) -> int:
        return sum(answer.status == status for answer in self.answers)


async def limited(system: System) -> Callers:
    """Put a rate in force and wait until it is granted; return its tenant's callers."""
    put_rate(system, 3, RATE)
    await until_in_force(system, 3)
    await until_granted(system)
    return Callers(system, ANN)


def test_a_burst_above_a_rate_is_rejected_as_not_run_with_a_time_to_retry(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Without hedges, which may start for a call whose answer is late."""
    monkeypatch.setattr(AnswerTimes, "usual_seconds", NO_SECOND_TRY_SECONDS)
    through = Admissions(monkeypatch)

    async def test(system: System) -> None:
        ann = await limited(system)
        answers = await ann.undisturbed_burst(BURST)
        assert {answer.status for answer in answers} == {200, 429}
        assert MOST // 2 <= through.most_in_a_second(SUBJECT) <= MOST
        pauses = [
            float(dict(answer.headers)["retry-after"]) for answer in answers if answer.status == 429
        ]
        assert all(0.0 < pause <= 1.1 for pause in pauses)
        seen = sum(len(engine.seen) for engine in system.app)
        assert seen == ann.count(200) == through.count(SUBJECT)

    run_system(tmp_path, test, gateways=2, with_configuration=False)


def test_a_tenant_without_a_rate_costs_no_message_and_no_wait(tmp_path: Path) -> None:
    async def test(system: System) -> None:
        put_rate(system, 3, RATE)
        await until_in_force(system, 3)
        await system.until_led()
        for process in system.gateways:
            process.shares._call = None  # Any message would fail.
        bob = Callers(system, BOB)
        await bob.burst(60)
        assert bob.count(200) == 60
        assert not any(process.shares._held for process in system.gateways)

    run_system(tmp_path, test, gateways=2, with_configuration=False)


def test_a_rate_holds_through_a_change_of_the_leader(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    through = Admissions(monkeypatch)

    async def test(system: System) -> None:
        ann = await limited(system)
        first = await system.until_led()
        for step in range(45):
            if step == 10:
                await first.leadership.resign()
            await ann.burst(6)
            await curio.sleep(0.15)
        second = await system.until_led()
        assert second is not first
        assert through.most_in_a_second(SUBJECT) <= MOST
        # Nothing bypasses the rate; holders of shares continue, and all of it is granted again.
        assert through.count(SUBJECT) == ann.count(200) > 30

    run_system(tmp_path, test, gateways=2, with_configuration=False)


def test_a_lower_rate_of_a_new_table_holds_at_once(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    through = Admissions(monkeypatch)

    async def test(system: System) -> None:
        ann = await limited(system)
        await ann.burst(30)
        put_rate(system, 4, 3.0)
        await until_in_force(system, 4)
        await curio.sleep(1.1)
        began = clock.monotonic()
        for _ in range(12):
            await ann.burst(6)
            await curio.sleep(0.15)
        assert 0 < through.most_in_a_second(SUBJECT, began) <= 3

    run_system(tmp_path, test, gateways=2, with_configuration=False)
