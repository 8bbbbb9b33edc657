"""What every stand-in does: listen on loopback and answer requests one by one."""

from typing import Any, Protocol

from pondtiller.httpio.server import Exchange, bind_tcp, serve_http


def listen_on_loopback() -> Any:
    """Return a listener at a free port."""
    return bind_tcp("127.0.0.1", 0)


class StandIn(Protocol):
    """What listens on loopback.

    Attributes
    ----------
    listener
        Its socket; whoever takes the form makes it with `listen_on_loopback`.
    """

    listener: Any

    @property
    def address(self) -> str:
        """Where it listens, as IP:PORT."""
        host, port = self.listener.getsockname()
        return f"{host}:{port}"

    async def serve(self) -> None:
        """Answer until cancelled."""
        await serve_http(self.listener, self._handle)

    async def _handle(self, exchange: Exchange) -> None: ...
