"""Calls to the operator's own interface that one daemon at a time makes."""

import json
from collections.abc import Collection, Mapping
from typing import NamedTuple

from pondtiller.core.entities import Address
from pondtiller.httpio.client import BrokenError, HttpClient, NotSentError
from pondtiller.platform import names


class CallOutcome(NamedTuple):
    """How a call ended.

    Attributes
    ----------
    is_done
        Whether the platform took it.
    detail
        Its status, or why there is none.
    """

    is_done: bool
    detail: str


def wants_use(duties: Collection[str]) -> bool:
    """Return whether use is to be reported, by the duties that the settings name."""
    return names.USAGE_DUTY in duties


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

    async def report_use(self, content: bytes, fence: int, seconds: float) -> CallOutcome:
        """Report a window; only an answer that the platform took it counts as done."""
        headers = ((names.DUTY_HOLDER, self._holder), (names.FENCE, str(fence)))
        try:
            answer = await self._client.request(
                self._address, "POST", names.USAGE_PATH, content, seconds, headers
            )
        except NotSentError as error:
            return CallOutcome(False, f"unreachable({error})")
        except BrokenError as error:
            return CallOutcome(False, f"unanswered({error})")
        return CallOutcome(answer.status == 200, str(answer.status))
