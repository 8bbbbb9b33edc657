"""Events of an engine's stream."""

from collections.abc import Iterator
from dataclasses import dataclass

from pondtiller.platform import names


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One complete event of an engine's stream.

    Attributes
    ----------
    number
        Counts from 1; -1 if the event has none.
    version
        Version of the weights from this event on; None if it did not change.
    """

    number: int
    data: str
    version: int | None


class EventReader:
    """Splits an engine's stream into complete events."""

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def has_rest(self) -> bool:
        """Whether the stream is in the middle of an event."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> Iterator[StreamEvent]:
        """Add bytes and return the complete events."""
        self._buffer += data.replace(b"\r\n", b"\n")
        while True:
            block, separator, rest = self._buffer.partition(b"\n\n")
            if not separator:
                return
            self._buffer = rest
            yield _event(block.decode("utf-8", "surrogateescape"))


def _event(block: str) -> StreamEvent:
    number, version = -1, None
    data: list[str] = []
    for line in block.split("\n"):
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if name == "id" and value.isdecimal():
            number = int(value)
        elif name == "data":
            data.append(value)
        elif name == names.VERSIONS and value.isdecimal():
            version = int(value)
    return StreamEvent(number, "\n".join(data), version)
