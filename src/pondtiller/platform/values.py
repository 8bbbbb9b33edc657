"""Single values of the platform's documents, read with suspicion."""

from typing import Any

from pondtiller.address import Address

HIGHEST_PORT = 65_535
"""Of TCP."""


def is_whole(given: Any) -> bool:
    """Return whether a value is a whole number; true and false are none."""
    return isinstance(given, int) and not isinstance(given, bool)


def started_ms(given: Any) -> int:
    """Return when an engine started, in ms since 1970; 0 where no whole number is given."""
    return int(given) if is_whole(given) and given > 0 else 0


def address(text: Any) -> Address:
    """Read IP:PORT; raises `ValueError` where it is none."""
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not port.isdecimal() or not 0 < int(port) <= HIGHEST_PORT:
        raise ValueError("no address")
    return Address(host, int(port))
