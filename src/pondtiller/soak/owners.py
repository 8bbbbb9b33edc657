"""Which program opened a connection, as the kernel tells by the program's process."""

import os
from collections.abc import Callable, Mapping
from pathlib import Path

TCP_TABLE = Path("/proc/net/tcp")
LOCAL_COLUMN, REMOTE_COLUMN, INODE_COLUMN = 1, 2, 9


def find_inode(table: str, port: int, to_port: int) -> str:
    """Return the inode of the socket of a connection between two ports; empty where it is gone.

    Parameters
    ----------
    table
        Text of /proc/net/tcp: ports are in hexadecimal digits after a colon.
    """
    local, remote = f":{port:04X}", f":{to_port:04X}"
    for line in table.splitlines():
        if local not in line:
            continue
        columns = line.split()
        if columns[LOCAL_COLUMN].endswith(local) and columns[REMOTE_COLUMN].endswith(remote):
            return columns[INODE_COLUMN]
    return ""


def holds(process: int, inode: str) -> bool:
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
        inode = find_inode(TCP_TABLE.read_text(), port, to_port)
        if not inode:
            return ""
        processes = self._find_processes().items()
        return next((name for name, process in processes if holds(process, inode)), "")
