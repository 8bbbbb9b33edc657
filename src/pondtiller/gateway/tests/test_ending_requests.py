"""A request that ends each engine which runs it.

Seen: a service of three engines served nobody for seconds, again and again; fourteen engines ended in
85 s. Order of events: a caller's request ended two engines within 0.07 s (its own two tries), its
caller got 502 and came again with the same content, under a new identifier, at another gateway, which
ended the third; the engines started again, and so on. Cause: each request had its own tries, and no
gateway knew what a content had done before, here or elsewhere.

Evidence: at each of the eight ends that gateways' logs hold, a request of that content's row broke off
and the engine's port refused afterwards; the other row seen most was at five of them, and its requests
were answered at their next try. Two engines ended at 8 requests a second, none at 163 a second, so the
load did not end them; none ended without such a request, so they did not end by themselves.
"""

from pathlib import Path

import curio
import pytest

from pondtiller.daemon import clock
from pondtiller.gateway.tests.ending_engine import ENDING, EndingRun, replace_engines
from pondtiller.gateway.tests.system import System, run_system

ENDS = 3
"""Ends under a content after which it is sent to no engine."""
TOLD_SECONDS = 1.0
"""From the last of these ends until every gateway knows."""
CALLS = 60
PAUSE_SECONDS = 0.05


def runs_after_the_last_end(runs: list[EndingRun]) -> list[EndingRun]:
    runs = sorted(runs, key=lambda run: run.at)
    return [run for run in runs[ENDS:] if run.at > runs[ENDS - 1].at + TOLD_SECONDS]


async def call_again_and_again(system: System, path: str) -> list[int]:
    """Send the content at one gateway after the other, each time under a new identifier."""
    statuses = []
    for number in range(CALLS):
        answer = await system.call(
            "POST", path, ENDING, number % len(system.gateways), request_id=f"e{number}"
        )
        statuses.append(answer.status)
        await curio.sleep(PAUSE_SECONDS)
    return statuses


@pytest.mark.parametrize("path", ["/quote/7", "/list/7"])
def test_a_content_that_ends_engines_is_soon_sent_to_none_by_any_gateway(
    tmp_path: Path, path: str
) -> None:
    async def test(system: System) -> None:
        await system.until_led()
        await system.until(lambda: all(each.is_ready() for each in system.gateways))
        engines = await replace_engines(system, "app", 3)
        statuses = await call_again_and_again(system, path)
        runs = [run for engine in engines for run in engine.runs]
        assert len(runs) >= ENDS
        assert runs_after_the_last_end(runs) == []
        assert 200 not in statuses
        # It is told at once that it did not run.
        assert statuses[-1] == 503
        began = clock.monotonic()
        answer = await system.call("POST", path, b"another", request_id="other")
        assert answer.status == 200
        assert clock.monotonic() < began + 1.0

    run_system(tmp_path, test, gateways=3)
