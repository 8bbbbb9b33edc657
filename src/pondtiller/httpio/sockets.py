"""Options of TCP connections that must detect the loss of the other side quickly.

With these a kept connection ends within 3 s of that loss. Otherwise a watch of 6 s on the store
would wait on a silently lost connection.
"""

import socket
import struct
from typing import Any

KEEPALIVE_SECONDS = 1
"""Idle time before the first probe and between two, in whole seconds: the minimum of the operating
system."""
KEEPALIVE_PROBES = 2
"""Unanswered probes after which the connection ends: 3 s in total, tolerating one lost probe."""
USER_TIMEOUT_MILLISECONDS = 2500
"""How long sent data may stay unacknowledged, in ms: less than the 3 s of the probes, which do not
run while data waits."""
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of `SO_LINGER`: unsent data is not kept after the close."""


def tune(stream: Any) -> None:
    """Send without delay, and detect within seconds that the other side is gone."""
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_SECONDS)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_SECONDS)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MILLISECONDS)


def reset_on_close(stream: Any) -> None:
    """Have the connection reset when it is closed, so that unsent data is dropped."""
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
