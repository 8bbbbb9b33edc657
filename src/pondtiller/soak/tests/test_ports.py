"""A reserved port is nobody else's, and a program can listen on it again and again."""

import errno
import socket

import pytest

from pondtiller.soak.ports import ReservedPorts


def test_a_program_listens_on_a_reserved_port_again_and_nobody_else_is_given_it() -> None:
    reserved = ReservedPorts()
    port = reserved.port()
    for _ in range(2):
        server = socket.create_server(("127.0.0.1", port))
        with server, socket.create_connection(("127.0.0.1", port)):
            pass
    with socket.socket() as other, pytest.raises(OSError) as refused:
        other.bind(("127.0.0.1", port))
    assert refused.value.errno == errno.EADDRINUSE
    reserved.close()
