"""What faults may strike, and how targets are drawn. A soak's seed decides each draw."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from pondtiller.soak.leader_log import LeaderLog
from pondtiller.soak.places import ZONES
from pondtiller.soak.programs import Program
from pondtiller.soak.proxy import Proxy
from pondtiller.soak.stand_ins import SoakEngine
from pondtiller.soak.trap import Trap
from pondtiller.standins.store import StandInStore


class Fault(NamedTuple):
    """A fault that was brought about, and how to undo it."""

    kind: str
    target: str
    undo: Callable[[], None]


@dataclass(eq=False)
class FaultTargets:
    """What may fail in one soak.

    Attributes
    ----------
    random
        Source of all draws. The order of draws is part of a seed: a kind of fault keeps its own.
    links
        Before each program's links, by its name.
    evacuated_until
        When each evacuation ends, by zone, on the steady clock.
    """

    random: random.Random
    programs: list[Program]
    apps: list[SoakEngine]
    models: list[SoakEngine]
    store: StandInStore
    store_proxy: Proxy
    links: dict[str, Proxy]
    leader: LeaderLog
    trap: Trap
    evacuated_until: dict[str, float] = field(default_factory=dict)

    @property
    def engines(self) -> list[SoakEngine]:
        """All engines."""
        return [*self.apps, *self.models]

    @property
    def proxies(self) -> list[Proxy]:
        """All proxies."""
        return [self.store_proxy, *(each.proxy for each in self.engines), *self.links.values()]

    @property
    def gateways(self) -> list[Program]:
        """All gateways."""
        return [each for each in self.programs if each.spec.role == "gateway"]

    def find_leader(self) -> Program:
        """Return the program that leads; any gateway where none does."""
        name = self.leader.leader()
        found = [each for each in self.programs if each.spec.name == name and each.is_running()]
        return found[0] if found else self.random.choice(self.gateways)

    def draw_zone(self) -> str:
        """Draw a zone."""
        return f"z{self.random.randrange(ZONES)}"

    def engines_of(self, zone: str) -> list[SoakEngine]:
        """Return the engines in a zone."""
        return [each for each in self.engines if each.zone == zone]
