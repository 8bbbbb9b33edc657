"""Calls to the operator's API that one gateway at a time makes, the leader.

Has no state. When to call, and how to handle a failure, is decided by the leader's duties.
"""

import json
from collections.abc import Callable, Collection, Mapping
from typing import NamedTuple

from pondtiller.address import Address
from pondtiller.httpio.client import HttpClient
from pondtiller.httpio.client_errors import BrokenError, NotSentError
from pondtiller.platform import names
from pondtiller.rollouts.scaling import ScaleOrder


class CallOutcome(NamedTuple):
    """Result of a call.

    Attributes
    ----------
    is_done
        Whether the platform accepted it.
    detail
        Its status, or why there is none.
    has_none
        Whether it answered that no such engine is available there now.
    """

    is_done: bool
    detail: str
    has_none: bool = False


def wants_use(duties: Collection[str]) -> bool:
    """Return whether usage must be reported, according to the duties in the settings."""
    return names.USAGE_DUTY in duties


def wants_scaling(duties: Collection[str]) -> bool:
    """Return whether engines must be ordered, according to the duties in the settings."""
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
    """Return the report of a window: how many requests of each tenant started in it."""
    return json.dumps({"window_id": window, "counts": dict(counts)}, sort_keys=True).encode()


class OperatorClient:
    """Calls over a kept connection.

    Parameters
    ----------
    holder
        Name of this machine, sent with each call.
    """

    def __init__(self, address: Address, holder: str, client: HttpClient) -> None:
        self._address = address
        self._holder = holder
        self._client = client

    async def report_use(
        self, content: bytes, fence: int, seconds: float, may_send: Callable[[], bool]
    ) -> CallOutcome:
        """Report a window; done only if the platform answered that it accepted the report."""
        return await self._call(names.USAGE_PATH, content, fence, seconds, may_send)

    async def order_engines(
        self, order: ScaleOrder, fence: int, seconds: float, may_send: Callable[[], bool]
    ) -> CallOutcome:
        """Order a number of engines; without an answer it may have been accepted."""
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
