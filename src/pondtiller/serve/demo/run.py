"""Runs the demo: a burst on real sockets, then a verdict for each property.

Daemons, stand-ins, trainers and callers share one process and one loop. The verdict comes from what
engines, callers and trainers saw, by the checks of the simulation.
"""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import curio

from pondtiller.address import Address
from pondtiller.process import clock
from pondtiller.process.signals import wait_for_stop
from pondtiller.process.spawner import Spawner
from pondtiller.serve.core.instructions import EngineRequest
from pondtiller.serve.core.tokens import Chunk
from pondtiller.serve.daemon.process import BoundSockets, DaemonProcess
from pondtiller.serve.daemon.settings import DaemonSettings, PeerSettings, PlatformSettings
from pondtiller.serve.demo.load import LiveLoad
from pondtiller.serve.deployment import Deployment
from pondtiller.serve.emulator.engine_server import EngineServer
from pondtiller.serve.emulator.fleet import trainer_settings
from pondtiller.serve.emulator.server import Emulator, build_emulator
from pondtiller.serve.emulator.trainer import TrainerModel
from pondtiller.serve.emulator.trainer_client import TrainerClient
from pondtiller.serve.simulation.checks import CheckSettings, Violation, check_all
from pondtiller.serve.simulation.truth import EngineStart, LeavingEngine, TokenRun, Truth
from pondtiller.table.sheet import RowKind

HOST = "127.0.0.1"
READY_SECONDS = 20.0
"""Longest wait until all daemons serve. Chosen, not measured: they do so within a few seconds."""
READY_CHECK_SECONDS = 0.05
"""How often that is looked at. Chosen, not measured."""


@dataclass(frozen=True, slots=True)
class DemoSettings:
    """What the demo does.

    Attributes
    ----------
    seconds
        Length of the burst.
    keep
        Stay up after the verdict until interrupted.
    """

    deployment: Deployment
    seconds: float
    seed: int = 1
    keep: bool = False
    platform_port: int = 0


@dataclass(frozen=True, slots=True)
class TrainerOutcome:
    """What one trainer got done."""

    trainer: str
    steps: int
    samples: int
    idle_seconds: float


@dataclass(frozen=True, slots=True)
class DemoReport:
    """Outcome of a demo."""

    first_answer_seconds: float
    requests: int
    answered: int
    median_seconds: float
    slowest_seconds: float
    trainers: tuple[TrainerOutcome, ...]
    violations: tuple[Violation, ...]
    unanswered: tuple[str, ...]


Say = Callable[[str], None]


@dataclass(slots=True)
class Demo:
    """One demo with its processes.

    Attributes
    ----------
    say
        Takes lines for people.
    show_table
        Shows the table with its status, given the platform's address.
    """

    settings: DemoSettings
    say: Say
    show_table: Callable[[Address], Awaitable[None]]
    truth: Truth = field(default_factory=Truth)
    daemons: list[DaemonProcess] = field(default_factory=list)

    async def run(self) -> DemoReport:
        """Start everything, run the burst and return the report."""
        started = clock.monotonic()
        deployment = self.settings.deployment
        emulator = build_emulator(deployment, self.settings.seed, HOST, self.settings.platform_port)
        for server in emulator.engines.values():
            self._observe(server)
        self.daemons = build_daemons(deployment, emulator.platform.address)
        async with Spawner() as spawner:
            await spawner.spawn(emulator.run)
            for daemon in self.daemons:
                await spawner.spawn(daemon.run)
            await self._wait_ready()
            first = await self._first_answer(started)
            report = await self._burst(emulator, spawner, first)
            if self.settings.keep:
                await self._stay()
        return report

    def _observe(self, server: EngineServer) -> None:
        prompts: dict[str, str] = {}
        name = server.model.settings.name

        def start(request: EngineRequest, now: float) -> None:
            prompts[request.request_id] = request.prompt
            started = EngineStart(
                name, request.request_id, request.prompt, request.priority, now, now
            )
            self.truth.starts.append(started)

        def chunk(request_id: str, made: Chunk) -> None:
            if made.token_count:
                last = made.first_token + made.token_count - 1
                runs = self.truth.tokens.setdefault(prompts[request_id], [])
                runs.append(TokenRun(made.first_token, last, made.version))

        server.model.observe_start = start
        server.observe_chunk = chunk

    async def _wait_ready(self) -> None:
        async with curio.timeout_after(READY_SECONDS):
            while not all(self._is_ready(daemon) for daemon in self.daemons):
                await curio.sleep(READY_CHECK_SECONDS)

    def _is_ready(self, daemon: DaemonProcess) -> bool:
        world = daemon.world
        return world.ready and len(world.proposer.configuration.shards) > 0

    async def _first_answer(self, started: float) -> float:
        load = self._load()
        await load.run(self.settings.deployment.traffic[:1], 1.0)
        self.truth.callers.extend(load.result.requests)
        answered = [request.answered() for request in load.result.requests]
        first = min((each.ended_at or 0.0 for each in answered if each), default=started)
        return first - started

    def _load(self) -> LiveLoad:
        addresses = [Address(HOST, daemon.sockets.http_port) for daemon in self.daemons]
        rows = self.settings.deployment.table
        worth = {row.name: row.worth for row in rows if row.kind is RowKind.CALLER}
        return LiveLoad(addresses, worth, random.Random(self.settings.seed))

    async def _burst(self, emulator: Emulator, spawner: Spawner, first: float) -> DemoReport:
        deployment = self.settings.deployment
        load = self._load()
        load.sequence = len(self.truth.callers)
        trainers = [
            TrainerClient(TrainerModel(each), load.daemons, number)
            for number, each in enumerate(trainer_settings(deployment))
        ]
        tasks = [await spawner.spawn(trainer.run) for trainer in trainers]
        self.say(f"burst of {self.settings.seconds:g} s on {len(self.daemons)} daemons ...")
        half = self.settings.seconds / 2
        await load.run(deployment.traffic, half)
        leaving = f"{deployment.engines[-1].name}-0"
        emulator.mark_leaving(leaving)
        self.truth.leaving.append(LeavingEngine(leaving, clock.monotonic()))
        self.say(f"half-way: {leaving} is leaving, {self.daemons[-1].settings.name} is stopping")
        stopping = self.daemons.pop()
        await stopping.stop()
        load.daemons.pop()
        await load.run(deployment.traffic, half)
        for task in tasks:
            await task.cancel()
        await self.show_table(emulator.platform.address)
        return self._report(load, trainers, first)

    def _report(self, load: LiveLoad, trainers: list[TrainerClient], first: float) -> DemoReport:
        self.truth.callers.extend(load.result.requests)
        for trainer in trainers:
            self.truth.received[trainer.model.settings.name] = trainer.model.received
        deployment = self.settings.deployment
        bounds = {row.name: row.staleness_bound or 0 for row in deployment.table}
        samples = {trainer.name: trainer.samples for trainer in deployment.trainers}
        violations = check_all(self.truth, CheckSettings(bounds, samples))
        requests = load.result.requests
        missing = [each.prompt for each in requests if each.answered() is None]
        latencies = load.result.latencies
        return DemoReport(
            first_answer_seconds=first,
            requests=len(requests),
            answered=len(requests) - len(missing),
            median_seconds=latencies.get_value_at_percentile(50) / 1e6,
            slowest_seconds=latencies.get_value_at_percentile(99) / 1e6,
            trainers=tuple(_outcome(trainer.model) for trainer in trainers),
            violations=tuple(violations),
            unanswered=tuple(missing),
        )

    async def _stay(self) -> None:
        port = self.daemons[0].sockets.http_port
        self.say(f"callers' URL: http://{HOST}:{port}/v1 (interrupt to end)")
        await wait_for_stop()


def _outcome(model: TrainerModel) -> TrainerOutcome:
    return TrainerOutcome(
        model.settings.name, model.steps_done, len(model.received), model.idle_seconds
    )


def build_daemons(deployment: Deployment, platform: Address) -> list[DaemonProcess]:
    """Bind and build all daemons of a deployment on loopback."""
    peers: list[PeerSettings] = []
    sockets: list[BoundSockets] = []
    for zone in deployment.zones:
        for number in range(deployment.daemons_a_zone):
            bound = BoundSockets(HOST, 0, 0)
            sockets.append(bound)
            peers.append(
                PeerSettings(
                    name=f"{zone}-{number}",
                    zone=zone,
                    host=HOST,
                    peer_port=bound.peer_port,
                    http_port=bound.http_port,
                )
            )
    platform_settings = PlatformSettings(
        host=platform.host,
        port=platform.port,
        scorer_host=platform.host,
        scorer_port=platform.port,
    )
    seeds = tuple(peers[:: deployment.daemons_a_zone])
    return [
        DaemonProcess(
            DaemonSettings(
                name=peer.name,
                zone=peer.zone,
                platform=platform_settings,
                peers=seeds,
                register_replicas=min(5, len(peers) - 1 + len(peers) % 2),
            ),
            bound,
        )
        for peer, bound in zip(peers, sockets, strict=True)
    ]
