"""Calls to the platform: its object service and the scorer.

Each call posts one event, also when it fails: what to do then is decided by the systems. A write
without an answer is reported as unknown, since it may have taken effect. Owns no state. `serve`
reads the platform here; gateways and replicas do so in `platform`.
"""

import json
from collections.abc import Awaitable, Callable

from pydantic import BaseModel, ConfigDict, JsonValue, ValidationError
from result import Err, Ok, Result

from pondtiller.address import Address
from pondtiller.httpio.client import HttpClient
from pondtiller.httpio.client_errors import BrokenError, NotSentError
from pondtiller.serve.core.constants import WATCH_SECONDS
from pondtiller.serve.core.events import (
    Event,
    ScoreArrived,
    StoredObject,
    StoreFailed,
    StoreListed,
    StoreWatched,
    StoreWriteEnded,
    StoreWriteResult,
)
from pondtiller.serve.core.instructions import ScoreSample, WatchStore, WriteStore

CALL_SECONDS = 5.0
"""Longest wait for an answer of the object service or the scorer, beyond the wait that a watch asks
for. Chosen, not measured."""
EXPIRED_STATUS = 410
"""The revision to watch from is forgotten: list again."""
CONFLICT_STATUS = 409
"""Another write came first."""
OK_STATUSES = (200, 201)

Post = Callable[[Event], Awaitable[None]]


class Metadata(BaseModel):
    """Identity of an object."""

    model_config = ConfigDict(extra="ignore")

    name: str
    resourceVersion: str  # noqa: N815 - the platform's spelling
    writtenAt: float = 0.0  # noqa: N815 - the platform's spelling


class ObjectBody(BaseModel):
    """One object as the platform sends it."""

    model_config = ConfigDict(extra="ignore")

    metadata: Metadata
    spec: JsonValue


class ListMetadata(BaseModel):
    """Revision at which a list was read."""

    model_config = ConfigDict(extra="ignore")

    resourceVersion: str  # noqa: N815 - the platform's spelling


class ListBody(BaseModel):
    """Objects as the platform lists them."""

    model_config = ConfigDict(extra="ignore")

    metadata: ListMetadata
    items: list[ObjectBody]


class PlatformClient:
    """Carries out what the core asks of the platform."""

    def __init__(self, client: HttpClient, post: Post, platform: Address, scorer: Address) -> None:
        self._client = client
        self._post = post
        self._platform = platform
        self._scorer = scorer

    async def list_all(self) -> None:
        """List all objects."""
        match await self._read("/api/v1/objects", CALL_SECONDS):
            case Ok(body):
                objects = tuple(to_stored(item) for item in body.items)
                await self._post(StoreListed(objects, int(body.metadata.resourceVersion)))
            case Err(failed):
                await self._post(failed)

    async def watch(self, watch: WatchStore) -> None:
        """Wait for changes after a revision."""
        target = (
            f"/api/v1/objects?watch=true&resourceVersion={watch.revision}"
            f"&timeoutSeconds={WATCH_SECONDS:g}"
        )
        match await self._read(target, WATCH_SECONDS + CALL_SECONDS):
            case Ok(body):
                objects = tuple(to_stored(item) for item in body.items)
                await self._post(StoreWatched(objects, int(body.metadata.resourceVersion)))
            case Err(failed):
                await self._post(failed)

    async def _read(self, target: str, seconds: float) -> Result[ListBody, StoreFailed]:
        try:
            response = await self._client.request(self._platform, "GET", target, seconds=seconds)
            if response.status == EXPIRED_STATUS:
                return Err(StoreFailed(expired=True))
            if response.status not in OK_STATUSES:
                return Err(StoreFailed(expired=False))
            return Ok(ListBody.model_validate_json(response.body))
        except (NotSentError, BrokenError, ValidationError):
            return Err(StoreFailed(expired=False))

    async def write(self, write: WriteStore) -> None:
        """Compare-and-swap one object."""
        ended = await put_object(
            self._client, self._platform, write.name, write.expected_revision, write.body
        )
        await self._post(ended)

    async def score(self, score: ScoreSample) -> None:
        """Ask the scorer."""
        body = json.dumps({"prompt": score.prompt, "text": score.text}).encode()
        value: float | None = None
        try:
            response = await self._client.request(
                self._scorer, "POST", "/score", body, seconds=CALL_SECONDS
            )
            value = float(response.json()["score"]) if response.status == 200 else None
        except (NotSentError, BrokenError, ValueError, KeyError, TypeError):
            value = None
        await self._post(ScoreArrived(score.score_id, value))


def to_stored(item: ObjectBody) -> StoredObject:
    """Return an object as the core takes it."""
    body = json.dumps(item.spec).encode()
    return StoredObject(item.metadata.name, int(item.metadata.resourceVersion), body)


async def put_object(
    client: HttpClient, platform: Address, name: str, expected: int | None, body: bytes
) -> StoreWriteEnded:
    """Write one object and say what is known of the outcome."""
    metadata: dict[str, str] = {"name": name}
    if expected is not None:
        metadata["resourceVersion"] = str(expected)
    data = json.dumps({"metadata": metadata, "spec": json.loads(body)}).encode()
    unknown = StoreWriteEnded(name, StoreWriteResult.UNKNOWN, 0)
    try:
        response = await client.request(
            platform, "PUT", f"/api/v1/objects/{name}", data, seconds=CALL_SECONDS
        )
        if response.status == CONFLICT_STATUS:
            return StoreWriteEnded(name, StoreWriteResult.CONFLICT, 0)
        if response.status not in OK_STATUSES:
            return unknown
        revision = int(ObjectBody.model_validate_json(response.body).metadata.resourceVersion)
    except (NotSentError, BrokenError, ValidationError, ValueError):
        return unknown
    return StoreWriteEnded(name, StoreWriteResult.WRITTEN, revision)
