"""A loopback proxy in front of one address, which delays, cuts or silences on request."""

import contextlib
import socket
from typing import Any

import curio

from pondtiller.core.entities import Address
from pondtiller.daemon import clock
from pondtiller.daemon.spawner import Spawner
from pondtiller.httpio.server import bind_tcp

READ_BYTES = 65_536
POLL_SECONDS = 0.05
HEALED_SECONDS = 1.0
"""For how long after a heal what had waited may still come."""


class Proxy:
    """Passes bytes on.

    Attributes
    ----------
    delay_seconds
        How long each piece waits.
    is_silent
        Whether nothing is passed on; what waits goes on afterwards.
    healed_at
        When what had waited went on, on the steady clock.
    """

    def __init__(self, target: Address) -> None:
        self.target = target
        self.delay_seconds = 0.0
        self.is_silent = False
        self.healed_at = float("-inf")
        self.listener = bind_tcp("127.0.0.1", 0)
        self._open: set[Any] = set()

    @property
    def address(self) -> str:
        """Where callers connect, as HOST:PORT."""
        host, port = self.listener.getsockname()
        return f"{host}:{port}"

    def heal(self) -> None:
        """Pass everything on at once again."""
        self.delay_seconds, self.is_silent = 0.0, False
        self.healed_at = clock.monotonic()

    def holds_up(self) -> bool:
        """Return whether what comes through may have left long ago, or together with others."""
        is_held = self.is_silent or self.delay_seconds > 0
        return is_held or clock.monotonic() < self.healed_at + HEALED_SECONDS

    async def reset(self) -> None:
        """End all connections that are open."""
        for stream in list(self._open):
            await _shut_down(stream)

    async def run(self) -> None:
        """Serve until cancelled."""
        async with Spawner() as group:
            while True:
                stream, _ = await self.listener.accept()
                await group.spawn(self._serve, group, stream)

    async def _serve(self, group: Spawner, stream: Any) -> None:
        try:
            other = await curio.open_connection(self.target.host, self.target.port)
        except OSError:
            await stream.close()
            return
        ends = {stream, other}
        self._open |= ends
        back = await group.spawn(self._pass, other, stream)
        try:
            await self._pass(stream, other)
            await back.wait()
        finally:
            self._open -= ends
            for each in ends:
                await each.close()

    async def _pass(self, source: Any, sink: Any) -> None:
        """Pass bytes one way until an end closes; the other way then ends too."""
        try:
            while data := await source.recv(READ_BYTES):
                if self.delay_seconds:
                    await curio.sleep(self.delay_seconds)
                while self.is_silent:
                    await curio.sleep(POLL_SECONDS)
                await sink.sendall(data)
        except OSError:
            pass
        await _shut_down(source)
        await _shut_down(sink)


async def _shut_down(stream: Any) -> None:
    """End a connection; a task that waits for it is woken, unlike by closing it."""
    with contextlib.suppress(OSError):
        await stream.shutdown(socket.SHUT_RDWR)
