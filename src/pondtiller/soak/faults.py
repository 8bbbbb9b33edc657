"""Faults that a soak brings about from outside the programs, drawn from its seed."""

import random
from collections.abc import Callable
from typing import NamedTuple

import curio

from pondtiller.platform import names
from pondtiller.process import clock
from pondtiller.process.spawner import Spawner
from pondtiller.soak.leader_log import LeaderLog
from pondtiller.soak.programs import Program
from pondtiller.soak.proxy import Proxy
from pondtiller.soak.stand_ins import SoakEngine
from pondtiller.soak.trap import Trap
from pondtiller.standins.store import StandInStore

ZONES = 3
FAULT_PAUSE_SECONDS = (0.5, 4.0)
FAULT_SECONDS = (0.2, 4.0)
OVERLAP_PAUSE_SECONDS = (0.2, 1.6)
"""Two or three faults at once, of 2 s in the mean."""
EVACUATED_SECONDS = (7.0, 14.0)
"""Longer than an evacuation needs to be in force, so that the last seconds are checked."""
RESET_SHARE = 0.3
"""Of the faults after which one proxy's connections are reset."""
STORE_ZONE = "z0"
REGIONS = {"z0": "south", "z1": "south", "z2": "north"}
SMALLER_REGION = "north"


class Fault(NamedTuple):
    """A fault that was brought about, and how to undo it."""

    kind: str
    whom: str
    undo: Callable[[], None]


class Faults:
    """What may fail in one soak.

    Attributes
    ----------
    schedule
        Each fault: seconds from the start, its kind and whom it struck.
    evacuated
        When each evacuation ends, by zone.
    links
        Before each program's links, by its name.
    """

    def __init__(
        self,
        source: random.Random,
        programs: list[Program],
        apps: list[SoakEngine],
        models: list[SoakEngine],
        store: StandInStore,
        store_proxy: Proxy,
        links: dict[str, Proxy],
        leader: LeaderLog,
        trap: Trap,
    ) -> None:
        self.random = source
        self.programs = programs
        self.apps = apps
        self.models = models
        self.store = store
        self.store_proxy = store_proxy
        self.links = links
        self._leader = leader
        self._trap = trap
        self.schedule: list[tuple[float, str, str]] = []
        self.evacuated: dict[str, float] = {}
        self._began = clock.monotonic()

    @property
    def proxies(self) -> list[Proxy]:
        """All proxies."""
        engines = [each.proxy for each in (*self.apps, *self.models)]
        return [self.store_proxy, *engines, *self.links.values()]

    async def strike(self, seconds: float, only: tuple[str, ...] = ()) -> None:
        """Bring faults about, one after the other; evacuations last through further ones.

        Parameters
        ----------
        only
            Kinds to draw from; all where it is empty.
        """
        kinds = only or tuple(KINDS)
        end = clock.monotonic() + seconds
        while clock.monotonic() < end:
            await curio.sleep(self.random.uniform(*FAULT_PAUSE_SECONDS))
            self._take_back(clock.monotonic())
            fault = KINDS[self.random.choice(kinds)](self)
            self._note(fault.kind, fault.whom)
            await curio.sleep(self.random.uniform(*FAULT_SECONDS))
            fault.undo()
            if self.random.random() < RESET_SHARE:
                proxy = self.random.choice(self.proxies)
                await proxy.reset()
                self._note("reset", proxy.address)

    async def strike_together(self, seconds: float, only: tuple[str, ...] = ()) -> None:
        """Bring faults about while earlier ones last; each is undone after its own time."""
        kinds = only or tuple(KINDS)
        end = clock.monotonic() + seconds
        async with Spawner() as group:
            while clock.monotonic() < end:
                await curio.sleep(self.random.uniform(*OVERLAP_PAUSE_SECONDS))
                self._take_back(clock.monotonic())
                fault = KINDS[self.random.choice(kinds)](self)
                self._note(fault.kind, fault.whom)
                await group.spawn(self._undo_later, fault, self.random.uniform(*FAULT_SECONDS))
            await curio.sleep(FAULT_SECONDS[1])

    async def _undo_later(self, fault: Fault, seconds: float) -> None:
        await curio.sleep(seconds)
        fault.undo()

    def heal(self) -> None:
        """Undo everything."""
        for program in self.programs:
            program.resume()
            program.revive()
        for proxy in self.proxies:
            proxy.heal()
        for engine in (*self.apps, *self.models):
            engine.start_again()
        self._trap.withdraw()
        self._take_back(float("inf"))
        self.store.is_down = self.store.loses_answers = False

    def _note(self, kind: str, whom: str) -> None:
        self.schedule.append((round(clock.monotonic() - self._began, 2), kind, whom))

    def _find_leader(self) -> Program:
        """Return the program that leads; any gateway where none does."""
        name = self._leader.leader()
        found = [each for each in self.programs if each.spec.name == name and each.is_running()]
        return found[0] if found else self.random.choice(self._gateways())

    def _gateways(self) -> list[Program]:
        return [each for each in self.programs if each.spec.role == "gateway"]

    def _cut_leader(self) -> Fault:
        """Have the leader and the replicas not hear each other; all else hears it."""
        leader = self._find_leader().spec.name
        replicas = [each.spec.name for each in self.programs if each.spec.role == "replica"]
        return self._cut("cut_leader", leader, [(self.links[each], {leader}) for each in replicas])

    def _cut_runner(self) -> Fault:
        """Have the leader not reach another gateway, which hears all else and is heard by it."""
        leader = self._find_leader()
        others = [each for each in self._gateways() if each is not leader]
        runner = self.random.choice(others).spec.name
        return self._cut("cut_runner", runner, [(self.links[runner], {leader.spec.name})])

    def _cut_region(self) -> Fault:
        """Have no program reach anything in the other region: engines, links, the store."""
        placed = [(self.store_proxy, STORE_ZONE)]
        placed += [(each.proxy, each.zone) for each in (*self.apps, *self.models)]
        placed += [(self.links[each.spec.name], each.spec.zone) for each in self.programs]
        cuts = [(proxy, self._outside(zone)) for proxy, zone in placed]
        fault = self._cut("cut_region", SMALLER_REGION, cuts)
        smaller = [each for each in self.programs if REGIONS[each.spec.zone] == SMALLER_REGION]
        for program in smaller:
            program.in_touch_since = float("inf")

        def undo() -> None:
            fault.undo()
            for program in smaller:
                program.in_touch_since = clock.monotonic()

        return fault._replace(undo=undo)

    def _outside(self, zone: str) -> set[str]:
        """Return the programs that stand in another region than a zone."""
        region = REGIONS[zone]
        return {each.spec.name for each in self.programs if REGIONS[each.spec.zone] != region}

    def _cut(self, kind: str, whom: str, cuts: list[tuple[Proxy, set[str]]]) -> Fault:
        for proxy, openers in cuts:
            proxy.silent_for |= openers

        def undo() -> None:
            for proxy, _ in cuts:
                proxy.heal()

        return Fault(kind, whom, undo)

    def _kill(self) -> Fault:
        return self._kill_one(self.random.choice(self.programs))

    def _kill_leader(self) -> Fault:
        return self._kill_one(self._find_leader())

    def _kill_one(self, program: Program) -> Fault:
        program.kill()
        return Fault("kill", program.spec.name, program.revive)

    def _kill_all(self) -> Fault:
        for program in self.programs:
            program.kill()

        def undo() -> None:
            for program in self.programs:
                program.revive()

        return Fault("kill", "all", undo)

    def _terminate(self) -> Fault:
        return self._terminate_one(self.random.choice(self.programs))

    def _terminate_leader(self) -> Fault:
        return self._terminate_one(self._find_leader())

    def _terminate_one(self, program: Program) -> Fault:
        program.terminate()
        return Fault("terminate", program.spec.name, lambda: self._revive_later(program))

    def _revive_later(self, program: Program) -> None:
        if program.is_running():
            program.kill()
        program.revive()

    def _freeze(self) -> Fault:
        return self._freeze_one(self.random.choice(self.programs))

    def _freeze_leader(self) -> Fault:
        return self._freeze_one(self._find_leader())

    def _freeze_one(self, program: Program) -> Fault:
        program.pause()
        return Fault("freeze", program.spec.name, program.resume)

    def _store_down(self) -> Fault:
        self.store.is_down = True
        return Fault("store_down", "store", lambda: setattr(self.store, "is_down", False))

    def _store_lossy(self) -> Fault:
        self.store.loses_answers = True
        self.store.forget_history()
        return Fault("store_lossy", "store", lambda: setattr(self.store, "loses_answers", False))

    def _slow_link(self) -> Fault:
        # Not between programs: what one is told to end would be late by more than may be.
        engines = [each.proxy for each in (*self.apps, *self.models)]
        proxy = self.random.choice([self.store_proxy, *engines])
        proxy.delay_seconds = self.random.uniform(0.02, 0.5)
        return Fault("slow_link", proxy.address, proxy.heal)

    def _silent_link(self) -> Fault:
        proxy = self.random.choice(self.proxies)
        proxy.is_silent = True
        return Fault("silent_link", proxy.address, proxy.heal)

    def _silent_zone(self) -> Fault:
        """Silence all engines of a zone; its gateway and replica stay in touch with the others."""
        zone = self._draw_zone()
        proxies = [each.proxy for each in self._engines_of(zone)]
        for proxy in proxies:
            proxy.is_silent = True

        def undo() -> None:
            for proxy in proxies:
                proxy.heal()

        return Fault("silent_zone", zone, undo)

    def _evacuate(self) -> Fault:
        """Have a zone evacuated; it stays so through the next faults, and comes back cold."""
        zone = self._draw_zone()
        engines = self._engines_of(zone)
        if any(each.rules.evacuated_at is not None for each in engines):
            return Fault("evacuated_before", zone, lambda: None)
        self.store.put(names.EVACUATIONS, zone, {})
        for engine in engines:
            engine.rules.evacuated_at = clock.monotonic()
        self.evacuated[zone] = clock.monotonic() + self.random.uniform(*EVACUATED_SECONDS)
        return Fault("evacuate", zone, lambda: None)

    def _take_back(self, now: float) -> None:
        """End the evacuations that have lasted long enough."""
        for zone, until in list(self.evacuated.items()):
            if now < until:
                continue
            del self.evacuated[zone]
            for engine in self._engines_of(zone):
                engine.rules.evacuated_at = None
                engine.turn_cold()
            self.store.remove(names.EVACUATIONS, zone)
            self._note("evacuation_ends", zone)

    def _turn_cold(self) -> Fault:
        """Have all engines of a service, or one of them, turn cold."""
        service = self.random.choice((self.apps, self.models))
        engines = service if self.random.random() < 0.5 else [self.random.choice(service)]
        for engine in engines:
            engine.turn_cold()
        return Fault("cold", ",".join(each.identifier for each in engines), lambda: None)

    def _end_engine(self) -> Fault:
        """Have an engine end with all that it runs, and start again under its name."""
        engine = self.random.choice((*self.apps, *self.models))
        engine.end()
        return Fault("end_engine", engine.identifier, engine.start_again)

    def _odd_entries(self) -> Fault:
        """Have another writer leave entries, and one engine's own, that are not whole."""
        engine = self.random.choice((*self.apps, *self.models))
        self._trap.publish()
        self.store.put(names.ENGINES, engine.identifier, {**engine.entry(), "slots": None})

        def undo() -> None:
            self._trap.withdraw()
            engine.publish()

        return Fault("odd_entries", engine.identifier, undo)

    def _draw_zone(self) -> str:
        return f"z{self.random.randrange(ZONES)}"

    def _engines_of(self, zone: str) -> list[SoakEngine]:
        return [each for each in (*self.apps, *self.models) if each.zone == zone]


KINDS: dict[str, Callable[[Faults], Fault]] = {
    "kill": Faults._kill,
    "kill_all": Faults._kill_all,
    "terminate": Faults._terminate,
    "freeze": Faults._freeze,
    "kill_leader": Faults._kill_leader,
    "terminate_leader": Faults._terminate_leader,
    "freeze_leader": Faults._freeze_leader,
    "cut_leader": Faults._cut_leader,
    "cut_runner": Faults._cut_runner,
    "cut_region": Faults._cut_region,
    "store_down": Faults._store_down,
    "store_lossy": Faults._store_lossy,
    "slow_link": Faults._slow_link,
    "silent_link": Faults._silent_link,
    "silent_zone": Faults._silent_zone,
    "evacuate": Faults._evacuate,
    "cold": Faults._turn_cold,
    "end_engine": Faults._end_engine,
    "odd_entries": Faults._odd_entries,
}
"""What may be drawn."""
