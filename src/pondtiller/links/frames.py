"""Frames: length, kind of message, call number, message.

Long messages are compressed, since they are mostly text and bytes between zones are half of all
costs without faults. Defines the numbers of the kinds, which are part of the protocol. Connections
are in `link.py`; messages are interpreted by their receivers.
"""

import zlib
from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

from betterproto import Message

from pondtiller.wire import steplog

HEAD_BYTES = 10
"""Header of a frame: length 4, kind 2, call 4, each big-endian."""
MAX_FRAME = 256 * 1024 * 1024
"""Longest message, compressed or not, in bytes; a longer one ends the link. Far above the longest
message in use, all values of a log in a takeover (11 MB)."""
REPLY_FLAG = 0x8000
"""Bit of the kind that marks an answer; part of the protocol."""
COMPRESSED_FLAG = 0x4000
"""Bit of the kind that marks a compressed message; part of the protocol."""
MIN_COMPRESSED = 512
"""Shortest message that is compressed, in bytes. Random text shrinks to 0.66; shorter messages are
mostly numbers, sent often, and gain little."""
COMPRESSION_LEVEL = 1
"""The fastest level, since other work waits for the same thread while a page is compressed."""

# Part of the protocol: a number must never be reused for another type.
TYPE_BY_KIND: dict[int, type[Message]] = {
    1: steplog.Subscribe,
    2: steplog.ReplicaView,
    3: steplog.Prepare,
    4: steplog.Promise,
    5: steplog.Fetch,
    6: steplog.Fetched,
    7: steplog.Append,
    8: steplog.Appended,
    9: steplog.Resign,
    10: steplog.OpenStep,
    11: steplog.EndStep,
    12: steplog.StepAnswer,
    13: steplog.ReadResults,
    14: steplog.ResultsPage,
    15: steplog.ReadSample,
    16: steplog.SampleBody,
    17: steplog.SaveProgress,
    18: steplog.ReadProgress,
    19: steplog.ProgressList,
    20: steplog.ReadDaemons,
    21: steplog.DaemonList,
    22: steplog.BeginRun,
    23: steplog.DropRun,
    24: steplog.KeepRuns,
    25: steplog.RunNews,
    26: steplog.ScoreSample,
    27: steplog.ScoreAnswer,
    28: steplog.ReadMirror,
    29: steplog.MirrorPage,
    30: steplog.UseTold,
    31: steplog.UseTaken,
    36: steplog.AskShares,
    37: steplog.SharesGranted,
    38: steplog.OfferRuns,
    39: steplog.RunsTaken,
    40: steplog.ReadLease,
    41: steplog.LeaseAge,
}
KIND_BY_TYPE = {message_type: kind for kind, message_type in TYPE_BY_KIND.items()}
URGENT_TYPES = (steplog.Fetched, steplog.ProgressList)
"""Messages that a new leader waits for: compressing them would cost more than the bytes."""


REPEATED_TYPES = (
    steplog.ReplicaView,
    steplog.Append,
    steplog.Appended,
    steplog.KeepRuns,
    steplog.ReadMirror,
    steplog.MirrorPage,
)
"""Messages that are often repeated with the same content, which are then not parsed again."""
MAX_REPEATED_BYTES = 1024
"""Longest such message that is kept for comparison, in bytes: one per kind and link. Parsing the
views of five members each time took 1.27 s of 1.93 s busy time of an idle gateway in 30 s. Views
are shorter, and long messages rarely repeat."""


class BadFrameError(Exception):
    """The other side sent a malformed frame."""


class Encoded(NamedTuple):
    """An encoded message, for sending it on several links."""

    kind: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Frame:
    """One message; `call` is 0 if no answer is expected."""

    call: int
    is_reply: bool
    message: Message


def encode_message(message: Message) -> Encoded:
    """Encode a message, compressed if that makes it shorter."""
    kind, body = KIND_BY_TYPE[type(message)], bytes(message)
    if len(body) >= MIN_COMPRESSED and not isinstance(message, URGENT_TYPES):
        compressed = zlib.compress(body, COMPRESSION_LEVEL)
        if len(compressed) < len(body):
            return Encoded(kind | COMPRESSED_FLAG, compressed)
    return Encoded(kind, body)


def message_name(message: Encoded) -> str:
    """Return the name of a message's type."""
    return TYPE_BY_KIND[message.kind & ~COMPRESSED_FLAG].__name__


def encode(message: Encoded, call: int, is_reply: bool) -> bytes:
    """Return the bytes of a frame."""
    kind = message.kind | (REPLY_FLAG if is_reply else 0)
    size = len(message.body)
    head = size.to_bytes(4, "big") + kind.to_bytes(2, "big") + call.to_bytes(4, "big")
    return head + message.body


class FrameReader:
    """Splits a stream of bytes into frames.

    A short message that is repeated unchanged is returned as the same object, so messages must not
    be modified.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._repeated: dict[int, tuple[bytes, Message]] = {}

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Add bytes and return the complete frames; raises `BadFrameError`."""
        self._buffer += data
        while len(self._buffer) >= HEAD_BYTES:
            length = int.from_bytes(self._buffer[:4], "big")
            if length > MAX_FRAME:
                raise BadFrameError("a frame exceeds the maximum length")
            if len(self._buffer) < HEAD_BYTES + length:
                return
            kind = int.from_bytes(self._buffer[4:6], "big")
            call = int.from_bytes(self._buffer[6:10], "big")
            body = bytes(self._buffer[HEAD_BYTES : HEAD_BYTES + length])
            del self._buffer[: HEAD_BYTES + length]
            yield Frame(call, bool(kind & REPLY_FLAG), self._read(kind & ~REPLY_FLAG, body))

    def _read(self, kind: int, body: bytes) -> Message:
        known = self._repeated.get(kind)
        if known is not None and known[0] == body:
            return known[1]
        number = kind & ~COMPRESSED_FLAG
        message = _parse(number, _decompress(body) if kind & COMPRESSED_FLAG else body)
        if len(body) <= MAX_REPEATED_BYTES and isinstance(message, REPEATED_TYPES):
            self._repeated[kind] = (body, message)
        return message


def _decompress(body: bytes) -> bytes:
    unpacker = zlib.decompressobj()
    try:
        found = unpacker.decompress(body, MAX_FRAME)
    except zlib.error as error:
        raise BadFrameError(str(error)) from error
    if not unpacker.eof:
        raise BadFrameError("a compressed message is truncated or too long")
    return found


def _parse(kind: int, body: bytes) -> Message:
    message_type = TYPE_BY_KIND.get(kind)
    if message_type is None:
        raise BadFrameError(f"unknown message kind {kind}")
    try:
        return message_type().parse(body)
    except Exception as error:
        # The decoder raises various exceptions for malformed messages.
        raise BadFrameError(str(error)) from error
