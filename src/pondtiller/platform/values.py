"""Single values of the platform's documents, parsed defensively."""

from typing import Any

from pondtiller.address import Address

HIGHEST_PORT = 65_535
"""Highest port number of TCP."""


def is_whole(given: Any) -> bool:
    """Return whether a value is an integer and not a boolean."""
    return isinstance(given, int) and not isinstance(given, bool)


def started_ms(given: Any) -> int:
    """Return when an engine started, in ms since 1970; 0 if it is not an integer."""
    return int(given) if is_whole(given) and given > 0 else 0


def address(text: Any) -> Address:
    """Parse IP:PORT; raises `ValueError` if it is malformed."""
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not port.isdecimal() or not 0 < int(port) <= HIGHEST_PORT:
        raise ValueError("no address")
    return Address(host, int(port))
