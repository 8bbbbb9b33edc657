"""Calls to the operator's own interface that one gateway at a time makes, the leader.

Owns nothing. When to call and what to do about a failure is decided by the leader's duties.
"""

import json
from collections.abc import Callable, Collection, Mapping
from typing import NamedTuple

from pondtiller.address import Address
from pondtiller.httpio.client import BrokenError, HttpClient, NotSentError
from pondtiller.platform import names
from pondtiller.rollouts.scaling import ScaleOrder


class CallOutcome(NamedTuple):
    """How a call ended.

    Attributes
    ----------
    is_done
        Whether the platform took it.
    detail
        Its status, or why there is none.
    has_none
        Whether it said that no such engine is to be had there now.
    """

    is_done: bool
    detail: str
    has_none: bool = False


def wants_use(duties: Collection[str]) -> bool:
    """Return whether use is to be reported, by the duties that the settings name."""
    return names.USAGE_DUTY in duties


def wants_scaling(duties: Collection[str]) -> bool:
    """Return whether engines are to be ordered, by the duties that the settings name."""
    return names.SCALING_DUTY in duties


def scale_body(order: ScaleOrder) -> bytes:
    """Return the order of a number of engines of one kind in a zone."""
    given: dict[str, object] = {
        "service": order.service,
        "zone": order.zone,
        "desired": order.desired,
    }
    if order.is_spot:
        given["use_spot"] = True
    return json.dumps(given).encode()


def usage_body(window: int, counts: Mapping[str, int]) -> bytes:
    """Return the report of a window: how many requests of each tenant began in it."""
    return json.dumps({"window_id": window, "counts": dict(counts)}, sort_keys=True).encode()


class OperatorClient:
    """Calls over a kept connection.

    Parameters
    ----------
    holder
        Name of this machine, which calls carry.
    """

    def __init__(self, address: Address, holder: str, client: HttpClient) -> None:
        self._address = address
        self._holder = holder
        self._client = client

    async def report_use(
        self, content: bytes, fence: int, seconds: float, may_send: Callable[[], bool]
    ) -> CallOutcome:
        """Report a window; only an answer that the platform took it counts as done."""
        return await self._call(names.USAGE_PATH, content, fence, seconds, may_send)

    async def order_engines(
        self, order: ScaleOrder, fence: int, seconds: float, may_send: Callable[[], bool]
    ) -> CallOutcome:
        """Order a number of engines; without an answer it may have been taken."""
        return await self._call(names.SCALE_PATH, scale_body(order), fence, seconds, may_send)

    async def _call(
        self, path: str, content: bytes, fence: int, seconds: float, may_send: Callable[[], bool]
    ) -> CallOutcome:
        headers = ((names.DUTY_HOLDER, self._holder), (names.FENCE, str(fence)))
        try:
            answer = await self._client.request(
                self._address, "POST", path, content, seconds, headers, may_send
            )
        except NotSentError as error:
            return CallOutcome(False, f"unreachable({error})")
        except BrokenError as error:
            return CallOutcome(False, f"unanswered({error})")
        return CallOutcome(answer.status == 200, str(answer.status), answer.status == 409)
