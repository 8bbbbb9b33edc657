"""Connections to engines, kept while they can be reused; answers are checked strictly.

An engine may send an answer late, twice, or for another request. An answer counts only if it names
the request; a connection with unexpected bytes is closed.

Holds the kept connections of this process. Does not decide whether a request may be sent
(`SendGate`, checked once the connection is open), and does not retry.
"""

import re
from dataclasses import dataclass
from typing import Any

import curio
import h11

from pondtiller.address import Address
from pondtiller.httpio.bodies import BodyBuffer, discard
from pondtiller.httpio.client import ClientConnection
from pondtiller.httpio.client_errors import BrokenError, NotSentError
from pondtiller.httpio.sockets import tune
from pondtiller.platform import engine_answers
from pondtiller.platform.headers import Headers, header
from pondtiller.process import clock
from pondtiller.process.stalls import StallWatch
from pondtiller.routes.send_gate import BlockReason

CONNECT_SECONDS = 0.5
"""Time limit of a connection attempt, in running time of this process. Limits what an unreachable
engine costs a request that has another engine left; a round trip between regions takes 0.04 s.
"""
IDLE_SECONDS = 20.0
"""How long an unused connection is kept if the engine's answers do not state a limit. One that the
engine closed earlier is detected by `is_clean` before the next use.
"""
IDLE_MARGIN_SECONDS = 0.4
"""A connection is not used any more this long before the engine's own limit. A request sent while
the engine closes the connection would break off, and may not be repeatable; one way between regions
takes 0.02 s.
"""
MAX_STRAY_ANSWERS = 4
"""Answers to other requests, and interim heads, that are skipped before the request's own; a
connection with more of them is closed.
"""
KEPT_CONNECTIONS = 16
"""Unused connections kept to one engine. An engine accepts 100 from all gateways together unless
its row says otherwise; further ones are closed after use and opened again when needed.
"""


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and headers of an engine's answer."""

    status: int
    headers: Headers


class EngineConnection(ClientConnection):
    """Connection to one incarnation of an engine."""

    def __init__(self, engine: str, address: Address, stream: Any) -> None:
        super().__init__(address, stream)
        self.engine = engine
        self.usable_until = clock.monotonic() + IDLE_SECONDS

    async def read_answer(self, request: str) -> AnswerHead:
        """Read the head of the answer that names a request; raises `BrokenError`."""
        for _ in range(MAX_STRAY_ANSWERS):
            event = await self._next_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise BrokenError("the answer did not begin")
            headers = tuple(
                (name.decode().lower(), value.decode("latin-1")) for name, value in event.headers
            )
            self._note_keep_alive(headers)
            if not request or engine_answers.names_request(headers, request):
                return AnswerHead(event.status_code, headers)
            await self._skip_stray_answer()
        raise BrokenError("answers of other requests")

    def prepare_reuse(self) -> bool:
        """Return whether another request may be sent; not if bytes are left on the connection."""
        protocol = self._protocol
        if protocol.our_state is not h11.DONE or protocol.their_state is not h11.DONE:
            return False
        if protocol.trailing_data[0]:
            return False
        protocol.start_next_cycle()
        return clock.monotonic() < self.usable_until

    def is_clean(self) -> bool:
        """Return whether a kept connection is open without unexpected bytes."""
        if clock.monotonic() >= self.usable_until:
            return False
        try:
            self._socket._socket.recv(1)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    async def _skip_stray_answer(self) -> None:
        await discard(self.read_body())
        rest = self._protocol.trailing_data[0]
        if self._protocol.their_state is not h11.DONE or self._request is None:
            raise BrokenError("an answer of another request ended the connection")
        self._protocol = h11.Connection(h11.CLIENT)
        self._protocol.send(self._request)
        length = dict(self._request.headers).get(b"content-length", b"0")
        self._protocol.send(h11.Data(data=b"\0" * int(length)))
        self._protocol.send(h11.EndOfMessage())
        if rest:
            self._protocol.receive_data(rest)

    def _note_keep_alive(self, headers: Headers) -> None:
        text = header(headers, "keep-alive") or ""
        found = re.search(r"timeout=(\d+)", text)
        seconds = float(found.group(1)) if found else IDLE_SECONDS
        self.usable_until = clock.monotonic() + seconds - IDLE_MARGIN_SECONDS


class SilentEngineError(NotSentError):
    """An engine, or the network to it, did not respond within the connection time limit."""


class SendBlockedError(NotSentError):
    """A request must not be sent to an engine now; the engine did not fail."""

    def __init__(self, reason: BlockReason) -> None:
        super().__init__(f"held({reason.value})")
        self.reason = reason


class EnginePool:
    """Kept connections by engine.

    Parameters
    ----------
    stalls
        Measures pauses of this process, which do not count as silence of an engine.
    bodies
        Limits the memory of the answers being read; by default of this pool's alone.

    Attributes
    ----------
    opened
        New connections since the start, for `/metrics`.
    bodies
        As the parameter.
    """

    def __init__(self, stalls: StallWatch | None = None, bodies: BodyBuffer | None = None) -> None:
        self.opened = 0
        self.bodies = bodies or BodyBuffer()
        self._stalls = stalls or StallWatch()
        self._kept: dict[str, list[EngineConnection]] = {}

    def has_kept(self, engine: str) -> bool:
        """Return whether a connection is kept."""
        return bool(self._kept.get(engine))

    async def take(self, engine: str, address: Address) -> EngineConnection:
        """Return a connection, kept or new; raises `NotSentError`, `SilentEngineError`."""
        kept = self._kept.get(engine)
        while kept:
            connection = kept.pop()
            if connection.is_clean():
                return connection
            await connection.close()
        return await self.open(engine, address)

    async def open(
        self, engine: str, address: Address, seconds: float = CONNECT_SECONDS
    ) -> EngineConnection:
        """Return a new connection; raises `NotSentError`, `SilentEngineError`.

        Parameters
        ----------
        seconds
            Time limit, in running time of this process.
        """
        try:
            stream = await self._stalls.call(
                seconds, curio.open_connection, address.host, address.port
            )
        except OSError as error:
            raise NotSentError(str(error)) from error
        if stream is None:
            raise SilentEngineError("connection timed out")
        tune(stream)
        self.opened += 1
        return EngineConnection(engine, address, stream)

    async def give_back(self, connection: EngineConnection) -> None:
        """Keep a connection whose answer was read completely, if it can be reused.

        One whose request was abandoned is reset.
        """
        if not connection.is_answered:
            await connection.abort()
            return
        kept = self._kept.setdefault(connection.engine, [])
        if len(kept) < KEPT_CONNECTIONS and connection.prepare_reuse():
            kept.append(connection)
        else:
            await connection.close()

    async def give_back_unused(self, connection: EngineConnection) -> None:
        """Keep a connection on which nothing was sent since it was taken."""
        kept = self._kept.setdefault(connection.engine, [])
        if len(kept) < KEPT_CONNECTIONS:
            kept.append(connection)
        else:
            await connection.close()

    async def close_unusable(self) -> None:
        """Close the kept connections that a request would not be sent on any more.

        An engine may send on them without being asked, which takes memory until they are closed.
        """
        unusable: list[EngineConnection] = []
        for kept in self._kept.values():
            found = [each for each in kept if not each.is_clean()]
            # In place: `take` may be waiting in the middle of this list.
            kept[:] = [each for each in kept if each not in found]
            unusable += found
        for connection in unusable:
            await connection.close()

    async def forget(self, engines: set[str]) -> None:
        """Close the kept connections of all engines except those given."""
        for engine in [each for each in self._kept if each not in engines]:
            for connection in self._kept.pop(engine):
                await connection.close()
