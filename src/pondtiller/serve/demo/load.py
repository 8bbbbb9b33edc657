"""Live callers over HTTP: open-loop traffic on a running service.

Requests leave at their planned times, whether or not earlier ones were answered. Owns what the
callers saw; judges nothing.
"""

import json
import random
from dataclasses import dataclass, field

import curio
from hdrh.histogram import HdrHistogram

from pondtiller.address import Address
from pondtiller.errors import ErrorKind, Ran
from pondtiller.hashing import digest
from pondtiller.httpio.client import HttpClient
from pondtiller.httpio.client_errors import BrokenError, NotSentError
from pondtiller.httpio.messages import HttpResponse
from pondtiller.process import clock
from pondtiller.process.spawner import Spawner
from pondtiller.serve.deployment import Traffic
from pondtiller.serve.simulation.truth import CallerRequest, CallerTry

CALL_SECONDS = 60.0
"""Longest wait of a caller. Chosen, not measured: a demo lasts less."""
MAXIMUM_TRIES = 3
"""Of one request. Chosen, not measured."""
RETRY_SECONDS = 0.5
"""Pause between two of them. Chosen, not measured."""
MAX_MICROSECONDS = 120_000_000
"""Upper end of the histogram of latencies: two of a caller's waits."""
DATA_PREFIX = "data: "
END_MARK = "[DONE]"


@dataclass(slots=True)
class LoadResult:
    """What callers saw.

    Attributes
    ----------
    latencies
        Microseconds from the planned arrival to the whole answer, so that a slow
        service does not hide behind requests that were sent late.
    """

    requests: list[CallerRequest] = field(default_factory=list)
    latencies: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, MAX_MICROSECONDS, 3))


@dataclass(slots=True)
class LiveLoad:
    """Open-loop traffic from one process.

    Attributes
    ----------
    daemons
        Where requests go, in turn at random.
    worth
        Worth of a request by caller class.
    sequence
        Number of the last request; each request's prompt carries its own.
    """

    daemons: list[Address]
    worth: dict[str, float]
    source: random.Random
    result: LoadResult = field(default_factory=LoadResult)
    client: HttpClient = field(default_factory=HttpClient)
    sequence: int = 0

    async def run(self, traffic: tuple[Traffic, ...], seconds: float) -> None:
        """Send all traffic for `seconds`, then wait for the last answers."""
        async with curio.TaskGroup(wait=all) as group:
            for each in traffic:
                await group.spawn(self._send_all, each, seconds)

    async def _send_all(self, traffic: Traffic, seconds: float) -> None:
        end = clock.monotonic() + seconds
        due = clock.monotonic()
        async with Spawner() as spawner:
            while True:
                due += self.source.expovariate(traffic.requests_a_second)
                if due >= end:
                    break
                await curio.sleep(max(0.0, due - clock.monotonic()))
                await spawner.spawn(self._send, traffic, due)
            while len(spawner):
                await curio.sleep(0.05)

    async def _send(self, traffic: Traffic, due: float) -> None:
        self.sequence += 1
        worth = self.worth.get(traffic.caller, 1.0)
        once = self.source.random() < traffic.once_share
        request = CallerRequest.of(traffic, self.sequence, worth, once, due)
        self.result.requests.append(request)
        stream = self.source.random() < traffic.stream_share
        for _ in range(MAXIMUM_TRIES):
            ended = await self._try(request, stream)
            request.tries.append(ended)
            if ended.text is not None and ended.ended_at is not None:
                self.result.latencies.record_value(int((ended.ended_at - due) * 1e6))
                return
            if not request.once and ended.ran is not Ran.NO:
                return
            await curio.sleep(RETRY_SECONDS)

    async def _try(self, request: CallerRequest, stream: bool) -> CallerTry:
        address = self.source.choice(self.daemons)
        name = f"{address.host}:{address.port}"
        sent_at = clock.monotonic()
        body = {
            "model": request.service,
            "prompt": request.prompt,
            "max_tokens": request.maximum_tokens,
            "stream": stream,
        }
        headers: tuple[tuple[str, str], ...] = (("X-Caller-Class", request.caller),)
        if request.once:
            key = digest(request.prompt)
            headers += (("Idempotency-Key", key), ("X-Run-At-Most-Once", "true"))
        try:
            response = await self.client.request(
                address,
                "POST",
                "/v1/completions",
                json.dumps(body).encode(),
                seconds=CALL_SECONDS,
                headers=headers,
            )
        except (NotSentError, BrokenError):
            return CallerTry(name, sent_at, clock.monotonic(), None, None, None)
        return _ended(name, sent_at, response, stream)


def _ended(name: str, sent_at: float, response: HttpResponse, stream: bool) -> CallerTry:
    now = clock.monotonic()
    if response.status != 200:
        error = response.json()["error"]
        return CallerTry(name, sent_at, now, None, ErrorKind(error["type"]), Ran(error["ran"]))
    if not stream:
        return CallerTry(name, sent_at, now, response.json()["choices"][0]["text"], None, None)
    text = streamed_text(response.body.decode())
    return CallerTry(name, sent_at, now, text, None, None)


def streamed_text(body: str) -> str | None:
    """Return the text of a whole stream, None where it did not come to its end."""
    parts: list[str] = []
    for line in body.splitlines():
        data = line.removeprefix(DATA_PREFIX)
        if data == line:
            continue
        if data == END_MARK:
            return "".join(parts)
        event = json.loads(data)
        if "choices" in event:
            parts.append(event["choices"][0]["text"])
    return None
