"""Events of an engine's stream."""

import re
from collections.abc import Iterator
from dataclasses import dataclass

from pondtiller.httpio.client_errors import BrokenError
from pondtiller.platform import names
from pondtiller.platform.values import whole_of

MAX_EVENT_BYTES = 256 * 1024
"""Longest event that is read, in bytes: a stream without an end of an event is broken off. An event
holds a few tokens."""
SEPARATOR = re.compile(rb"\r?\n\r?\n")
SEPARATOR_BYTES = 4
"""Length of the longest separator."""
FIELDS = frozenset({"id", "data", "event", "retry", "", names.VERSIONS})
"""Names of the lines of an event; the empty one is that of a comment."""


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One complete event of an engine's stream.

    Attributes
    ----------
    number
        Counts from 1; -1 if the event has none.
    data
        Bytes that are not UTF-8 are kept as surrogates (`is_text`).
    version
        Version of the weights from this event on; None if it did not change.
    raw
        The event as received, with its separator.
    """

    number: int
    data: str
    version: int | None
    raw: bytes


class EventReader:
    """Splits an engine's stream into complete events."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._searched = 0

    @property
    def has_rest(self) -> bool:
        """Whether the stream is in the middle of an event."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> Iterator[StreamEvent]:
        """Add bytes and return the complete events.

        Raises `BrokenError` if an event is too long, or if something is no event.
        """
        self._buffer += data
        while True:
            found = SEPARATOR.search(self._buffer, max(0, self._searched - SEPARATOR_BYTES))
            end = found.end() if found is not None else len(self._buffer)
            if end > MAX_EVENT_BYTES:
                raise BrokenError(f"an event is longer than {MAX_EVENT_BYTES} bytes")
            if found is None:
                self._searched = end
                return
            raw = bytes(self._buffer[:end])
            del self._buffer[:end]
            self._searched = 0
            yield _event(raw)


def is_text(data: str) -> bool:
    """Return whether an event's data was valid UTF-8, so that it can be stored and returned."""
    try:
        data.encode()
    except UnicodeEncodeError:
        return False
    return True


def _event(raw: bytes) -> StreamEvent:
    number, version = -1, None
    data: list[str] = []
    is_event = False
    for line in raw.decode("utf-8", "surrogateescape").replace("\r\n", "\n").split("\n"):
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        is_event = is_event or (name in FIELDS and bool(line))
        if name == "id":
            given = whole_of(value)
            number = given if given is not None else number
        elif name == "data":
            data.append(value)
        elif name == names.VERSIONS:
            given = whole_of(value)
            version = given if given is not None else version
    if not is_event:
        raise BrokenError(f"{len(raw)} bytes of the stream are no event")
    return StreamEvent(number, "\n".join(data), version, raw)
