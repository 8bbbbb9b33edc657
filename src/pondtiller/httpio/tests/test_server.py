"""A server that closes its connections."""

import curio

from pondtiller.httpio.messages import HttpResponse
from pondtiller.httpio.server import Exchange, bind_tcp, serve_http
from pondtiller.process.spawner import Spawner

ASKED = b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n"


def test_requests_that_were_read_are_answered_before_a_closing_connection_ends() -> None:
    received = bytearray()

    async def answer(exchange: Exchange) -> None:
        await exchange.respond(HttpResponse(200, exchange.request.path.encode()))

    async def test() -> None:
        listener = bind_tcp("127.0.0.1", 0)
        async with Spawner() as group:
            await group.spawn(serve_http, listener, answer, lambda: True)
            caller = await curio.open_connection(*listener.getsockname())
            async with caller:
                await caller.sendall(b"".join(ASKED % number for number in range(3)))
                while piece := await curio.timeout_after(2.0, caller.recv, 65_536):
                    received.extend(piece)

    curio.run(test)
    answers = bytes(received).split(b"HTTP/1.1 200")[1:]
    assert [each[-2:] for each in answers] == [b"/0", b"/1", b"/2"]
    assert [b"close" in each for each in answers] == [False, False, True]
