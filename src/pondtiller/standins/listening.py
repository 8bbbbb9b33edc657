"""What every stand-in does: listen on loopback and answer requests one by one."""

import re
from collections.abc import Iterator
from typing import Any, Protocol

from pondtiller.httpio.server import Exchange, bind_tcp, serve_http

STATUS_LINE = re.compile(rb"HTTP/1\.1 \d{3}")
"""Beginning of each answer; `ServerConnection` sends a head in one call."""


def listen_on_loopback() -> Any:
    """Return a listener at a free port."""
    return bind_tcp("127.0.0.1", 0)


class StandIn(Protocol):
    """What listens on loopback.

    Attributes
    ----------
    listener
        Its socket; whoever takes the form makes it with `listen_on_loopback`.
    statuses
        What the next answers have in place of their status, in turn; None for their own.
    """

    listener: Any
    statuses: Iterator[bytes] | None = None

    @property
    def address(self) -> str:
        """Where it listens, as IP:PORT."""
        host, port = self.listener.getsockname()
        return f"{host}:{port}"

    async def serve(self) -> None:
        """Answer until cancelled."""
        await serve_http(_Listener(self), self._handle)

    async def _handle(self, exchange: Exchange) -> None: ...


class _Listener:
    """Accepts the connections of a stand-in."""

    def __init__(self, stand_in: StandIn) -> None:
        self._stand_in = stand_in

    async def accept(self) -> tuple[Any, Any]:
        client, peer = await self._stand_in.listener.accept()
        return _Client(client, self._stand_in), peer


class _Client:
    """A socket on which answers get the statuses that the stand-in is to send."""

    def __init__(self, client: Any, stand_in: StandIn) -> None:
        self._client = client
        self._stand_in = stand_in

    def __getattr__(self, name: str) -> Any:
        return getattr(self._client, name)

    async def __aenter__(self) -> "_Client":
        return self

    async def __aexit__(self, *_error: object) -> None:
        await self._client.close()

    async def sendall(self, data: bytes) -> None:
        """Send data, with another status if it begins an answer."""
        statuses = self._stand_in.statuses
        if statuses is not None and STATUS_LINE.match(data):
            data = STATUS_LINE.sub(b"HTTP/1.1 " + next(statuses), data, count=1)
        await self._client.sendall(data)
