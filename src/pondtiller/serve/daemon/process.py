"""One daemon: binds its sockets, builds the world and serves until it is drained.

Owns the sockets, the journal and the HTTP routes. The number under which its registers are known
comes from the journal where there is a data folder; without one, each start is a new member with
empty registers.
"""

import random

import curio

from pondtiller.address import Address
from pondtiller.coordination.member import Member
from pondtiller.errors import ErrorKind, Failure
from pondtiller.httpio.client import HttpClient
from pondtiller.httpio.messages import HttpResponse, json_response
from pondtiller.httpio.server import Exchange, bind_tcp, failure_response, serve_http
from pondtiller.process import clock, logs
from pondtiller.process.curio_types import Task
from pondtiller.serve.core.events import DrainRequested
from pondtiller.serve.core.world import World
from pondtiller.serve.core.world_settings import WorldSettings
from pondtiller.serve.daemon import metrics
from pondtiller.serve.daemon.caller_api import CallerApi
from pondtiller.serve.daemon.engine_client import EngineClient
from pondtiller.serve.daemon.journal import Journal
from pondtiller.serve.daemon.peer_transport import PeerTransport, bind_peer
from pondtiller.serve.daemon.platform_client import PlatformClient
from pondtiller.serve.daemon.runtime import Runtime
from pondtiller.serve.daemon.settings import DaemonSettings
from pondtiller.serve.daemon.trainer_api import TrainerApi
from pondtiller.table.sheet import DOCUMENT_NAME, RowKind

LAST_ANSWERS_SECONDS = 0.2
"""From the end of the last request until the sockets close: answers that are under way still leave.
Chosen, not measured."""
READABLE_PATHS = ("/healthz", "/readyz", "/metrics", "/v1/models")
CALLER_PATHS = ("/v1/completions", "/v1/chat/completions")


class BoundSockets:
    """A daemon's sockets, bound before the daemon starts so that others can know its ports."""

    def __init__(self, host: str, peer_port: int, http_port: int) -> None:
        self.datagrams, self.peer_listener = bind_peer(host, peer_port)
        self.http_listener = bind_tcp(host, http_port)
        self.host = host
        self.peer_port = int(self.peer_listener.getsockname()[1])
        self.http_port = int(self.http_listener.getsockname()[1])


class DaemonProcess:
    """A daemon with its sockets.

    Parameters
    ----------
    settings
        Checked settings.
    sockets
        Bound sockets; bound from the settings where None.
    """

    def __init__(self, settings: DaemonSettings, sockets: BoundSockets | None = None) -> None:
        self.settings = settings
        self.sockets = sockets or BoundSockets(
            settings.host, settings.peer_port, settings.http_port
        )
        incarnation = clock.new_incarnation()
        self._journal: Journal | None = None
        if settings.data_folder is not None:
            self._journal = Journal(settings.data_folder, incarnation)
        self.world = self._build_world(incarnation)
        self.peers = PeerTransport(self.sockets.datagrams, self.sockets.peer_listener)
        self.runtime = Runtime(self.world, self.peers, self._journal)
        self._connect_clients()
        self._callers = CallerApi(self.runtime)
        self._trainers = TrainerApi(self.runtime)
        self._tasks: list[Task] = []

    def _build_world(self, incarnation: int) -> World:
        settings = self.settings
        storage = self._journal.storage if self._journal is not None else incarnation
        member = Member(
            name=settings.name,
            zone=settings.zone,
            host=settings.host,
            peer_port=self.sockets.peer_port,
            http_port=self.sockets.http_port,
            incarnation=incarnation,
            storage=storage,
        )
        seeds = tuple(
            Member(
                name=peer.name,
                zone=peer.zone,
                host=peer.host,
                peer_port=peer.peer_port,
                http_port=peer.http_port,
            )
            for peer in settings.peers
        )
        world_settings = WorldSettings(
            member=member,
            seeds=seeds,
            shard_count=settings.register_shards,
            replica_count=settings.register_replicas,
        )
        world = World(world_settings, random.Random(f"{settings.name}/{incarnation}"))
        if self._journal is not None:
            self._journal.restore(world.acceptor, clock.monotonic())
        return world

    def _connect_clients(self) -> None:
        client = HttpClient()
        platform = self.settings.platform
        self.runtime.connect(
            EngineClient(client, self.runtime.post),
            PlatformClient(
                client,
                self.runtime.post,
                Address(platform.host, platform.port),
                Address(platform.scorer_host, platform.scorer_port),
            ),
        )

    async def run(self) -> None:
        """Serve until `stop` has been asked for and nothing is in progress any more."""
        logs.write(self.settings.name, "started")
        receive = self.runtime.receive_letter
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self.runtime.run)
            await group.spawn(self.peers.receive_datagrams, receive)
            await group.spawn(self.peers.receive_connections, receive)
            await group.spawn(serve_http, self.sockets.http_listener, self._handle)
            await group.spawn(self._wait_drained)
        if self._journal is not None:
            self._journal.close()
        logs.write(self.settings.name, "ended")

    async def _wait_drained(self) -> None:
        await self.runtime.drained.wait()
        # The last answers are in their queues; let their tasks write them out.
        await curio.sleep(LAST_ANSWERS_SECONDS)

    async def stop(self) -> None:
        """Ask for a planned stop."""
        await self.runtime.post(DrainRequested())

    async def _handle(self, exchange: Exchange) -> None:
        path, method = exchange.request.path, exchange.request.method
        if path == "/v1/completions" and method == "POST":
            await self._callers.completions(exchange)
        elif path == "/v1/chat/completions" and method == "POST":
            await self._callers.chat(exchange)
        elif self._trainers.matches(path):
            await self._trainers.handle(exchange)
        elif method == "GET" and path in READABLE_PATHS:
            await exchange.respond(self._read(path))
        else:
            is_known = path in READABLE_PATHS or path in CALLER_PATHS
            kind = ErrorKind.METHOD_NOT_ALLOWED if is_known else ErrorKind.NOT_FOUND
            await exchange.respond(failure_response(Failure(kind, f"{method} {path}")))

    def _read(self, path: str) -> HttpResponse:
        if path == "/healthz":
            return json_response(200, {"status": "ok"})
        if path == "/readyz":
            return self._readiness()
        if path == "/metrics":
            body = metrics.render(self.runtime, self.peers)
            return HttpResponse(200, body, "text/plain; version=0.0.4; charset=utf-8")
        return self._models()

    def _readiness(self) -> HttpResponse:
        world = self.world
        is_ready = world.ready and not world.draining
        body = {
            "ready": is_ready,
            "draining": world.draining,
            "table_revision": world.documents.revision(DOCUMENT_NAME),
        }
        return json_response(200 if is_ready else 503, body)

    def _models(self) -> HttpResponse:
        data = [
            {"id": row.name, "object": "model", "created": 0, "owned_by": "pondtiller"}
            for row in self.world.sheet.rows_of(RowKind.SERVICE)
        ]
        return json_response(200, {"object": "list", "data": data})
