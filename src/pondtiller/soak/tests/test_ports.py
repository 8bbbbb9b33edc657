"""Ports of programs that start later must still be free then."""

import socket
from pathlib import Path

import pytest

from pondtiller.soak import ports

GIVEN = Path("/proc/sys/net/ipv4/ip_local_port_range")
"""Ports that the kernel gives to connections, and to listeners that ask for any."""


def test_ports_are_different_and_none_of_those_that_connections_get() -> None:
    """A daemon could not bind its port again: a connection of another test had got it."""
    lowest, highest = map(int, GIVEN.read_text().split())
    found = ports.free_ports(50)
    assert len(set(found)) == 50
    assert not [each for each in found if lowest <= each <= highest]


def test_a_port_on_which_somebody_listens_is_not_given(monkeypatch: pytest.MonkeyPatch) -> None:
    (port,) = ports.free_ports(1)
    monkeypatch.setattr(ports, "PORTS", [port])
    with socket.create_server(("127.0.0.1", port)), pytest.raises(OSError, match="0 of 1"):
        ports.free_ports(1)
    assert ports.free_ports(1) == [port]
