"""One replica process: its file, its socket, its object in the store.

Holds the parts of a replica and the disk's identity, drawn when the file is created: a machine that
returns with an empty folder is another replica. Needs the store only to be discovered; a replica
that gateways know serves without it.
"""

import uuid

import curio

from pondtiller.address import Address, to_address
from pondtiller.httpio.client import HttpClient
from pondtiller.httpio.metrics_server import MetricsServer
from pondtiller.httpio.server import bind_tcp
from pondtiller.links.link import serve_links
from pondtiller.platform import names, objects
from pondtiller.platform.object_client import (
    MAX_REST_SECONDS,
    ObjectClient,
    PutOutcome,
    StoreCallError,
)
from pondtiller.process import clock, logs
from pondtiller.process.spawner import Spawner
from pondtiller.process.supervise import keep_running
from pondtiller.replica.file import LogFile
from pondtiller.replica.server import ReplicaServer
from pondtiller.settings import ReplicaSettings
from pondtiller.steplog.kept_texts import KeptTexts
from pondtiller.steplog.replica import Replica
from pondtiller.store.mirror import MIRROR_TIMES
from pondtiller.wire.steplog import DiskRecord, GroupMember

REGISTER_RETRY_SECONDS = 0.5
"""Pause between two attempts to write this replica's object. Only the start of a machine that
gateways do not know yet waits for it."""


class ReplicaProcess:
    """A replica with its parts."""

    def __init__(self, settings: ReplicaSettings) -> None:
        self.settings = settings
        self.file = LogFile(settings.data_folder)
        place = to_address(settings.links)
        self._listener = bind_tcp(place.host, place.port)
        self.texts = KeptTexts()
        self.replica = self._restore()
        self.store = ObjectClient(to_address(settings.store), HttpClient(MAX_REST_SECONDS))
        extra_kinds = {names.SUSPECTS: MIRROR_TIMES}
        if settings.evacuation.within:
            extra_kinds[names.EVACUATIONS] = MIRROR_TIMES
        self.server = ReplicaServer(self.replica, self.file, self.texts, self.store, extra_kinds)
        self._stopped = curio.Event()
        self.metrics_server = (
            MetricsServer(settings.metrics, self.render_metrics) if settings.metrics else None
        )

    def render_metrics(self) -> bytes:
        """Return this replica's metrics as Prometheus text."""
        from pondtiller.replica.metrics_text import ReplicaFigures, render

        server, replica = self.server, self.replica
        counters = {
            "syncs": server.syncs,
            "messages": server.messages,
            "refused_writes": server.refused_writes,
            "mirror_answers": server.mirror.answers,
            "store_calls": sum(self.store.calls.values()),
        }
        gauges = {
            "entries": float(len(replica.entries)),
            "file_bytes": float(self.file.size),
            "subscribers": float(len(server.subscribers)),
            "follows_leader": float(clock.monotonic() < replica.lease.until),
            "mirrors": float(server.mirror.is_fresh()),
            "generation": float(replica.groups[-1].generation if replica.groups else 0),
        }
        return render(ReplicaFigures(counters, gauges))

    def _restore(self) -> Replica:
        records = self.file.read()
        disk = next((record.disk for record in records if record.disk), "")
        is_new = not disk
        if is_new:
            disk = uuid.uuid4().hex
            self.file.append([DiskRecord(disk=disk)])
        announced = self.settings.announced_links
        place = to_address(announced) if announced else Address(*self._listener.getsockname())
        member = GroupMember(
            name=self.settings.name,
            disk=disk,
            zone=self.settings.zone,
            host=place.host,
            port=place.port,
        )
        replica = Replica(member, self.settings.first_start, clock.monotonic())
        for record in records:
            replica.restore(record)
            self.texts.save(record.texts)
        logs.decision(
            "started",
            replica=member.name,
            disk=disk,
            is_new=is_new,
            entries=len(replica.entries),
            promised=replica.promised,
            promised_to=replica.promised_to,
            texts=len(self.texts.by_sample),
            bytes=self.file.size,
        )
        return replica

    async def run(self) -> None:
        """Serve until stopped."""
        async with Spawner() as group:
            await group.spawn(
                keep_running, "links", serve_links, self._listener, self.server.accept
            )
            await group.spawn(keep_running, "commits", self.server.run)
            await group.spawn(keep_running, "mirror", self.server.mirror.run)
            await group.spawn(keep_running, "registration", self._register)
            if self.metrics_server is not None:
                await group.spawn(keep_running, "metrics", self.metrics_server.run)
            await self._stopped.wait()
        self.file.close()
        logs.decision("stopped", replica=self.settings.name)

    async def stop(self) -> None:
        """Stop; no unwritten work is in progress."""
        await self._stopped.set()

    def reload(self, settings: ReplicaSettings) -> None:
        """Apply changed settings; addresses and names stay until the next start."""
        logs.decision("reloaded", replica=settings.name, changed=settings != self.settings)

    async def _register(self) -> None:
        """Write this replica's object, so that gateways discover it."""
        name, spec = self.settings.name, objects.replica_spec(self.replica.member)
        while True:
            try:
                if await self._is_registered(name, spec):
                    logs.decision("registered", replica=name)
                    return
            except StoreCallError as error:
                logs.decision("store_lost", reason=str(error))
            await curio.sleep(REGISTER_RETRY_SECONDS)

    async def _is_registered(self, name: str, spec: dict[str, object]) -> bool:
        if await self.store.create(names.REPLICAS, name, spec) is PutOutcome.DONE:
            return True
        found = await self.store.read(names.REPLICAS, name)
        if found is None:
            return False
        if found.spec == spec:
            return True
        outcome = await self.store.replace(names.REPLICAS, name, found.revision, spec)
        return outcome is PutOutcome.DONE
