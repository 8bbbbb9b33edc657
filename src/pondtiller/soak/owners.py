"""Which program opened a connection, as the kernel tells by the program's process.

One connection is asked for by netlink (`man 7 sock_diag`): on a busy machine the table in /proc/net
takes 20 ms to read, for which all engines of a soak would stand still.
"""

import os
import socket
import struct
from collections.abc import Callable, Mapping

NETLINK_SOCK_DIAG = 4
"""Netlink family of socket diagnostics (`linux/netlink.h`)."""
SOCK_DIAG_BY_FAMILY = 20
"""Type of a question about sockets of one address family (`linux/sock_diag.h`)."""
NLM_F_REQUEST = 1
"""Flag of a message that asks (`linux/netlink.h`)."""
HEADER = struct.Struct("=LHHLL")
"""Of a netlink message: length, type, flags, sequence, sender."""
REQUEST = struct.Struct("=BBBBL")
"""Family, protocol, wanted extensions, padding, wanted states as bits."""
CONNECTION = struct.Struct("!HH16s16sLQ")
"""Ports and addresses of both ends, the interface, a cookie: all ones where none is known."""
NO_COOKIE = 2**64 - 1
"""Both halves all ones: the socket is found by its addresses (`INET_DIAG_NOCOOKIE`)."""
ALL_STATES = 0xFFFFFFFF
"""A bit for each state of a connection: whichever it is in."""
ANSWER_BYTES = 4096
"""Read at once; the answer about one socket is some hundred bytes. A page of memory, chosen."""
INODE_AT = HEADER.size + 68
"""After the head: 4 bytes, the connection of 48, then expiry, both queues, the user: 4 each."""
LOOPBACK = socket.inet_aton("127.0.0.1")


def find_inode(port: int, to_port: int) -> int:
    """Return the inode of the socket of a loopback connection between two ports; 0 if gone."""
    connection = CONNECTION.pack(port, to_port, LOOPBACK, LOOPBACK, 0, NO_COOKIE)
    request = REQUEST.pack(socket.AF_INET, socket.IPPROTO_TCP, 0, 0, ALL_STATES) + connection
    head = HEADER.pack(HEADER.size + len(request), SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST, 1, 0)
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, NETLINK_SOCK_DIAG) as asked:
        asked.sendto(head + request, (0, 0))
        answer = asked.recv(ANSWER_BYTES)
    _, kind, _, _, _ = HEADER.unpack_from(answer)
    if kind != SOCK_DIAG_BY_FAMILY:
        return 0
    return int(struct.unpack_from("=L", answer, INODE_AT)[0])


def holds(process: int, inode: int) -> bool:
    """Return whether a process has a socket open."""
    try:
        with os.scandir(f"/proc/{process}/fd") as found:
            return any(os.readlink(each.path) == f"socket:[{inode}]" for each in found)
    except OSError:
        return False  # It ended meanwhile, or closed a file while it was looked at.


class Owners:
    """Names the programs that open connections.

    Parameters
    ----------
    find_processes
        Returns the process id of each running program by its name.
    """

    def __init__(self, find_processes: Callable[[], Mapping[str, int]]) -> None:
        self._find_processes = find_processes

    def opener(self, port: int, to_port: int) -> str:
        """Return who opened a connection from a port to another; empty where none did."""
        inode = find_inode(port, to_port)
        if not inode:
            return ""
        processes = self._find_processes().items()
        return next((name for name, process in processes if holds(process, inode)), "")
