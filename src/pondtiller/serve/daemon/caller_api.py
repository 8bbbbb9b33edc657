"""The callers' interface: OpenAI-compatible completions, whole and streamed.

Turns each exchange into events and the daemon's answers into HTTP; a caller that closes its
connection is reported to the world. Owns no state: what is in progress is in the world, and answers
come through a queue of `runtime`. The forms of bodies are in `completion_bodies` and `answer_form`.
"""

import json

import curio
from pydantic import ValidationError

from pondtiller.errors import ErrorKind, Failure
from pondtiller.hashing import digest
from pondtiller.httpio.messages import HttpRequest, json_response
from pondtiller.httpio.server import ConnectionLostError, Exchange, failure_response
from pondtiller.process.curio_types import Queue
from pondtiller.serve.core.entities import RequestSpec
from pondtiller.serve.core.events import CallerLeft, RequestArrived
from pondtiller.serve.core.instructions import FailAnswer, FinishAnswer, SendText
from pondtiller.serve.daemon.answer_form import AnswerForm, stream_event
from pondtiller.serve.daemon.completion_bodies import ChatBody, CompletionBody
from pondtiller.serve.daemon.runtime import Answer, Runtime
from pondtiller.table.sheet import RowKind, explain

DEFAULT_MAXIMUM_TOKENS = 256
"""Of a request that names none. Chosen, not measured."""
CALLER_HEADER = "x-caller-class"
ONCE_HEADER = "x-run-at-most-once"
KEY_HEADER = "idempotency-key"
MAX_KEY = 255
"""Characters of an idempotency key; a longer one is refused. Chosen, not measured: it is part of a
register key."""


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
        if len(key) > MAX_KEY:
            await _refuse(exchange, f"{KEY_HEADER}: longer than {MAX_KEY} characters")
            return
        spec = self._spec(exchange.request, service, prompt, maximum_tokens, stream)
        form = AnswerForm(spec.request_id, service, chat)
        queue = self._runtime.expect(spec.request_id)
        watcher = await curio.spawn(self._watch, exchange, spec.request_id, daemon=True)
        try:
            await self._runtime.post(RequestArrived(spec))
            await self._answer(exchange, spec, form, queue)
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
        self, exchange: Exchange, spec: RequestSpec, form: AnswerForm, queue: Queue[Answer]
    ) -> None:
        while True:
            answer = await queue.get()
            if isinstance(answer, FailAnswer):
                await _send_failure(exchange, answer.failure)
                return
            if isinstance(answer, SendText):
                if not exchange.started:
                    await exchange.start_stream()
                await exchange.send_piece(form.piece(answer.text))
            elif isinstance(answer, FinishAnswer):
                await self._finish(exchange, spec, form, answer)
                return

    async def _finish(
        self, exchange: Exchange, spec: RequestSpec, form: AnswerForm, answer: FinishAnswer
    ) -> None:
        if not spec.stream:
            await exchange.respond(json_response(200, form.whole(spec.prompt, answer)))
            return
        if not exchange.started:
            # Nothing was streamed: an answer that another request with this key left.
            await exchange.start_stream()
            await exchange.send_piece(form.piece(answer.text))
        await exchange.send_piece(form.last_piece(answer))
        await exchange.end_stream()


async def _refuse(exchange: Exchange, reason: str) -> None:
    await exchange.respond(failure_response(Failure(ErrorKind.BAD_REQUEST, reason)))


async def _send_failure(exchange: Exchange, failure: Failure) -> None:
    if not exchange.started:
        await exchange.respond(failure_response(failure))
        return
    # The head is sent: the error goes into the stream, and the stream ends without [DONE].
    error = json.loads(failure_response(failure).body)
    await exchange.send_piece(stream_event(error))
    await exchange.end_stream()
