"""A planned stop: requests up to the last moment are answered, or are not forwarded."""

from pathlib import Path

import curio
import pytest

from pondtiller.gateway import process as processes
from pondtiller.gateway.process import GatewayProcess
from pondtiller.gateway.tests.system import System, run_system
from pondtiller.httpio.client_errors import BrokenError, NotSentError

CALLERS = 4
CALL_SECONDS = 2.0


async def last_words(_process: GatewayProcess) -> None:
    """Take as long as a leader's late answer may."""
    await curio.sleep(processes.LAST_USE_SECONDS)


async def call_once(system: System, name: str) -> None:
    await system.call("POST", "/list/7", b"x", request_id=name)


def test_no_request_is_forwarded_that_the_end_of_the_process_would_cut(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Between the last check of open requests and the end, requests were forwarded and cut off."""
    monkeypatch.setattr(processes, "NOT_READY_SECONDS", 0.3)
    monkeypatch.setattr(GatewayProcess, "_send_last_usage", last_words)
    answered: set[str] = set()

    async def test(system: System) -> None:
        await system.until_led()
        for engine in system.app:
            engine.work_seconds = 0.1
        is_over = curio.Event()

        async def call(caller: int) -> None:
            number = 0
            while not is_over.is_set():
                number += 1
                name = f"{caller}-{number}"
                try:
                    await curio.timeout_after(CALL_SECONDS, call_once, system, name)
                except (NotSentError, BrokenError, OSError, curio.TaskTimeout):
                    continue
                answered.add(name)

        async with curio.TaskGroup() as group:
            for caller in range(CALLERS):
                await group.spawn(call, caller)
            await system.until(lambda: len(answered) > CALLERS)
            await system.gateways[0].stop()
            await system.tasks[system.gateways[0]].join()
            await is_over.set()
        begun = {seen[0] for engine in system.app for seen in engine.seen}
        assert len(begun) > CALLERS
        assert begun <= answered

    run_system(tmp_path, test)
