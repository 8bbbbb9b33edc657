"""The object service and the scorer behind HTTP.

Owns only whether it is down; objects are in `ObjectStore`. A watch is answered by looking at the
changes again and again until there are some or its time is over.
"""

import json
from typing import TypedDict

import curio
from pydantic import BaseModel, ConfigDict, JsonValue, ValidationError

from pondtiller.address import Address
from pondtiller.errors import ErrorKind, Failure
from pondtiller.httpio.messages import HttpResponse, json_response
from pondtiller.httpio.server import Exchange, failure_response, serve_http
from pondtiller.process import clock
from pondtiller.process.curio_types import Listener
from pondtiller.serve.emulator.object_store import ObjectStore, PutStatus, StoredBody
from pondtiller.serve.emulator.scorer import score_sample
from pondtiller.table.sheet import explain

OBJECTS_PATH = "/api/v1/objects"
WATCH_CHECK_SECONDS = 0.02
"""How often a waiting watch looks for changes. Chosen, not measured."""
MAX_WATCH_SECONDS = 60.0
"""Longest wait that a watch may ask for. Modelled."""


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


class ObjectMetadata(TypedDict):
    """What the service adds to an object.

    Attributes
    ----------
    resourceVersion
        Revision of the latest write, in digits.
    writtenAt
        Time of the latest write, seconds since the epoch.
    """

    name: str
    resourceVersion: str
    writtenAt: float


class ObjectBody(TypedDict):
    """An object as the service answers it; `spec` is its body, any JSON."""

    metadata: ObjectMetadata
    spec: object


class PlatformServer:
    """The object service and the scorer behind HTTP.

    Attributes
    ----------
    down
        Every call is answered 503 and nothing takes effect.
    """

    def __init__(self, store: ObjectStore, listener: Listener) -> None:
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
            seconds = min(float(query.get("timeoutSeconds", "10")), MAX_WATCH_SECONDS)
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


def _object(stored: StoredBody) -> ObjectBody:
    metadata: ObjectMetadata = {
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
