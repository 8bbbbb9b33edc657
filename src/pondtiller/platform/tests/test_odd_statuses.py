"""Calls to the store and to the operator whose answers are whole, but have an odd status."""

import itertools
from collections.abc import Awaitable, Callable

import curio
import pytest

from pondtiller.address import to_address
from pondtiller.httpio.client import HttpClient
from pondtiller.platform.object_client import ObjectClient, StoreUnreachedError
from pondtiller.platform.operator_api import OperatorClient
from pondtiller.rollouts.scaling import ScaleOrder
from pondtiller.standins.operator import StandInOperator
from pondtiller.standins.statuses import ODD_STATUSES
from pondtiller.standins.store import StandInStore

STATUSES = [status for kind in ODD_STATUSES.values() for status in kind]
KIND, NAME = "kind", "a"

CALLS: dict[str, Callable[[ObjectClient], Awaitable[object]]] = {
    "list": lambda client: client.list_all(KIND),
    "watch": lambda client: client.watch(KIND, 0, 0.0),
    "read": lambda client: client.read(KIND, NAME),
    "create": lambda client: client.create(KIND, "b", {}),
    "replace": lambda client: client.replace(KIND, NAME, 2, {}),
    "status": lambda client: client.set_status(KIND, NAME, 2, {}),
    "remove": lambda client: client.remove(KIND, NAME),
}


async def check_unreached(call: Awaitable[object]) -> None:
    with pytest.raises(StoreUnreachedError):
        await call


@pytest.mark.parametrize("name", CALLS)
def test_a_store_call_with_an_odd_status_has_no_answer(name: str) -> None:
    """Guards against a state, or the end of a write, read from such an answer."""

    async def main() -> None:
        async with curio.TaskGroup() as group:
            for status in STATUSES:
                store = StandInStore()
                store.put(KIND, NAME, "spec")
                store.statuses = itertools.repeat(status)
                await group.spawn(store.serve, daemon=True)
                client = ObjectClient(to_address(store.address), HttpClient())
                # All at once: a call with an interim head waits for what follows.
                await group.spawn(check_unreached, CALLS[name](client))

    curio.run(main)


@pytest.mark.parametrize("status", STATUSES)
def test_an_operator_call_with_an_odd_status_has_no_answer(status: bytes) -> None:
    """Guards against a report that counts as taken, and an order that counts as refused."""

    async def main() -> None:
        operator = StandInOperator()
        operator.statuses = itertools.repeat(status)
        serving = await curio.spawn(operator.serve)
        client = OperatorClient(to_address(operator.address), "g0", HttpClient())
        order = ScaleOrder("app", "z", 2, is_spot=False)
        outcomes = (
            await client.report_use(b"{}", 1, 0.2, lambda: True),
            await client.order_engines(order, 1, 0.2, lambda: True),
        )
        for outcome in outcomes:
            assert not outcome.is_done and not outcome.has_none
            assert outcome.detail.startswith("unanswered")
        await serving.cancel()

    curio.run(main)
