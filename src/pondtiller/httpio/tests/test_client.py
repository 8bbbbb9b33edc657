"""Kept connections of the HTTP client."""

import math
import time

import curio
import pytest

from pondtiller.address import Address
from pondtiller.httpio.client import HttpClient
from pondtiller.httpio.client_errors import NoAnswerError
from pondtiller.httpio.messages import HttpResponse
from pondtiller.httpio.server import Exchange, bind_tcp, serve_http
from pondtiller.standins.endless_engine import Endless, EndlessEngine


def test_a_connection_idle_for_long_is_not_reused() -> None:
    listener = bind_tcp("127.0.0.1", 0)
    address = Address(*listener.getsockname())
    ports: list[int] = []

    async def handle(exchange: Exchange) -> None:
        ports.append(exchange.peer_port)
        await exchange.respond(HttpResponse(200))

    async def main() -> None:
        server = await curio.spawn(serve_http, listener, handle, lambda: False)
        client = HttpClient(longest_rest_seconds=0.3)
        for rest in (0.0, 0.5, 0.0):
            await client.request(address, "GET", "/")
            await curio.sleep(rest)
        assert ports[0] == ports[1] != ports[2]
        await server.cancel()

    curio.run(main)


def test_after_an_unanswered_call_no_kept_connection_is_used() -> None:
    listener = bind_tcp("127.0.0.1", 0)
    address = Address(*listener.getsockname())
    ports: set[int] = set()
    is_silent = False

    async def handle(exchange: Exchange) -> None:
        if is_silent and exchange.peer_port in ports:
            await exchange.wait_closed()
            return
        ports.add(exchange.peer_port)
        await curio.sleep(0.05)
        await exchange.respond(HttpResponse(200))

    async def main() -> None:
        nonlocal is_silent
        server = await curio.spawn(serve_http, listener, handle, lambda: False)
        client = HttpClient()
        async with curio.TaskGroup() as calls:
            for _call in range(3):
                await calls.spawn(client.request, address, "GET", "/")
        assert len(ports) == 3
        is_silent = True
        with pytest.raises(NoAnswerError):
            await client.request(address, "GET", "/", seconds=0.2)
        answer = await client.request(address, "GET", "/", seconds=0.5)
        assert answer.status == 200
        await server.cancel()

    curio.run(main)


@pytest.mark.parametrize("kind", [Endless.UNFRAMED, Endless.CHUNKED, Endless.LENGTH])
def test_a_body_without_end_does_not_keep_the_event_loop(kind: Endless) -> None:
    """Guards against a process that answers nobody else while a sender never pauses."""
    engine = EndlessEngine(kind, most_bytes=math.inf)
    turns: list[float] = []

    async def read() -> None:
        connection = await HttpClient().open(
            Address("127.0.0.1", engine.port), "GET", "/", b"", (("Request-Id", "q"),)
        )
        try:
            await connection.read_head()
            async for _piece in connection.read_body():
                pass
        finally:
            await connection.close()

    async def main() -> None:
        reader = await curio.spawn(read)
        while len(turns) < 20:
            await curio.sleep(0.01)
            turns.append(time.monotonic())
        await reader.cancel()

    try:
        curio.run(main)
        sent = engine.wait_sent()
    finally:
        engine.close()
    assert sent.was_closed
