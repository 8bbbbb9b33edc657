"""The store, or the operator's API, answers with bytes that never end."""

import time
from collections.abc import Awaitable, Callable, Iterator

import curio
import pytest

from pondtiller.address import Address
from pondtiller.httpio.bodies import MAX_BODY_BYTES
from pondtiller.httpio.client import HttpClient
from pondtiller.platform.object_client import ObjectClient, StoreCallError
from pondtiller.platform.operator_api import OperatorClient
from pondtiller.rollouts.scaling import ScaleOrder
from pondtiller.standins.endless_engine import PIECE_BYTES, Endless, EndlessEngine

KINDS = tuple(kind for kind in Endless if kind is not Endless.AFTER)
MOST_BYTES = MAX_BODY_BYTES + 2 * PIECE_BYTES
CALLS = 4
MAX_STALL_SECONDS = 1.0


@pytest.fixture
def endless(request: pytest.FixtureRequest) -> Iterator[EndlessEngine]:
    engine = EndlessEngine(request.param)
    yield engine
    engine.close()


async def longest_stall() -> float:
    """Return the longest time in which other tasks got no turn, once cancelled."""
    longest, before = 0.0, time.monotonic()
    try:
        while True:
            await curio.sleep(0.01)
            longest, before = max(longest, time.monotonic() - before), time.monotonic()
    except curio.CancelledError:
        return longest


def run_calls(call: Callable[[], Awaitable[None]], endless: EndlessEngine) -> None:
    """Make some calls at the same time; check that each ends and closes its connection."""

    async def main() -> float:
        watch = await curio.spawn(longest_stall)
        async with curio.TaskGroup() as group:
            for _ in range(CALLS):
                await group.spawn(call)
        assert all(each.exception is None for each in group.tasks)
        await watch.cancel()
        return float(watch.result)

    stall = curio.run(main)
    endless.wait_sent()
    for sent in endless.sent:
        assert sent.was_closed
        assert sent.bytes_sent <= MOST_BYTES
    assert stall < MAX_STALL_SECONDS


@pytest.mark.parametrize("endless", KINDS, indirect=True)
@pytest.mark.parametrize("name", ["list", "watch", "read", "create", "remove"])
def test_a_call_to_the_store_with_an_answer_without_end_fails(
    endless: EndlessEngine, name: str
) -> None:
    """Guards against a list that fills the memory of each machine that follows it."""
    store = ObjectClient(Address("127.0.0.1", endless.port), HttpClient())
    calls: dict[str, Callable[[], Awaitable[object]]] = {
        "list": lambda: store.list_all("kind"),
        "watch": lambda: store.watch("kind", 1, 1.0),
        "read": lambda: store.read("kind", "name"),
        "create": lambda: store.create("kind", "name", {}),
        "remove": lambda: store.remove("kind", "name"),
    }

    async def call() -> None:
        with pytest.raises(StoreCallError):
            await calls[name]()

    run_calls(call, endless)


@pytest.mark.parametrize("endless", KINDS, indirect=True)
@pytest.mark.parametrize("is_use", [True, False])
def test_a_call_to_the_operator_with_an_answer_without_end_fails(
    endless: EndlessEngine, is_use: bool
) -> None:
    """Guards against a leader whose memory the operator's API fills."""
    operator = OperatorClient(Address("127.0.0.1", endless.port), "g", HttpClient())

    async def call() -> None:
        if is_use:
            outcome = await operator.report_use(b"{}", 1, 2.0, lambda: True)
        else:
            outcome = await operator.order_engines(
                ScaleOrder("s", "z", 1, False), 1, 2.0, lambda: True
            )
        assert not outcome.is_done
        assert not outcome.has_none

    run_calls(call, endless)
