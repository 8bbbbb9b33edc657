"""Ports kept for programs, also while these are down.

A port that is only looked up can be another process's by the time a program starts, or starts
again. A socket that is bound and does not listen keeps it, and lets a program listen there: both
allow the address to be reused.
"""

import socket


class ReservedPorts:
    """Ports on loopback that nobody else is given."""

    def __init__(self) -> None:
        self._held: list[socket.socket] = []

    def port(self) -> int:
        """Return a port that is free now, and keep it."""
        held = socket.socket()
        held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        held.bind(("127.0.0.1", 0))
        self._held.append(held)
        return int(held.getsockname()[1])

    def close(self) -> None:
        """Keep none any more."""
        for held in self._held:
            held.close()
        self._held.clear()
