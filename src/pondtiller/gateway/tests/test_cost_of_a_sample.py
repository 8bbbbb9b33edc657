"""Number of messages, encodings and tasks that a sample costs a leader."""

from collections import Counter
from pathlib import Path
from typing import Any

import pytest
from betterproto import Message

from pondtiller.gateway.tests.system import System, run_system
from pondtiller.process.spawner import Spawner

SAMPLES, REPLICAS = 24, 3
TASKS_PER_SAMPLE = 2
"""One task waits for the end of its run, one for its score."""
OTHER_TASKS = 4
"""Orders to engines at the start of the term."""


def test_a_sample_costs_one_message_two_tasks_and_is_coded_once(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    written: Counter[str] = Counter()
    usual = Message.__bytes__

    def counted(message: Message) -> bytes:
        name = type(message).__name__
        if name == "Append" and message.puts.keys:
            name = "Append with values"
        written[name] += 1
        return usual(message)

    async def test(system: System) -> None:
        leader = await system.until_led()
        term = leader.duties.term
        assert term is not None
        await system.until(lambda: len(term.runners.links) >= 2)
        tasks: list[Any] = []
        spawn = Spawner.spawn

        async def counted_spawn(group: Spawner, *arguments: Any) -> Any:
            if group is term._group:
                tasks.append(arguments[0])
            return await spawn(group, *arguments)

        monkeypatch.setattr(Spawner, "spawn", counted_spawn)
        monkeypatch.setattr(Message, "__bytes__", counted)
        assert await system.submit("s1", samples=SAMPLES) == 202
        await system.read_all("s1", SAMPLES)
        assert written["BeginRun"] == SAMPLES
        assert written["SampleResult"] == SAMPLES
        # The step and its results: each write is encoded once for all replicas.
        assert 2 <= written["Append with values"] <= SAMPLES + 1
        assert len(tasks) <= TASKS_PER_SAMPLE * SAMPLES + OTHER_TASKS

    run_system(tmp_path, test, gateways=3, replicas=REPLICAS)
