"""An engine that answers with bytes that never end, until its connection is closed.

It sends from threads of its own: a sender that shared the event loop of the tested program would
wait whenever that program does not, and would hide that it keeps the loop.
"""

import contextlib
import socket
import threading
import time
from collections.abc import Iterator
from enum import StrEnum
from typing import Any, NamedTuple

MOST_BYTES = 256 * 1024 * 1024
"""A connection is given up after this many bytes unless more are wanted."""
MOST_SECONDS = 5.0
"""A connection is given up after this time."""
PIECE_BYTES = 16 * 1024 * 1024
"""So long that one call sends for a while, without the lock that Python threads share."""
DATA = b"d" * 4096
"""Data of each event."""
READ_BYTES = 65_536
"""Longest read of a request."""
WAIT_SECONDS = 0.01
"""Interval of the checks for an ended connection."""
STOP_SECONDS = 5.0
"""How long the end of each thread is waited for."""


class Endless(StrEnum):
    """Where the bytes never end."""

    HEADER = "header"
    """A header line that does not end."""
    INTERIM = "interim"
    """Interim heads, one after the other."""
    UNFRAMED = "unframed"
    """A body without a length."""
    CHUNKED = "chunked"
    """A body in chunks."""
    LENGTH = "length"
    """A body whose announced length is never reached."""
    LINES = "lines"
    """A body without a length, of empty lines."""
    EVENTS = "events"
    """A body of events with rising numbers."""
    FAILURE = "failure"
    """The body of a failure."""
    OTHERS = "others"
    """The body of an answer to another request."""
    AFTER = "after"
    """After a whole answer."""


class SentAnswer(NamedTuple):
    """What a connection took until it was closed.

    Attributes
    ----------
    bytes_sent
        Most bytes that it took: the last piece may have been sent in part.
    seconds
        From its first byte until it was closed.
    was_closed
        Whether the other side closed it.
    """

    request: str
    bytes_sent: int
    seconds: float
    was_closed: bool


class EndlessEngine:
    """Accepts connections and answers each request without end.

    Parameters
    ----------
    kind
        Where the bytes never end.
    pause_seconds
        Pause after each piece; 0 to send as fast as the other side reads.
    piece
        What is repeated; by default a long piece without an end of a line.
    most_bytes
        A connection is given up after this many bytes, so that a test does not fill the memory.

    Attributes
    ----------
    sent
        Answers whose connections have ended.
    """

    def __init__(
        self,
        kind: Endless,
        pause_seconds: float = 0.0,
        piece: bytes = b"",
        most_bytes: float = MOST_BYTES,
    ) -> None:
        self.kind = kind
        self.pause_seconds = pause_seconds
        self.most_bytes = most_bytes
        self.piece = piece or b"x" * PIECE_BYTES
        self.sent: list[SentAnswer] = []
        self.is_over = False
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._connections: list[socket.socket] = []
        self._threads: list[threading.Thread] = []
        self._start(self._accept)

    @property
    def port(self) -> int:
        """Port on which it listens."""
        return int(self._listener.getsockname()[1])

    @property
    def address(self) -> str:
        """Where it listens, as IP:PORT."""
        return f"127.0.0.1:{self.port}"

    def entry(self, service: str, model: str = "") -> dict[str, Any]:
        """Return what the engine writes about itself into the store."""
        return {
            "service": service,
            "address": self.address,
            "zone": "z",
            "version": "v1",
            "cold_left_ms": 0,
            "slots": 4,
            "state": "ready",
            "models": [{"name": model, "version": 1}] if model else [],
            "sequence": 1,
        }

    def wait_sent(self) -> SentAnswer:
        """Return the first answer whose connection has ended, once there is one."""
        until = time.monotonic() + MOST_SECONDS + STOP_SECONDS
        while not self.sent and time.monotonic() < until:
            time.sleep(WAIT_SECONDS)
        return self.sent[0]

    def close(self) -> None:
        """End all connections."""
        self.is_over = True
        for each in (self._listener, *self._connections):
            with contextlib.suppress(OSError):
                each.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for thread in self._threads:
            thread.join(STOP_SECONDS)

    def _start(self, job: object, *given: object) -> None:
        thread = threading.Thread(target=job, args=given, daemon=True)  # type: ignore[arg-type]
        self._threads.append(thread)
        thread.start()

    def _accept(self) -> None:
        while not self.is_over:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self._connections.append(connection)
            self._start(self._serve, connection)

    def _serve(self, connection: socket.socket) -> None:
        with connection:
            connection.settimeout(MOST_SECONDS)
            try:
                head = _read_request(connection)
            except OSError:
                return
            if head is None:
                return
            request = _header(head, b"request-id").decode()
            began, count, was_closed = time.monotonic(), 0, False
            try:
                for piece in self._pieces(request.encode()):
                    count += len(piece)
                    connection.sendall(piece)
                    if self._is_enough(began, count):
                        break
                    time.sleep(self.pause_seconds)
            except TimeoutError:
                pass
            except OSError:
                was_closed = True
            self.sent.append(SentAnswer(request, count, time.monotonic() - began, was_closed))

    def _is_enough(self, began: float, count: int) -> bool:
        late = time.monotonic() > began + MOST_SECONDS
        return self.is_over or late or count > self.most_bytes

    def _pieces(self, request: bytes) -> Iterator[bytes]:
        """Yield what is sent: a head, then the same piece without end."""
        named = b"Request-Id: other" if self.kind is Endless.OTHERS else b"Request-Id: " + request
        status = b"500 X" if self.kind is Endless.FAILURE else b"200 OK"
        head = b"HTTP/1.1 " + status + b"\r\n" + named + b"\r\nResponse-Signature: s\r\n"
        repeated = self.piece
        match self.kind:
            case Endless.HEADER:
                yield b"HTTP/1.1 200 OK\r\nX: "
            case Endless.INTERIM:
                repeated = b"HTTP/1.1 102 Processing\r\n\r\n" * 100_000
            case Endless.CHUNKED:
                yield head + b"Transfer-Encoding: chunked\r\n\r\n"
                repeated = b"%x\r\n%s\r\n" % (len(self.piece), self.piece)
            case Endless.LENGTH:
                yield head + b"Content-Length: 1000000000000\r\n\r\n"
            case Endless.LINES:
                yield head + b"\r\n"
                repeated = b"\n\n" * (PIECE_BYTES // 2)
            case Endless.EVENTS:
                yield head + b"Weight-Versions: 1\r\n\r\n"
                yield from _events()
            case Endless.AFTER:
                yield head + b"Content-Length: 5\r\n\r\nwhole"
            case _:
                yield head + b"\r\n"
        while True:
            yield repeated


def _events() -> Iterator[bytes]:
    """Yield events without end."""
    number = 0
    while True:
        events = (b"id: %d\ndata: %s\n\n" % (number + n, DATA) for n in range(1, 101))
        yield b"".join(events)
        number += 100


def _read_request(connection: socket.socket) -> bytes | None:
    """Return the head of a request once its body is read too; None at the connection's end."""
    data = b""
    while b"\r\n\r\n" not in data:
        got = connection.recv(READ_BYTES)
        if not got:
            return None
        data += got
    head, _, body = data.partition(b"\r\n\r\n")
    left = int(_header(head, b"content-length") or b"0") - len(body)
    while left > 0:
        left -= len(connection.recv(READ_BYTES)) or left
    return head


def _header(head: bytes, name: bytes) -> bytes:
    for line in head.split(b"\r\n")[1:]:
        given, _, value = line.partition(b":")
        if given.lower() == name:
            return value.strip()
    return b""
