"""Where a process listens: an IP address and a port.

Text is not checked here: the settings have done so.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Address:
    """Where a process listens."""

    host: str
    port: int


def to_address(text: str) -> Address:
    """Return `IP:PORT`, checked before, as a value."""
    host, _, port = text.rpartition(":")
    return Address(host, int(port))
