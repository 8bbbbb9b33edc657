"""Single values of the platform's documents, parsed defensively."""

import ipaddress
from typing import Any

from pondtiller.address import Address

HIGHEST_PORT = 65_535
"""Highest port number of TCP."""
MAX_INTEGER = 2**63 - 1
"""Largest integer of a signed 64-bit field."""
MAX_COUNT = 2**31 - 1
"""Largest number of things of one kind."""
MAX_DURATION_MS = 10**12
"""Longest duration that is a sensible one: 31 years. Timers accept no arbitrary number."""
MAX_NAME_CHARACTERS = 1024
"""Longest name of anything, such as a zone or a model."""


def is_whole(given: Any) -> bool:
    """Return whether a value is an integer and not a boolean."""
    return isinstance(given, int) and not isinstance(given, bool)


def whole_of(text: str) -> int | None:
    """Return a number written in decimal digits; None if it is none, or of more than 64 bits."""
    if not text.isascii() or not text.isdecimal() or len(text) > len(str(MAX_INTEGER)):
        return None
    number = int(text)
    return number if number <= MAX_INTEGER else None


def started_ms(given: Any) -> int:
    """Return when an engine started, in ms since 1970; 0 if it is not a sensible integer."""
    return int(given) if is_whole(given) and 0 < given <= MAX_INTEGER else 0


def address(text: Any) -> Address:
    """Parse IP:PORT; raises `ValueError` if it is malformed."""
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    is_number = port.isascii() and port.isdecimal() and len(port) <= len(str(HIGHEST_PORT))
    if not is_number or not 0 < int(port) <= HIGHEST_PORT:
        raise ValueError("no address")
    # A name would have to be looked up, which may take longer than any call.
    ipaddress.ip_address(host)
    return Address(host, int(port))
