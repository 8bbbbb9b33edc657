"""A pause of a gateway's process does not count as silence of runners, engines or replicas."""

import time
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import curio
import pytest
from betterproto import Message

from pondtiller.address import Address
from pondtiller.gateway.engines.engine_pool import CONNECT_SECONDS, EnginePool, SilentEngineError
from pondtiller.gateway.leader.run_links import KEEP_RUNS_SECONDS, RUNNER_SILENT_SECONDS, RunnerLink
from pondtiller.gateway.leader.unfinished_texts import PROGRESS_CALL_SECONDS, UnfinishedTexts
from pondtiller.gateway.tests.system import System, run_system
from pondtiller.gateway.tests.test_held_runs import LONG_SECONDS, running
from pondtiller.gateway.tests.test_runs_elsewhere import ORDER, FakeLink, texts
from pondtiller.links.link import Link
from pondtiller.process import clock
from pondtiller.process.stalls import CHECK_SECONDS, SETTLE_SECONDS, StallWatch
from pondtiller.rollouts import moving
from pondtiller.rollouts.runner_choice import Daemon
from pondtiller.standins.engine import StandInEngine
from pondtiller.wire.steplog import ProgressList, ReadProgress, SampleProgress

EVENTS = 40


def test_a_pause_of_the_leader_is_no_silence_of_its_runners() -> None:
    """Guards against restarted runs since a runner had sent nothing right after a pause."""

    async def main() -> None:
        link = FakeLink()
        async with StallWatch() as stalls:
            daemon = Daemon("d", "z", Address("10.0.0.1", 1), 1.0)
            runner = RunnerLink(daemon, link, 5, lambda runs, now: None, stalls=stalls)
            serving = await curio.spawn(runner.serve)
            run = await curio.spawn(runner.run, ORDER, lambda *event: True)
            await curio.sleep(0.1)
            time.sleep(RUNNER_SILENT_SECONDS)
            await curio.sleep(SETTLE_SECONDS + KEEP_RUNS_SECONDS + 0.1)
            assert not link.is_lost
            await curio.sleep(RUNNER_SILENT_SECONDS)
            assert link.is_lost
            assert runner.was_given_up
            await run.cancel()
            await serving.join()

    curio.run(main)


def test_a_pause_of_leader_and_runners_restarts_no_run(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against runners declared silent after a pause in which neither side ran."""
    # No run is moved from an engine without events.
    monkeypatch.setattr(moving, "MAX_MOVES", 0)

    async def test(system: System) -> None:
        leader, _ = await running(system, EVENTS)
        for engine in system.llm:
            engine.event_seconds = LONG_SECONDS
        await curio.sleep(0.5)
        log = leader.leadership.log
        for _ in range(2):
            # Right after a heartbeat, so that the lease outlives the pause.
            before = log.lease_until()
            while log.lease_until() == before:
                await curio.sleep(0)
            time.sleep(0.95)
            await curio.sleep(KEEP_RUNS_SECONDS + 2 * SETTLE_SECONDS)
        for engine in system.llm:
            engine.event_seconds = 0.05
        texts(await system.read_all("s1", 4), EVENTS)
        assert sum(len(each.seen) for each in system.llm) == 4
        assert leader.metrics.takeovers == 1

    run_system(tmp_path, test, gateways=3)


def test_a_pause_while_connecting_is_no_silence_of_an_engine(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against runs that end because their running engine counts as unreachable."""
    usual = curio.open_connection

    async def connect_slowly(host: str, port: int) -> Any:
        await curio.sleep(0.2)
        return await usual(host, port)

    async def hang(_host: str, _port: int) -> None:
        await curio.sleep(LONG_SECONDS)

    async def main() -> None:
        engine = StandInEngine("e", "llm")
        serving = await curio.spawn(engine.serve, daemon=True)
        host, _, port = engine.address.rpartition(":")
        place, pool = Address(host, int(port)), EnginePool()
        monkeypatch.setattr(curio, "open_connection", connect_slowly)
        opening = await curio.spawn(pool.open, "e", place)
        await curio.sleep(0.05)
        time.sleep(CONNECT_SECONDS + 0.1)
        await (await opening.join()).close()
        monkeypatch.setattr(curio, "open_connection", hang)
        began = clock.monotonic()
        with pytest.raises(SilentEngineError):
            await pool.open("e", place)
        assert clock.monotonic() - began < CONNECT_SECONDS + 2 * CHECK_SECONDS
        await serving.cancel()

    curio.run(main)


def test_a_pause_while_texts_are_read_is_no_silence_of_a_replica() -> None:
    """Guards against samples that start from nothing because their texts were not read yet."""

    async def main() -> None:
        left, right = curio.socket.socketpair()
        link, replica = Link(left), Link(right)
        kept: list[str] = []

        async def answer(_link: Link, call: int, message: Message) -> None:
            assert isinstance(message, ReadProgress)
            await curio.sleep(0.1)
            texts_of = [SampleProgress(id=each) for each in message.ids]
            await replica.reply(call, ProgressList(samples=texts_of))

        leadership = SimpleNamespace(
            member_links=lambda: [1], replicas=SimpleNamespace(link=lambda _number: link)
        )
        scheduler = SimpleNamespace(keep_progress=lambda sample: kept.append(sample.id))
        unread = UnfinishedTexts(leadership, 5, scheduler, None, StallWatch())  # type: ignore[arg-type]
        serving = [
            await curio.spawn(replica.run, answer),
            await curio.spawn(link.run, answer),
        ]
        reading = await curio.spawn(unread.read, ["s"])
        await curio.sleep(0.02)
        time.sleep(PROGRESS_CALL_SECONDS + 0.1)
        await reading.join()
        assert kept == ["s"]
        for each in serving:
            await each.cancel()

    curio.run(main)
