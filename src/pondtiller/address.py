"""The address on which a process listens: an IP address and a port.

Text is not validated here; the settings do that.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Address:
    """The address on which a process listens."""

    host: str
    port: int


def to_address(text: str) -> Address:
    """Parse `IP:PORT`, which must be valid."""
    host, _, port = text.rpartition(":")
    return Address(host, int(port))
