"""Types of curio's objects, as far as they are used here, since curio has no annotations.

Only protocols without state.
"""

from types import TracebackType
from typing import Protocol, TypeVar

import curio

Item = TypeVar("Item")


class Task(Protocol):
    """A running task."""

    terminated: bool

    async def cancel(
        self, *, exc: type[BaseException] = curio.TaskCancelled, blocking: bool = True
    ) -> bool:
        """Raise an exception in the task; wait for its end unless `blocking` is False."""

    async def wait(self) -> None:
        """Return once the task has ended; its error is not raised."""


class Event(Protocol):
    """A flag for which tasks wait."""

    def clear(self) -> None:
        """Unset the flag."""

    async def set(self) -> None:
        """Set the flag and wake all tasks that wait for it."""

    async def wait(self) -> None:
        """Return once the flag is set."""


class Queue(Protocol[Item]):
    """A queue between tasks."""

    async def get(self) -> Item:
        """Return the first item, once there is one."""

    async def put(self, item: Item) -> None:
        """Append an item."""


class Connection(Protocol):
    """A connected stream socket; closed when its context ends."""

    async def __aenter__(self) -> "Connection":
        """Return the socket."""

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close the socket."""

    async def recv(self, maximum_bytes: int) -> bytes:
        """Return received data; empty once the other side has closed."""


class Listener(Protocol):
    """A listening stream socket."""

    def getsockname(self) -> tuple[str, int]:
        """Return host and port at which it is bound."""

    async def accept(self) -> tuple[Connection, tuple[str, int]]:
        """Return the next connection and the other side's address."""


class DatagramSocket(Protocol):
    """A bound datagram socket."""

    def getsockname(self) -> tuple[str, int]:
        """Return host and port at which it is bound."""

    async def recvfrom(self, maximum_bytes: int) -> tuple[bytes, tuple[str, int]]:
        """Return the next datagram and its sender."""

    async def sendto(self, data: bytes, address: tuple[str, int]) -> int:
        """Send a datagram."""
