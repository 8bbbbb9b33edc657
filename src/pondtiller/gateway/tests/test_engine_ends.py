"""Which ends of engines count as crashes, by what this gateway knows of them."""

import itertools
from pathlib import Path

import curio
import pytest

from pondtiller.address import Address
from pondtiller.gateway.engines import engine_ends
from pondtiller.gateway.engines.engine_ends import EngineEnds
from pondtiller.gateway.engines.engine_pool import EngineConnection, EnginePool
from pondtiller.gateway.engines.suspects import SuspectContents
from pondtiller.gateway.metrics import GatewayMetrics
from pondtiller.gateway.tests.system import System, run_system
from pondtiller.gateway.tests.test_endless_answers import call_all
from pondtiller.gateway.tests.test_system import ready
from pondtiller.httpio.server import bind_tcp
from pondtiller.routes.engines import EngineDirectory, EngineEntry, EngineState

RECHECK_SECONDS = 0.5


def directory(known: str) -> EngineDirectory:
    engines = EngineDirectory()
    state = EngineState.LEAVING if known == "leaving" else EngineState.READY
    entry = EngineEntry("e", "llm", Address("127.0.0.1", 1), "z", 4, state)
    engines.replace_entries([] if known == "unknown" else [entry], 0.0)
    if known == "gone":
        engines.remove_entry("e", 0.0)
    return engines


@pytest.mark.parametrize(
    ("known", "counts"), [("ready", True), ("unknown", True), ("leaving", False), ("gone", False)]
)
def test_an_end_counts_as_a_crash_unless_the_engine_was_leaving(known: str, counts: bool) -> None:
    async def main() -> None:
        listener = bind_tcp("127.0.0.1", 0)
        place = Address(*listener.getsockname())
        await listener.close()
        metrics = GatewayMetrics()
        suspects = SuspectContents(metrics)
        ends = EngineEnds(directory(known), EnginePool(), metrics, suspects)
        assert await ends.confirm("e", place, "q", "c") is counts
        assert suspects.crash_count("c") == counts

    curio.run(main)


def test_no_port_is_checked_after_the_gateway_has_ended(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a connection that is opened while the process shuts down."""
    monkeypatch.setattr(engine_ends, "RECHECK_SECONDS", RECHECK_SECONDS)
    monkeypatch.setattr(EngineConnection, "is_clean", lambda _: False)
    opened: list[str] = []
    open_connection = EnginePool.open

    async def note_opened(
        pool: EnginePool, engine: str, address: Address, seconds: float = 0.5
    ) -> EngineConnection:
        opened.append(engine)
        return await open_connection(pool, engine, address, seconds)

    monkeypatch.setattr(EnginePool, "open", note_opened)

    async def test(system: System) -> None:
        await ready(system)
        system.app[0].statuses = itertools.repeat(b"000")
        await call_all(system, "/quote/7")
        await system.tasks[system.gateways[0]].cancel()
        before = len(opened)
        assert "a0" in opened
        await curio.sleep(2 * RECHECK_SECONDS)
        assert len(opened) == before

    run_system(tmp_path, test)
