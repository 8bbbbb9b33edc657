"""Options of TCP connections that must notice soon that the other side is gone.

With these a kept connection ends within 3 s of the loss of its other side. A watch of 6 s on the
store would otherwise wait on a connection that is silently away.
"""

import socket
from typing import Any

KEEPALIVE_SECONDS = 1
"""Idle time before the first probe and between two, in whole seconds: the least that the system
takes."""
KEEPALIVE_PROBES = 2
"""Probes without an answer after which the connection ends: 3 s in all, with one lost probe
outlived."""
USER_TIMEOUT_MILLISECONDS = 2500
"""How long sent data may stay without an acknowledgement, in ms. Chosen, not measured: less than
the 3 s of the probes, which do not run while data waits."""


def tune(stream: Any) -> None:
    """Send at once, and notice within seconds that the other side is gone."""
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_SECONDS)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_SECONDS)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MILLISECONDS)
