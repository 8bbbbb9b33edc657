"""One soak: three replicas and three gateways as processes, a trainer, callers, and faults."""

import json
import random
from functools import partial
from pathlib import Path
from typing import Any, NamedTuple

import curio

from pondtiller.address import to_address
from pondtiller.platform import names
from pondtiller.process import clock
from pondtiller.process.spawner import Spawner
from pondtiller.soak.caller_rules import RATE, RATE_EXCESS, HomeRule, RateRule
from pondtiller.soak.callers import KEYS, NORTH, SOUTH, Callers
from pondtiller.soak.calls import Calls
from pondtiller.soak.ending_rules import EndingRule, StoreReach
from pondtiller.soak.engine_rules import (
    COLD_EXCESS,
    COLD_RATE,
    COLD_SECONDS,
    COLD_SLACK,
    WITHIN_SECONDS,
)
from pondtiller.soak.faults import REGIONS, STORE_ZONE, ZONES, Faults
from pondtiller.soak.kept_callers import KeptCallers
from pondtiller.soak.leader_log import LeaderLog
from pondtiller.soak.owners import Owners
from pondtiller.soak.ports import ReservedPorts
from pondtiller.soak.programs import Program, ProgramSpec
from pondtiller.soak.promises import Breach, Promises
from pondtiller.soak.proxy import Proxy
from pondtiller.soak.sample_runs import SampleRuns
from pondtiller.soak.stand_ins import Platform, SoakEngine
from pondtiller.soak.trap import Trap
from pondtiller.standins.documents import configuration, step_body, with_tenants
from pondtiller.standins.store import StandInStore

GATEWAYS = 3
REPLICAS = 3
EVENTS = 12
SAMPLES = 8
NEVER = float("-inf")
STEP_SECONDS = 2.0
REACH_LOOK_SECONDS = 0.05
CALM_SECONDS = 25.0
REGION_LINES = "\n".join(f'{zone} = "{region}"' for zone, region in REGIONS.items())
PLACES_SETTINGS = f"""
[regions]
{REGION_LINES}
[evacuation]
within = {WITHIN_SECONDS}
"""


class SoakReport(NamedTuple):
    """What one soak saw.

    Attributes
    ----------
    schedule
        Each fault: seconds from the start, its kind and whom it struck.
    own_ends
        Programs that ended without having been told to.
    overlaps
        Times that an engine began a sample while another one was at work on it.
    longest_overlap
        Seconds that the first of the two went on, also where its gateway could not act.
    rated
        Requests of a tenant with a rate that engines began.
    homed
        Times that a body with a home was on its way to an engine.
    ended
        Runs of contents that end engines.
    """

    seed: int
    breaches: list[Breach]
    schedule: list[tuple[float, str, str]]
    own_ends: list[str]
    steps: int
    results: int
    answers: int
    overlaps: int
    longest_overlap: float
    rated: int
    homed: int
    ended: int


class Soak:
    """The world of one seed."""

    def __init__(self, seed: int, folder: Path) -> None:
        self.seed = seed
        self.random = random.Random(seed)
        self.promises = Promises()
        self.store = StandInStore()
        self.store.page = 100
        self.owners = Owners(self._process_ids)
        self.store_proxy = Proxy(to_address(self.store.address), self.owners)
        self.sample_runs = SampleRuns(self.promises)
        self.rate = RateRule(self.promises)
        self.homes = HomeRule(REGIONS, self.promises)
        self.ending = EndingRule(self.promises)
        self.reach = StoreReach(self._reaches_store)
        self.trap = Trap(self.promises, self.store)
        platform = Platform(
            self.promises,
            self.sample_runs,
            self.rate,
            self.store,
            self.owners,
            self._acts_since,
            self.ending,
            self._could_know_since,
        )
        self.apps = [SoakEngine(f"a{n}", "app", platform, EVENTS, f"z{n}") for n in range(ZONES)]
        self.models = [SoakEngine(f"m{n}", "llm", platform, EVENTS, f"z{n}") for n in range(ZONES)]
        for engine in self.models:
            engine.models = ["m"]
        self.links: dict[str, Proxy] = {}
        self.reserved = ReservedPorts()
        self.ports = [self.reserved.port() for _ in range(GATEWAYS)]
        self.replicas = [Program(self._replica(n, folder), folder) for n in range(REPLICAS)]
        self.gateways = [Program(self._gateway(n), folder) for n in range(GATEWAYS)]
        self.faults = Faults(
            # Of their own, so that what callers draw does not change which faults strike.
            random.Random(f"faults of {seed}"),
            self.programs,
            self.apps,
            self.models,
            self.store,
            self.store_proxy,
            self.links,
            LeaderLog({each.spec.name: each.log for each in self.gateways}),
            self.trap,
        )
        self._watch_homes()
        self.group = Spawner()
        self.calls = Calls(self.ports)
        self.callers = Callers(
            self.random, self.calls, self.promises, self.rate, self.apps, self.group
        )
        self.kept_callers = KeptCallers(self.gateways, self.ports, self.promises, self._has_begun)
        self.version = 1
        self.is_calm = False
        self.is_submitting = False

    # Programs

    def _replica(self, number: int, folder: Path) -> ProgramSpec:
        settings = f"""
name = "r{number}"
zone = "z{number}"
{self._link_lines(f"r{number}")}
store = "{self.store_proxy.address}"
data_folder = "{folder / f"disk{number}"}"
first_start = true
{PLACES_SETTINGS}"""
        return ProgramSpec(f"r{number}", "replica", settings, f"z{number}")

    def _gateway(self, number: int) -> ProgramSpec:
        settings = f"""
name = "g{number}"
zone = "z{number}"
callers = "127.0.0.1:{self.ports[number]}"
readiness = "127.0.0.1:{self.reserved.port()}"
{self._link_lines(f"g{number}")}
store = "{self.store_proxy.address}"
rate_excess = {RATE_EXCESS}
{PLACES_SETTINGS}
[cold]
excess = {COLD_EXCESS}
slack = {COLD_SLACK}
"""
        return ProgramSpec(f"g{number}", "gateway", settings, f"z{number}")

    def _link_lines(self, name: str) -> str:
        """Return settings of a program's links, with a proxy before them."""
        listens = f"127.0.0.1:{self.reserved.port()}"
        proxy = self.links[name] = Proxy(to_address(listens), self.owners)
        return f'links = "{listens}"\nannounced_links = "{proxy.address}"'

    @property
    def programs(self) -> list[Program]:
        """All programs."""
        return [*self.replicas, *self.gateways]

    def _watch_homes(self) -> None:
        """Have all that passes to engines, to programs and to the store looked at.

        What an engine answers goes to the gateway that a caller chose, so it is not.
        """
        for engine in (*self.apps, *self.models):
            engine.proxy.watch = partial(self._passed, engine.identifier, engine.zone, False)
        self.store_proxy.watch = partial(self._passed, "store", STORE_ZONE, True)
        for program in self.programs:
            name, zone = program.spec.name, program.spec.zone
            self.links[name].watch = partial(self._passed, name, zone, True)

    def _passed(
        self, target: str, zone: str, is_answer_watched: bool, data: bytes, receiver: str
    ) -> None:
        if not receiver:
            self.homes.passed(data, zone, target)
            return
        zones = [each.spec.zone for each in self.programs if each.spec.name == receiver]
        if is_answer_watched and zones:
            self.homes.passed(data, zones[0], receiver)

    def _process_ids(self) -> dict[str, int]:
        return {each.spec.name: each.process_id for each in self.programs if each.process_id}

    def _acts_since(self, name: str) -> float:
        found = [each for each in self.programs if each.spec.name == name]
        return max((max(each.acts_since, each.in_touch_since) for each in found), default=NEVER)

    def _reaches_store(self, name: str) -> bool:
        is_sound = not (self.store.is_down or self.store.loses_answers)
        return is_sound and not self.store_proxy.is_held(name)

    def _could_know_since(self, name: str) -> float:
        started = max(each.started_at for each in self.programs if each.spec.name == name)
        return max(self._acts_since(name), self.reach.since(name), started)

    def _has_begun(self, identifier: str) -> bool:
        return any(identifier in each.begun for each in self.apps)

    async def _watch_store(self) -> None:
        while True:
            self.reach.look([each.spec.name for each in self.programs], clock.monotonic())
            await curio.sleep(REACH_LOOK_SECONDS)

    # The run

    async def run(
        self, seconds: float, only: tuple[str, ...] = (), together: bool = False
    ) -> SoakReport:
        """Play faults for some seconds, then a calm in which everything must be finished.

        Parameters
        ----------
        together
            Whether faults come while earlier ones last.
        """
        for engine in (*self.apps, *self.models):
            await self.group.spawn(engine.serve)
            engine.publish()
        for task in (self.store.serve, self.trap.serve, self._watch_store):
            await self.group.spawn(task)
        for proxy in self.faults.proxies:
            await self.group.spawn(proxy.run)
        self.store.put("config", "main", self._configuration())
        try:
            for program in self.programs:
                program.start()
            await curio.sleep(3.0)
            for task in (self._train, self.callers.run):
                await self.group.spawn(task)
            await self.kept_callers.run(self.group)
            strike = self.faults.strike_together if together else self.faults.strike
            await strike(seconds, only)
            await self._finish()
        finally:
            await self.group.cancel_all()
        self.promises.ended()
        return self._report()

    def _report(self) -> SoakReport:
        promises = self.promises
        return SoakReport(
            seed=self.seed,
            breaches=promises.breaches,
            schedule=self.faults.schedule,
            own_ends=[each.spec.name for each in self.programs if each.ends],
            steps=len(promises.accepted),
            results=sum(map(len, promises.results.values())),
            answers=promises.answers,
            overlaps=self.sample_runs.overlaps,
            longest_overlap=round(self.sample_runs.longest, 3),
            rated=self.rate.begun,
            homed=self.homes.seen,
            ended=sum(map(len, self.ending.runs.values())),
        )

    def _configuration(self) -> dict[str, Any]:
        made = with_tenants(
            configuration(3, *self.apps, *self.models), KEYS, ("quotes", "listings", "rollouts")
        )
        listings = next(each for each in made["routes"] if each["name"] == "listings")
        made["routes"] += [
            {**listings, "name": "tenants", "host": "tenants.example", "public": False},
            {**listings, "name": NORTH, "host": "north.example", "allowed_regions": [NORTH]},
        ]
        for tenant in made["tenants"]:
            if tenant["name"] == "rated":
                tenant["rate_per_s"] = RATE
            else:
                tenant["allowed_regions"] = [SOUTH]
        for service in made["services"]:
            service["cold_per_s"], service["cold_start_s"] = COLD_RATE, COLD_SECONDS
        return made

    async def _finish(self) -> None:
        self.is_calm = self.callers.is_calm = self.kept_callers.is_calm = True
        self.faults.heal()
        give_up = clock.monotonic() + CALM_SECONDS
        while clock.monotonic() < give_up and (self.is_submitting or self._missing()):
            await curio.sleep(0.5)
        for gateway in range(GATEWAYS):
            for step in list(self.promises.accepted):
                await self._read(step, 0, gateway)

    def _missing(self) -> bool:
        promises = self.promises
        return any(
            len(promises.results.get(step, {})) < len(samples)
            for step, samples in promises.accepted.items()
        )

    # The trainer

    async def _train(self) -> None:
        number = 0
        while not self.is_calm:
            number += 1
            step = f"s{number}"
            oldest = max(1, self.version - 1)
            # A step that is accepted in the calm must be finished in it, too.
            self.is_submitting = True
            is_accepted = await self._submit(step, oldest)
            self.is_submitting = False
            if is_accepted:
                await self.group.spawn(self._follow, step)
            await curio.sleep(STEP_SECONDS)
            if number % 2 == 0:
                self.version += 1
                spec = {"model": "m", "version": self.version}
                self.store.put("versions", "m", spec)

    async def _submit(self, step: str, oldest: int) -> bool:
        body = json.dumps(step_body(step, SAMPLES, oldest)).encode()
        for _ in range(8):
            gateway = self.random.randrange(GATEWAYS)
            answer = await self.calls.request(
                gateway, "POST", "/rollout/x", body, "train.example", request_id=step
            )
            if answer is not None and answer[0] == 202:
                samples = [each["id"] for each in step_body(step, SAMPLES, oldest)["requests"]]
                self.promises.step_accepted(step, samples, oldest)
                return True
            await curio.sleep(0.3)
        return False

    async def _follow(self, step: str) -> None:
        """Read a step to its end, now and then again from an earlier position."""
        position = 0
        while position < SAMPLES:
            gateway = self.random.randrange(GATEWAYS)
            start = self.random.randint(0, position) if self.random.random() < 0.3 else position
            position = max(position, await self._read(step, start, gateway))
            await curio.sleep(0.2)

    async def _read(self, step: str, position: int, gateway: int) -> int:
        target = f"{names.STEPS_PATH}{step}?{names.FROM_POSITION}={position}"
        answer = await self.calls.request(
            gateway, "GET", target, b"", "train.example", wait_ms="300"
        )
        if answer is None or answer[0] == 503:
            return position
        if answer[0] != 200:
            self.promises.breach("nothing accepted is lost", f"{step}: {answer[0]}")
            return position
        page = json.loads(answer[1])
        self.promises.page_read(step, position, page["results"], EVENTS)
        return int(page["next_token"])


def play(
    seed: int,
    seconds: float,
    folder: Path,
    only: tuple[str, ...] = (),
    together: bool = False,
) -> SoakReport:
    """Play one seed, with all kinds of faults or some; logs and schedule stay in the folder."""
    folder.mkdir(parents=True, exist_ok=True)

    soak = Soak(seed, folder)
    try:
        report: SoakReport = curio.run(soak.run, seconds, only, together)
    finally:
        for program in soak.programs:
            program.close()
        soak.reserved.close()
    text = json.dumps(report._asdict(), indent=1)
    (folder / "report.json").write_text(text)
    return report
