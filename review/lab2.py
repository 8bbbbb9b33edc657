"""A small deployment on loopback: the project's programs, and stand-ins of the platform.

The standard library only. The stand-ins follow PROTOCOL.md; where it is silent they behave like a
sound store, engine or trainer.
"""

import asyncio
import base64
import json
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from urllib.parse import parse_qsl, unquote, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = "calls.example"
OBJECTS = "/pondtiller/objects/"
ZONES = ("za", "zb", "zc")


def free_port() -> int:
    """Return a port of loopback that is free now, outside the range of outgoing connections."""
    for _ in range(1000):
        free_port.last += 1
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", free_port.last))
            except OSError:
                continue
            return free_port.last
    raise OSError("no free port")


free_port.last = 15_000 + os.getpid() * 37 % 12_000


class Request:
    """One request as read from a connection; header names in lower case."""

    def __init__(self, method, target, headers, body, writer, reader):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        parts = urlsplit(target)
        self.path, self.query = unquote(parts.path), dict(parse_qsl(parts.query))
        self.writer, self.reader = writer, reader

    async def answer(self, status, body=b"", headers=()):
        if not isinstance(body, bytes):
            body = json.dumps(body).encode()
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers]
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await self.writer.drain()


class Broken(Exception):
    """The connection is to end without an answer."""


async def read_request(reader, writer):
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ", 2)
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return Request(method, target, headers, body, writer, reader)


class Server:
    """An HTTP/1.1 server on a free port of loopback."""

    def __init__(self):
        self.port = free_port()
        self.address = f"127.0.0.1:{self.port}"
        self.open = set()
        self._server = None

    async def listen(self):
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, limit=64 * 1024 * 1024
        )

    async def _serve(self, reader, writer):
        self.open.add(writer)
        try:
            while True:
                await self.handle(await read_request(reader, writer))
        except (Broken, OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.open.discard(writer)
            writer.close()

    async def handle(self, request):
        raise NotImplementedError


class Store(Server):
    """The platform's object store; it loses nothing and answers from one counter of revisions."""

    def __init__(self):
        super().__init__()
        self.at, self.kinds, self.history = 1, {}, []
        self.changed = asyncio.Event()

    def _set(self, kind, name, spec, status):
        self.at += 1
        before = self.kinds.get(kind, {}).get(name)
        made = before["metadata"]["made"] if before else self.at
        meta = {"name": name, "revision": self.at, "made": made, "finalizers": [], "deleting": False}
        found = {"metadata": meta, "spec": spec, "status": status}
        self.kinds.setdefault(kind, {})[name] = found
        self._note(kind, found, False)
        return found

    def _note(self, kind, found, gone):
        self.history.append((self.at, kind, {"object": found, "gone": gone}))
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, kind, name, spec):
        """Write as the operator, a trainer or an engine does."""
        before = self.kinds.get(kind, {}).get(name)
        self._set(kind, name, spec, before["status"] if before else None)

    def remove(self, kind, name):
        found = self.kinds.get(kind, {}).pop(name, None)
        if found:
            self.at += 1
            self._note(kind, found, True)

    def get(self, kind, name):
        return self.kinds.get(kind, {}).get(name)

    async def handle(self, request):
        kind, _, name = request.path.removeprefix(OBJECTS).partition("/")
        if request.method == "GET" and "watch" in request.query:
            await self._watch(request, kind)
        elif request.method == "GET" and name:
            found = self.get(kind, name)
            await request.answer(200 if found else 404, found or b"")
        elif request.method == "GET":
            after = request.query.get("since_rev", "")
            names = sorted(each for each in self.kinds.get(kind, {}) if each > after)
            page = [self.kinds[kind][each] for each in names[:500]]
            body = {"requests": page, "more": len(names) > 500, "at": self.at}
            await request.answer(200, body)
        else:
            status, body = self._write(request, kind, name)
            await request.answer(status, body)

    async def _watch(self, request, kind):
        since = int(request.query["watch"])
        until = time.monotonic() + min(30_000, int(request.query.get("wait_ms", 0))) / 1000
        while True:
            changed = self.changed
            found = [each for at, of, each in self.history if at > since and of == kind]
            left = until - time.monotonic()
            if found or left <= 0:
                await request.answer(200, {"events": found, "at": self.at})
                return
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _write(self, request, kind, name):
        name, _, part = name.partition("/")
        body = json.loads(request.body or b"{}")
        found = self.get(kind, name)
        if request.method == "POST":
            return (409, found) if found else (201, self._set(kind, name, body.get("spec"), None))
        if not found:
            return 404, b""
        wanted = (body.get("metadata") or {}).get("revision") or request.query.get("revision")
        if wanted is not None and int(wanted) != found["metadata"]["revision"]:
            return 409, found
        if request.method == "DELETE":
            self.remove(kind, name)
            return 200, found
        if part == "status":
            return 200, self._set(kind, name, found["spec"], body.get("status"))
        return 200, self._set(kind, name, body.get("spec"), found["status"])


class Engine(Server):
    """An engine: whole requests, streams of items, reports, orders. It writes down what it runs."""

    def __init__(self, world, name, service, zone, models=(), events=10, event_s=0.03, work_s=0.02):
        super().__init__()
        self.world, self.name, self.service, self.zone = world, name, service, zone
        self.version = {model: 1 for model in models}
        self.events, self.event_s, self.work_s, self.orders = events, event_s, work_s, 0

    def entry(self, state="ready"):
        models = [{"name": n, "version": v, "adapters": []} for n, v in self.version.items()]
        return {"service": self.service, "address": self.address, "zone": self.zone,
                "version": "v1", "slots": 8, "state": state, "cold_left_ms": 0, "phase": "both",
                "models": models, "sequence": self.orders}

    def publish(self, state="ready"):
        self.world.store.put("servers", self.name, self.entry(state))

    async def handle(self, request):
        if request.headers.get("expect-instance", self.name) != self.name:
            await request.answer(421, b"", [("Instance-Id", self.name)])
        elif request.path == "/healthz":
            await request.answer(200, b"", [("Instance-Id", self.name)])
        elif request.path == "/pondtiller/report":
            models = self.entry()["models"]
            await request.answer(200, {"phase": "both", "models": models, "busy": False,
                                       "sequence": self.orders, "queued": 0, "running": 0,
                                       "kv_used": 0, "kv_total": 100_000, "handles": 0})
        elif request.path == "/pondtiller/order":
            await self._order(request)
        elif "model" in request.headers:
            await self.stream(request)
        else:
            await self.whole(request)

    async def _order(self, request):
        order = json.loads(request.body)
        if order.get("if_rev", self.orders) != self.orders:
            await request.answer(409)
            return
        self.orders += 1
        self.version[order["model"]] = order["version"]
        self.publish()
        await request.answer(202)

    async def whole(self, request):
        name = request.headers["request-id"]
        self.world.note("run", engine=self.name, id=name)
        await asyncio.sleep(self.work_s)
        await request.answer(200, b"whole " + name.encode(),
                             [("Request-Id", name), ("Response-Signature", f"sig.{name}")])

    def data(self, name, number):
        return f"{name}#{number}"

    async def stream(self, request):
        name, model = request.headers["request-id"], request.headers["model"]
        after = int(request.headers.get("last-event-id", 0))
        self.world.note("run", engine=self.name, id=name, after=after)
        version = self.version.get(model, 1)
        head = ["HTTP/1.1 200 OK", f"Request-Id: {name}", f"Response-Signature: sig.{name}",
                f"Weight-Versions: {version}", "Content-Type: text/event-stream",
                "Transfer-Encoding: chunked"]
        request.writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
        for number in range(after + 1, self.events + 1):
            await asyncio.sleep(self.event_s)
            changed = ""
            if self.version.get(model, 1) != version:
                version = self.version[model]
                changed = f"weight-versions: {version}\n"
            event = f"{changed}id: {number}\ndata: {self.data(name, number)}\n\n".encode()
            request.writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await request.writer.drain()
            if request.writer.is_closing():
                raise Broken
        request.writer.write(b"0\r\n\r\n")
        await request.writer.drain()


class Program:
    """A gateway or a replica, as the deploy file starts it."""

    def __init__(self, folder, role, name, settings):
        self.folder, self.role, self.name, self.settings = folder, role, name, settings
        self.process = None

    def start(self):
        path = self.folder / f"{self.name}.toml"
        path.write_text(self.settings)
        keep = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        env = {**keep, "PONDTILLER_SETTINGS": str(path),
               "PYTHONPATH": str(ROOT / "target" / "deps"), "PYTHONDONTWRITEBYTECODE": "1"}
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(["python3", "deploy/run.py", self.role], cwd=ROOT,
                                            env=env, stdout=log, stderr=subprocess.STDOUT)

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def log(self):
        path = self.folder / f"{self.name}.log"
        return path.read_text(errors="replace") if path.exists() else ""

    def rss_mb(self):
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        return next((int(line.split()[1]) / 1024 for line in text.splitlines()
                     if line.startswith("VmRSS")), 0.0)


class World:
    """Store, engines, three replicas and three gateways, and what was seen of them."""

    def __init__(self, folder, record, services):
        self.folder, self.record = Path(folder), Path(record)
        self.began = time.monotonic()
        self.lines, self.programs, self.engines = [], {}, []
        self.store = Store()
        self.services = services
        self.callers = {}
        self.version = 0

    def note(self, what, **facts):
        text = " ".join(f"{key}={value}" for key, value in facts.items())
        self.lines.append(f"{time.monotonic() - self.began:8.3f} {what} {text}".rstrip())

    def write_record(self):
        self.record.write_text("\n".join(self.lines) + "\n")

    def replica(self, name, zone, first=True):
        """Make a replica's program: `first` at the first start of the whole system."""
        data = self.folder / f"disk-{name}"
        regions = "\n".join(f'"{each}" = "r"' for each in ZONES)
        settings = (f'name = "{name}"\nzone = "{zone}"\nlinks = "127.0.0.1:{free_port()}"\n'
                    f'store = "{self.store.address}"\ndata_folder = "{data}"\n'
                    f"first_start = {str(first).lower()}\n[regions]\n{regions}\n")
        made = self.programs[name] = Program(self.folder, "replica", name, settings)
        return made

    def gateway(self, name, zone):
        regions = "\n".join(f'"{each}" = "r"' for each in ZONES)
        self.callers[name] = free_port()
        settings = (f'name = "{name}"\nzone = "{zone}"\ncallers = "127.0.0.1:{self.callers[name]}"\n'
                    f'readiness = "127.0.0.1:{free_port()}"\nlinks = "127.0.0.1:{free_port()}"\n'
                    f'store = "{self.store.address}"\nlosses = 1\nrate_excess = 0.1\n'
                    f"[regions]\n{regions}\n[places_lost]\nzones = 0\nregions = 0\n"
                    "[durations]\nstop = 8\nlease = 3000e-3\nkeep_steps = 120\n"
                    "[processor]\nshare = 0.537\ncores = 2\n[scaling]\npolicy = \"leave\"\n"
                    "[news]\nconfiguration = 2000e-3\nengines = 2000e-3\n"
                    "[keys]\nfail_closed = false\n")
        made = self.programs[name] = Program(self.folder, "gateway", name, settings)
        return made

    def configure(self, routes):
        self.version += 1
        services = [{"name": name, "health_path": "/healthz", "max_conns": 150,
                     "protocol": "h1", "tls": False,
                     **({"engine": {"slots": 8, "kv_cap_tokens": 100_000,
                                    "models": [{"name": each} for each in models]}}
                        if models else {})} for name, models in self.services.items()]
        limits = {"max_header_bytes": 16384, "max_body_bytes": 33554432,
                  "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
        self.store.put("config", "main", {"version": self.version, "routes": routes,
                                          "services": services, "limits": limits})

    async def begin(self, engines, routes, replicas=3, gateways=3):
        await self.store.listen()
        for engine in engines:
            await engine.listen()
            engine.publish()
        self.engines = engines
        self.configure(routes)
        for number in range(replicas):
            self.replica(f"store-{ZONES[number % 3]}-{number}", ZONES[number % 3]).start()
        for number in range(gateways):
            self.gateway(f"front-{ZONES[number % 3]}-{number}", ZONES[number % 3]).start()

    def end(self):
        for each in self.programs.values():
            each.kill()

    def leader(self):
        """Return the gateway that won the latest epoch, by the programs' logs; None if none has."""
        best = (0, None)
        for name in self.callers:
            for line in self.programs[name].log().splitlines():
                if "leader_won" in line:
                    try:
                        epoch = int(line.split("epoch=")[1].split()[0])
                    except (IndexError, ValueError):
                        epoch = json.loads(line)["epoch"]
                    best = max(best, (epoch, name), key=lambda each: each[0])
        return best[1]

    async def call(self, gateway, method, target, headers=(), body=b"", seconds=5.0):
        """Send a request to a gateway; return (status, headers, body), or None without an answer."""
        async def talk():
            reader, writer = await asyncio.open_connection("127.0.0.1", self.callers[gateway],
                                                           limit=64 * 1024 * 1024)
            try:
                lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}",
                         f"Content-Length: {len(body)}", "Connection: close"]
                lines += [f"{name}: {value}" for name, value in headers]
                writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
                await writer.drain()
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                status = int(head[0].split()[1])
                found = {}
                for line in head[1:]:
                    name, colon, value = line.partition(":")
                    if colon:
                        found[name.lower()] = value.strip()
                if found.get("transfer-encoding") == "chunked":
                    data = b""
                    while size := int(await reader.readline(), 16):
                        data += await reader.readexactly(size)
                        await reader.readline()
                else:
                    data = await reader.readexactly(int(found.get("content-length", 0)))
                return status, found, data
            finally:
                writer.close()
        try:
            return await asyncio.wait_for(talk(), seconds)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return None


def item(name, group, scorer=True, size=8):
    made = {"id": name, "path": f"/train/{name}", "tokens": 100, "group": group,
            "headers": {"Model": "m", "Token-Count": "50,50", "Prompt-Prefix": "aa:50"},
            "body": base64.b64encode(os.urandom(size)).decode()}
    if scorer:
        made["scorer"] = {"id": f"s{name}", "host": HOST, "path": f"/score/{name}",
                          "body": base64.b64encode(b"score").decode()}
    return made


TRAIN = {"name": "train", "host": HOST, "path_prefix": "/train/", "kind": "rollout",
         "timeout_ms": 10000, "slo_ms": 400, "priority": 1, "service": "llm", "max_attempts": 3,
         "run_deadline_ms": 7500, "queue_ttl_s": 40}
SCORE = {"name": "score", "host": HOST, "path_prefix": "/score/", "kind": "safe",
         "timeout_ms": 1500, "slo_ms": 200, "priority": 2, "service": "app", "max_attempts": 4}
