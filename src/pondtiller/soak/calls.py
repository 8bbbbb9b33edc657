"""Calls of a soak's callers and trainer at the gateways."""

import curio

from pondtiller.address import Address
from pondtiller.httpio.client import HttpClient
from pondtiller.httpio.client_errors import BrokenError, NotSentError

CALL_LIMIT_SECONDS = 6.0
"""Longest wait of a caller for its answer, in seconds: four times the time limit of live rows (1.5
s) and longer than any fault (4 s), so that a frozen gateway may still answer. Chosen, not
measured."""


class Calls:
    """Calls gateways, each time on a new connection.

    Parameters
    ----------
    ports
        Where the gateways listen for callers.
    """

    def __init__(self, ports: list[int]) -> None:
        self.ports = ports
        self.client = HttpClient()

    async def request(
        self, gateway: int, method: str, target: str, body: bytes, host: str, **headers: str
    ) -> tuple[int, bytes] | None:
        """Call a gateway on a new connection; None where no whole answer came."""
        named = tuple((name.replace("_", "-"), value) for name, value in headers.items())
        try:
            answer: tuple[int, bytes] = await curio.timeout_after(
                CALL_LIMIT_SECONDS,
                self._request_once,
                Address("127.0.0.1", self.ports[gateway]),
                method,
                target,
                body,
                (("Host", host), *named),
            )
        except (OSError, NotSentError, BrokenError, curio.TaskTimeout):
            return None
        return answer

    async def _request_once(
        self,
        address: Address,
        method: str,
        target: str,
        body: bytes,
        headers: tuple[tuple[str, str], ...],
    ) -> tuple[int, bytes]:
        connection = await self.client.open_plain(address)
        try:
            await connection.send_plain(method, target, body, headers)
            head = await connection.read_head()
            pieces = [piece async for piece in connection.read_body()]
        finally:
            await connection.close()
        return head.status_code, b"".join(pieces)
