"""Engines spoil some of their answers; is every success that a trainer or a client gets sound?

Two of four model engines spoil 2 in 100 of their answers for 5 s (`garble`): such an answer has
status 200, names its request, and has neither a signature nor a body. It is no answer in the
protocol. All other answers are sound.
"""

import asyncio
import base64
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import lab
from lab import now

HOST = "ficu95.example"
EVENTS = 12
TRAINERS, STEPS, GROUPS, GROUP_SIZE = 3, 4, 13, 4
STREAMS_PER_S = 20
SPOILT_ENGINES = 2  # of four: share 0.5
SPOIL_EVERY = 50  # x = 0.02
SPOIL_S = 5.0
CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "r-rollout",
            "host": HOST,
            "path_prefix": "/pule252/",
            "kind": "rollout",
            "timeout_ms": 10000,
            "slo_ms": 400,
            "priority": 1,
            "service": "policy-llm",
            "max_attempts": 3,
            "run_deadline_ms": 7500,
            "queue_ttl_s": 40,
            "sticky": True,
        },
        {
            "name": "r-chat",
            "host": HOST,
            "path_prefix": "/lohu930/",
            "kind": "stream",
            "resumable": True,
            "timeout_ms": 10000,
            "slo_ms": 400,
            "priority": 1,
            "service": "policy-llm",
            "max_attempts": 3,
            "sticky": True,
        },
        {
            "name": "r-cost-check",
            "host": HOST,
            "path_prefix": "/pufi791/",
            "kind": "safe",
            "timeout_ms": 1500,
            "slo_ms": 200,
            "priority": 2,
            "service": "quote-api",
            "max_attempts": 4,
        },
    ],
    "services": [
        {
            "name": "policy-llm",
            "health_path": "/healthz",
            "max_conns": 150,
            "protocol": "h1",
            "tls": False,
            "engine": {"slots": 8, "kv_cap_tokens": 103490, "models": [{"name": "m0"}]},
        },
        {
            "name": "quote-api",
            "health_path": "/healthz",
            "max_conns": 110,
            "protocol": "h1",
            "tls": False,
        },
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 33554432,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
}


def item(group):
    """Return an item of a batch job."""
    return {
        "id": lab.new_id(),
        "path": f"/pule252/{lab.new_id()}",
        "headers": {"Model": "m0", "Token-Count": "271,810", "Prompt-Prefix": "9c2e41:255,5d07:16"},
        "body": base64.b64encode(b"prompt").decode(),
        "tokens": 1081,
        "group": group,
        "scorer": {
            "id": lab.new_id(),
            "host": HOST,
            "path": "/pufi791/5e07",
            "body": base64.b64encode(b"judge").decode(),
        },
    }


def whole_text(identifier):
    """Return the data of all events that an engine makes for an item."""
    return "\n".join(f"{identifier}/{number}" for number in range(1, EVENTS + 1))


def whole_body(identifier):
    """Return the whole body of a stream."""
    return b"".join(
        lab.Engine.event(identifier, number) for number in range(1, EVENTS + 1)
    )


class Spoiler:
    """Spoils every fiftieth answer of the engines that it is given to, by kind of request."""

    def __init__(self, record):
        self.answers = {"item": 0, "stream": 0}
        self.spoilt = []
        self._record = record

    async def __call__(self, engine, request, reader, writer):
        kind = "item" if "/pule252/" in request.first else "stream"
        self.answers[kind] += 1
        if self.answers[kind] % SPOIL_EVERY != SPOIL_EVERY // 2:
            return None
        identifier = request.headers["request-id"]
        self.spoilt.append(identifier)
        self._record(f"engine {engine.identifier} spoils its answer to {kind} {identifier}")
        head = f"HTTP/1.1 200 OK\r\nRequest-Id: {identifier}\r\nContent-Length: 0\r\n\r\n"
        writer.write(head.encode())
        await writer.drain()
        return True


async def case(deployment, record, trouble):
    await deployment.start(CONFIGURATION, [("policy-llm", 4, "m0", 8), ("quote-api", 3, "", 6)])
    if not await deployment.ready():
        return 2
    record("all gateways are ready")
    await asyncio.sleep(3.0)
    wrong, seen = [], {"results": 0, "streams": 0}
    spoiler = Spoiler(record)

    async def submit(gateway, step):
        identifier = lab.new_id()
        items = [item(f"g{identifier}{g}") for g in range(GROUPS) for _ in range(GROUP_SIZE)]
        body = json.dumps(
            {"step": step, "model": "m0", "min_version": 1, "desired": 12, "requests": items}
        ).encode()
        headers = [("Host", HOST), ("Request-Id", identifier), ("Content-Type", "application/json")]
        for _ in range(8):
            answer = await lab.call(gateway.callers, "POST", "/pule252/x", headers, body, 8.0)
            status = answer.status if answer is not None else "no answer"
            record(f"batch job {identifier} of {len(items)} items: {status}")
            if status == 202:
                return identifier, len(items)
            await asyncio.sleep(0.3)
        return None

    async def follow(gateway, identifier, total):
        position, until = 0, now() + 15.0
        while position < total and now() < until:
            target = f"/pondtiller/lots/{identifier}?since_rev={position}"
            headers = [("Host", HOST), ("Wait-Ms", "1000")]
            answer = await lab.call(gateway.callers, "GET", target, headers, b"", 4.0)
            if answer is not None and answer.status == 200:
                page = json.loads(answer.body)
                for result in page["results"]:
                    check_result(identifier, result)
                position = page["next_token"]
            await asyncio.sleep(0.4)
        headers = [("Host", HOST)]
        await lab.call(gateway.callers, "DELETE", f"/pondtiller/lots/{identifier}", headers)

    def check_result(job, result):
        seen["results"] += 1
        state, text = result["state"], result["text"]
        record(f"result of {job}: item {result['id']} {state}, {len(text)} signs")
        if state == "succeeded" and text != whole_text(result["id"]):
            wrong.append(f"MIXED: item {result['id']} of {job} is listed as succeeded: {result}")
            record(wrong[-1])

    async def train(number):
        gateway = deployment.gateways[number % 3]
        readers = []
        for step in range(STEPS):
            accepted = await submit(gateway, step)
            if accepted is not None:
                readers.append(asyncio.create_task(follow(gateway, *accepted)))
            await asyncio.sleep(4.0)
        await asyncio.gather(*readers)

    async def stream(number):
        identifier = lab.new_id()
        gateway = deployment.gateways[number % 3]
        headers = [
            ("Host", HOST),
            ("Request-Id", identifier),
            ("Request-Deadline", "8000"),
            ("Model", "m0"),
            ("Token-Count", "271,810"),
            ("Prompt-Prefix", "9c2e41:255,5d07:16"),
        ]
        answer = await lab.call(gateway.callers, "POST", "/lohu930/2f", headers, b"prompt", 8.0)
        if answer is None:
            record(f"stream {identifier}: no whole answer")
            return
        seen["streams"] += 1
        signature = answer.headers.get("response-signature", "")
        record(f"stream {identifier}: {answer.status}, {len(answer.body)} bytes, '{signature}'")
        if answer.status == 200 and (not signature or answer.body != whole_body(identifier)):
            wrong.append(f"MIXED: stream {identifier} got {answer.first} {answer.headers}")
            record(wrong[-1])

    async def live():
        tasks = []
        for number in range(int(4.0 * STEPS * STREAMS_PER_S)):
            tasks.append(asyncio.create_task(stream(number)))
            await asyncio.sleep(1 / STREAMS_PER_S)
        await asyncio.gather(*tasks)

    async def spoil():
        await asyncio.sleep(5.0)
        engines = deployment.of("policy-llm")[:SPOILT_ENGINES]
        for engine in engines if trouble else ():
            engine.trouble = spoiler
        await asyncio.sleep(SPOIL_S)
        for engine in engines:
            engine.trouble = None

    await asyncio.gather(live(), spoil(), *(train(number) for number in range(TRAINERS)))
    record(f"results {seen['results']}, streams {seen['streams']}, spoilt {len(spoiler.spoilt)}")
    record(f"answers of the two engines while they spoilt some: {spoiler.answers}")
    if seen["results"] < TRAINERS * STEPS * GROUPS * GROUP_SIZE * 0.9 or not seen["streams"]:
        return 2
    print(*wrong, sep="\n")
    return 1 if wrong else 0


lab.main(case)
