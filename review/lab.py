"""Stand-ins and helpers for the review's scripts: platform store, engines, clients, programs.

Only the standard library is used. All addresses are loopback addresses.
"""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
ZONES = ("fukuoka-a", "kumamoto-b", "kitakyu-c")
HEARTBEAT_S = 1.2
EPOCH = time.monotonic()


def now():
    """Return seconds since the start of the script."""
    return time.monotonic() - EPOCH


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8", errors="backslashreplace")

    def __call__(self, text):
        self._file.write(f"{now():9.3f} {text}\n")
        self._file.flush()


# HTTP/1.1, as much as the stand-ins need


class Message:
    """A request or an answer that was read; header names in lower case."""

    def __init__(self, first, headers, body=b""):
        self.first, self.headers, self.body = first, headers, body

    @property
    def status(self):
        return int(self.first.split(" ", 2)[1])


async def read_head(reader):
    """Return the head of a message; None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers)


async def read_body(reader, headers, until_end=False):
    """Return the whole body; raises `EOFError` if it ends early."""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = bytearray()
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                body += await reader.readexactly(size)
                await reader.readexactly(2)
                if not size:
                    return bytes(body)
        if "content-length" in headers:
            return await reader.readexactly(int(headers["content-length"]))
    except (asyncio.IncompleteReadError, ValueError, ConnectionError) as error:
        raise EOFError(str(error)) from error
    return await reader.read(-1) if until_end else b""


def answer_bytes(status, headers=(), body=b""):
    """Return a whole answer."""
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in headers)]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("utf-8") + body


class Server:
    """Base of the stand-ins that listen on a loopback port."""

    def __init__(self):
        self.port = 0
        self._server = None
        self._writers = set()

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, limit=64 * 1024 * 1024
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self):
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                head.body = await read_body(reader, head.headers)
                if await self.handle(head, reader, writer) is False:
                    return
                await writer.drain()
        except (ConnectionError, EOFError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def handle(self, request, reader, writer):
        raise NotImplementedError


def split_target(request):
    """Return method, path and query of a request."""
    from urllib.parse import parse_qsl, urlsplit

    method, target, _ = request.first.split(" ", 2)
    parts = urlsplit(target)
    return method, parts.path, dict(parse_qsl(parts.query))


class Store(Server):
    """The platform's store: objects by kind and name, one counter of revisions, watches."""

    PREFIX = "/pondtiller/objects/"

    def __init__(self):
        super().__init__()
        self.revision = 1
        self.kinds = {}
        self.history = []
        self._changed = asyncio.Event()

    def write(self, kind, name, **parts):
        """Create or change an object as its owner does; return it."""
        objects = self.kinds.setdefault(kind, {})
        found = objects.get(name)
        if found is not None and all(found[key] == value for key, value in parts.items()):
            return found
        self.revision += 1
        made = found["metadata"]["made"] if found else self.revision
        base = found or {"spec": None, "status": None}
        finalizers = found["metadata"]["finalizers"] if found else []
        changed = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "made": made,
                "finalizers": finalizers,
                "deleting": False,
            },
            "spec": parts.get("spec", base["spec"]),
            "status": parts.get("status", base["status"]),
        }
        objects[name] = changed
        self._note(kind, changed, False)
        return changed

    def remove(self, kind, name):
        found = self.kinds.get(kind, {}).pop(name, None)
        if found is not None:
            self.revision += 1
            self._note(kind, found, True)
        return found

    def _note(self, kind, changed, gone):
        self.history.append((self.revision, kind, {"object": changed, "gone": gone}))
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, request, reader, writer):
        method, path, query = split_target(request)
        kind, _, rest = path.removeprefix(self.PREFIX).partition("/")
        name, _, part = rest.partition("/")
        status, body = await self._call(method, kind, name, part, query, request.body)
        data = b"" if body is None else json.dumps(body).encode()
        writer.write(answer_bytes(status, [("Content-Type", "application/json")], data))

    async def _call(self, method, kind, name, part, query, raw):
        objects = self.kinds.setdefault(kind, {})
        found = objects.get(name)
        if method == "GET" and name:
            return (200, found) if found else (404, None)
        if method == "GET" and "watch" in query:
            return 200, await self._watch(kind, int(query["watch"]), int(query.get("wait_ms", 0)))
        if method == "GET":
            names = sorted(each for each in objects if each > query.get("since_rev", ""))
            page = [objects[each] for each in names[:500]]
            return 200, {"requests": page, "more": len(names) > 500, "at": self.revision}
        given = json.loads(raw or b"{}")
        if method == "POST":
            name = given.get("metadata", {}).get("name") or name
            if name in objects:
                return 409, objects[name]
            return 200, self.write(kind, name, spec=given.get("spec"))
        if found is None:
            return 404, None
        wanted = given.get("metadata", {}).get("revision", query.get("revision"))
        if wanted is not None and int(wanted) != found["metadata"]["revision"]:
            return 409, found
        if method == "DELETE":
            self.remove(kind, name)
            return 200, found
        if part == "status":
            return 200, self.write(kind, name, status=given.get("status"))
        return 200, self.write(kind, name, spec=given.get("spec"))

    async def _watch(self, kind, since, wait_ms):
        until = time.monotonic() + wait_ms / 1000
        while True:
            changed, at = self._changed, self.revision
            events = [each for rev, of, each in self.history if rev > since and of == kind]
            left = until - time.monotonic()
            if events or left <= 0:
                return {"events": events, "at": at}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Engine(Server):
    """An engine: whole requests, streams, items, reports, orders; sound unless told otherwise.

    `trouble`, if set, is called with each request that is to run and may answer in its place; it
    returns None to let the engine answer soundly.
    """

    def __init__(self, store, service, zone, record, slots=8, model=""):
        super().__init__()
        self.identifier = f"i-{os.urandom(4).hex()}"
        self.store, self.service, self.zone, self.record = store, service, zone, record
        self.slots, self.model, self.version, self.sequence = slots, model, 1, 0
        self.running = 0
        self.work_s, self.event_s, self.events = 0.03, 0.02, 12
        self.trouble = None
        self.seen, self.ended = [], set()

    def entry(self):
        models = [{"name": self.model, "version": self.version, "adapters": []}]
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold_left_ms": 0,
            "phase": "both",
            "models": models if self.model else [],
            "sequence": self.sequence,
        }

    def publish(self):
        self.store.write("servers", self.identifier, spec=self.entry())

    async def start(self):
        await super().start()
        self.publish()

    async def handle(self, request, reader, writer):
        method, path, _ = split_target(request)
        if path == "/healthz":
            writer.write(answer_bytes(200, [("Instance-Id", self.identifier)]))
        elif path == "/pondtiller/report":
            writer.write(self._json(200, self._report()))
        elif path == "/pondtiller/order":
            writer.write(self._order(json.loads(request.body)))
        elif "request-id" not in request.headers:
            writer.write(answer_bytes(400, [("Not-Executed", "1")]))
        elif request.headers.get("expect-instance", self.identifier) != self.identifier:
            writer.write(answer_bytes(421, [("Instance-Id", self.identifier)]))
        elif self.running >= self.slots:
            writer.write(
                answer_bytes(
                    503, [("Not-Executed", "1"), ("Request-Id", request.headers["request-id"])]
                )
            )
        else:
            return await self._run(request, path, reader, writer)
        return None

    def _json(self, status, body):
        return answer_bytes(status, [("Content-Type", "application/json")], json.dumps(body).encode())

    def _report(self):
        entry = self.entry()
        return {
            "phase": "both",
            "models": entry["models"],
            "busy": False,
            "sequence": self.sequence,
            "queued": 0,
            "running": self.running,
            "kv_used": 0,
            "kv_total": 100_000,
            "handles": 0,
        }

    def _order(self, order):
        if "if_rev" in order and order["if_rev"] != self.sequence:
            return answer_bytes(409)
        if order["version"] == self.version:
            return answer_bytes(200)
        self.sequence += 1
        self.version = order["version"]
        self.publish()
        return answer_bytes(202)

    async def _run(self, request, path, reader, writer):
        identifier = request.headers["request-id"]
        self.seen.append((now(), identifier))
        self.record(f"engine {self.identifier} ({self.service}) takes {identifier} {path}")
        self.running += 1
        try:
            if self.trouble is not None:
                done = await self.trouble(self, request, reader, writer)
                if done is not None:
                    return done
            if self.model:
                return await self.stream(request, writer)
            await asyncio.sleep(self.work_s)
            writer.write(
                answer_bytes(
                    200,
                    [("Request-Id", identifier), ("Response-Signature", f"sig.{identifier}")],
                    b"answer to " + request.body[:40],
                )
            )
        finally:
            self.running -= 1
        self.record(f"engine {self.identifier} answered {identifier}")
        return None

    def stream_head(self, identifier):
        return (
            "HTTP/1.1 200 OK\r\n"
            f"Request-Id: {identifier}\r\nResponse-Signature: sig.{identifier}\r\n"
            f"Weight-Versions: {self.version}\r\nContent-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        ).encode()

    @staticmethod
    def chunk(data):
        return f"{len(data):x}\r\n".encode() + data + b"\r\n"

    @staticmethod
    def event(identifier, number):
        return f"id: {number}\ndata: {identifier}/{number}\n\n".encode()

    async def stream(self, request, writer):
        identifier = request.headers["request-id"]
        first = int(request.headers.get("last-event-id", "0")) + 1
        writer.write(self.stream_head(identifier))
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.event_s)
            writer.write(self.chunk(self.event(identifier, number)))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.ended.add(identifier)
        self.record(f"engine {self.identifier} ended {identifier} whole")
        return None


# The programs under test


def free_port():
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        return taken.getsockname()[1]


GATEWAY = """name = "{name}"
zone = "{zone}"
callers = "127.0.0.1:{callers}"
readiness = "127.0.0.1:{readiness}"
links = "127.0.0.1:{links}"
store = "{store}"
losses = 1
rate_excess = 0.1
[regions]
"fukuoka-a" = "kyushu"
"kumamoto-b" = "kyushu"
"kitakyu-c" = "kyushu"
[places_lost]
zones = 0
regions = 0
[durations]
stop = 8
lease = 3000e-3
keep_steps = 120
[processor]
share = 0.537
cores = 2
[scaling]
policy = "leave"
[news]
configuration = 2000e-3
engines = 2000e-3
[keys]
fail_closed = false
"""

REPLICA = """name = "{name}"
zone = "{zone}"
links = "127.0.0.1:{links}"
store = "{store}"
data_folder = "{data}"
first_start = {first}
[regions]
"fukuoka-a" = "kyushu"
"kumamoto-b" = "kyushu"
"kitakyu-c" = "kyushu"
"""


class Program:
    """One program of the deploy file, as a process; settings as the templates fill them."""

    def __init__(self, folder, role, name, zone, store, first="true"):
        self.role, self.name, self.zone = role, name, zone
        self._text = {"name": name, "zone": zone, "store": store.address, "first": first}
        self.callers, self.readiness = free_port(), free_port()
        self.process = None
        self._folder = Path(folder)
        self.data = self._folder / f"data-{name}"
        self.data.mkdir(exist_ok=True)
        self._settings = self._folder / f"{name}.toml"
        self._text |= {
            "callers": self.callers,
            "readiness": self.readiness,
            "links": free_port(),
            "data": self.data,
        }

    @property
    def log(self):
        return self._folder / f"{self.name}.log"

    def start(self, first=None):
        """Start it; `first` says whether it is the first start of the whole system."""
        if first is not None:
            self._text["first"] = first
        text = GATEWAY if self.role == "gateway" else REPLICA
        self._settings.write_text(text.format(**self._text))
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "PONDTILLER_SETTINGS": str(self._settings),
        }
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                ["python3", "deploy/run.py", self.role],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def memory_mb(self):
        """Return the resident memory of the process and its peak, in MB."""
        found = {}
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            name, _, value = line.partition(":")
            if name in ("VmRSS", "VmHWM"):
                found[name] = int(value.split()[0]) / 1024
        return found.get("VmRSS", 0.0), found.get("VmHWM", 0.0)


class Deployment:
    """A small deployment: a store, engines, three replicas and some gateways."""

    def __init__(self, folder, record, gateways=3):
        self.folder, self.record = folder, record
        self.store = Store()
        self.engines = []
        self.programs = []
        self._gateways = gateways

    async def start(self, configuration, services):
        """Start everything; `services` holds (service, engines, model, slots)."""
        await self.store.start()
        for service, count, model, slots in services:
            for number in range(count):
                zone = ZONES[number % len(ZONES)]
                engine = Engine(self.store, service, zone, self.record, slots, model)
                await engine.start()
                self.engines.append(engine)
        self.store.write("config", "main", spec=configuration)
        for number, zone in enumerate(ZONES):
            self.programs.append(
                Program(self.folder, "replica", f"store-{zone}-1", zone, self.store)
            )
        for number in range(self._gateways):
            zone = ZONES[number % len(ZONES)]
            name = f"front-{zone}-{number // len(ZONES) + 1}"
            self.programs.append(Program(self.folder, "gateway", name, zone, self.store))
        for program in self.programs:
            program.start()

    @property
    def gateways(self):
        return [each for each in self.programs if each.role == "gateway"]

    @property
    def replicas(self):
        return [each for each in self.programs if each.role == "replica"]

    def add_replica(self, name, zone):
        """Add a store machine with an empty disk."""
        program = Program(self.folder, "replica", name, zone, self.store, first="false")
        self.programs.append(program)
        program.start()

    def of(self, service):
        return [each for each in self.engines if each.service == service]

    async def ready(self, seconds=20):
        """Wait until all gateways say that they are ready; return whether they do."""
        until = now() + seconds
        while now() < until:
            answers = [
                await call(each.readiness, "GET", "/pondtiller/readyz", timeout=1.0)
                for each in self.gateways
            ]
            if all(each is not None and each.status == 200 for each in answers):
                return True
            await asyncio.sleep(0.2)
        return False

    async def stop(self):
        for program in self.programs:
            program.kill()
        for server in (*self.engines, self.store):
            await server.stop()


# Clients


def request_bytes(method, target, headers, body):
    lines = [f"{method} {target} HTTP/1.1", *(f"{name}: {value}" for name, value in headers)]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("utf-8") + body


async def call(port, method, target, headers=(), body=b"", timeout=5.0):
    """Send one request on a new connection; return the whole answer, or None if there is none."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=2**26)
            writer.write(request_bytes(method, target, [("Host", "x.example"), *headers] if not any(
                name.lower() == "host" for name, _ in headers) else headers, body))
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                return None
            head.body = await read_body(reader, head.headers, until_end=True)
            return head
    except (OSError, EOFError, TimeoutError, asyncio.TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()


def new_id():
    return os.urandom(8).hex()


def _end(_number, _frame):
    """End the script, and with it all that it started."""
    raise SystemExit(2)


def main(case):
    """Run a case: exit with 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    import tempfile

    trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, _end)
    folder = Path(sys.argv[1]).resolve()
    record = Record(folder / "record.txt")

    async def run():
        with tempfile.TemporaryDirectory(prefix="review-") as scratch:
            deployment = Deployment(scratch, record)
            try:
                async with asyncio.timeout(110):
                    result = await case(deployment, record, trouble)
            except (TimeoutError, OSError) as error:
                record(f"could not run: {type(error).__name__}: {error}")
                result = 2
            finally:
                await deployment.stop()
                if os.environ.get("KEEP_LOGS"):
                    import shutil

                    shutil.copytree(scratch, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
            return result

    result = asyncio.run(run())
    record(f"exit {result}")
    print(f"{'trouble' if trouble else 'calm'}: exit {result}")
    sys.exit(result)
