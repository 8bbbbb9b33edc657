"""The operator of a soak: changes the table, and asks each gateway whether it acts on the change.

Owns the versions that were written. Relies on what the soak knows of each gateway's faults for when
a gateway could know: it may be late by the bound after connections to the store turned silent.
"""

import random
from collections.abc import Callable

import curio

from pondtiller.platform import names
from pondtiller.process import clock
from pondtiller.process.spawner import Spawner
from pondtiller.settings import News
from pondtiller.soak.calls import Calls
from pondtiller.soak.programs import Program
from pondtiller.soak.promises import Promises
from pondtiller.soak.soak_table import PROBE_HOST, VERSION, probe_path, soak_configuration
from pondtiller.soak.stand_ins import SoakEngine
from pondtiller.standins.store import StandInStore

CHANGE_PAUSE_SECONDS = (2.0, 6.0)
"""Between two changes, drawn between these: within the bound of the one before, and after it."""
VERSION_STEPS = (1, 3)
"""By how much a version rises, drawn between these."""
WITHIN_SECONDS = News().configuration
"""From the store's acknowledgement until a gateway that could know acts on a version."""
GIVEN_UP_SECONDS = 20.0
"""A gateway that faults keep from knowing for so long is not asked about that version."""
KEPT_VERSIONS = 20
"""Versions whose probes a later one still has: more than come within `GIVEN_UP_SECONDS`."""


class TableChanges:
    """Writes versions, and checks each of them at each gateway.

    Parameters
    ----------
    could_know_since
        Returns since when a gateway has run and reached the store, by its name.

    Attributes
    ----------
    is_calm
        Whether to change nothing more.
    checked
        Answers of gateways that showed whether a version was in force.
    """

    def __init__(
        self,
        source: random.Random,
        store: StandInStore,
        engines: list[SoakEngine],
        gateways: list[Program],
        calls: Calls,
        promises: Promises,
        could_know_since: Callable[[str], float],
    ) -> None:
        self.is_calm = False
        self.checked = 0
        self._random = source
        self._store = store
        self._engines = engines
        self._gateways = gateways
        self._calls = calls
        self._promises = promises
        self._could_know_since = could_know_since
        self._versions = [VERSION]

    async def run(self) -> None:
        """Change the table until the calm begins; each change is checked at all gateways."""
        async with Spawner() as checks:
            while not self.is_calm:
                await curio.sleep(self._random.uniform(*CHANGE_PAUSE_SECONDS))
                version = self._versions[-1] + self._random.randint(*VERSION_STEPS)
                self._versions = [*self._versions, version][-KEPT_VERSIONS:]
                spec = soak_configuration(self._engines, self._versions)
                self._store.put(names.CONFIGURATIONS, names.CONFIGURATION, spec)
                for number in range(len(self._gateways)):
                    await checks.spawn(self._check, number, version, clock.monotonic())

    async def _check(self, number: int, version: int, acknowledged_at: float) -> None:
        """Ask one gateway once it must act on a version."""
        name = self._gateways[number].spec.name
        while (left := self._due(name, acknowledged_at) - clock.monotonic()) > 0:
            if clock.monotonic() > acknowledged_at + GIVEN_UP_SECONDS:
                return
            await curio.sleep(min(left, 1.0))
        due = self._due(name, acknowledged_at)
        answer = await self._calls.request(number, "GET", probe_path(version), b"", PROBE_HOST)
        if answer is None or self._due(name, acknowledged_at) > due:
            return
        self.checked += 1
        status, _body = answer
        if status == 404:
            late = clock.monotonic() - acknowledged_at
            self._promises.breach(
                "a table change is in force in time", f"{name}: {version}, {late:.2f} s after it"
            )

    def _due(self, name: str, acknowledged_at: float) -> float:
        """Return when a gateway must act on what was acknowledged; later after a fault of it."""
        since = max(self._could_know_since(name), self._store.silenced_at)
        return max(acknowledged_at, since) + WITHIN_SECONDS
