"""Which daemons run samples for a leader, and which of them serves which engine. No I/O.

A runner holds the streams of its engines' runs, so that a leader hears of them a few times a
second and not at each event. Those of an engine's zone come first: what an engine sends then
stays in its zone until it is packed.

Owns which runner serves which engine, for one term of a leader. Does not connect
(`gateway/leader/run_links.py`).
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from pondtiller.address import Address
from pondtiller.routes.engines import Engine
from pondtiller.routes.topology import Distance, Topology

RUNS_PER_CORE = 30.0
"""Streams that a core may hold: each takes 0.7 % of one (20 events a second at 0.35 ms), with
as much again for beginning, scoring and the runner's own callers, at less than half its power."""
FEWEST_RUNNERS = 2
"""In a zone, so that the loss of one leaves another that is connected."""


class Daemon(NamedTuple):
    """A daemon that may run samples; `cores` is its processor's speed."""

    name: str
    zone: str
    address: Address
    cores: float


def wanted_runners(
    daemons: Iterable[Daemon], engines: Iterable[Engine], connected: frozenset[str]
) -> list[Daemon]:
    """Return the daemons to be connected to: in each zone enough for its engines' places.

    Parameters
    ----------
    connected
        Names of those that are; they stay, since their connections to engines are open.
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
    """Return those of one zone that are connected, then the fastest, until they suffice."""
    ordered = sorted(daemons, key=lambda each: (each.name not in connected, -each.cores, each.name))
    chosen: list[Daemon] = []
    room = 0.0
    for daemon in ordered:
        if room >= places and len(chosen) >= FEWEST_RUNNERS:
            break
        chosen.append(daemon)
        room += daemon.cores * RUNS_PER_CORE
    return chosen


class EngineRunners:
    """Remembers which runner serves which engine, so that connections stay in use.

    Parameters
    ----------
    places
        Zones with their regions.
    zone
        Of the leader, which serves an engine itself where only runners of other regions could.
    """

    def __init__(self, places: Topology | None = None, zone: str = "") -> None:
        self.runner_of: dict[str, str] = {}
        self._places = places or Topology()
        self._zone = zone

    def choose(self, engine: Engine, runners: Mapping[str, Daemon]) -> str | None:
        """Return the name of an engine's runner among those connected; None where none is.

        One in its zone, else in its region; one of another region only where neither such a
        runner nor the leader itself is nearer, and only until a nearer one is connected.
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
        return self._places.distance(engine.entry.zone, zone)

    def forget(self, engines: Iterable[str]) -> None:
        """Forget engines that are not among those given."""
        known = set(engines)
        for identifier in [each for each in self.runner_of if each not in known]:
            del self.runner_of[identifier]


def _may_stay(distance: Distance, nearest: Distance) -> bool:
    """Return whether an engine's runner is kept; another zone costs less than new connections."""
    return distance is nearest or distance < Distance.OTHER_REGION
