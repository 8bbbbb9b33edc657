"""One engine model behind HTTP.

Owns the open streams and the orders under way. A caller that leaves cancels its request in the
model. Timing and answers are the model's: `emulator.engine`.
"""

import json
from collections.abc import Callable
from typing import Annotated

import curio
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from pondtiller.address import Address
from pondtiller.errors import ErrorKind, Failure
from pondtiller.httpio.messages import HttpResponse, json_response
from pondtiller.httpio.server import (
    ConnectionLostError,
    Exchange,
    failure_response,
    serve_http,
)
from pondtiller.process import clock
from pondtiller.process.curio_types import Listener, Queue
from pondtiller.serve.core.instructions import EngineOrder, EngineRequest
from pondtiller.serve.core.tokens import Chunk
from pondtiller.serve.emulator.engine import (
    ChunkOutput,
    EngineModel,
    EngineOutput,
    OrderOutput,
    Submission,
)
from pondtiller.table.sheet import explain

ChunkObserver = Callable[[str, Chunk], None]
Stream = Queue[ChunkOutput | None]
"""Pieces of one answer; None once the caller has left."""


class CompletionBody(BaseModel):
    """A request as engines take it."""

    model_config = ConfigDict(extra="ignore")

    request_id: str = ""
    model: str
    prompt: str
    max_tokens: Annotated[int, Field(ge=1)] = 256
    priority: int = 0
    resume_text: str = ""
    resume_tokens: Annotated[int, Field(ge=0)] = 0
    minimum_version: int = 0


class OrderBody(BaseModel):
    """An order as engines take it."""

    model_config = ConfigDict(extra="ignore")

    order_id: str
    fence: int
    kind: str
    model: str
    version: int


class EngineServer:
    """One engine model behind HTTP.

    Attributes
    ----------
    observe_chunk
        Called with each request's identifier and chunk, for checks from outside.
    """

    def __init__(self, model: EngineModel, listener: Listener) -> None:
        self.model = model
        self.address = Address(*listener.getsockname())
        self._listener = listener
        self._streams: dict[str, Stream] = {}
        self._orders: dict[str, Queue[OrderOutput]] = {}
        self._changed = curio.Event()
        self._sequence = 0
        self.observe_chunk: ChunkObserver | None = None

    async def run(self) -> None:
        """Serve until cancelled."""
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(serve_http, self._listener, self._handle)
            await group.spawn(self._advance)

    async def _advance(self) -> None:
        while True:
            now = clock.monotonic()
            for output in self.model.advance(now):
                await self._emit(output)
            due = self.model.next_wakeup()
            self._changed.clear()
            if due is None:
                await self._changed.wait()
            else:
                wait = max(0.0, due - clock.monotonic())
                await curio.ignore_after(wait, self._changed.wait)

    async def _emit(self, output: EngineOutput) -> None:
        if isinstance(output, OrderOutput):
            await self._emit_order(output)
            return
        if self.observe_chunk is not None:
            self.observe_chunk(output.request_id, output.chunk)
        stream = self._streams.get(output.request_id)
        if stream is not None:
            await stream.put(output)

    async def _emit_order(self, output: OrderOutput) -> None:
        waiting = self._orders.get(output.order_id)
        if waiting is not None:
            await waiting.put(output)

    async def _handle(self, exchange: Exchange) -> None:
        method, path = exchange.request.method, exchange.request.path
        try:
            if (method, path) == ("POST", "/v1/completions"):
                await self._complete(exchange)
            elif (method, path) == ("POST", "/orders"):
                await self._order(exchange)
            elif (method, path) == ("GET", "/load"):
                await exchange.respond(self._load())
            else:
                failure = Failure(ErrorKind.NOT_FOUND, f"{method} {path}")
                await exchange.respond(failure_response(failure))
        except ValidationError as error:
            failure = Failure(ErrorKind.BAD_REQUEST, explain(error))
            await exchange.respond(failure_response(failure))

    def _load(self) -> HttpResponse:
        load = self.model.load(clock.monotonic())
        body = {
            "running": load.running,
            "urgent": load.urgent,
            "leaving": self.model.leaving,
            "broken": self.model.broken,
            "versions": self.model.versions,
        }
        return json_response(200, body)

    async def _complete(self, exchange: Exchange) -> None:
        body = CompletionBody.model_validate_json(exchange.request.body)
        self._sequence += 1
        request = EngineRequest(
            request_id=f"{body.request_id}#{self._sequence}",
            model=body.model,
            prompt=body.prompt,
            maximum_tokens=body.max_tokens,
            priority=body.priority,
            resume_text=body.resume_text,
            resume_tokens=body.resume_tokens,
            minimum_version=body.minimum_version,
        )
        submission = self.model.submit(request, clock.monotonic())
        if submission is not Submission.ACCEPTED:
            await exchange.respond(json_response(503, {"refused": submission.value}))
            return
        queue: Stream = curio.Queue()
        self._streams[request.request_id] = queue
        await self._changed.set()
        try:
            await self._stream(exchange, queue)
        finally:
            del self._streams[request.request_id]
            self.model.cancel(request.request_id, clock.monotonic())

    async def _stream(self, exchange: Exchange, queue: Stream) -> None:
        await exchange.start_stream()
        watcher = await curio.spawn(_watch, exchange, queue, daemon=True)
        try:
            while True:
                output = await queue.get()
                if output is None:
                    raise ConnectionLostError("the caller left")
                await exchange.send_piece(_event(output.chunk))
                if output.chunk.finish_reason:
                    break
        finally:
            await watcher.cancel()
        await exchange.end_stream()

    async def _order(self, exchange: Exchange) -> None:
        body = OrderBody.model_validate_json(exchange.request.body)
        order = EngineOrder(body.order_id, body.fence, body.kind, body.model, body.version)
        queue: Queue[OrderOutput] = curio.Queue()
        self._orders[order.order_id] = queue
        try:
            result = self.model.order(order, clock.monotonic())
            if result is None:
                await self._changed.set()
                result = (await queue.get()).result
        finally:
            del self._orders[order.order_id]
        await exchange.respond(json_response(200, {"result": result}))


async def _watch(exchange: Exchange, queue: Stream) -> None:
    """Put None into a stream's queue once the other side closed."""
    await exchange.wait_closed()
    await queue.put(None)


def _event(chunk: Chunk) -> bytes:
    body = {
        "first_token": chunk.first_token,
        "token_count": chunk.token_count,
        "text": chunk.text,
        "version": chunk.version,
        "finish_reason": chunk.finish_reason,
        "digest": chunk.digest,
    }
    return b"data: " + json.dumps(body).encode() + b"\n\n"
