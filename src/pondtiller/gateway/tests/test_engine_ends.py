"""Which ends of engines count as crashes, by what this gateway knows of them."""

import curio
import pytest

from pondtiller.address import Address
from pondtiller.gateway.engines.engine_ends import EngineEnds
from pondtiller.gateway.engines.engine_pool import EnginePool
from pondtiller.gateway.engines.suspects import SuspectContents
from pondtiller.gateway.metrics import GatewayMetrics
from pondtiller.httpio.server import bind_tcp
from pondtiller.routes.engines import EngineDirectory, EngineEntry, EngineState


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
