"""Drives a trainer model over HTTP against real daemons.

Owns the daemon that it talks to, and follows redirects. What is called next, and the cursor that
survives a lost answer, is the model's: `emulator.trainer`.
"""

import json
import random
from typing import TypedDict
from urllib.parse import urlsplit

import curio

from pondtiller.address import Address
from pondtiller.errors import ErrorKind
from pondtiller.httpio.client import HttpClient
from pondtiller.httpio.client_errors import BrokenError, NotSentError
from pondtiller.httpio.messages import HttpResponse
from pondtiller.process import clock
from pondtiller.serve.core.sample_bodies import SampleBody
from pondtiller.serve.core.step_entities import Sample
from pondtiller.serve.core.tokens import Segment
from pondtiller.serve.emulator.trainer import (
    Acknowledge,
    OpenStep,
    Publish,
    ReadSamples,
    TrainerCall,
    TrainerModel,
)

CALL_SECONDS = 40.0
"""Longest wait for an answer. Chosen: above the longest wait of a read."""
MAXIMUM_REDIRECTS = 3
"""Of one call on its way to a step's home. Chosen: views of the members differ for moments only."""


class FailureDetail(TypedDict):
    """What a trainer reads of an error; `type` is a value of `ErrorKind`."""

    type: str


class FailureBody(TypedDict):
    """Body of an answer that is not 200."""

    error: FailureDetail


class TrainerClient:
    """One trainer; it stays with the daemon that makes its step while that answers."""

    def __init__(self, model: TrainerModel, daemons: list[Address], seed: int) -> None:
        self.model = model
        self._daemons = daemons
        self._source = random.Random(seed)
        self._client = HttpClient()
        self._home: Address | None = None

    async def run(self) -> None:
        """Train until cancelled."""
        self.model.idle_since = clock.monotonic()
        while True:
            call = self.model.next_call(clock.monotonic())
            if call is None:
                await curio.sleep(max(0.001, self.model.wait_until - clock.monotonic()))
                continue
            await self._make(call)

    async def _make(self, call: TrainerCall) -> None:
        method, target, body = self._request(call)
        address = self._home or self._source.choice(self._daemons)
        for _ in range(MAXIMUM_REDIRECTS):
            try:
                response = await self._client.request(
                    address, method, target, body, seconds=CALL_SECONDS
                )
            except (NotSentError, BrokenError):
                break
            if response.status != 307:
                self._take(call, address, response)
                return
            parts = urlsplit(dict(response.headers)["location"])
            address = Address(parts.hostname or "", parts.port or 0)
            target = f"{parts.path}?{parts.query}"
        self._home = None
        self.model.note_failed(clock.monotonic())

    def _request(self, call: TrainerCall) -> tuple[str, str, bytes]:
        base = f"/v1/trainers/{self.model.settings.name}"
        match call:
            case OpenStep():
                body = {
                    "step": call.step,
                    "version": call.version,
                    "prompts": list(call.prompts),
                    "max_tokens": call.maximum_tokens,
                    "cursor": call.cursor,
                }
                return "POST", f"{base}/steps", json.dumps(body).encode()
            case ReadSamples():
                query = f"cursor={call.cursor}&wait_seconds={call.wait_seconds:g}"
                return "GET", f"{base}/steps/{call.step}/samples?{query}", b""
            case Acknowledge():
                target = f"{base}/steps/{call.step}/acknowledgements"
                return "POST", target, json.dumps({"cursor": call.cursor}).encode()
            case Publish():
                return "POST", f"{base}/versions", json.dumps({"version": call.version}).encode()

    def _take(self, call: TrainerCall, address: Address, response: HttpResponse) -> None:
        now = clock.monotonic()
        body = response.json()
        if response.status != 200:
            self._take_failure(body, now)
            return
        self._home = address
        match call:
            case OpenStep():
                self.model.note_opened()
            case ReadSamples():
                samples = tuple(_sample(each) for each in body["samples"])
                self.model.note_samples(call.step, call.cursor, samples, now)
            case Acknowledge():
                self.model.note_acknowledged(now)
            case Publish():
                self.model.note_published()

    def _take_failure(self, body: FailureBody, now: float) -> None:
        if body["error"]["type"] == ErrorKind.UNKNOWN_STEP.value:
            self.model.note_unknown_step(now)
            return
        self._home = None
        self.model.note_failed(now)


def _sample(body: SampleBody) -> Sample:
    return Sample(
        slot=body["slot"],
        sample_id=body["sample_id"],
        prompt=body["prompt"],
        text=body["text"],
        token_count=body["tokens"],
        finish_reason=body["finish_reason"],
        segments=tuple(Segment(**segment) for segment in body["segments"]),
        score=body["score"],
    )
