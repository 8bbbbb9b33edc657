"""Measures what a sample costs a leader, in milliseconds of a core, and by which parts.

The leader is a whole gateway in this process; the store, the replicas, the engines and the gateways
that run its samples are in another, over real sockets. Only the leader's process is measured, by
its own processor time. A busy machine makes that longer too: compare runs side by side. Two
trainers submit steps of 64 samples at another gateway and read them there, as on small machines: 48
places, 16 events a sample, runs of 0.8 s. What the leader spends at rest is told apart.

`--profile` prints the shares of the leader's parts, and the functions that take most of its time.
Profiling makes all of it some three times as long, calls of many small functions more than others.

Sets no constant. It gives the figures of docs/design/26-leaders-cost.md; by them a tick passes over
services without room (`rollouts/samples.py`) and the group is looked at when needed: 2.94 ms a
sample before, 2.57 ms after.
"""

import argparse
import cProfile
import json
import os
import pstats
import tempfile
import time
from collections import Counter
from multiprocessing import Pipe, Process
from multiprocessing.connection import Connection
from pathlib import Path
from typing import Any

import curio
from betterproto import Message

from pondtiller.address import Address
from pondtiller.gateway.leader import leadership, term
from pondtiller.gateway.process import GatewayProcess
from pondtiller.httpio.client import HttpClient
from pondtiller.links import frames, link
from pondtiller.process import logs
from pondtiller.process.spawner import Spawner
from pondtiller.replica.process import ReplicaProcess
from pondtiller.settings import GatewaySettings, ReplicaSettings
from pondtiller.standins.documents import configuration, step_body
from pondtiller.standins.engine import StandInEngine
from pondtiller.standins.store import StandInStore

ANY = "127.0.0.1:0"
REPLICAS, RUNNERS, ENGINES = 5, 2, 12
EVENTS, EVENT_SECONDS = 16, 0.05
TRAINERS, SAMPLES = 2, 64
REST_SECONDS = 3.0
STEPS = 6
PROFILE_LINES = 40
PARTS = {
    "coding messages": ("/betterproto/", "/wire/", "/warnings.py", "/abc>"),
    "logging": ("/logs.py", "/logbook/"),
    "tasks, timers, polling": ("/curio/", "/selectors.py", "/spawner.py", "/supervise.py"),
    "placing": (
        "/rollouts/samples.py",
        "/rollouts/placement.py",
        "/rollouts/candidates.py",
        "/rollouts/sample_work.py",
        "/rollouts/shedding.py",
        "/rollouts/step_loads.py",
        "/routes/",
    ),
    "news of runs": (
        "/run_links.py",
        "/runner_directory.py",
        "/run_news.py",
        "/runner_choice.py",
        "/json/",
    ),
    "links": ("/links/",),
    "step log and its group": (
        "/steplog/",
        "/leadership.py",
        "/standing.py",
        "/group_upkeep.py",
        "/replicas.py",
        "/collections/",
    ),
    "term and steps": (
        "/term.py",
        "/sample_runs.py",
        "/unfinished_texts.py",
        "/version_orders.py",
        "/step_waiters.py",
        "/rollouts/steps.py",
        "/duties.py",
        "/progress.py",
    ),
    "store, engines, versions": ("/httpio/", "/h11/", "/platform/", "/store", "/versions.py"),
    "this bench": ("/bench_samples.py", "/multiprocessing/"),
}
"""Parts of a leader by the files of their functions; built-in functions count to their callers."""


class Leader:
    """A gateway that leads, alone in its process.

    Parameters
    ----------
    asked
        The end of the pipe on which the other process asks for figures.
    """

    def __init__(self, store: str, asked: Connection, is_profiled: bool) -> None:
        self.process = GatewayProcess(_gateway("leader", store))
        self.coded: Counter[str] = Counter()
        self._asked = asked
        self._profile = cProfile.Profile(time.process_time) if is_profiled else None

    async def run(self) -> None:
        """Serve until the other process has all figures."""
        handler = logs.BoundedHandler(os.open(os.devnull, os.O_WRONLY), "INFO")
        with handler.applicationbound():
            await curio.spawn(self.process.run, daemon=True)
            while True:
                if self._asked.poll() and not self._answer(self._asked.recv()):
                    break
                await curio.sleep(0.02)
        if self._profile is not None:
            self._profile.disable()
            stats = pstats.Stats(self._profile)
            for part, seconds in _by_part(stats).most_common():
                print(f"  {seconds / stats.total_tt:6.1%} {part}")  # type: ignore[attr-defined]
            stats.sort_stats("tottime").print_stats(PROFILE_LINES)

    def _answer(self, what: str) -> bool:
        term = self.process.duties.term
        if what == "runners":
            self._asked.send(len(term.runners.links) if term is not None else -1)
        elif what == "spent":
            self._asked.send(time.process_time())
        elif what == "begin":
            self.coded.clear()
            if self._profile is not None:
                self._profile.enable()
        elif what == "coded":
            self._asked.send(dict(self.coded))
        return what != "end"


def _gateway(name: str, store: str) -> GatewaySettings:
    return GatewaySettings(
        name=name,
        zone="z",
        callers=ANY,
        readiness=ANY,
        links=ANY,
        store=store,
    )


class World:
    """All that is not the leader."""

    def __init__(self, folder: Path, store: StandInStore, leader: Connection) -> None:
        self.store = store
        self.app = StandInEngine("a", "app")
        self.engines = [StandInEngine(f"m{n}", "llm", EVENTS) for n in range(ENGINES)]
        for engine in self.engines:
            engine.models, engine.event_seconds = ["m"], EVENT_SECONDS
        self.replicas = [
            ReplicaProcess(
                ReplicaSettings(
                    name=f"r{n}",
                    zone="z",
                    links=ANY,
                    store=self.store.address,
                    data_folder=folder / f"r{n}",
                    first_start=True,
                )
            )
            for n in range(REPLICAS)
        ]
        self.runners = [
            GatewayProcess(_gateway(f"g{n}", self.store.address)) for n in range(RUNNERS)
        ]
        self.leader = leader
        self.client = HttpClient()
        self.done = 0

    async def run(self) -> None:
        """Play and print all figures."""
        group = Spawner()
        await group.spawn(self.store.serve)
        for engine in (self.app, *self.engines):
            await group.spawn(engine.serve)
            self.store.put("servers", engine.identifier, engine.entry())
        self.store.put("config", "main", configuration(3, self.app, *self.engines))
        for replica in self.replicas:
            await group.spawn(replica.run)
        while self._ask("runners") < 0:
            await curio.sleep(0.05)
        for runner in self.runners:
            await group.spawn(runner.run)
        while self._ask("runners") < RUNNERS:
            await curio.sleep(0.05)
        await curio.sleep(1.0)
        idle = await self._spent(REST_SECONDS)
        print(f"at rest: {idle / REST_SECONDS * 1e3:.1f} ms a second")
        self.leader.send("begin")
        began, spent = time.monotonic(), self._ask("spent")
        tasks = [await curio.spawn(self._train, trainer, STEPS) for trainer in range(TRAINERS)]
        for task in tasks:
            await task.join()
        seconds = time.monotonic() - began
        total = self._ask("spent") - spent
        own = total - idle / REST_SECONDS * seconds
        print(
            f"{self.done} samples in {seconds:.1f} s: {total / self.done * 1e3:.2f} ms a sample, "
            f"{own / self.done * 1e3:.2f} ms without what it spends at rest"
        )
        for name, count in sorted(self._ask("coded").items()):
            print(f"  {count / self.done:7.2f} {name} a sample")
        self.leader.send("end")

    def _ask(self, what: str) -> Any:
        self.leader.send(what)
        return self.leader.recv()

    async def _spent(self, seconds: float) -> float:
        began: float = self._ask("spent")
        await curio.sleep(seconds)
        ended: float = self._ask("spent")
        return ended - began

    async def _train(self, trainer: int, steps: int) -> None:
        process = self.runners[trainer % RUNNERS]
        address = process.sockets.address(process.sockets.callers)
        for number in range(steps):
            step = f"t{trainer}-{number}"
            body = json.dumps(step_body(step, SAMPLES, 1)).encode()
            await self._call(address, "POST", "/rollout/x", body, (("Request-Id", step),))
            found = 0
            while found < SAMPLES:
                target = f"/pondtiller/lots/{step}?since_rev={found}"
                answer = await self._call(address, "GET", target, b"", (("Wait-Ms", "300"),))
                if answer is not None:
                    found += len(answer["results"])
            self.done += found

    async def _call(
        self, address: Address, method: str, target: str, body: bytes, headers: tuple[Any, ...]
    ) -> Any:
        connection = await self.client.open_plain(address)
        try:
            named = (("Host", "train.example"), *headers)
            await connection.send_plain(method, target, body, named)
            head = await connection.read_head()
            pieces = [piece async for piece in connection.read_body()]
        finally:
            await connection.close()
        return json.loads(b"".join(pieces)) if head.status_code == 200 else None


def _part(file: str) -> str:
    for part, places in PARTS.items():
        if any(place in file for place in places):
            return part
    return "other"


def _by_part(stats: Any) -> Counter[str]:
    """Return the seconds of each part."""
    found: Counter[str] = Counter()
    for (file, _, _), (_, _, own, _, callers) in stats.stats.items():
        if file != "~":
            found[_part(file)] += own
            continue
        for (caller, _, _), (_, _, part_of_own, _) in callers.items():
            found[_part(caller)] += part_of_own
    return found


def _count_messages(coded: Counter[str]) -> None:
    """Count each message that this process encodes or parses, by type."""
    write, read = frames.encode_message, frames._parse

    def encode(message: Message) -> frames.Encoded:
        coded[f"{type(message).__name__} written"] += 1
        return write(message)

    def parse(kind: int, body: bytes) -> Message:
        message = read(kind, body)
        coded[f"{type(message).__name__} read"] += 1
        return message

    for module in (frames, leadership, term, link):
        module.encode_message = encode  # type: ignore[attr-defined]
    frames._parse = parse


def _play(store: StandInStore, leader: Connection) -> None:
    with tempfile.TemporaryDirectory() as folder:
        logs.set_up("ERROR")
        curio.run(World(Path(folder), store, leader).run)


def main() -> None:
    """Print all figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--profile", action="store_true")
    given = parser.parse_args()
    store = StandInStore()
    asking, asked = Pipe()
    other = Process(target=_play, args=(store, asking), daemon=True)
    other.start()
    leader = Leader(store.address, asked, given.profile)
    _count_messages(leader.coded)
    curio.run(leader.run)
    other.join()


if __name__ == "__main__":
    main()
