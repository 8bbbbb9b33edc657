"""Streams whose engine breaks off, through `StreamForwarder`."""

from typing import Any

import curio
import pytest

from pondtiller.address import Address
from pondtiller.errors import ErrorKind
from pondtiller.gateway.callers.forward import Forwarder
from pondtiller.gateway.callers.request import ForwardedRequest
from pondtiller.gateway.callers.streams import StreamForwarder
from pondtiller.gateway.engines.engine_pool import EnginePool
from pondtiller.gateway.metrics import GatewayMetrics
from pondtiller.httpio.client_errors import BrokenError, NotSentError
from pondtiller.httpio.messages import HttpResponse
from pondtiller.process import clock
from pondtiller.routes.engines import EngineDirectory, EngineEntry, EngineState
from pondtiller.routes.send_gate import SendGate
from pondtiller.routes.table import RequestKind, RouteRow, ServiceShare


class BreakingConnection:
    """Breaks off while the request is sent: a part of it may have arrived at the engine."""

    async def send_plain(self, *_given: object) -> None:
        raise BrokenError("connection reset")

    async def close(self) -> None:
        return


class FakeExchange:
    """A caller that waits for its answer."""

    def __init__(self) -> None:
        self.answers: list[HttpResponse] = []

    async def respond(self, response: HttpResponse) -> None:
        self.answers.append(response)

    async def wait_closed(self) -> None:
        await curio.sleep(60.0)


@pytest.mark.parametrize("may_resume", [True, False])
def test_a_stream_that_broke_off_while_it_left_is_not_answered_as_not_run(may_resume: bool) -> None:
    engines = EngineDirectory()
    place = Address("10.0.0.1", 1)
    engines.replace_entries([EngineEntry("e0", "app", place, "z", 2, EngineState.READY)], 0.0)
    pool = EnginePool()

    async def take(_engine: str, _address: Address) -> Any:
        return BreakingConnection()

    async def refuse(_engine: str, _address: Address, _seconds: float) -> Any:
        raise NotSentError("connection refused")

    async def give_back(connection: BreakingConnection) -> None:
        await connection.close()

    pool.take = take  # type: ignore[method-assign]
    pool.open = refuse  # type: ignore[method-assign]
    pool.give_back = give_back  # type: ignore[method-assign,assignment]
    gate = SendGate(engines)
    forwarder = Forwarder("z", engines, pool, GatewayMetrics(), gate)
    streams = StreamForwarder(forwarder, pool, gate)
    shares = (ServiceShare("app", 1.0),)
    route = RouteRow("r", "h", "/", RequestKind.STREAM, shares, attempts=2, may_resume=may_resume)
    exchange = FakeExchange()

    async def ask() -> None:
        request = ForwardedRequest("q", "POST", "/", (), b"", clock.monotonic() + 1.0)
        await streams.forward(exchange, request, route)  # type: ignore[arg-type]

    curio.run(ask)
    (answer,) = exchange.answers
    kind = ErrorKind.ENGINE_FAILED if may_resume else ErrorKind.OUTCOME_UNKNOWN
    assert kind.value.encode() in answer.body
