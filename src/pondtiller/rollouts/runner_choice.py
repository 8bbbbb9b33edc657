"""Which daemons run samples for a leader, and which of them serves which engine. No I/O.

A runner holds the streams of its engines' runs, so that a leader receives a few messages a second
instead of each event. Runners in an engine's zone come first, so that the engine's output stays in
its zone until it is batched.

Holds which runner serves which engine, for one term of a leader. Connections are made by
`gateway/leader/run_links.py`.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from pondtiller.address import Address
from pondtiller.routes.engines import Engine
from pondtiller.routes.topology import Distance, Topology

RUNS_PER_CORE = 30.0
"""Streams that a core may hold. Each takes 0.7% of one (20 events a second at 0.35 ms), with as
much again for starting, scoring and the runner's own callers, at less than half of its capacity."""
MIN_RUNNERS = 2
"""Runners per zone, so that after the loss of one another is connected."""


class Daemon(NamedTuple):
    """A daemon that may run samples; `cores` is its processor's speed."""

    name: str
    zone: str
    address: Address
    cores: float


def wanted_runners(
    daemons: Iterable[Daemon], engines: Iterable[Engine], connected: frozenset[str]
) -> list[Daemon]:
    """Return the daemons to connect to: in each zone enough for the slots of its engines.

    Parameters
    ----------
    connected
        Names of connected daemons, which stay, since their connections to engines are open.
    """
    places: Counter[str] = Counter()
    for engine in engines:
        if engine.entry.models and engine.gone_at is None:
            places[engine.entry.zone] += engine.entry.slots
    by_zone: dict[str, list[Daemon]] = {}
    for daemon in daemons:
        by_zone.setdefault(daemon.zone, []).append(daemon)
    wanted: list[Daemon] = []
    for zone, here in by_zone.items():
        if places[zone]:
            wanted += _enough(here, places[zone], connected)
    return wanted


def _enough(daemons: list[Daemon], places: int, connected: frozenset[str]) -> list[Daemon]:
    """Return the connected daemons of one zone, then the fastest, until they suffice."""
    ordered = sorted(daemons, key=lambda each: (each.name not in connected, -each.cores, each.name))
    chosen: list[Daemon] = []
    room = 0.0
    for daemon in ordered:
        if room >= places and len(chosen) >= MIN_RUNNERS:
            break
        chosen.append(daemon)
        room += daemon.cores * RUNS_PER_CORE
    return chosen


class EngineRunners:
    """Remembers which runner serves which engine, so that connections are reused.

    Parameters
    ----------
    topology
        Zones and their regions.
    zone
        Zone of the leader, which serves an engine itself if only runners of other regions could.
    """

    def __init__(self, topology: Topology | None = None, zone: str = "") -> None:
        self.runner_of: dict[str, str] = {}
        self._topology = topology or Topology()
        self._zone = zone

    def choose(self, engine: Engine, runners: Mapping[str, Daemon]) -> str | None:
        """Return the name of an engine's runner among those connected; None if there is none.

        One in its zone is preferred, then in its region; one of another region only if neither such
        a runner nor the leader itself is nearer, and only until a nearer one is connected.
        """
        if not runners:
            return None
        distances = {name: self._distance(engine, each.zone) for name, each in runners.items()}
        nearest = min(distances.values())
        known = self.runner_of.get(engine.identifier)
        if known is not None and known in runners and _may_stay(distances[known], nearest):
            return known
        if nearest is Distance.OTHER_REGION and self._distance(engine, self._zone) < nearest:
            return None
        candidates = [runners[name] for name, each in distances.items() if each is nearest]
        taken = Counter(self.runner_of.values())
        chosen = min(candidates, key=lambda each: ((taken[each.name] + 1) / each.cores, each.name))
        self.runner_of[engine.identifier] = chosen.name
        return chosen.name

    def _distance(self, engine: Engine, zone: str) -> Distance:
        return self._topology.distance(engine.entry.zone, zone)

    def forget(self, engines: Iterable[str]) -> None:
        """Forget engines that are not among those given."""
        known = set(engines)
        for identifier in [each for each in self.runner_of if each not in known]:
            del self.runner_of[identifier]


def _may_stay(distance: Distance, nearest: Distance) -> bool:
    """Return whether an engine keeps its runner; another zone costs less than new connections."""
    return distance is nearest or distance < Distance.OTHER_REGION
