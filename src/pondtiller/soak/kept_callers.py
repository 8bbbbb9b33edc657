"""Callers that keep their connections open, and use them until the program is gone."""

from collections.abc import Callable

import curio

from pondtiller.address import Address
from pondtiller.httpio.client import ClientConnection, HttpClient
from pondtiller.httpio.client_errors import BrokenError, NotSentError
from pondtiller.process.spawner import Spawner
from pondtiller.soak.calls import CALL_LIMIT_SECONDS
from pondtiller.soak.programs import Program
from pondtiller.soak.promises import NOT_RUN, Promises

PAUSE_SECONDS = 0.05
"""Between an answer and the next request on the connection, in seconds. Chosen, not measured:
short, so that a request is often on its way as its gateway stops."""
DOWN_SECONDS = 0.3
"""Between two attempts to connect to a gateway that is down, in seconds. Chosen, not measured."""
HOST = "app.example"
LONG_PATH = "/list/long/"
"""Path of a row whose time limit is longer than the grace of a stop."""
PATHS = ("/list/9", f"{LONG_PATH}9")
"""Where the callers send, in turn; none of it may be repeated."""


class KeptCallers:
    """One caller a gateway, on one connection at a time.

    Attributes
    ----------
    is_calm
        Whether to call no more.
    """

    def __init__(
        self,
        gateways: list[Program],
        ports: list[int],
        promises: Promises,
        has_begun: Callable[[str], bool],
        refuse: Callable[[str], None],
    ) -> None:
        self.is_calm = False
        self._gateways = list(zip(gateways, ports, strict=True))
        self._promises = promises
        self._has_begun = has_begun
        self._refuse = refuse
        self._client = HttpClient()

    async def run(self, group: Spawner) -> None:
        """Call until the calm begins."""
        for number, (gateway, port) in enumerate(self._gateways):
            await group.spawn(self._call_on, number, gateway, port)

    async def _call_on(self, number: int, gateway: Program, port: int) -> None:
        count = 0
        while not self.is_calm:
            try:
                connection = await self._client.open_plain(Address("127.0.0.1", port))
            except NotSentError:
                await curio.sleep(DOWN_SECONDS)
                continue
            try:
                while not self.is_calm:
                    count += 1
                    path = PATHS[count % len(PATHS)]
                    if not await self._call(f"c{number}-{count}", path, gateway, connection):
                        break
                    await curio.sleep(PAUSE_SECONDS)
            finally:
                await connection.close()

    async def _call(
        self, identifier: str, path: str, gateway: Program, connection: ClientConnection
    ) -> bool:
        """Send one request; return whether the connection may be used again."""
        kills, body = gateway.kills, f"body of {identifier}".encode()
        headers = (("Host", HOST), ("Request-Id", identifier))
        try:
            answer = await curio.timeout_after(
                CALL_LIMIT_SECONDS, self._exchange, connection, path, body, headers
            )
        except curio.TaskTimeout:
            return False
        except (OSError, BrokenError):
            # A request that crosses the close of its connection was not passed on.
            if gateway.kills == kills and self._has_begun(identifier):
                self._promises.breach(
                    "a request on a kept connection is answered",
                    f"{identifier}: {gateway.spec.name} ended the connection",
                )
            return False
        if answer[0] in NOT_RUN:
            self._refuse(identifier)
        self._promises.answered(identifier, answer[0], answer[1], body)
        return bool(answer[2])

    async def _exchange(
        self,
        connection: ClientConnection,
        path: str,
        body: bytes,
        headers: tuple[tuple[str, str], ...],
    ) -> tuple[int, bytes, bool]:
        await connection.send_plain("POST", path, body, headers)
        head = await connection.read_head()
        received = b"".join([piece async for piece in connection.read_body()])
        return head.status_code, received, connection.can_be_kept()
