"""Ports for programs that are told theirs before they start, and find them again when restarted."""

import random
import socket
from contextlib import ExitStack

PORTS = range(20_000, 32_768)
"""Below those that Linux gives to connections by default (`ip_local_port_range`, from 32,768 on):
no connection of another program takes one of these while nobody listens on it."""


def free_ports(count: int) -> list[int]:
    """Return different ports on which nothing listens now.

    Raises
    ------
    OSError
        Where there are not as many.
    """
    found: list[int] = []
    with ExitStack() as held:
        for port in random.Random().sample(PORTS, len(PORTS)):
            probe = held.enter_context(socket.socket())
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            found.append(port)
            if len(found) == count:
                return found
    raise OSError(f"only {len(found)} of {count} ports are free")
