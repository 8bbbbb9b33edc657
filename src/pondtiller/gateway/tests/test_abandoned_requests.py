"""An abandoned request is not delivered later, however long the path holds its bytes."""

import socket
from collections.abc import Awaitable, Callable

import curio
import pytest

from pondtiller.address import Address
from pondtiller.gateway.callers.forward import Forwarder
from pondtiller.gateway.callers.request import ForwardedRequest
from pondtiller.gateway.engines.engine_pool import EngineConnection, EnginePool
from pondtiller.gateway.metrics import GatewayMetrics
from pondtiller.gateway.runs.sample_runner import RunOrder, SampleRunner
from pondtiller.httpio.client import HttpClient
from pondtiller.httpio.client_errors import NoAnswerError
from pondtiller.process import clock
from pondtiller.routes.engines import EngineDirectory, EngineEntry, EngineState
from pondtiller.routes.send_gate import SendGate
from pondtiller.routes.table import RequestKind, RouteRow, ServiceShare
from pondtiller.wire.steplog import Sample

HELD_BYTES = 2048
"""Bytes that the listener's side of a connection takes while nobody reads."""
BODY = b"x" * 16 * HELD_BYTES + b"end"
ROUTE = RouteRow("r", "h", "/", RequestKind.SAFE, (ServiceShare("llm", 1.0),), attempts=1)


class SlowListener:
    """Accepts connections, and reads nothing until it is told to."""

    def __init__(self) -> None:
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, HELD_BYTES)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen()
        self.address = Address(*self.listener.getsockname())

    async def read_all(self) -> bytes:
        """Read what arrives on the first connection until it ends."""
        self.listener.settimeout(2.0)
        accepted, _ = self.listener.accept()
        taken = b""
        accepted.setblocking(False)
        with accepted:
            stream = curio.io.Socket(accepted)
            while True:
                try:
                    data = await curio.timeout_after(2.0, stream.recv, 65_536)
                except OSError:
                    return taken
                if not data:
                    return taken
                taken += data


async def abandon_call(address: Address) -> None:
    """Give up a call whose time is over."""
    with pytest.raises(NoAnswerError):
        await HttpClient().request(address, "POST", "/", BODY, 0.2)


async def cancel_call(address: Address) -> None:
    await cancelled(HttpClient().request, address, "POST", "/", BODY)


async def cancel_run(address: Address) -> None:
    engines, pool = known(address), EnginePool()
    gate = SendGate(engines)
    runner = SampleRunner(
        gate, pool, Forwarder("z", engines, pool, GatewayMetrics(), gate), lambda: None
    )
    content = bytes(Sample(id="s", path="/", body=BODY))
    order = RunOrder(1, "e", address, "h", 0, 0, None, content)
    await cancelled(runner.run, order, lambda *_: True)


async def cancel_request(address: Address) -> None:
    engines, pool = known(address), EnginePool()
    forwarder = Forwarder("z", engines, pool, GatewayMetrics(), SendGate(engines))
    request = ForwardedRequest("q", "POST", "/", (("host", "h"),), BODY, clock.monotonic() + 9.0)
    await cancelled(forwarder.whole, request, ROUTE)


async def give_stream_back(address: Address) -> None:
    """Give a connection back whose answer was not read to its end."""
    pool = EnginePool()
    connection = await pool.take("e", address)
    await connection.send_plain("POST", "/", BODY, (("Host", "h"),))
    await pool.give_back(connection)


def known(address: Address) -> EngineDirectory:
    engines = EngineDirectory()
    entry = EngineEntry("e", "llm", address, "z", 4, EngineState.READY)
    engines.replace_entries([entry], clock.monotonic())
    return engines


async def cancelled(function: Callable[..., Awaitable[object]], *given: object) -> None:
    task = await curio.spawn(function, *given)
    await curio.sleep(0.2)
    await task.cancel()


@pytest.mark.parametrize(
    "abandon", [abandon_call, cancel_call, cancel_run, cancel_request, give_stream_back]
)
def test_an_abandoned_request_is_not_delivered_later(
    abandon: Callable[[Address], Awaitable[None]],
) -> None:
    async def main() -> None:
        held = SlowListener()
        with held.listener:
            await abandon(held.address)
            await curio.sleep(0.1)
            assert not (await held.read_all()).endswith(b"end")

    curio.run(main)


@pytest.mark.parametrize("is_kept", [True, False])
def test_a_connection_whose_answer_was_whole_is_not_reset(is_kept: bool) -> None:
    async def main() -> None:
        held = SlowListener()
        with held.listener:
            pool = EnginePool()
            connection = await pool.open("e", held.address)
            accepted, _ = held.listener.accept()
            with accepted:
                await connection.send_plain("GET", "/", b"", (("Host", "h"),))
                accepted.recv(65_536)
                end = b"" if is_kept else b"Connection: close\r\n"
                accepted.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + end + b"\r\n")
                await read_whole(connection)
                await pool.give_back(connection)
                await pool.forget(set())
                assert accepted.recv(1) == b""

    curio.run(main)


async def read_whole(connection: EngineConnection) -> None:
    await connection.read_answer("")
    async for _piece in connection.read_body():
        pass
