"""The stand-ins behind HTTP on loopback: engines, object service, scorer, in one process."""

import json
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Annotated, Any

import curio
from pydantic import BaseModel, ConfigDict, Field, JsonValue, ValidationError

from pondtiller.config.deployment import Deployment
from pondtiller.core.constants import FLEET_DOCUMENT
from pondtiller.core.entities import Address
from pondtiller.core.instructions import EngineOrder, EngineRequest
from pondtiller.core.tokens import Chunk
from pondtiller.daemon import clock
from pondtiller.daemon.spawner import Spawner
from pondtiller.emulator.engine import (
    ChunkOutput,
    EngineModel,
    EngineOutput,
    Submission,
)
from pondtiller.emulator.fleet import engine_settings, first_sheet, fleet_entry
from pondtiller.emulator.object_store import ObjectStore, PutStatus, StoredBody
from pondtiller.emulator.scorer import score_sample
from pondtiller.emulator.weights import WeightStore
from pondtiller.errors import ErrorKind, Failure
from pondtiller.httpio.messages import HttpResponse, json_response
from pondtiller.httpio.server import (
    ConnectionLostError,
    Exchange,
    bind_tcp,
    failure_response,
    serve_http,
)
from pondtiller.table.sheet import DOCUMENT_NAME, explain

OBJECTS_PATH = "/api/v1/objects"
WATCH_CHECK_SECONDS = 0.02
LONGEST_WATCH_SECONDS = 60.0


ChunkObserver = Callable[[str, Chunk], None]


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


class PutMetadata(BaseModel):
    """Identity in a write; without a version the write overwrites."""

    model_config = ConfigDict(extra="ignore")

    name: str
    resourceVersion: str | None = None  # noqa: N815 - the platform's spelling


class PutBody(BaseModel):
    """A write as the object service takes it."""

    model_config = ConfigDict(extra="ignore")

    metadata: PutMetadata
    spec: JsonValue


class ScoreBody(BaseModel):
    """A sample as the scorer takes it."""

    model_config = ConfigDict(extra="ignore")

    prompt: str
    text: str


class EngineServer:
    """One engine model behind HTTP.

    Attributes
    ----------
    observe_chunk
        Called with each request's identifier and chunk, for checks from outside.
    """

    def __init__(self, model: EngineModel, listener: Any) -> None:
        self.model = model
        self.address = Address(*listener.getsockname())
        self._listener = listener
        self._streams: dict[str, Any] = {}
        self._orders: dict[str, Any] = {}
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
        if isinstance(output, ChunkOutput) and self.observe_chunk is not None:
            self.observe_chunk(output.request_id, output.chunk)
        waiting = self._streams if isinstance(output, ChunkOutput) else self._orders
        key = output.request_id if isinstance(output, ChunkOutput) else output.order_id
        queue = waiting.get(key)
        if queue is not None:
            await queue.put(output)

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
        queue = curio.Queue()
        self._streams[request.request_id] = queue
        await self._changed.set()
        try:
            await self._stream(exchange, queue)
        finally:
            del self._streams[request.request_id]
            self.model.cancel(request.request_id, clock.monotonic())

    async def _stream(self, exchange: Exchange, queue: Any) -> None:
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
        queue = curio.Queue()
        self._orders[order.order_id] = queue
        try:
            result = self.model.order(order, clock.monotonic())
            if result is None:
                await self._changed.set()
                result = (await queue.get()).result
        finally:
            del self._orders[order.order_id]
        await exchange.respond(json_response(200, {"result": result}))


async def _watch(exchange: Exchange, queue: Any) -> None:
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


class PlatformServer:
    """The object service and the scorer behind HTTP.

    Attributes
    ----------
    down
        Every call is answered 503 and nothing takes effect.
    """

    def __init__(self, store: ObjectStore, listener: Any) -> None:
        self.store = store
        self.address = Address(*listener.getsockname())
        self.down = False
        self._listener = listener

    async def run(self) -> None:
        """Serve until cancelled."""
        await serve_http(self._listener, self._handle)

    async def _handle(self, exchange: Exchange) -> None:
        method, path = exchange.request.method, exchange.request.path
        try:
            await exchange.respond(await self._answer(method, path, exchange))
        except ValidationError as error:
            failure = Failure(ErrorKind.BAD_REQUEST, explain(error))
            await exchange.respond(failure_response(failure))

    async def _answer(self, method: str, path: str, exchange: Exchange) -> HttpResponse:
        request = exchange.request
        if (method, path) == ("POST", "/score"):
            body = ScoreBody.model_validate_json(request.body)
            return json_response(200, {"score": score_sample(body.prompt, body.text)})
        if self.down:
            return failure_response(Failure(ErrorKind.STORE_UNAVAILABLE))
        if (method, path) == ("GET", OBJECTS_PATH):
            if request.query.get("watch") == "true":
                return await self._watch(request.query)
            listing = self.store.list_all()
            return _listing(listing.objects, listing.revision)
        name = path.removeprefix(OBJECTS_PATH + "/")
        if method == "GET" and (stored := self.store.get(name)) is not None:
            return json_response(200, _object(stored))
        if method == "PUT" and path.startswith(OBJECTS_PATH + "/"):
            return self._put(name, PutBody.model_validate_json(request.body))
        return failure_response(Failure(ErrorKind.NOT_FOUND, f"{method} {path}"))

    async def _watch(self, query: dict[str, str]) -> HttpResponse:
        try:
            revision = int(query.get("resourceVersion", "0"))
            seconds = min(float(query.get("timeoutSeconds", "10")), LONGEST_WATCH_SECONDS)
        except ValueError as error:
            return failure_response(Failure(ErrorKind.BAD_REQUEST, str(error)))
        until = clock.monotonic() + seconds
        while True:
            changes = self.store.changes_since(revision)
            if changes is None:
                return json_response(410, {"reason": "Expired"})
            if changes.objects or clock.monotonic() >= until:
                return _listing(changes.objects, changes.revision)
            await curio.sleep(WATCH_CHECK_SECONDS)

    def _put(self, name: str, body: PutBody) -> HttpResponse:
        version = body.metadata.resourceVersion
        expected = int(version) if version is not None and version.isdecimal() else None
        data = json.dumps(body.spec).encode()
        result = self.store.put(name, expected, data, float(clock.wall_seconds()))
        if result.status is PutStatus.CONFLICT:
            return json_response(409, {"reason": "Conflict"})
        return json_response(200, _object(self.store.objects[name]))


def _object(stored: StoredBody) -> dict[str, Any]:
    metadata = {
        "name": stored.name,
        "resourceVersion": str(stored.revision),
        "writtenAt": stored.written_at,
    }
    return {"metadata": metadata, "spec": json.loads(stored.body)}


def _listing(objects: tuple[StoredBody, ...], revision: int) -> HttpResponse:
    body = {
        "metadata": {"resourceVersion": str(revision)},
        "items": [_object(stored) for stored in objects],
    }
    return json_response(200, body)


@dataclass(slots=True)
class Emulator:
    """All stand-ins of a deployment.

    Attributes
    ----------
    engines
        Engine servers by name.
    """

    deployment: Deployment
    platform: PlatformServer
    engines: dict[str, EngineServer] = field(default_factory=dict)

    async def run(self) -> None:
        """Serve until cancelled."""
        async with Spawner() as spawner:
            for engine in self.engines.values():
                await spawner.spawn(engine.run)
            await self.platform.run()

    def mark_leaving(self, name: str) -> None:
        """Show an engine as leaving in the platform's list of machines."""
        document = json.loads(self.platform.store.objects[FLEET_DOCUMENT].body)
        for entry in document["engines"]:
            entry["leaving"] = entry["leaving"] or entry["name"] == name
        body = json.dumps(document).encode()
        self.platform.store.put(FLEET_DOCUMENT, None, body, float(clock.wall_seconds()))


def build_emulator(deployment: Deployment, seed: int, host: str, port: int) -> Emulator:
    """Bind all stand-ins; the platform takes `port`, engines take what is free."""
    store = ObjectStore()
    emulator = Emulator(deployment, PlatformServer(store, bind_tcp(host, port)))
    weights = WeightStore(deployment.weights.transfer_seconds, deployment.weights.lanes)
    source = random.Random(seed)
    entries: list[dict[str, Any]] = []
    for settings in engine_settings(deployment):
        model = EngineModel(settings, weights, random.Random(source.getrandbits(64)))
        server = EngineServer(model, bind_tcp(host, 0))
        emulator.engines[settings.name] = server
        entries.append(fleet_entry(settings, server.address))
    now = float(clock.wall_seconds())
    store.put(DOCUMENT_NAME, 0, first_sheet(deployment).model_dump_json().encode(), now)
    store.put(FLEET_DOCUMENT, 0, json.dumps({"engines": entries}).encode(), now)
    return emulator
