"""Bodies of answers, read up to limits: a faulty server may send bytes without end.

Holds how many bytes whole bodies take while they are being read. A body over a limit raises
`BrokenError`, since it will be no answer; whoever reads it then closes the connection.
"""

from collections.abc import AsyncIterator

from pondtiller.httpio.client_errors import BrokenError

MAX_BODY_BYTES = 16 * 1024 * 1024
"""Longest whole body that is read, in bytes."""
SMALL_BODY_BYTES = 65_536
"""Up to this many bytes a body does not count among the buffered ones, so that ordinary answers are
read while others never end."""
MAX_BUFFERED_BYTES = 48 * 1024 * 1024
"""Most bytes that all whole bodies being read take together. The smallest machines have 160 MB."""
MAX_DISCARDED_BYTES = 1024 * 1024
"""Longest body that is read only to keep its connection, in bytes."""


class BodyBuffer:
    """Memory that whole bodies take while they are being read.

    Attributes
    ----------
    held_bytes
        Bytes that are counted now.
    """

    def __init__(self) -> None:
        self.held_bytes = 0

    async def read_whole(self, pieces: AsyncIterator[bytes]) -> bytes:
        """Return a whole body; raises `BrokenError` if it is too long."""
        body = bytearray()
        counted = 0
        try:
            async for piece in pieces:
                body += piece
                if len(body) > SMALL_BODY_BYTES:
                    self._count(len(body) - counted)
                    counted = len(body)
                _check_length(len(body), MAX_BODY_BYTES)
        finally:
            self.held_bytes -= counted
        return bytes(body)

    def _count(self, more_bytes: int) -> None:
        held = self.held_bytes + more_bytes
        if held > MAX_BUFFERED_BYTES:
            raise BrokenError(f"bodies take {held} bytes of {MAX_BUFFERED_BYTES}")
        self.held_bytes = held


async def discard(pieces: AsyncIterator[bytes]) -> None:
    """Read a body that is not needed; raises `BrokenError` if it is too long."""
    length = 0
    async for piece in pieces:
        length += len(piece)
        _check_length(length, MAX_DISCARDED_BYTES)


def _check_length(length: int, limit: int) -> None:
    if length > limit:
        raise BrokenError(f"the body is longer than {limit} bytes")
