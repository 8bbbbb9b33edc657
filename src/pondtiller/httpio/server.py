"""An HTTP/1.1 server: one curio task per connection, limits on sizes and on slow senders.

Handles a connection until it ends. Requests are read completely before they are handled; answers
may be streamed. The handler decides what a request means.
"""

import errno
import socket as plain_socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import curio
import h11

from pondtiller.errors import ErrorKind, Failure
from pondtiller.httpio.messages import HttpRequest, HttpResponse, json_response, parse_target
from pondtiller.process.spawner import Spawner

MAXIMUM_BODY_BYTES = 64 * 1024 * 1024
"""Longest body that is read, in bytes; if the length is announced, a longer one is rejected before
any of it is read. Limits the memory of one request."""
MAXIMUM_HEAD_BYTES = 32 * 1024
"""Longest head of a request, in bytes, also the default of the configured limit. Limits the memory
of a connection whose head never ends."""
READ_BYTES = 65_536
"""Largest read from a connection, in bytes."""
IDLE_SECONDS = 75.0
"""How long a connection may be idle between two requests; also the default of the configured
limit."""
READ_SECONDS = 30.0
"""Longest pause of a sender within a request: frees connections whose senders are gone, and is far
above the pauses of working ones."""
WRITE_SECONDS = 30.0
"""Longest wait until a receiver has accepted a piece of an answer."""
LINGER_SECONDS = 2.0
"""How long data after a rejection is read and discarded. Otherwise the rejection of a body of 64 MB
could be lost to the reset that closing with unread data causes."""
LINGER_READS = 64
"""Maximum reads within that time: 4 MiB at `READ_BYTES` each, which limits the cost of a sender
that continues."""
BACKLOG = 1024
"""Connections that the kernel queues until they are accepted: a burst of callers during a short
pause of this process is not refused."""
ACCEPT_PAUSE_SECONDS = 0.05
"""Pause before accepting again when the process has no file descriptor left, which neither ends it
nor blocks the event loop."""
CLOSE_CHECK_SECONDS = 1.0
"""Interval of the checks whether a caller has left that sent more than its request: its connection
stays readable, so waiting for readability would spin the event loop."""
NOT_HTTP = "what was sent is no HTTP/1.1 request"


class ConnectionLostError(Exception):
    """The other side is gone, or too slow to be served."""


@dataclass(frozen=True, slots=True)
class BadMessageError(Exception):
    """The other side sent a message that cannot be accepted."""

    failure: Failure


class Exchange:
    """One request on a connection, and the means to answer it."""

    def __init__(self, connection: "ServerConnection", request: HttpRequest) -> None:
        self.request = request
        self.started = False
        self._connection = connection

    @property
    def peer_port(self) -> int:
        """Port from which the other side connected; raises `OSError` if it is gone."""
        return self._connection.peer_port

    async def respond(self, response: HttpResponse) -> None:
        """Send a whole response."""
        self.started = True
        await self._connection.send_response(response)

    async def start_stream(self, headers: tuple[tuple[str, str], ...] = ()) -> None:
        """Start a stream of server-sent events."""
        self.started = True
        await self._connection.start_stream(headers)

    async def start_response(self, status: int, headers: tuple[tuple[str, str], ...]) -> None:
        """Start an answer whose body is sent in pieces."""
        self.started = True
        await self._connection.start_response(status, headers)

    async def send_piece(self, data: bytes) -> None:
        """Send a piece of the stream."""
        await self._connection.send_data(data)

    async def end_stream(self) -> None:
        """End the stream."""
        await self._connection.end_message()

    async def wait_closed(self) -> None:
        """Return once the other side closed the connection."""
        await self._connection.wait_closed()


Handler = Callable[[Exchange], Awaitable[None]]


def failure_response(failure: Failure) -> HttpResponse:
    """Return an error in the format that callers of the OpenAI protocol expect."""
    answer = failure.answer
    headers: tuple[tuple[str, str], ...] = (("X-Pondtiller-Ran", answer.ran.value),)
    if answer.retry_after_seconds is not None:
        headers += (("Retry-After", str(answer.retry_after_seconds)),)
    if not answer.retryable:
        headers += (("X-Should-Retry", "false"),)
    body = {
        "error": {
            "message": failure.describe(),
            "type": failure.kind.value,
            "code": failure.kind.value,
            "param": None,
            "ran": answer.ran.value,
            "retryable": answer.retryable,
        }
    }
    return json_response(answer.status, body, headers)


class ServerConnection:
    """One accepted connection."""

    def __init__(self, stream_socket: Any, is_closing: Callable[[], bool]) -> None:
        self._socket = stream_socket
        self._protocol = h11.Connection(h11.SERVER, max_incomplete_event_size=MAXIMUM_HEAD_BYTES)
        self._is_closing = is_closing

    @property
    def peer_port(self) -> int:
        """Port from which the other side connected; raises `OSError` if it is gone."""
        return int(self._socket.getpeername()[1])

    async def serve(self, handler: Handler) -> None:
        """Answer requests until the connection ends."""
        while True:
            try:
                request = await self._read_request()
            except BadMessageError as bad:
                await self._refuse(bad.failure)
                await self._linger()
                return
            if request is None:
                return
            await handler(Exchange(self, request))
            if self._protocol.our_state is not h11.DONE:
                return
            if self._protocol.their_state is not h11.DONE:
                return
            self._protocol.start_next_cycle()

    async def _refuse(self, failure: Failure) -> None:
        if self._protocol.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            await self.send_response(failure_response(failure))

    async def _linger(self) -> None:
        """Read and discard remaining data for a moment.

        Closing with unread data resets the connection, and the rejection could be lost.
        """
        try:
            await self._socket.shutdown(plain_socket.SHUT_WR)
            async with curio.ignore_after(LINGER_SECONDS):
                for _ in range(LINGER_READS):
                    if not await self._socket.recv(READ_BYTES):
                        return
        except OSError:
            return

    async def _read_request(self) -> HttpRequest | None:
        head: h11.Request | None = None
        body = bytearray()
        while True:
            event = await self._next_event(IDLE_SECONDS if head is None else READ_SECONDS)
            if isinstance(event, h11.Request):
                head = event
                _check_announced_length(head)
                await self._answer_expectation()
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MAXIMUM_BODY_BYTES:
                    raise BadMessageError(Failure(ErrorKind.BODY_TOO_LARGE))
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return _to_request(head, bytes(body))
            else:
                return None

    async def _answer_expectation(self) -> None:
        if self._protocol.they_are_waiting_for_100_continue:
            await self._send(h11.InformationalResponse(status_code=100, headers=[]))

    async def _next_event(self, seconds: float) -> Any:
        while True:
            try:
                event = self._protocol.next_event()
            except h11.RemoteProtocolError as error:
                # The error's own text repeats the received data, which may contain a caller's key.
                raise BadMessageError(Failure(ErrorKind.BAD_REQUEST, NOT_HTTP)) from error
            if event is not h11.NEED_DATA:
                return event
            try:
                data = await curio.timeout_after(seconds, self._socket.recv, READ_BYTES)
            except curio.TaskTimeout as error:
                raise ConnectionLostError("too slow to send") from error
            except OSError as error:
                raise ConnectionLostError(str(error)) from error
            self._protocol.receive_data(data)

    async def send_response(self, response: HttpResponse) -> None:
        """Send a response with its whole body in one write."""
        headers = [("Content-Length", str(len(response.body))), *response.headers]
        if response.content_type:
            headers.insert(0, ("Content-Type", response.content_type))
        if self._announces_close():
            headers.append(("Connection", "close"))
        await self._send(
            h11.Response(status_code=response.status, headers=headers),
            h11.Data(data=response.body),
            h11.EndOfMessage(),
        )

    async def start_stream(self, headers: tuple[tuple[str, str], ...]) -> None:
        """Send the head of a stream of server-sent events."""
        all_headers = [("Content-Type", "text/event-stream"), ("Cache-Control", "no-cache")]
        await self._send(h11.Response(status_code=200, headers=[*all_headers, *headers]))

    async def start_response(self, status: int, headers: tuple[tuple[str, str], ...]) -> None:
        """Send the head of an answer whose body is sent in pieces."""
        closing = (("Connection", "close"),) if self._announces_close() else ()
        await self._send(h11.Response(status_code=status, headers=[*headers, *closing]))

    def _announces_close(self) -> bool:
        """Return whether this answer is the last one; a request that was read is answered first."""
        unread, _ = self._protocol.trailing_data
        return self._is_closing() and not unread

    async def send_data(self, data: bytes) -> None:
        """Send a piece of a body."""
        await self._send(h11.Data(data=data))

    async def end_message(self) -> None:
        """End a body."""
        await self._send(h11.EndOfMessage())

    async def _send(self, *events: Any) -> None:
        data = b"".join(self._protocol.send(event) or b"" for event in events)
        try:
            await curio.timeout_after(WRITE_SECONDS, self._socket.sendall, data)
        except curio.TaskTimeout as error:
            raise ConnectionLostError("too slow to read") from error
        except OSError as error:
            raise ConnectionLostError(str(error)) from error

    async def wait_closed(self) -> None:
        """Return once the other side has closed; pipelined data is left unread."""
        while True:
            await curio.traps._read_wait(self._socket.fileno())
            try:
                with self._socket.blocking() as plain:
                    peeked = plain.recv(1, plain_socket.MSG_PEEK | plain_socket.MSG_DONTWAIT)
            except BlockingIOError:
                continue
            except OSError:
                return
            if not peeked:
                return
            await curio.sleep(CLOSE_CHECK_SECONDS)


def _check_announced_length(head: h11.Request) -> None:
    """Reject a body that is announced as too large before any of it is read."""
    for name, value in head.headers:
        if name == b"content-length" and int(value) > MAXIMUM_BODY_BYTES:
            raise BadMessageError(Failure(ErrorKind.BODY_TOO_LARGE))


def _to_request(head: h11.Request, body: bytes) -> HttpRequest:
    headers = tuple((name.decode(), value.decode("latin-1")) for name, value in head.headers)
    method = head.method.decode()
    target = head.target.decode("latin-1")
    try:
        return parse_target(method, target, headers, body)
    except ValueError as error:
        raise BadMessageError(Failure(ErrorKind.BAD_REQUEST, str(error))) from error


def bind_tcp(host: str, port: int) -> Any:
    """Return a listening TCP socket; port 0 lets the kernel choose."""
    listener = curio.socket.socket(curio.socket.AF_INET, curio.socket.SOCK_STREAM)
    listener.setsockopt(curio.socket.SOL_SOCKET, curio.socket.SO_REUSEADDR, 1)
    listener.bind((host, port))
    listener.listen(BACKLOG)
    return listener


def _never() -> bool:
    return False


async def serve_http(
    listener: Any, handler: Handler, is_closing: Callable[[], bool] = _never
) -> None:
    """Accept connections until cancelled; answers announce the closing once `is_closing`."""
    async with Spawner() as group:
        while True:
            try:
                client, _ = await listener.accept()
            except OSError as error:
                if error.errno in (errno.EMFILE, errno.ENFILE):
                    await curio.sleep(ACCEPT_PAUSE_SECONDS)
                    continue
                raise
            client.setsockopt(plain_socket.IPPROTO_TCP, plain_socket.TCP_NODELAY, 1)
            await group.spawn(_serve_client, client, handler, is_closing)


async def _serve_client(client: Any, handler: Handler, is_closing: Callable[[], bool]) -> None:
    async with client:
        connection = ServerConnection(client, is_closing)
        try:
            await connection.serve(handler)
        except (ConnectionLostError, h11.LocalProtocolError):
            return
