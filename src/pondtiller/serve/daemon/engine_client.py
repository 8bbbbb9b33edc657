"""Calls to engines: streams of answers, polls of load, orders.

Posts what engines send as events, and for an attempt that failed whether it may have run: only a
request that was never sent, or an engine's own refusal, proves that it did not. Owns no state
but the HTTP client's connections. Retries nothing; `systems.attempts` does.
"""

import json
from collections.abc import Awaitable, Callable

from pydantic import BaseModel, ConfigDict, ValidationError

from pondtiller.errors import Ran
from pondtiller.httpio.bodies import BodyBuffer
from pondtiller.httpio.client import ClientConnection, HttpClient
from pondtiller.httpio.client_errors import BrokenError, NotSentError
from pondtiller.httpio.messages import HttpResponse
from pondtiller.serve.core.constants import ORDER_TIMEOUT_SECONDS
from pondtiller.serve.core.events import (
    AttemptFailed,
    ChunkArrived,
    EnginePollFailed,
    EngineReported,
    Event,
    OrderAnswered,
    OrderResult,
    VersionReport,
)
from pondtiller.serve.core.instructions import OrderEngine, PollEngine, StartAttempt
from pondtiller.serve.core.tokens import Chunk

POLL_SECONDS = 1.0
"""Longest wait for a report of load. Chosen: one period of polls."""
OK_STATUS = 200
"""Status of an engine's answers to all calls."""
REFUSED_STATUS = 503
"""Status of an engine that refuses what it has not begun."""
DATA_PREFIX = b"data: "
MAX_LINE_BYTES = 262_144
"""Longest line of a stream, in bytes; a faulty engine may send bytes without an end of a line."""
MAX_STREAM_BYTES = 16 * 1024 * 1024
"""Longest stream, in bytes."""

Post = Callable[[Event], Awaitable[None]]


class ChunkBody(BaseModel):
    """A chunk as engines send it."""

    model_config = ConfigDict(frozen=True, extra="ignore")

    first_token: int
    token_count: int
    text: str
    version: int
    finish_reason: str = ""
    digest: str = ""


class LoadBody(BaseModel):
    """An engine's report."""

    model_config = ConfigDict(frozen=True, extra="ignore")

    running: int
    urgent: int
    leaving: bool
    broken: bool
    versions: dict[str, int]


class EngineClient:
    """Carries out what the core asks of engines."""

    def __init__(self, client: HttpClient, post: Post) -> None:
        self._client = client
        self._post = post
        self._bodies = BodyBuffer()

    async def attempt(self, start: StartAttempt) -> None:
        """Send a request and post its chunks, or how it failed."""
        try:
            connection = await self._client.open(
                start.address, "POST", "/v1/completions", _request_body(start)
            )
        except NotSentError as error:
            await self._post(AttemptFailed(start.attempt_id, Ran.NO, str(error)))
            return
        except BrokenError as error:
            await self._post(AttemptFailed(start.attempt_id, Ran.UNKNOWN, str(error)))
            return
        kept = False
        try:
            kept = await self._read_answer(start, connection)
        except (BrokenError, ValidationError, ValueError) as error:
            detail = str(error).splitlines()[0]
            await self._post(AttemptFailed(start.attempt_id, Ran.UNKNOWN, detail))
        finally:
            if kept:
                await self._client.give_back(connection)
            else:
                await connection.abort()

    async def _read_answer(self, start: StartAttempt, connection: ClientConnection) -> bool:
        head = await connection.read_head()
        if head.status_code != OK_STATUS:
            body = await self._bodies.read_whole(connection.read_body())
            await self._post(_refusal(start.attempt_id, head.status_code, body))
            return True
        rest = b""
        length = 0
        finished = False
        async for piece in connection.read_body():
            length += len(piece)
            *lines, rest = (rest + piece).split(b"\n")
            for line in lines:
                if line.startswith(DATA_PREFIX):
                    chunk = _chunk(line.removeprefix(DATA_PREFIX))
                    finished = finished or bool(chunk.finish_reason)
                    await self._post(ChunkArrived(start.attempt_id, chunk))
            if len(rest) > MAX_LINE_BYTES or length > MAX_STREAM_BYTES:
                raise BrokenError("the stream has no end")
        if not finished:
            raise BrokenError("the stream ended early")
        return True

    async def poll(self, poll: PollEngine) -> None:
        """Ask for load and versions."""
        try:
            response = await self._client.request(
                poll.address, "GET", "/load", seconds=POLL_SECONDS
            )
            load = LoadBody.model_validate_json(_body_of_success(response))
        except (NotSentError, BrokenError, ValidationError):
            await self._post(EnginePollFailed(poll.engine))
            return
        versions = tuple(VersionReport(model, number) for model, number in load.versions.items())
        await self._post(
            EngineReported(
                poll.engine, load.running, load.urgent, load.leaving, load.broken, versions
            )
        )

    async def order(self, order: OrderEngine) -> None:
        """Give a fenced order and wait for its end."""
        result = OrderResult.NO_ANSWER
        try:
            response = await self._client.request(
                order.address,
                "POST",
                "/orders",
                _order_body(order),
                seconds=ORDER_TIMEOUT_SECONDS,
            )
            answered = json.loads(_body_of_success(response))
            if isinstance(answered, dict) and isinstance(answered.get("result"), str):
                result = answered["result"]
        except (NotSentError, BrokenError, ValueError):
            result = OrderResult.NO_ANSWER
        await self._post(OrderAnswered(order.engine, order.order.order_id, result))


def _body_of_success(response: HttpResponse) -> bytes:
    """Return an answer's body; raises `BrokenError` for a failure, whatever its body says."""
    if response.status != OK_STATUS:
        raise BrokenError(f"engine answered {response.status}")
    return response.body


def _request_body(start: StartAttempt) -> bytes:
    request = start.request
    body = {
        "request_id": request.request_id,
        "model": request.model,
        "prompt": request.prompt,
        "max_tokens": request.maximum_tokens,
        "priority": request.priority,
        "resume_text": request.resume_text,
        "resume_tokens": request.resume_tokens,
        "minimum_version": request.minimum_version,
        "stream": True,
    }
    return json.dumps(body).encode()


def _order_body(order: OrderEngine) -> bytes:
    given = order.order
    body = {
        "order_id": given.order_id,
        "fence": given.fence,
        "kind": given.kind,
        "model": given.model,
        "version": given.version,
    }
    return json.dumps(body).encode()


def _chunk(data: bytes) -> Chunk:
    body = ChunkBody.model_validate_json(data)
    return Chunk(
        body.first_token,
        body.token_count,
        body.text,
        body.version,
        body.finish_reason,
        body.digest,
    )


def _refusal(attempt_id: str, status: int, body: bytes) -> AttemptFailed:
    """Return the failure for an answer that is no stream.

    Only an engine's own statement that it refused proves that nothing ran.
    """
    reason = ""
    try:
        parsed = json.loads(body)
        reason = str(parsed.get("refused", "")) if isinstance(parsed, dict) else ""
    except ValueError:
        reason = ""
    if status != REFUSED_STATUS or not reason:
        return AttemptFailed(attempt_id, Ran.UNKNOWN, f"engine answered {status}")
    return AttemptFailed(
        attempt_id,
        Ran.NO,
        f"engine refused: {reason}",
        engine_leaving=reason == "leaving",
        engine_busy=reason in ("busy", "old_weights"),
    )
