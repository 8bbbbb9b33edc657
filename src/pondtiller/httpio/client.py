"""An HTTP/1.1 client with kept connections, for whole and streamed answers.

Holds the kept connections for the life of the process. It retries nothing: the caller learns
whether the request may have been received. Engines are reached through
`gateway/engines/engine_pool.py`, which has its own rules for kept connections.
"""

import math
from collections.abc import Callable
from typing import Any, NamedTuple

import curio
import h11

from pondtiller.address import Address
from pondtiller.httpio.bodies import BodyBuffer
from pondtiller.httpio.client_errors import BrokenError, NoAnswerError, NotSentError
from pondtiller.httpio.messages import HttpResponse
from pondtiller.httpio.sockets import reset_on_close, tune
from pondtiller.process import clock

READ_BYTES = 65_536
"""Largest read, in bytes, so that most answers take a single read."""
ANSWER_STATUSES = range(200, 600)
"""Statuses of answers: HTTP defines none above, and those below precede an answer. Of any other
head nothing is read, so a call that gets one may have taken effect."""
MAX_INTERIM_HEADS = 4
"""Interim heads that are skipped before an answer; a connection with more of them is closed."""
READS_PER_TURN = 16
"""Reads from one connection after which other tasks get a turn. A read from a sender that never
pauses does not wait, so its reader would keep the event loop."""
MAX_IDLE_CONNECTIONS = 32
"""Connections to one address that are kept for later calls; limits open files only, since more than
these may be in use at once."""
CONNECT_SECONDS = 2.0
"""Time limit of opening a connection; a call's own limit may end it earlier. The operating system
repeats a lost SYN after 1 s, so one loss is tolerated."""
ANSWER_ENDED = (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)
"""States of the other side in which it has sent a whole answer."""


def _always() -> bool:
    return True


class ClientConnection:
    """One connection to a server."""

    def __init__(self, address: Address, stream_socket: Any) -> None:
        self.address = address
        self._socket = stream_socket
        self._protocol = h11.Connection(h11.CLIENT)
        self._request: h11.Request | None = None
        self._reads = 0

    async def send(
        self, method: str, target: str, body: bytes, headers: tuple[tuple[str, str], ...]
    ) -> None:
        """Send a request with a JSON body, with this server's address as its host."""
        own = (
            ("Host", f"{self.address.host}:{self.address.port}"),
            ("Content-Type", "application/json"),
        )
        await self.send_plain(method, target, body, (*own, *headers))

    async def send_plain(
        self, method: str, target: str, body: bytes, headers: tuple[tuple[str, str], ...]
    ) -> None:
        """Send a request with only these headers and the body's length."""
        head = h11.Request(
            method=method,
            target=target,
            headers=[*headers, ("Content-Length", str(len(body)))],
        )
        self._request = head
        events = [head, h11.Data(data=body), h11.EndOfMessage()]
        data = b"".join(self._protocol.send(event) or b"" for event in events)
        try:
            await self._socket.sendall(data)
        except OSError as error:
            raise BrokenError(str(error)) from error

    async def read_head(self) -> h11.Response:
        """Read the head of the answer."""
        for _ in range(MAX_INTERIM_HEADS + 1):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise BrokenError("the answer did not begin")
        raise BrokenError(f"more than {MAX_INTERIM_HEADS} interim heads before the answer")

    def read_body(self) -> "BodyPieces":
        """Return the body piece by piece; an incomplete body raises `BrokenError`."""
        return BodyPieces(self)

    async def next_piece(self) -> bytes | None:
        """Return the next piece of the body, or None at its end."""
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise BrokenError("the answer ended early")

    def can_be_kept(self) -> bool:
        """Return whether another request may be sent, and prepare for it."""
        if self._protocol.our_state is h11.DONE and self._protocol.their_state is h11.DONE:
            self._protocol.start_next_cycle()
            return True
        return False

    @property
    def is_answered(self) -> bool:
        """Whether the last request's answer was read to its end."""
        return self._protocol.their_state in ANSWER_ENDED

    async def close(self) -> None:
        """Close the connection; what was sent on it is still delivered."""
        await self._socket.close()

    async def abort(self) -> None:
        """Reset the connection; what was sent on it and has not arrived yet is dropped."""
        reset_on_close(self._socket)
        await self._socket.close()

    async def _next_event(self) -> Any:
        while True:
            try:
                event = self._protocol.next_event()
            except h11.RemoteProtocolError as error:
                raise BrokenError(str(error)) from error
            if event is not h11.NEED_DATA:
                _check_status(event)
                return event
            self._reads += 1
            if self._reads % READS_PER_TURN == 0:
                await curio.sleep(0)
            try:
                self._protocol.receive_data(await self._socket.recv(READ_BYTES))
            except OSError as error:
                raise BrokenError(str(error)) from error


class IdleConnection(NamedTuple):
    """An idle connection, and since when, on the monotonic clock."""

    connection: ClientConnection
    rests_since: float


class BodyPieces:
    """Pieces of a body for `async for`.

    Not an asynchronous generator: a reader may stop at any piece, and curio warns of each generator
    that is not run to its end.
    """

    def __init__(self, connection: ClientConnection) -> None:
        self.connection = connection

    def __aiter__(self) -> "BodyPieces":
        return self

    async def __anext__(self) -> bytes:
        piece = await self.connection.next_piece()
        if piece is None:
            raise StopAsyncIteration
        return piece


class HttpClient:
    """Sends requests over kept connections.

    Parameters
    ----------
    longest_rest_seconds
        Idle time after which a connection is not used again: it may have become silent, which only
        a call on it would show.
    bodies
        Limits the memory of the answers being read; by default of this client's alone.
    """

    def __init__(
        self, longest_rest_seconds: float = math.inf, bodies: BodyBuffer | None = None
    ) -> None:
        self._longest_rest_seconds = longest_rest_seconds
        self._bodies = bodies or BodyBuffer()
        self._kept: dict[Address, list[IdleConnection]] = {}

    async def request(
        self,
        address: Address,
        method: str,
        target: str,
        body: bytes = b"",
        seconds: float = 10.0,
        headers: tuple[tuple[str, str], ...] = (),
        may_send: Callable[[], bool] = _always,
    ) -> HttpResponse:
        """Send a request and return the whole answer.

        Parameters
        ----------
        may_send
            Called once the connection is open, right before the request is sent: opening may have
            taken longer than a right to send lasts, even if timers did not run meanwhile.

        Raises
        ------
        NotSentError
            If nothing was sent.
        BrokenError
            If the request may have taken effect; `NoAnswerError` if no complete answer came within
            `seconds`.
        """
        try:
            response: HttpResponse = await curio.timeout_after(
                seconds, self._request, address, method, target, body, headers, may_send
            )
        except curio.TaskTimeout as error:
            await self.close_kept(address)
            raise NoAnswerError("no answer in time") from error
        return response

    async def _request(
        self,
        address: Address,
        method: str,
        target: str,
        body: bytes,
        headers: tuple[tuple[str, str], ...],
        may_send: Callable[[], bool],
    ) -> HttpResponse:
        connection = await self.open(address, method, target, body, headers, may_send)
        try:
            head = await connection.read_head()
            body = await self._bodies.read_whole(connection.read_body())
        except BaseException:
            await connection.abort()
            raise
        await self.give_back(connection)
        received = tuple((name.decode(), value.decode("latin-1")) for name, value in head.headers)
        return HttpResponse(head.status_code, body, headers=received)

    async def open(
        self,
        address: Address,
        method: str,
        target: str,
        body: bytes,
        headers: tuple[tuple[str, str], ...] = (),
        may_send: Callable[[], bool] = _always,
    ) -> ClientConnection:
        """Send a request and return its connection, from which the answer is to be read.

        Raises `NotSentError` if the request may no longer be sent.
        """
        connection = await self._take_kept(address) or await self._connect(address)
        if not may_send():
            await connection.close()
            raise NotSentError("it may not be sent any more")
        try:
            await connection.send(method, target, body, headers)
        except BaseException:
            await connection.abort()
            raise
        return connection

    async def open_plain(self, address: Address) -> ClientConnection:
        """Return a new connection on which nothing was sent."""
        return await self._connect(address)

    async def give_back(self, connection: ClientConnection) -> None:
        """Keep a connection whose answer was read to its end."""
        kept = self._kept.setdefault(connection.address, [])
        if len(kept) < MAX_IDLE_CONNECTIONS and connection.can_be_kept():
            kept.append(IdleConnection(connection, clock.monotonic()))
        else:
            await connection.close()

    async def close_kept(self, address: Address) -> None:
        """Close idle connections: the cause of one silent connection may affect them too."""
        for kept in self._kept.pop(address, []):
            await kept.connection.close()

    async def _take_kept(self, address: Address) -> ClientConnection | None:
        kept = self._kept.get(address)
        while kept:
            connection, rests_since = kept.pop()
            if clock.monotonic() > rests_since + self._longest_rest_seconds:
                await connection.close()
            elif not _was_closed(connection):
                return connection
        return None

    async def _connect(self, address: Address) -> ClientConnection:
        try:
            stream = await curio.timeout_after(
                CONNECT_SECONDS, curio.open_connection, address.host, address.port
            )
        except (OSError, curio.TaskTimeout) as error:
            raise NotSentError(str(error) or "connection timed out") from error
        tune(stream)
        return ClientConnection(address, stream)


def _check_status(event: Any) -> None:
    """Raise `BrokenError` for the head of an answer without a valid status.

    h11 rejects all invalid statuses except those above `ANSWER_STATUSES`.
    """
    if isinstance(event, h11.Response) and event.status_code not in ANSWER_STATUSES:
        raise BrokenError(f"{event.status_code} is not the status of an answer")


def _was_closed(connection: ClientConnection) -> bool:
    """Return whether a kept connection has something to read: its end, or unexpected data."""
    with connection._socket.blocking() as plain:
        try:
            plain.recv(1, curio.socket.MSG_PEEK | curio.socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True
    return True
