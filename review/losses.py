"""What the scripts of cases 1 and 2 share: a trainer, and store machines that are emptied or lost."""

import asyncio
import base64
import json
import shutil

import lab
from lab import now

HOST = "ficu95.example"
ITEMS, GROUP_SIZE = 52, 4
DEADLINE_S = 7.5
STEADY_S = 5.0
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
            "run_deadline_ms": int(DEADLINE_S * 1000),
            "queue_ttl_s": 60,
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
SERVICES = [("policy-llm", 4, "m0", 8), ("quote-api", 3, "", 6)]


def _item(number):
    return {
        "id": lab.new_id(),
        "path": f"/pule252/{lab.new_id()}",
        "headers": {"Model": "m0", "Token-Count": "271,810", "Prompt-Prefix": "9c2e41:255,5d07:16"},
        "body": base64.b64encode(b"prompt").decode(),
        "tokens": 1081,
        "group": f"g{number // GROUP_SIZE}",
        "scorer": {
            "id": lab.new_id(),
            "host": HOST,
            "path": "/pufi791/5e07",
            "body": base64.b64encode(b"judge").decode(),
        },
    }


class Job:
    """A batch job: when it was sent and accepted, its items, and what was read of it."""

    def __init__(self):
        self.identifier = lab.new_id()
        self.items = [_item(number) for number in range(ITEMS)]
        self.sent_at = now()
        self.accepted_at = None
        self.read = set()
        self.read_at = None


class Trainer:
    """Submits batch jobs, reads them at all gateways in turn, and says what they show."""

    def __init__(self, deployment, record):
        self.jobs = []
        self._deployment, self._record = deployment, record
        self._turn = 0

    def _port(self):
        self._turn += 1
        gateways = self._deployment.gateways
        return gateways[self._turn % len(gateways)].callers

    async def submit(self, seconds=8.0):
        """Submit a batch job, again after a failure; return it."""
        job = Job()
        body = json.dumps(
            {"step": 1, "model": "m0", "min_version": 1, "desired": 12, "requests": job.items}
        ).encode()
        headers = [("Host", HOST), ("Request-Id", job.identifier)]
        until = now() + seconds
        while now() < until and job.accepted_at is None:
            answer = await lab.call(self._port(), "POST", "/pule252/x", headers, body, 6.0)
            status = answer.status if answer is not None else "no answer"
            self._record(f"batch job {job.identifier} of {ITEMS} items: {status}")
            if status == 202:
                job.accepted_at = now()
                self.jobs.append(job)
            else:
                await asyncio.sleep(0.3)
        return job

    async def read(self, job, start):
        """Read from a position; return whether the answer was 200."""
        target = f"/pondtiller/lots/{job.identifier}?since_rev={start}"
        headers = [("Host", HOST), ("Wait-Ms", "300")]
        answer = await lab.call(self._port(), "GET", target, headers, b"", 3.0)
        status = answer.status if answer is not None else "no answer"
        found = json.loads(answer.body)["results"] if status == 200 else []
        self._record(f"read {job.identifier} from {start}: {status}, {len(found)} results")
        job.read |= {each["id"] for each in found}
        if status == 200:
            job.read_at = now()
        return status == 200

    async def follow(self, job, until):
        """Read a batch job until all is there or the time is over; return whether all is."""
        while now() < until and len(job.read) < ITEMS:
            await self.read(job, len(job.read))
            await asyncio.sleep(0.3)
        return len(job.read) == ITEMS


def left_lying(deployment, job, since):
    """Return the items of a job that were at no engine for 5 s after a moment and never ended."""
    reached = {}
    for engine in deployment.of("policy-llm"):
        for at, identifier in engine.seen:
            reached.setdefault(identifier, []).append(at)
    ended = {identifier for engine in deployment.engines for identifier in engine.ended}
    lying = []
    for item in job.items:
        if item["id"] in ended or item["id"] in job.read:
            continue
        last = max(reached.get(item["id"], [0.0]))
        if now() - max(last, since) > STEADY_S:
            lying.append(item["id"])
    return lying


def lose(program, record):
    """A store machine is lost: its process ends at once, its disk is empty."""
    program.kill()
    shutil.rmtree(program.data)
    program.data.mkdir()
    record(f"{program.name} is lost with its disk")


def empty(deployment, name, record):
    """The operator asks that a store machine be emptied."""
    deployment.store.write("retirements", name, spec={"duration_s": 8.3})
    record(f"{name} is to be emptied")


def is_emptied(deployment, name):
    """Return whether the system says that a store machine is emptied."""
    found = deployment.store.kinds.get("retirements", {}).get(name)
    return bool(found and found["status"] and found["status"].get("state") == "succeeded")


async def verdict(deployment, trainer, job, stable_at, record):
    """Wait for a job and its end; return 1 if LOST is broken, 0 if not."""
    is_whole = await trainer.follow(job, now() + 30.0)
    lying = left_lying(deployment, job, stable_at)
    record(f"job {job.identifier}: {len(job.read)} of {ITEMS} results, {len(lying)} items left lying")
    begun = {identifier for engine in deployment.of("policy-llm") for _, identifier in engine.seen}
    others_begun = any(item["id"] in begun for item in job.items)
    if not is_whole and lying and others_begun:
        record(f"LOST: items at no engine for {STEADY_S} s of steady state: {len(lying)}")
    unreadable = []
    for each in trainer.jobs:
        answers = [await trainer.read(each, 0) for _ in range(len(deployment.gateways))]
        if not any(answers):
            unreadable.append(each.identifier)
    if unreadable:
        record(f"LOST: at the end {len(unreadable)} of {len(trainer.jobs)} jobs can't be read")
    print(f"results {len(job.read)}/{ITEMS}, left lying {len(lying)}, unreadable {len(unreadable)}")
    return 1 if (not is_whole and lying and others_begun) or unreadable else 0
