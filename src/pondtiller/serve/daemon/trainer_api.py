"""The trainers' interface: open a step, read samples by cursor, acknowledge, publish.

Turns each call into an event, waits for its one answer and writes it as JSON. Owns no state: steps
are in the world, and a call whose answer was lost may be repeated. A call for a step that another
daemon makes is answered by a redirect.
"""

import re
from typing import Annotated
from urllib.parse import quote

import curio
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from pondtiller.errors import ErrorKind, Failure
from pondtiller.httpio.messages import HttpResponse, json_response
from pondtiller.httpio.server import Exchange, failure_response
from pondtiller.serve.core.events import (
    SamplesAcknowledged,
    SamplesRead,
    StepOpened,
    TrainerCalled,
    TrainerLeft,
    VersionPublished,
)
from pondtiller.serve.core.instructions import (
    AnswerSamples,
    AnswerTrainer,
    FailTrainer,
    RedirectTrainer,
)
from pondtiller.serve.core.sample_bodies import SampleBody, segment_bodies
from pondtiller.serve.core.step_entities import Sample, StepKey
from pondtiller.serve.daemon.runtime import Answer, Runtime
from pondtiller.table.sheet import explain

ANSWER_SECONDS = 45.0
"""Longest wait for the systems' answer to a trainer. Chosen: above the longest wait of a read, 30
s."""
FORWARDED = "forwarded"

Version = Annotated[int, Field(ge=0, le=2**53)]
Cursor = Annotated[int, Field(ge=0, le=1_000_000)]

STEPS = re.compile(r"^/v1/trainers/([^/]+)/steps$")
SAMPLES = re.compile(r"^/v1/trainers/([^/]+)/steps/(\d{1,15})/samples$")
ACKNOWLEDGEMENTS = re.compile(r"^/v1/trainers/([^/]+)/steps/(\d{1,15})/acknowledgements$")
VERSIONS = re.compile(r"^/v1/trainers/([^/]+)/versions$")


class Body(BaseModel):
    """Base of trainers' bodies: unknown keys are refused."""

    model_config = ConfigDict(extra="forbid", strict=True)


class StepBody(Body):
    """Body of `POST /v1/trainers/NAME/steps`."""

    step: Annotated[int, Field(ge=0, le=10**15 - 1)]
    version: Version | None = None
    prompts: list[str] = Field(min_length=1, max_length=100_000)
    max_tokens: Annotated[int, Field(ge=1, le=1_000_000)] = 512
    cursor: Cursor = 0


class CursorBody(Body):
    """Body of `POST /v1/trainers/NAME/steps/N/acknowledgements`."""

    cursor: Cursor


class VersionBody(Body):
    """Body of `POST /v1/trainers/NAME/versions`."""

    version: Version


class ReadQuery(BaseModel):
    """Query of `GET /v1/trainers/NAME/steps/N/samples`."""

    model_config = ConfigDict(extra="ignore")

    cursor: Cursor = 0
    wait_seconds: Annotated[float, Field(ge=0, le=30, allow_inf_nan=False)] = 0.0


class TrainerApi:
    """Turns trainers' HTTP requests into events and the answers into HTTP."""

    def __init__(self, runtime: Runtime) -> None:
        self._runtime = runtime

    def matches(self, path: str) -> bool:
        """Return whether a path belongs to this interface."""
        return path.startswith("/v1/trainers/")

    async def handle(self, exchange: Exchange) -> None:
        """Answer any request under `/v1/trainers/`."""
        request = exchange.request
        call_id = self._runtime.world.next_id("call")
        try:
            event = self._event(call_id, exchange)
        except ValidationError as error:
            failure = Failure(ErrorKind.BAD_REQUEST, explain(error))
            await exchange.respond(failure_response(failure))
            return
        if event is None:
            failure = Failure(ErrorKind.NOT_FOUND, f"{request.method} {request.path}")
            await exchange.respond(failure_response(failure))
            return
        await exchange.respond(await self._call(exchange, call_id, event))

    def _event(self, call_id: str, exchange: Exchange) -> TrainerCalled | None:
        request = exchange.request
        forwarded = FORWARDED in request.query
        path, is_post = request.path, request.method == "POST"
        if is_post and (match := STEPS.match(path)):
            body = StepBody.model_validate_json(request.body)
            key = StepKey(match[1], body.step)
            prompts = tuple(body.prompts)
            return StepOpened(
                call_id, key, body.version, prompts, body.max_tokens, body.cursor, forwarded
            )
        if is_post and (match := ACKNOWLEDGEMENTS.match(path)):
            cursor = CursorBody.model_validate_json(request.body).cursor
            return SamplesAcknowledged(call_id, StepKey(match[1], int(match[2])), cursor, forwarded)
        if is_post and (match := VERSIONS.match(path)):
            version = VersionBody.model_validate_json(request.body).version
            return VersionPublished(call_id, match[1], version)
        if request.method == "GET" and (match := SAMPLES.match(path)):
            query = ReadQuery.model_validate(request.query)
            key = StepKey(match[1], int(match[2]))
            return SamplesRead(call_id, key, query.cursor, query.wait_seconds, forwarded)
        return None

    async def _call(self, exchange: Exchange, call_id: str, event: TrainerCalled) -> HttpResponse:
        queue = self._runtime.expect(call_id)
        try:
            await self._runtime.post(event)
            answer = await curio.timeout_after(ANSWER_SECONDS, queue.get)
        except curio.TaskTimeout:
            await self._runtime.post(TrainerLeft(call_id))
            return failure_response(Failure(ErrorKind.INTERNAL, "no answer in time"))
        except curio.CancelledError:
            await self._runtime.post(TrainerLeft(call_id))
            raise
        finally:
            self._runtime.forget(call_id)
        return _response(exchange, answer)


def _response(exchange: Exchange, answer: Answer) -> HttpResponse:
    match answer:
        case AnswerSamples():
            body = {
                "samples": [_sample(sample) for sample in answer.samples],
                "next_cursor": answer.next_cursor,
                "slots": answer.slot_count,
            }
            return json_response(200, body)
        case AnswerTrainer():
            return json_response(200, {"version": answer.version, "cursor": answer.cursor})
        case RedirectTrainer():
            return _redirect(exchange, answer)
        case FailTrainer():
            return failure_response(answer.failure)
    return failure_response(Failure(ErrorKind.INTERNAL))


def _redirect(exchange: Exchange, answer: RedirectTrainer) -> HttpResponse:
    path = quote(exchange.request.path)
    pairs = [*exchange.request.query.items(), (FORWARDED, "1")]
    query = "&".join(f"{quote(name)}={quote(value)}" for name, value in pairs)
    location = f"http://{answer.address.host}:{answer.address.port}{path}?{query}"
    return json_response(307, {"location": location}, (("Location", location),))


def _sample(sample: Sample) -> SampleBody:
    return {
        "slot": sample.slot,
        "sample_id": sample.sample_id,
        "prompt": sample.prompt,
        "text": sample.text,
        "tokens": sample.token_count,
        "finish_reason": sample.finish_reason,
        "score": sample.score,
        "segments": segment_bodies(sample.segments),
    }
