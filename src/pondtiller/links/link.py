"""A link: one connection on which both sides may send calls.

Holds the data to be sent and the calls that wait for an answer; both are lost with the connection.
Does not reconnect, which is up to its opener. Silence of the other side is detected by whoever sets
`on_data`.
"""

import socket
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

import curio
from betterproto import Message

from pondtiller.address import Address
from pondtiller.httpio.sockets import tune
from pondtiller.links.frames import (
    BadFrameError,
    Encoded,
    Frame,
    FrameReader,
    encode,
    encode_message,
    message_name,
)
from pondtiller.process.spawner import Spawner

READ_BYTES = 262_144
"""Largest read, in bytes, so that long messages take few reads."""
CONNECT_SECONDS = 0.6
"""Time limit of opening a connection: 15 times the 40 ms between regions. The operating system
repeats a lost SYN after 1 s, so a longer limit gains nothing. With the pause of 0.4 s before the
next attempt, a disconnected replica is reached within a second after the network recovers."""
MAX_UNSENT_BYTES = 64 * 1024 * 1024
"""Unsent bytes above which a link is dropped, since the other side does not read. Several times the
longest log in a takeover (11 MB), and a bound on memory."""
SEND_BYTES = 131_072
"""Bytes passed to the kernel at a time. Passing everything that waits, for each part that is
accepted, took time quadratic in its length: with 11 MB a takeover lasted 8 s."""
COMPACT_BYTES = 4 * 1024 * 1024
"""Sent bytes after which the rest of the buffer is moved to the front; moving it for each part
would be quadratic as well. Trades memory against the cost of moving."""
ACCEPT_PAUSE_SECONDS = 0.05
"""Pause before accepting again after a failure."""

SENT_BYTES: Counter[str] = Counter()
"""Bytes sent by this process on links, by type of message, for its metrics."""

Handler = Callable[["Link", int, Message], Awaitable[None]]
Answered = Callable[[Message], Awaitable[None]]


class LinkLostError(Exception):
    """The connection ended, or the other side does not respond."""


class LinkRefusedError(LinkLostError):
    """Nothing listens at the address: its process has ended."""


class Link:
    """One connection.

    Sending never waits for the other side: data that the kernel does not accept at once is sent by
    a task. A link whose other side does not read is dropped.

    Attributes
    ----------
    on_data
        Called whenever bytes arrive, even a part of a message.
    """

    def __init__(self, stream: Any) -> None:
        self.is_lost = False
        self.sent_bytes = 0
        self._stream = stream
        self._unsent = bytearray()
        self._begin = 0
        self.on_data: Callable[[], None] | None = None
        self._has_unsent = curio.Event()
        self._last_call = 0
        self._waiting: dict[int, Answered] = {}
        self._calls: dict[int, Any] = {}

    async def send(self, message: Message | Encoded, call: int = 0, is_reply: bool = False) -> None:
        """Send a message; if that fails, the message is dropped with the link."""
        if self.is_lost:
            return
        encoded = message if isinstance(message, Encoded) else encode_message(message)
        frame = encode(encoded, call, is_reply)
        SENT_BYTES[message_name(encoded)] += len(frame)
        self._unsent += frame
        self._push()
        if self._unsent:
            await self._has_unsent.set()

    @property
    def has_unsent(self) -> bool:
        """Whether data waits that the kernel has not accepted; it is lost with the link."""
        return not self.is_lost and self._begin < len(self._unsent)

    async def request(self, message: Message | Encoded, answered: Answered) -> int:
        """Call the other side and return the call's number; `answered` receives the answer."""
        self._last_call = self._last_call % 0x7FFFFFFF + 1
        call = self._last_call
        self._waiting[call] = answered
        await self.send(message, call)
        return call

    async def reply(self, call: int, message: Message) -> None:
        """Answer a call."""
        await self.send(message, call, is_reply=True)

    async def call(self, message: Message, seconds: float | None) -> Message:
        """Call the other side and wait for the answer; raises `LinkLostError`.

        Parameters
        ----------
        seconds
            Longest wait by the clock; None if the caller limits it.
        """
        answers: list[Message] = []
        done = curio.Event()

        async def take(answer: Message) -> None:
            answers.append(answer)
            await done.set()

        if self.is_lost:
            raise LinkLostError("the connection is lost")
        number = await self.request(message, take)
        self._calls[number] = done
        try:
            if seconds is None:
                await done.wait()
            else:
                await curio.ignore_after(seconds, done.wait)
        finally:
            self._waiting.pop(number, None)
            self._calls.pop(number, None)
        if not answers:
            raise LinkLostError("no answer")
        return answers[0]

    async def run(self, handler: Handler) -> None:
        """Read until the connection ends; the link is lost then."""
        sender = await curio.spawn(self._send_rest, daemon=True)
        try:
            await self._read(handler)
        finally:
            self.is_lost = True
            await sender.cancel(blocking=False)
            for done in list(self._calls.values()):
                await done.set()
            await self._stream.close()

    async def drop(self) -> None:
        """Close the connection; `run` returns."""
        self.is_lost = True
        try:
            await self._stream.shutdown(socket.SHUT_RDWR)
        except OSError:
            return

    async def _read(self, handler: Handler) -> None:
        reader = FrameReader()
        while not self.is_lost:
            try:
                data = await self._stream.recv(READ_BYTES)
                if not data:
                    return
                if self.on_data is not None:
                    self.on_data()
                for frame in reader.feed(data):
                    await self._take(frame, handler)
            except (OSError, BadFrameError):
                return

    async def _take(self, frame: Frame, handler: Handler) -> None:
        if not frame.is_reply:
            await handler(self, frame.call, frame.message)
            return
        answered = self._waiting.pop(frame.call, None)
        if answered is not None:
            await answered(frame.message)

    def _push(self) -> None:
        """Pass data to the kernel in parts, as far as it accepts them without waiting.

        The data may be a whole log: passing or moving all of it for each accepted part would take
        time quadratic in its length.
        """
        if self._stream._socket is None:
            # The reader has closed the connection while data waited.
            self.is_lost = True
            return
        while self._begin < len(self._unsent):
            part = bytes(self._unsent[self._begin : self._begin + SEND_BYTES])
            try:
                sent = self._stream._socket.send(part, socket.MSG_NOSIGNAL)
            except BlockingIOError:
                break
            except OSError:
                self._unsent.clear()
                self._begin = 0
                self.is_lost = True
                return
            self.sent_bytes += sent
            self._begin += sent
            if sent < len(part):
                break
        if self._begin > COMPACT_BYTES or self._begin == len(self._unsent):
            del self._unsent[: self._begin]
            self._begin = 0
        if len(self._unsent) > MAX_UNSENT_BYTES:
            self.is_lost = True

    async def _send_rest(self) -> None:
        """Send data that the kernel did not accept at once."""
        while True:
            await self._has_unsent.wait()
            self._has_unsent.clear()
            while self._unsent and not self.is_lost:
                await curio.traps._write_wait(self._stream)
                self._push()
            if self.is_lost:
                return


async def connect(address: Address) -> Link:
    """Open a link; raises `LinkLostError`."""
    try:
        link: Link = await curio.timeout_after(CONNECT_SECONDS, open_link, address)
        return link
    except curio.TaskTimeout as error:
        raise LinkLostError(str(error) or "no connection in time") from error


async def open_link(address: Address) -> Link:
    """Open a link without a time limit.

    Raises
    ------
    LinkRefusedError
        If nothing listens at the address.
    LinkLostError
        If the system cannot connect for another reason.
    """
    try:
        stream = await curio.open_connection(address.host, address.port)
    except ConnectionRefusedError as error:
        raise LinkRefusedError(str(error)) from error
    except OSError as error:
        raise LinkLostError(str(error)) from error
    tune(stream)
    return Link(stream)


async def serve_links(listener: Any, accepted: Callable[[Link], Awaitable[None]]) -> None:
    """Accept links until cancelled; `accepted` runs each in its own task."""
    async with Spawner() as group:
        while True:
            try:
                stream, _ = await listener.accept()
            except OSError:
                await curio.sleep(ACCEPT_PAUSE_SECONDS)
                continue
            tune(stream)
            await group.spawn(accepted, Link(stream))
