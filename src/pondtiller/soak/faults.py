"""When faults strike and when they are undone, drawn from a soak's seed.

Owns the schedule of one soak. What may fail is in `fault_targets.py`, what each kind does in
`program_faults.py`, `connection_faults.py` and `platform_faults.py`.
"""

from typing import NamedTuple

import curio

from pondtiller.process import clock
from pondtiller.process.spawner import Spawner
from pondtiller.soak.fault_kinds import KINDS, NAMED_KINDS
from pondtiller.soak.fault_targets import Fault, FaultTargets
from pondtiller.soak.platform_faults import end_evacuations

FAULT_PAUSE_SECONDS = (0.5, 4.0)
"""Between two faults that come one by one, drawn between these: from less than a lease (1.2 s) to
time enough for a new leader to work. Chosen, not measured."""
FAULT_SECONDS = (0.2, 4.0)
"""How long a fault lasts, drawn between these: shorter and longer than a lease (1.2 s). Chosen, not
measured."""
OVERLAP_PAUSE_SECONDS = (0.2, 1.6)
"""Between two faults that may overlap, drawn between these: two or three faults at once, of 2 s in
the mean."""
RESET_SHARE = 0.3
"""Of the faults after which one proxy's connections are reset. Chosen, not measured: connections
mostly outlive a fault, and some do not."""


class StruckFault(NamedTuple):
    """A line of the schedule: seconds from the start, kind of fault, and what it struck."""

    at: float
    kind: str
    target: str


class Faults:
    """Strikes the targets of one soak.

    Attributes
    ----------
    schedule
        Each fault, in order.
    """

    def __init__(self, targets: FaultTargets) -> None:
        self.targets = targets
        self.schedule: list[StruckFault] = []
        self._random = targets.random
        self._began = clock.monotonic()

    async def strike(self, seconds: float, only: tuple[str, ...] = ()) -> None:
        """Bring faults about, one after the other; evacuations last through further ones.

        Parameters
        ----------
        only
            Kinds to draw from; all where it is empty.
        """
        end = clock.monotonic() + seconds
        while clock.monotonic() < end:
            await curio.sleep(self._random.uniform(*FAULT_PAUSE_SECONDS))
            fault = self._strike_once(only)
            await curio.sleep(self._random.uniform(*FAULT_SECONDS))
            fault.undo()
            if self._random.random() < RESET_SHARE:
                proxy = self._random.choice(self.targets.proxies)
                await proxy.reset()
                self._note("reset", proxy.address)

    async def strike_together(self, seconds: float, only: tuple[str, ...] = ()) -> None:
        """Bring faults about while earlier ones last; each is undone after its own time."""
        end = clock.monotonic() + seconds
        async with Spawner() as group:
            while clock.monotonic() < end:
                await curio.sleep(self._random.uniform(*OVERLAP_PAUSE_SECONDS))
                fault = self._strike_once(only)
                await group.spawn(self._undo_later, fault, self._random.uniform(*FAULT_SECONDS))
            await curio.sleep(FAULT_SECONDS[1])

    def _strike_once(self, only: tuple[str, ...]) -> Fault:
        self._end_evacuations(clock.monotonic())
        fault = NAMED_KINDS[self._random.choice(only or tuple(KINDS))](self.targets)
        self._note(fault.kind, fault.target)
        return fault

    async def _undo_later(self, fault: Fault, seconds: float) -> None:
        await curio.sleep(seconds)
        fault.undo()

    def heal(self) -> None:
        """Undo everything."""
        targets = self.targets
        for program in targets.programs:
            program.resume()
            program.revive()
        for proxy in targets.proxies:
            proxy.heal()
        for engine in targets.engines:
            engine.start_again()
        targets.trap.withdraw()
        self._end_evacuations(float("inf"))
        targets.store.is_down = targets.store.loses_answers = False

    def _end_evacuations(self, now: float) -> None:
        for zone in end_evacuations(self.targets, now):
            self._note("evacuation_ends", zone)

    def _note(self, kind: str, target: str) -> None:
        at = round(clock.monotonic() - self._began, 2)
        self.schedule.append(StruckFault(at, kind, target))
