"""Choice of the engine for a live request. No I/O.

Holds which zones do not respond, and when an engine that had failed was last probed before the end
of its pause. Both are lost at a restart.

Relies on `EngineDirectory` for the engines, and on its caller for the time, the open connections,
and which engines are cold.

Does not send requests, count attempts or queue requests: `gateway.callers` and `live_queue` do.
Conditions that forbid sending to an engine, such as an evacuation, are checked again by
`send_gate`.
"""

import random
from collections.abc import Callable
from typing import NamedTuple, Protocol

from pondtiller.routes.engines import Engine, EngineDirectory
from pondtiller.routes.live_queue import RECHECK_SECONDS, has_capacity
from pondtiller.routes.silent_zones import SilentZones
from pondtiller.routes.topology import Distance

ZONE_COST = 0.15
"""Cost of an engine in another zone; 1 is the cost of a full engine. Accounts for a round trip of
3 ms and for bytes between zones."""
REGION_COST = 0.6
"""Cost of an engine in another region; 1 is the cost of a full engine. A round trip of 40 ms takes
as long as most requests, and bytes between regions cost more. Near engines come first until this
daemon's own requests take more than half of their slots."""
DISTANCE_COSTS = {
    Distance.SAME_ZONE: 0.0,
    Distance.SAME_REGION: ZONE_COST,
    Distance.OTHER_REGION: REGION_COST,
}
CONNECTION_COST = 0.3
"""Cost of an engine without an open connection; 1 is the cost of a full engine. With 0.15, 67
gateways with few requests each opened 799 to 1,500 connections in a day. With 0.3, an engine
without a connection comes first once the connected one has three tenths more of its slots taken."""
JITTER = 0.1
"""Largest random cost; 1 is the cost of a full engine. Spreads gateways with equal information over
equal engines. Less than `ZONE_COST`, so that it never outweighs a zone boundary.
"""
SLOWER_THAN_USUAL = 2.0
"""Multiple of the fastest engine's answer time up to which an engine does not count as slow: up to
there, answer times differ by load alone, which the cost already includes.
"""
MAX_SLOWNESS_COST = 1.0
"""Upper bound of the cost of slowness, equal to a full engine: a slow engine gets requests again
when the fast ones are full."""
HEDGE_MAX_FILL = 0.5
"""An engine gets an early hedge only below this part of its slots. Without the limit, with one of
three engines left, 641 of 3,769 requests there were hedges of requests in its own queue, and 216
were refused. A higher value adds hedges to engines that are slow because they are full; a lower one
leaves requests at an unresponsive engine until they are overdue."""
SCORER_MAX_FILL = 2.0
"""A scorer's request is not sent to an engine that has this multiple of its slots taken. A wait of
one answer time fits in a scorer's deadline of six, and a sample that is not scored now is scored
later. The load is that of `HEDGE_MAX_FILL`."""


class CostInputs(NamedTuple):
    """Inputs of an engine's cost.

    Attributes
    ----------
    running
        This daemon's requests at the engine.
    slots
        Requests that the engine processes concurrently.
    answer_seconds
        Smoothed duration of its answers; 0 while unknown.
    usual_seconds
        Shortest such duration among the candidates; 0 while unknown.
    distance
        Between this gateway and the engine.
    has_connection
        Whether a connection to the engine is open.
    draw
        Random number from 0 to 1.
    """

    running: int
    slots: int
    answer_seconds: float
    usual_seconds: float
    distance: Distance
    has_connection: bool
    draw: float


def cost(inputs: CostInputs) -> float:
    """Return an engine's cost; 1 equals all of its slots being taken by own requests."""
    total = inputs.running / inputs.slots + inputs.draw * JITTER
    usual = inputs.usual_seconds
    if usual and inputs.answer_seconds > usual * SLOWER_THAN_USUAL:
        total += min(MAX_SLOWNESS_COST, inputs.answer_seconds / usual - SLOWER_THAN_USUAL)
    total += DISTANCE_COSTS[inputs.distance]
    total += 0.0 if inputs.has_connection else CONNECTION_COST
    return total


class ColdView(Protocol):
    """What the choice needs to know about cold engines."""

    def preferred(self, engines: list[Engine], now: float) -> list[Engine]:
        """Return the warm engines; if there are none, cold ones that may get a request now."""

    def is_cold(self, engine: Engine, now: float) -> bool:
        """Return whether an engine is still slow after its start, as far as is known."""


class EngineConstraints(NamedTuple):
    """Constraints on where a request may still be sent.

    Attributes
    ----------
    service
        Service whose engines are eligible.
    homes
        Regions that the request may be in; empty for any.
    excluded
        Identifiers of engines that are not eligible now.
    resendable
        Identifiers of engines that already had the request and may get it once more.
    engines_used
        Number of engines that it was sent to.
    max_engines
        Most engines that it may be sent to.
    """

    service: str
    homes: frozenset[str]
    excluded: frozenset[str]
    resendable: frozenset[str]
    engines_used: int
    max_engines: int

    def may_reach(self, engine: str) -> bool:
        """Return whether sending to an engine keeps the request within its engine count."""
        return engine in self.resendable or self.engines_used < self.max_engines


class EngineChoice:
    """Chooses among a service's engines.

    Parameters
    ----------
    zone
        Zone of this gateway; its engines are preferred.
    has_connection
        Returns whether a connection to an engine is open.
    cold
        Which engines are cold; None if none ever is.
    rng
        Spreads requests over equal engines; one draw for each compared engine.

    Attributes
    ----------
    silent_zones
        Zones whose engines do not respond.
    """

    def __init__(
        self,
        zone: str,
        engines: EngineDirectory,
        has_connection: Callable[[str], bool],
        cold: ColdView | None,
        rng: random.Random,
    ) -> None:
        self.silent_zones = SilentZones(zone)
        self.rng = rng
        self._zone = zone
        self._engines = engines
        self._has_connection = has_connection
        self._cold = cold
        self._probed_at: dict[str, float] = {}

    def choose(
        self,
        service: str,
        excluded: set[str] | frozenset[str],
        homes: frozenset[str],
        now: float,
    ) -> Engine | None:
        """Return the engine with the lowest cost, or None.

        Engines in unresponsive zones and engines that have just failed come last.
        """
        usable = self._engines.usable(service, now, homes)
        fresh = [each for each in usable if each.identifier not in excluded]
        if self._cold is not None:
            fresh = self._cold.preferred(fresh, now)
        responsive = [
            each for each in fresh if not self.silent_zones.is_silent(each.entry.zone, now)
        ] or fresh
        unpaused = [each for each in responsive if now >= each.not_before] or responsive
        usual = min((each.answer_seconds for each in unpaused if each.answer_seconds), default=0.0)
        return min(unpaused, key=lambda each: self._cost(each, usual), default=None)

    def choose_available(self, wanted: EngineConstraints, now: float) -> Engine | None:
        """Return the best engine that may get the request now, or None.

        While other engines are merely full, neither an engine that has just failed nor a cold one
        is returned: waiting for a free slot takes less time than a connection attempt that fails.
        """
        excluded = wanted.excluded
        some_full = False
        while True:
            engine = self.choose(wanted.service, excluded, wanted.homes, now)
            if engine is None or (some_full and self._is_last_resort(engine, now)):
                return None
            if not self._may_probe(engine, now):
                return None
            if wanted.may_reach(engine.identifier):
                if has_capacity(engine, now):
                    return engine
                some_full = True
            excluded = excluded | {engine.identifier}

    def has_spare(self, wanted: EngineConstraints, now: float) -> bool:
        """Return whether another engine has enough free slots for an early hedge.

        Where engines are slow because they are full, hedges would only add load.
        """
        engine = self.choose_available(wanted, now)
        return engine is not None and engine.running < engine.entry.slots * HEDGE_MAX_FILL

    def has_room(self, service: str, homes: frozenset[str], now: float) -> bool:
        """Return whether an engine in the homes would soon start a request, by own load alone."""
        engine = self.choose(service, frozenset(), homes, now)
        return engine is not None and engine.running < engine.entry.slots * SCORER_MAX_FILL

    def note_attempt(self, service: str, engine: Engine, now: float) -> None:
        """Record an attempt; it serves as the probe if the engine is pausing after a failure."""
        if engine.failures and now < engine.not_before:
            self._probed_at[service] = now

    def _cost(self, engine: Engine, usual: float) -> float:
        places = self._engines.topology
        inputs = CostInputs(
            engine.running,
            engine.entry.slots,
            engine.answer_seconds,
            usual,
            places.distance(self._zone, engine.entry.zone),
            self._has_connection(engine.identifier),
            self.rng.random(),
        )
        return cost(inputs)

    def _may_probe(self, engine: Engine, now: float) -> bool:
        """Return whether an engine that has just failed may be tried before its pause ends.

        When all engines of a service are gone and many requests wait, an occasional attempt detects
        for all of them that an engine is back.
        """
        if engine.failures == 0 or now >= engine.not_before:
            return True
        return now >= self._probed_at.get(engine.entry.service, 0.0) + RECHECK_SECONDS

    def _is_last_resort(self, engine: Engine, now: float) -> bool:
        is_cold = self._cold is not None and self._cold.is_cold(engine, now)
        return is_cold or now < engine.not_before
