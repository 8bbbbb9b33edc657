"""One soak: three replicas and three gateways as processes, a trainer, callers, and faults.

Owns the world of one seed, and ends all of its processes. What the parts do is in their modules.
"""

import json
import random
from pathlib import Path

import curio

from pondtiller.address import to_address
from pondtiller.platform import names
from pondtiller.platform.object_client import WATCH_MARGIN_SECONDS
from pondtiller.process import clock
from pondtiller.process.spawner import Spawner
from pondtiller.soak.caller_rules import HomeRule, RateRule
from pondtiller.soak.callers import Callers
from pondtiller.soak.calls import Calls
from pondtiller.soak.cancelled_steps import CancelledSteps
from pondtiller.soak.cancelling_trainer import CancellingTrainer
from pondtiller.soak.ending_rules import EndingRule, StoreReach
from pondtiller.soak.fault_targets import FaultTargets
from pondtiller.soak.faults import Faults
from pondtiller.soak.home_watch import HomeWatch
from pondtiller.soak.kept_callers import KeptCallers
from pondtiller.soak.kernel import shut_down
from pondtiller.soak.leader_log import LeaderLog
from pondtiller.soak.owners import Owners
from pondtiller.soak.places import REGIONS, ZONES
from pondtiller.soak.ports import ReservedPorts
from pondtiller.soak.programs import Program
from pondtiller.soak.promises import Promises
from pondtiller.soak.proxy import Proxy
from pondtiller.soak.report import SoakReport
from pondtiller.soak.sample_runs import SampleRuns
from pondtiller.soak.settings_files import SettingsFiles
from pondtiller.soak.soak_table import soak_configuration
from pondtiller.soak.stand_ins import Platform, SoakEngine
from pondtiller.soak.table_changes import TableChanges
from pondtiller.soak.trainer import EVENTS, Trainer
from pondtiller.soak.trap import Trap
from pondtiller.standins.store import StandInStore
from pondtiller.store.store_watch import WATCH_SECONDS

GATEWAYS = 3
"""One a zone: a leader that is lost has two successors."""
REPLICAS = 3
"""One a zone: a replica that is lost leaves a quorum."""
NEVER = float("-inf")
START_SECONDS = 3.0
"""From the start of the programs to the first calls, in seconds: six processes start, and one
of the gateways is elected. Chosen, not measured."""
REACH_CHECK_SECONDS = 0.05
"""How often it is noted which programs reach the store, in seconds: little beside the 3 s that the
rule about ending contents gives them."""
CALM_SECONDS = 25.0
"""Longest wait after the last fault for all results, in seconds. The soak's steps have 7.5 s a run;
it ends as soon as all are there. Chosen, not measured."""
CALM_CHECK_SECONDS = 0.5
"""How often it is looked whether all results are there."""
MAX_CALL_SECONDS = WATCH_SECONDS + WATCH_MARGIN_SECONDS
"""Longest call for changes of what has no bound of its own."""
LISTED_OBJECTS = 100
"""Objects in a page of the store: all of a kind at once, since the soak is not about pages."""


class Soak:
    """The world of one seed."""

    def __init__(self, seed: int, folder: Path) -> None:
        self.seed = seed
        self.random = random.Random(seed)
        self.promises = Promises()
        self.store = StandInStore()
        self.store.page = LISTED_OBJECTS
        owners = Owners(self._process_ids)
        self.store_proxy = Proxy(to_address(self.store.address), owners)
        self.sample_runs = SampleRuns(self.promises)
        self.rate = RateRule(self.promises)
        self.homes = HomeRule(REGIONS, self.promises)
        self.ending = EndingRule(self.promises)
        self.cancelled = CancelledSteps(self.promises)
        self.reach = StoreReach(self._reaches_store)
        self.trap = Trap(self.promises, self.store)
        self._make_engines(owners)
        self._make_programs(owners, folder)
        self.faults = Faults(self._targets())
        HomeWatch(self.homes, self.faults.targets)
        self._make_callers()

    def _make_engines(self, owners: Owners) -> None:
        platform = Platform(
            self.promises,
            self.sample_runs,
            self.rate,
            self.store,
            owners,
            self._acts_since,
            self.ending,
            self._could_know_contents_since,
            self.cancelled,
        )
        self.apps = [SoakEngine(f"a{n}", "app", platform, EVENTS, f"z{n}") for n in range(ZONES)]
        self.models = [SoakEngine(f"m{n}", "llm", platform, EVENTS, f"z{n}") for n in range(ZONES)]
        for engine in self.models:
            engine.models = ["m"]

    def _make_programs(self, owners: Owners, folder: Path) -> None:
        self.reserved = ReservedPorts()
        self.settings = SettingsFiles(self.store_proxy.address, self.reserved, owners)
        self.ports = [self.reserved.port() for _ in range(GATEWAYS)]
        self.replicas = [
            Program(self.settings.replica(number, folder), folder) for number in range(REPLICAS)
        ]
        self.gateways = [
            Program(self.settings.gateway(number, port), folder)
            for number, port in enumerate(self.ports)
        ]

    def _targets(self) -> FaultTargets:
        return FaultTargets(
            # Of their own, so that what callers draw does not change which faults strike.
            random.Random(f"faults of {self.seed}"),
            self.programs,
            self.apps,
            self.models,
            self.store,
            self.store_proxy,
            self.settings.links,
            LeaderLog({each.spec.name: each.log for each in self.gateways}),
            self.trap,
        )

    def _make_callers(self) -> None:
        self.group = Spawner()
        calls = Calls(self.ports)
        self.callers = Callers(self.random, calls, self.promises, self.rate, self.apps, self.group)
        self.trainer = Trainer(self.random, calls, self.promises, self.store, self.group)
        # Of its own, so that other callers draw the same with it.
        self.cancelling = CancellingTrainer(
            random.Random(f"ended steps of {self.seed}"), calls, self.cancelled
        )
        self.table_changes = TableChanges(
            random.Random(f"table of {self.seed}"),
            self.store,
            self.faults.targets.engines,
            self.gateways,
            calls,
            self.promises,
            self._could_know_since,
        )
        self.kept_callers = KeptCallers(
            self.gateways, self.ports, self.promises, self._has_begun, self._refuse
        )

    @property
    def programs(self) -> list[Program]:
        """All programs."""
        return [*self.replicas, *self.gateways]

    # What the rules ask of the programs

    def _process_ids(self) -> dict[str, int]:
        return {each.spec.name: each.process_id for each in self.programs if each.process_id}

    def _acts_since(self, name: str) -> float:
        found = [each for each in self.programs if each.spec.name == name]
        return max((max(each.acts_since, each.connected_since) for each in found), default=NEVER)

    def _reaches_store(self, name: str) -> bool:
        is_sound = not (self.store.is_down or self.store.loses_answers)
        return is_sound and not self.store_proxy.is_held(name)

    def _could_know_since(self, name: str) -> float:
        starts = [each.started_at for each in self.programs if each.spec.name == name]
        started = max(starts, default=NEVER)
        return max(self._acts_since(name), self.reach.since(name), started)

    def _could_know_contents_since(self, name: str) -> float:
        """Return the same for what is followed with long calls, which may get no answer."""
        return max(self._could_know_since(name), self.store.silenced_at + MAX_CALL_SECONDS)

    def _has_begun(self, identifier: str) -> bool:
        return any(identifier in each.begun for each in self.apps)

    def _refuse(self, identifier: str) -> None:
        """Take that a request must not be begun any more."""
        for each in self.apps:
            each.refused.add(identifier)

    async def _watch_store(self) -> None:
        while True:
            self.reach.look([each.spec.name for each in self.programs], clock.monotonic())
            await curio.sleep(REACH_CHECK_SECONDS)

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
        await self._start_platform()
        try:
            for program in self.programs:
                program.start()
            await curio.sleep(START_SECONDS)
            for each in (self.trainer, self.callers, self.table_changes, self.cancelling):
                await self.group.spawn(each.run)
            await self.kept_callers.run(self.group)
            strike = self.faults.strike_together if together else self.faults.strike
            await strike(seconds, only)
            await self._finish()
        finally:
            await self.group.cancel_all()
        versions = {each.identifier: each.version for each in self.models}
        self.promises.step_reads.engine_versions = versions
        self.promises.ended()
        return self._report()

    async def _start_platform(self) -> None:
        engines = self.faults.targets.engines
        for engine in engines:
            await self.group.spawn(engine.serve)
            engine.publish()
        for task in (self.store.serve, self.trap.serve, self._watch_store):
            await self.group.spawn(task)
        for proxy in self.faults.targets.proxies:
            await self.group.spawn(proxy.run)
        self.store.put(names.CONFIGURATIONS, "main", soak_configuration(engines))

    async def _finish(self) -> None:
        self.trainer.is_calm = self.callers.is_calm = self.kept_callers.is_calm = True
        self.table_changes.is_calm = self.cancelling.is_calm = True
        self.faults.heal()
        give_up = clock.monotonic() + CALM_SECONDS
        while clock.monotonic() < give_up and self.trainer.has_unfinished():
            await curio.sleep(CALM_CHECK_SECONDS)
        await self.trainer.read_all()

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
            changed=self.table_changes.checked,
            cancelled=self.cancelled.ended,
        )


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
        with curio.Kernel() as kernel:
            report: SoakReport = kernel.run(soak.run, seconds, only, together)
            text = json.dumps(report._asdict(), indent=1)
            (folder / "report.json").write_text(text)
            shut_down(kernel)
    finally:
        for program in soak.programs:
            program.close()
        soak.reserved.close()
    return report
