"""A loopback proxy in front of one address, which delays, cuts or silences on request."""

import contextlib
import socket
from collections.abc import Callable
from typing import Any

import curio

from pondtiller.address import Address
from pondtiller.httpio.server import bind_tcp
from pondtiller.process import clock
from pondtiller.process.spawner import Spawner
from pondtiller.soak.owners import Owners

READ_BYTES = 65_536
"""Read at once, at most; each such piece is delayed on its own. Chosen, not measured."""
POLL_SECONDS = 0.05
"""How often a silent proxy looks whether it may go on, in seconds: what waits is late by this at
most. Chosen, not measured."""
END_CHECK_SECONDS = 0.01
"""How often a proxy looks whether its engine has ended or is back, in seconds. Its port must refuse
within a few of these, as the port of a process that ends does. Chosen, not measured."""
HEALED_SECONDS = 1.0
"""For how long after a heal what had waited may still come."""


class Proxy:
    """Passes bytes on.

    Attributes
    ----------
    delay_seconds
        How long each piece waits.
    is_silent
        Whether nothing is passed on, not even an end; what waits goes on afterwards.
    silent_for
        Programs for whose connections the same holds.
    healed_at
        When what had waited went on, on the steady clock.
    is_ended
        Whether nothing listens here, as where a process has ended; connections break off.
    watch
        Is called with all bytes that come, and the name of the program that receives them; empty
        where it is the target.
    openers
        Programs whose connections are open, by the port from which the target is reached.
    """

    def __init__(self, target: Address, owners: Owners | None = None) -> None:
        self.target = target
        self.delay_seconds = 0.0
        self.is_silent = False
        self.is_ended = False
        self.silent_for: set[str] = set()
        self.healed_at = float("-inf")
        self.watch: Callable[[bytes, str], None] | None = None
        self.openers: dict[int, str] = {}
        self.listener = bind_tcp("127.0.0.1", 0)
        self._is_listening = True
        self._place = Address(*self.listener.getsockname())
        self._owners = owners
        self._open: set[Any] = set()

    @property
    def address(self) -> str:
        """Where callers connect, as HOST:PORT."""
        return f"{self._place.host}:{self._place.port}"

    def heal(self) -> None:
        """Pass everything on at once again."""
        self.delay_seconds, self.is_silent = 0.0, False
        self.silent_for.clear()
        self.healed_at = clock.monotonic()

    def is_held(self, opener: str) -> bool:
        """Return whether what a program sends or is sent does not pass at once."""
        return self.is_silent or self.delay_seconds > 0 or opener in self.silent_for

    def holds_up(self, opener: str = "") -> bool:
        """Return whether what comes through may have left long ago, or together with others."""
        return self.is_held(opener) or clock.monotonic() < self.healed_at + HEALED_SECONDS

    async def reset(self) -> None:
        """End all connections that are open."""
        for stream in list(self._open):
            await _shut_down(stream)

    async def run(self) -> None:
        """Serve until cancelled."""
        while True:
            async with Spawner() as group:
                accepting = await group.spawn(self._accept, group)
                await self._wait_until(lambda: self.is_ended)
                await accepting.cancel()
                await self.listener.close()
                self._is_listening = False
                await self.reset()
            await self._wait_until(lambda: not self.is_ended)
            self.listener = bind_tcp(self._place.host, self._place.port)
            self._is_listening = True

    async def _accept(self, group: Spawner) -> None:
        while True:
            stream, peer = await self.listener.accept()
            await group.spawn(self._serve, group, stream, peer[1])

    async def _wait_until(self, is_true: Callable[[], bool]) -> None:
        while not is_true():
            await curio.sleep(END_CHECK_SECONDS)

    async def _serve(self, group: Spawner, stream: Any, port: int) -> None:
        """Serve a connection; it is closed also where the proxy ends as the target is opened."""
        opener = self._owners.opener(port, self._place.port) if self._owners else ""
        try:
            other = await self._open_target()
            if other is None:
                return
            try:
                await self._pass_both_ways(group, stream, other, opener)
            finally:
                await other.close()
        finally:
            await stream.close()

    async def _open_target(self) -> Any:
        """Return a connection to the target; None where it takes none, and so neither does this."""
        try:
            return await curio.open_connection(self.target.host, self.target.port)
        except OSError:
            return None

    async def _pass_both_ways(self, group: Spawner, stream: Any, other: Any, opener: str) -> None:
        if self.is_ended:
            # It was accepted in the moment of the end: it must not outlive that, and not break off
            # before the port refuses.
            await self._wait_until(lambda: not self._is_listening)
            return
        ends = {stream, other}
        self._open |= ends
        own_port = other.getsockname()[1]
        self.openers[own_port] = opener
        back = await group.spawn(self._pass, other, stream, opener, opener)
        try:
            await self._pass(stream, other, opener, "")
            await back.wait()
        finally:
            del self.openers[own_port]
            self._open -= ends

    async def _pass(self, source: Any, sink: Any, opener: str, receiver: str) -> None:
        """Pass bytes one way until an end closes; the other way then ends too."""
        try:
            while data := await source.recv(READ_BYTES):
                if self.watch is not None:
                    self.watch(data, receiver)
                if self.delay_seconds:
                    await curio.sleep(self.delay_seconds)
                await self._wait_for_passage(opener)
                await sink.sendall(data)
        except OSError:
            pass
        await self._wait_for_passage(opener)
        await _shut_down(source)
        await _shut_down(sink)

    async def _wait_for_passage(self, opener: str) -> None:
        while self.is_silent or opener in self.silent_for:
            await curio.sleep(POLL_SECONDS)


async def _shut_down(stream: Any) -> None:
    """End a connection; a task that waits for it is woken, unlike by closing it."""
    with contextlib.suppress(OSError):
        await stream.shutdown(socket.SHUT_RDWR)
