"""The callers' interface: OpenAI-compatible completions, whole and streamed."""

import json
from typing import Annotated, Any, Literal

import curio
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from pondtiller.errors import ErrorKind, Failure
from pondtiller.hashing import digest
from pondtiller.httpio.messages import HttpRequest, json_response
from pondtiller.httpio.server import ConnectionLostError, Exchange, failure_response
from pondtiller.process import clock
from pondtiller.serve.core.entities import RequestSpec
from pondtiller.serve.core.events import CallerLeft, RequestArrived
from pondtiller.serve.core.instructions import FailAnswer, FinishAnswer, SendText
from pondtiller.serve.daemon.runtime import Runtime
from pondtiller.table.sheet import RowKind, explain

DEFAULT_MAXIMUM_TOKENS = 256
"""Of a request that names none. Chosen, not measured."""
LARGEST_PROMPT_CHARACTERS = 4_000_000
"""A longer prompt is refused as malformed. Chosen, not measured: it bounds memory."""
CALLER_HEADER = "x-caller-class"
ONCE_HEADER = "x-run-at-most-once"
KEY_HEADER = "idempotency-key"
LONGEST_KEY = 255
"""Characters of an idempotency key; a longer one is refused. Chosen, not measured: it is part of a
register key."""

MaximumTokens = Annotated[int, Field(ge=1, le=1_000_000)]


class CompletionBody(BaseModel):
    """Body of `POST /v1/completions`; fields that need not be known are ignored."""

    model_config = ConfigDict(extra="ignore", strict=True)

    model: str
    prompt: str = Field(max_length=LARGEST_PROMPT_CHARACTERS)
    max_tokens: MaximumTokens | None = None
    stream: bool | None = None
    n: Literal[1] | None = None


class TextPart(BaseModel):
    """A part of a message's content."""

    model_config = ConfigDict(extra="ignore", strict=True)

    type: Literal["text"]
    text: str


class Message(BaseModel):
    """One message of a chat."""

    model_config = ConfigDict(extra="ignore", strict=True)

    role: str
    content: str | list[TextPart]

    def text(self) -> str:
        """Return the content as one text."""
        if isinstance(self.content, str):
            return self.content
        return "".join(part.text for part in self.content)


class ChatBody(BaseModel):
    """Body of `POST /v1/chat/completions`."""

    model_config = ConfigDict(extra="ignore", strict=True)

    model: str
    messages: list[Message] = Field(min_length=1)
    max_tokens: MaximumTokens | None = None
    max_completion_tokens: MaximumTokens | None = None
    stream: bool | None = None
    n: Literal[1] | None = None

    def prompt(self) -> str:
        """Return the messages as the prompt that engines read."""
        return "\n".join(f"{message.role}: {message.text()}" for message in self.messages)


class CallerApi:
    """Turns callers' HTTP requests into events and the answers into HTTP."""

    def __init__(self, runtime: Runtime) -> None:
        self._runtime = runtime

    async def completions(self, exchange: Exchange) -> None:
        """Answer `POST /v1/completions`."""
        try:
            body = CompletionBody.model_validate_json(exchange.request.body)
        except ValidationError as error:
            await _refuse(exchange, explain(error))
            return
        await self._run(
            exchange, body.model, body.prompt, body.max_tokens, bool(body.stream), chat=False
        )

    async def chat(self, exchange: Exchange) -> None:
        """Answer `POST /v1/chat/completions`."""
        try:
            body = ChatBody.model_validate_json(exchange.request.body)
        except ValidationError as error:
            await _refuse(exchange, explain(error))
            return
        maximum = body.max_completion_tokens or body.max_tokens
        await self._run(exchange, body.model, body.prompt(), maximum, bool(body.stream), chat=True)

    async def _run(
        self,
        exchange: Exchange,
        service: str,
        prompt: str,
        maximum_tokens: int | None,
        stream: bool,
        chat: bool,
    ) -> None:
        key = exchange.request.headers.get(KEY_HEADER, "")
        if len(key) > LONGEST_KEY:
            await _refuse(exchange, f"{KEY_HEADER}: longer than {LONGEST_KEY} characters")
            return
        spec = self._spec(exchange.request, service, prompt, maximum_tokens, stream)
        shape = _Shape(spec.request_id, service, chat)
        queue = self._runtime.expect(spec.request_id)
        watcher = await curio.spawn(self._watch, exchange, spec.request_id, daemon=True)
        try:
            await self._runtime.post(RequestArrived(spec))
            await self._answer(exchange, spec, shape, queue)
        except (ConnectionLostError, curio.CancelledError):
            await self._runtime.post(CallerLeft(spec.request_id))
            raise
        finally:
            self._runtime.forget(spec.request_id)
            await watcher.cancel()

    def _spec(
        self,
        request: HttpRequest,
        service: str,
        prompt: str,
        maximum_tokens: int | None,
        stream: bool,
    ) -> RequestSpec:
        world = self._runtime.world
        row = f"{RowKind.SERVICE.value}/{service}"
        known = world.rows.get(row)
        maximum = maximum_tokens or DEFAULT_MAXIMUM_TOKENS
        return RequestSpec(
            request_id=world.next_id("request"),
            row=row,
            caller=self._caller(request),
            model=known.model if known is not None and known.model is not None else service,
            prompt=prompt,
            maximum_tokens=maximum,
            stream=stream,
            once=request.headers.get(ONCE_HEADER, "").lower() in ("1", "true", "yes"),
            idempotency_key=request.headers.get(KEY_HEADER, ""),
            fingerprint=digest(f"{service}\0{maximum}\0{prompt}"),
        )

    def _caller(self, request: HttpRequest) -> str:
        """Return the caller class: from its header, or from a key that names a row."""
        named = request.headers.get(CALLER_HEADER)
        if named is not None:
            return named
        key = request.headers.get("authorization", "").removeprefix("Bearer ").strip()
        is_row = f"{RowKind.CALLER.value}/{key}" in self._runtime.world.rows
        return key if is_row else ""

    async def _watch(self, exchange: Exchange, request_id: str) -> None:
        """Tell the world when the caller closes its connection."""
        await exchange.wait_closed()
        await self._runtime.post(CallerLeft(request_id))

    async def _answer(
        self, exchange: Exchange, spec: RequestSpec, shape: "_Shape", queue: Any
    ) -> None:
        while True:
            answer = await queue.get()
            if isinstance(answer, FailAnswer):
                await _send_failure(exchange, answer.failure)
                return
            if isinstance(answer, SendText):
                if not exchange.started:
                    await exchange.start_stream()
                await exchange.send_piece(shape.piece(answer.text))
            elif isinstance(answer, FinishAnswer):
                await self._finish(exchange, spec, shape, answer)
                return

    async def _finish(
        self, exchange: Exchange, spec: RequestSpec, shape: "_Shape", answer: FinishAnswer
    ) -> None:
        if not spec.stream:
            await exchange.respond(json_response(200, shape.whole(spec.prompt, answer)))
            return
        if not exchange.started:
            # Nothing was streamed: an answer that another request with this key left.
            await exchange.start_stream()
            await exchange.send_piece(shape.piece(answer.text))
        await exchange.send_piece(shape.last_piece(answer))
        await exchange.end_stream()


async def _refuse(exchange: Exchange, reason: str) -> None:
    await exchange.respond(failure_response(Failure(ErrorKind.BAD_REQUEST, reason)))


async def _send_failure(exchange: Exchange, failure: Failure) -> None:
    if not exchange.started:
        await exchange.respond(failure_response(failure))
        return
    # The head is sent: the error goes into the stream, and the stream ends without [DONE].
    error = json.loads(failure_response(failure).body)
    await exchange.send_piece(_event(error))
    await exchange.end_stream()


def _event(value: Any) -> bytes:
    return b"data: " + json.dumps(value).encode() + b"\n\n"


class _Shape:
    """Builds bodies in the form of the OpenAI protocol."""

    def __init__(self, request_id: str, model: str, chat: bool) -> None:
        self._identifier = request_id
        self._model = model
        self._chat = chat
        self._created = clock.wall_seconds()

    def _body(self, kind: str, choice: dict[str, Any]) -> dict[str, Any]:
        return {
            "id": self._identifier,
            "object": kind,
            "created": self._created,
            "model": self._model,
            "choices": [{"index": 0, "logprobs": None, **choice}],
        }

    def piece(self, text: str) -> bytes:
        """Return a streamed piece."""
        if self._chat:
            delta = {"role": "assistant", "content": text}
            choice: dict[str, Any] = {"delta": delta, "finish_reason": None}
            return _event(self._body("chat.completion.chunk", choice))
        return _event(self._body("text_completion", {"text": text, "finish_reason": None}))

    def last_piece(self, answer: FinishAnswer) -> bytes:
        """Return the last streamed piece and the end mark."""
        if self._chat:
            choice: dict[str, Any] = {"delta": {}, "finish_reason": answer.finish_reason}
            body = self._body("chat.completion.chunk", choice)
        else:
            choice = {"text": "", "finish_reason": answer.finish_reason}
            body = self._body("text_completion", choice)
        body["pondtiller"] = _origin(answer)
        return _event(body) + b"data: [DONE]\n\n"

    def whole(self, prompt: str, answer: FinishAnswer) -> dict[str, Any]:
        """Return a whole body."""
        finish = {"finish_reason": answer.finish_reason}
        if self._chat:
            message = {"role": "assistant", "content": answer.text}
            body = self._body("chat.completion", {"message": message, **finish})
        else:
            body = self._body("text_completion", {"text": answer.text, **finish})
        prompt_tokens = len(prompt.split())
        body["usage"] = {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": answer.token_count,
            "total_tokens": prompt_tokens + answer.token_count,
        }
        body["pondtiller"] = _origin(answer)
        return body


def _origin(answer: FinishAnswer) -> dict[str, Any]:
    """Return which weight versions made which tokens, and the whole text's digest."""
    return {
        "segments": [
            {
                "version": segment.version,
                "first_token": segment.first_token,
                "last_token": segment.last_token,
            }
            for segment in answer.segments
        ],
        "digest": answer.digest,
    }
