"""A complete small system for tests: store, engines, replicas and gateways in one process."""

import json
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import curio
import logbook

from pondtiller.address import Address
from pondtiller.gateway.process import GatewayProcess
from pondtiller.httpio.client import HttpClient
from pondtiller.httpio.messages import HttpResponse
from pondtiller.process import clock, logs
from pondtiller.process.spawner import Spawner
from pondtiller.replica.process import ReplicaProcess
from pondtiller.rollouts.scaling import PolicyName
from pondtiller.settings import (
    Evacuation,
    GatewaySettings,
    Keys,
    News,
    OperatorApi,
    ReplicaSettings,
    Scaling,
    Usage,
)
from pondtiller.standins.documents import configuration, step_body
from pondtiller.standins.engine import StandInEngine
from pondtiller.standins.operator import StandInOperator
from pondtiller.standins.store import StandInStore

ANY = "127.0.0.1:0"
DUTIES = ("usage_report", "autoscaler")


class System:
    """All processes of one test."""

    def __init__(
        self,
        folder: Path,
        gateways: int = 1,
        replicas: int = 3,
        use_window: float = 0.0,
        keys: Keys | None = None,
        evacuate_within: float = 0.0,
        scaling: PolicyName = PolicyName.LEAVE,
        news: News | None = None,
    ) -> None:
        self.news = news or News()
        self.evacuation = Evacuation(within=evacuate_within)
        self.folder = folder
        self.scaling = scaling
        self.operator = StandInOperator()
        self.use_window = use_window
        self.keys = keys or Keys()
        self.group = Spawner()
        self.tasks: dict[Any, Any] = {}
        self.stalls: list[float] = []
        self.store = StandInStore()
        self.app = [StandInEngine(f"a{number}", "app") for number in range(2)]
        self.llm = [StandInEngine(f"m{number}", "llm") for number in range(2)]
        for engine in self.llm:
            engine.models = ["m"]
        self.client = HttpClient()
        self.replicas = [self.make_replica(number) for number in range(replicas)]
        self.gateways = [self.make_gateway(number) for number in range(gateways)]

    def make_replica(self, number: int, first_start: bool = True) -> ReplicaProcess:
        return ReplicaProcess(
            ReplicaSettings(
                name=f"r{number}",
                zone="z",
                links=ANY,
                store=self.store.address,
                data_folder=self.folder / f"r{number}",
                first_start=first_start,
                evacuation=self.evacuation,
            )
        )

    def make_gateway(self, number: int) -> GatewayProcess:
        return GatewayProcess(
            GatewaySettings(
                name=f"g{number}",
                zone="z",
                callers=ANY,
                readiness=ANY,
                links=ANY,
                store=self.store.address,
                usage=Usage(window=self.use_window),
                keys=self.keys,
                news=self.news,
                evacuation=self.evacuation,
                operator=OperatorApi(address=self.operator.address, duties=DUTIES),
                scaling=Scaling(policy=self.scaling),
            )
        )

    async def start(self, with_configuration: bool = True) -> None:
        await self.group.spawn(self.store.serve)
        await self.group.spawn(self.operator.serve)
        for engine in (*self.app, *self.llm):
            await self.group.spawn(engine.serve)
            self.store.put("servers", engine.identifier, engine.entry())
        if with_configuration:
            self.store.put("config", "main", configuration(3, *self.app, *self.llm))
        for process in (*self.replicas, *self.gateways):
            self.tasks[process] = await self.group.spawn(process.run)

    async def stop(self) -> None:
        await self.group.cancel_all()

    async def until(self, is_true: Callable[[], bool], seconds: float = 8.0) -> None:
        give_up = clock.monotonic() + seconds
        while not is_true():
            assert clock.monotonic() < give_up, "the condition did not become true in time"
            await curio.sleep(0.02)

    async def until_led(self) -> GatewayProcess:
        await self.until(lambda: any(each.duties.term for each in self.gateways))
        return next(each for each in self.gateways if each.duties.term)

    def callers(self, gateway: int = 0) -> Address:
        process = self.gateways[gateway]
        return process.sockets.address(process.sockets.callers)

    def readiness(self, gateway: int = 0) -> Address:
        process = self.gateways[gateway]
        return process.sockets.address(process.sockets.readiness)

    async def call(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        gateway: int = 0,
        host: str = "app.example",
        **headers: str,
    ) -> HttpResponse:
        """Call a gateway; header names are given with underscores."""
        named = tuple((name.replace("_", "-"), value) for name, value in headers.items())
        connection = await self.client.open_plain(self.callers(gateway))
        try:
            await connection.send_plain(method, target, body, (("Host", host), *named))
            head = await connection.read_head()
            pieces = [piece async for piece in connection.read_body()]
        finally:
            await connection.close()
        received = tuple((name.decode(), value.decode()) for name, value in head.headers)
        return HttpResponse(head.status_code, b"".join(pieces), headers=received)

    async def submit(self, step: str, samples: int = 4, oldest: int = 1, gateway: int = 0) -> int:
        """Submit a step; return the HTTP status."""
        body = json.dumps(step_body(step, samples, oldest)).encode()
        answer = await self.call(
            "POST", "/rollout/x", body, gateway, "train.example", request_id=step
        )
        return answer.status

    async def read(self, step: str, position: int = 0, gateway: int = 0) -> Any:
        """Read results; None unless the call succeeds."""
        target = f"/pondtiller/lots/{step}?since_rev={position}"
        answer = await self.call("GET", target, b"", gateway, "train.example", wait_ms="300")
        return answer.json() if answer.status == 200 else None

    async def read_all(self, step: str, total: int, gateway: int = 0) -> list[Any]:
        """Read until all results are listed."""
        found: list[Any] = []
        give_up = clock.monotonic() + 10.0
        while len(found) < total:
            assert clock.monotonic() < give_up, f"only {len(found)} of {total} were listed"
            page = await self.read(step, len(found), gateway)
            if page is not None:
                found += page["results"]
        return found


CHECK_SECONDS = 0.02
LOGGED_STALL_SECONDS = 0.1
"""From this length on a pause of the process is logged among the decisions; a third of the shortest
wait that a leader's term depends on."""


async def note_stalls(stalls: list[float]) -> None:
    """Record by how much a short sleep is late, each time."""
    while True:
        began = time.monotonic()
        await curio.sleep(CHECK_SECONDS)
        late = time.monotonic() - began - CHECK_SECONDS
        stalls.append(late)
        if late >= LOGGED_STALL_SECONDS:
            logs.decision("test_process_stalled", seconds=late)


def run_system(
    folder: Path,
    test: Callable[[System], Awaitable[None]],
    gateways: int = 1,
    replicas: int = 3,
    with_configuration: bool = True,
    use_window: float = 0.0,
    keys: Keys | None = None,
    evacuate_within: float = 0.0,
    scaling: PolicyName = PolicyName.LEAVE,
    news: News | None = None,
) -> None:
    """Run one test against a fresh system."""

    # Shown if a test fails: the decisions of all parts in order. A test's own handler receives them
    # too.
    decisions = logbook.StreamHandler(
        sys.stdout, level="INFO", format_string=logs.FORMAT, bubble=True
    )

    async def main() -> None:
        system = System(
            folder, gateways, replicas, use_window, keys, evacuate_within, scaling, news
        )
        await system.start(with_configuration)
        watch = await curio.spawn(note_stalls, system.stalls)
        try:
            await curio.timeout_after(40.0, test, system)
        finally:
            await watch.cancel()
            # Shown if a test fails: all parts share this process, and their waits are real.
            longest = max(system.stalls, default=0.0)
            print(f"this process stood still for {longest:.3f} s at the longest")
            await system.stop()

    with decisions.applicationbound():
        curio.run(main)
