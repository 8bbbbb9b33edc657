"""A stand-in of an engine, on a socket."""

import json
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import curio

from pondtiller.httpio.messages import HttpResponse, json_response
from pondtiller.httpio.server import ConnectionLostError, Exchange
from pondtiller.platform import names
from pondtiller.platform.engine_answers import MISDIRECTED
from pondtiller.standins.listening import StandIn, listen_on_loopback

NEVER = 1_000_000
"""Event after which a stream breaks off that does not break off: more than any sample has."""
FIRST_START_MS = 1_700_000_000_000
"""When engines that say so started first, in ms since 1970; any time in the past serves."""
RESTART_MS = 1000
"""How much later each start under the same name is, in ms: enough to be another number."""

Behaviour = Callable[[Exchange], Awaitable[None]]


class SeenRequest(NamedTuple):
    """A request that reached an engine, run or not; header names in lower case."""

    identifier: str
    target: str
    headers: dict[str, str]


class StandInEngine(StandIn):
    """An engine: answers whole requests, streams samples, takes orders.

    Attributes
    ----------
    events
        Events of a sample.
    started_ms
        When it started, in ms since 1970, as its entry says; None where it does not say so.
    next_behaviours
        How the next requests are answered, in turn; without one it answers like a sound engine.
    """

    def __init__(self, identifier: str, service: str, events: int = 3) -> None:
        self.listener = listen_on_loopback()
        self.identifier = identifier
        self.service = service
        self.events = events
        self.event_seconds = 0.005
        self.work_seconds = 0.0
        self.version = 1
        self.orders: list[dict[str, Any]] = []
        self.seen: list[SeenRequest] = []
        self.next_behaviours: list[Behaviour] = []
        self.models: list[str] = []
        self.zone = "z"
        self.started_ms: int | None = None

    def entry(self, state: str = "ready") -> dict[str, Any]:
        """Return what the engine writes about itself into the store."""
        models = [{"name": name, "version": self.version} for name in self.models]
        started = {"born": self.started_ms} if self.started_ms is not None else {}
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "cold_left_ms": 0,
            "slots": 4,
            "state": state,
            "models": models,
            "sequence": 7,
            **started,
        }

    def begin_next_start(self) -> None:
        """Be the next start of the engine: count orders anew, and say a later time of the start."""
        if self.started_ms is not None:
            self.started_ms += RESTART_MS
        self.orders.clear()

    async def _handle(self, exchange: Exchange) -> None:
        request = exchange.request
        if request.path == names.REPORT_PATH:
            await exchange.respond(self._report())
            return
        if request.path == names.ORDER_PATH:
            await exchange.respond(self._order(json.loads(request.body)))
            return
        identifier = request.headers[names.REQUEST_ID]
        self.seen.append(SeenRequest(identifier, request.target, request.headers))
        if request.headers.get(names.EXPECT_ENGINE, self.identifier) != self.identifier:
            await exchange.respond(HttpResponse(MISDIRECTED))
            return
        if self.next_behaviours:
            await self.next_behaviours.pop(0)(exchange)
        elif "model" in request.headers:
            await self.stream(exchange)
        else:
            await self.whole(exchange)

    async def whole(self, exchange: Exchange) -> None:
        """Answer like a sound engine."""
        request = exchange.request
        identifier = request.headers[names.REQUEST_ID]
        await curio.sleep(self.work_seconds)
        headers = ((names.REQUEST_ID, identifier), (names.SIGNATURE, f"sig-{identifier}"))
        await exchange.respond(HttpResponse(200, b"answer " + request.body, "", headers))

    async def stream(self, exchange: Exchange, stop_after: int = NEVER) -> None:
        """Stream a sample's events from where the request wants; break off after one of them."""
        identifier = exchange.request.headers[names.REQUEST_ID]
        first = int(exchange.request.headers.get(names.LAST_EVENT, "0")) + 1
        version = self.version
        headers = (
            (names.REQUEST_ID, identifier),
            (names.SIGNATURE, f"sig-{identifier}"),
            (names.VERSIONS, str(version)),
            ("Content-Type", "text/event-stream"),
        )
        await exchange.start_response(200, headers)
        for number in range(first, self.events + 1):
            await curio.sleep(self.seconds_to_event(identifier))
            changed = f"{names.VERSIONS}: {self.version}\n" if self.version != version else ""
            version = self.version
            data = self.event_data(identifier, number)
            await exchange.send_piece(f"{changed}id: {number}\ndata: {data}\n\n".encode())
            if number == stop_after:
                raise ConnectionLostError("cut")
        await exchange.end_stream()

    def seconds_to_event(self, sample: str) -> float:
        """Return the time between two events of a sample."""
        return self.event_seconds

    def event_data(self, sample: str, number: int) -> str:
        """Return what an event holds; the version is the one that made it."""
        return f"{sample}/{number}"

    def _report(self) -> HttpResponse:
        models = [{"name": name, "version": self.version} for name in self.models]
        body = {"models": models, "sequence": len(self.orders), "busy": False}
        return json_response(200, body)

    def _order(self, order: dict[str, Any]) -> HttpResponse:
        if order["if_rev"] != len(self.orders):
            return HttpResponse(409)
        self.orders.append(order)
        self.version = order["version"]
        return HttpResponse(202)
