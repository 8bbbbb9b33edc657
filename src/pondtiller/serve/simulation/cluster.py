"""Builds a deployment on the virtual clock and wires its parts together.

Owns the seeded source, from which each part gets one of its own in a fixed order, and the record of
what happened. Changes by itself nothing while it runs: faults do.
"""

import json
import random

from pondtiller.address import Address
from pondtiller.coordination.member import Member
from pondtiller.serve.core.constants import FLEET_DOCUMENT
from pondtiller.serve.deployment import Deployment
from pondtiller.serve.emulator.engine import EngineModel
from pondtiller.serve.emulator.fleet import (
    engine_settings,
    first_sheet,
    fleet_entry,
    trainer_settings,
)
from pondtiller.serve.emulator.object_store import ObjectStore
from pondtiller.serve.emulator.trainer import TrainerModel
from pondtiller.serve.emulator.weights import WeightStore
from pondtiller.serve.simulation.callers import Callers
from pondtiller.serve.simulation.cluster_settings import ClusterSettings
from pondtiller.serve.simulation.daemon import DaemonNode
from pondtiller.serve.simulation.engines import EngineNode
from pondtiller.serve.simulation.network import Network
from pondtiller.serve.simulation.operators import Operators
from pondtiller.serve.simulation.platform import PlatformNode
from pondtiller.serve.simulation.scheduler import Scheduler
from pondtiller.serve.simulation.shared_parts import SharedParts
from pondtiller.serve.simulation.trainers import TrainerNode
from pondtiller.serve.simulation.truth import AcceptedEdit, InProgress, LeavingEngine, Truth
from pondtiller.table.sheet import DOCUMENT_NAME, RowKind, Sheet

FLEET_LAG_SECONDS = 2.0
"""By which the platform's list of engines is late. Modelled."""
START_SPREAD_SECONDS = 1.0
"""Time over which the starts of daemons are spread. Modelled."""
SAMPLE_SECONDS = 0.25
"""How often requests in progress are counted, for the check of limits. Chosen, not measured."""


class Cluster:
    """A deployment in simulation; `faults` change it while it runs.

    Attributes
    ----------
    daemons
        All daemons by name, dead ones too.
    """

    def __init__(self, deployment: Deployment, settings: ClusterSettings) -> None:
        self.deployment = deployment
        self.settings = settings
        self.source = random.Random(settings.seed)
        self.scheduler = Scheduler()
        self.truth = Truth()
        self._highest_priority: dict[str, int] = {}
        self.network = Network(self.scheduler, deployment.latencies, self._fork())
        self.platform = PlatformNode(ObjectStore(), self.scheduler, self._fork())
        self.platform.on_write = self._note_write
        self.weights = WeightStore(deployment.weights.transfer_seconds, deployment.weights.lanes)
        self.engines = self._build_engines()
        self.daemons: dict[str, DaemonNode] = {}
        self.shared = SharedParts(
            self.scheduler,
            self.network,
            self.platform,
            self.engines,
            self.daemons,
            on_table=self._note_in_force,
            count_bytes=settings.count_bytes,
            processor_clock=settings.processor_clock,
        )
        self._write_first_documents()
        self._build_daemons()
        self.operators = Operators(self.platform, self.scheduler, self._fork())
        self.callers = Callers(
            deployment,
            self.scheduler,
            self._fork(),
            self.truth,
            self.entry_daemons,
            {row.name: row.worth for row in deployment.table if row.kind is RowKind.CALLER},
        )
        self.trainers = [
            TrainerNode(TrainerModel(settings), self.scheduler, self._fork(), self.entry_daemons)
            for settings in trainer_settings(deployment)
        ]

    def _fork(self) -> random.Random:
        return random.Random(self.source.getrandbits(64))

    def entry_daemons(self) -> list[DaemonNode]:
        """Return the daemons that a load balancer in front would offer."""
        offered = [node for node in self.daemons.values() if node.alive and not node.stopping]
        return offered or list(self.daemons.values())

    def start(self, load_until: float) -> None:
        """Start all processes, and the load until `load_until` seconds."""
        for node in self.daemons.values():
            delay = self.source.uniform(0, START_SPREAD_SECONDS)
            self.scheduler.after(delay, node.start)
        if not self.settings.with_load:
            return
        self._sample_in_progress()
        self.callers.start(5.0, load_until)
        for trainer in self.trainers:
            trainer.start(5.0)

    def _sample_in_progress(self) -> None:
        """Note how many requests of each limited caller class run on all engines."""
        now = self.scheduler.now
        for row in self.deployment.table:
            if row.kind is RowKind.CALLER and row.limit is not None:
                mark = f"{row.name} asks"
                count = sum(node.count_prompts(mark) for node in self.engines.values())
                self.truth.in_progress.append(InProgress(row.name, count, now))
        self.scheduler.after(SAMPLE_SECONDS, self._sample_in_progress)

    def run_until(self, end: float) -> None:
        """Let simulated time pass."""
        self.scheduler.run_until(end)
        for trainer in self.trainers:
            self.truth.received[trainer.model.settings.name] = trainer.model.received

    def mark_leaving(self, engine: str) -> None:
        """The platform takes an engine out of service; its list shows it late."""
        visible_at = self.scheduler.now + FLEET_LAG_SECONDS
        self.scheduler.after(FLEET_LAG_SECONDS, lambda: self._publish_leaving(engine, visible_at))

    def _publish_leaving(self, engine: str, visible_at: float) -> None:
        document = json.loads(self.platform.store.objects[FLEET_DOCUMENT].body)
        for entry in document["engines"]:
            if entry["name"] == engine:
                entry["leaving"] = True
        self.truth.leaving.append(LeavingEngine(engine, visible_at))
        body = json.dumps(document).encode()
        self.platform.store.put(FLEET_DOCUMENT, None, body, self.scheduler.now)

    def _build_engines(self) -> dict[str, EngineNode]:
        nodes: dict[str, EngineNode] = {}
        for settings in engine_settings(self.deployment):
            model = EngineModel(settings, self.weights, self._fork())
            nodes[settings.name] = EngineNode(model, self.scheduler, self.network, self.truth)
        return nodes

    def _write_first_documents(self) -> None:
        sheet = first_sheet(self.deployment)
        store = self.platform.store
        written = store.put(DOCUMENT_NAME, 0, sheet.model_dump_json().encode(), 0.0)
        self._note_write(DOCUMENT_NAME, written.revision, sheet.model_dump_json().encode())
        fleet = {
            "engines": [
                fleet_entry(node.model.settings, Address(node.name, 1))
                for node in self.engines.values()
            ]
        }
        store.put(FLEET_DOCUMENT, 0, json.dumps(fleet).encode(), 0.0)

    def _build_daemons(self) -> None:
        members: list[Member] = []
        for zone in self.deployment.zones:
            for number in range(self.deployment.daemons_a_zone):
                members.append(
                    Member(
                        name=f"{zone}-{number}",
                        zone=zone,
                        host=f"{zone}-{number}",
                        peer_port=1,
                        http_port=1,
                    )
                )
        seeds = members[:: self.deployment.daemons_a_zone]
        for member in members:
            node = DaemonNode(
                member.name,
                member.zone,
                seeds,
                self.shared,
                self._fork(),
                self.settings,
            )
            node.on_connections_broken = self._connections_broken
            self.daemons[member.name] = node

    def _connections_broken(self, request_id: str, planned: bool) -> None:
        self.callers.broken(request_id, planned)

    def _note_write(self, name: str, revision: int, body: bytes) -> None:
        if name != DOCUMENT_NAME:
            return
        for row in Sheet.model_validate_json(body).rows_of(RowKind.CALLER):
            priority = row.priority or 0
            if priority > self._highest_priority.get(row.name, -1):
                self._highest_priority[row.name] = priority
                now = self.scheduler.now
                self.truth.edits.append(AcceptedEdit(revision, now, row.name, priority))

    def _note_in_force(self, daemon: str, revision: int) -> None:
        times = self.truth.first_in_force.setdefault(revision, {})
        times.setdefault(daemon, self.scheduler.now)
