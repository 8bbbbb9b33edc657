"""Which engine gets a live request next. No I/O.

Owns what the choice learns: zones that keep silent, and when an engine that failed was last tried
before its pause ended. Both are lost at a restart.

Relies on `EngineDirectory` for the engines, and on its caller for the time, for the connections
that are open, and for which engines are cold.

Does not send, count attempts, or let requests wait: that is `gateway.callers` and `live_queue`.
What forbids an engine everything, such as an evacuation, is asked again by `send_gate`.
"""

import random
from collections.abc import Callable
from typing import NamedTuple, Protocol

from pondtiller.routes.engines import Engine, EngineDirectory
from pondtiller.routes.live_queue import LOOK_AGAIN_SECONDS, may_get
from pondtiller.routes.places import Distance
from pondtiller.routes.silent_zones import SilentZones

ZONE_COST = 0.15
"""An engine in another zone, against a full one. Load: live requests; 3 ms there and back, and
bytes between zones."""
REGION_COST = 0.6
"""An engine in another region, against a full one. Load: live requests; 40 ms there and back is as
long as most of them take, and bytes between regions cost more. Near engines come first until more
than half of their places are taken by this daemon's own requests."""
DISTANCE_COSTS = {
    Distance.SAME_ZONE: 0.0,
    Distance.SAME_REGION: ZONE_COST,
    Distance.OTHER_REGION: REGION_COST,
}
CONNECTION_COST = 0.3
"""An engine to which no connection is open, against a full one. Load: many gateways with few
requests each; 67 of them opened 799 to 1,500 connections on one day with 0.15. Chosen, not
measured, at 0.3: an engine without a connection comes first once three tenths more of the
connected one's places are taken."""
JITTER = 0.1
"""Most that chance adds to a cost, against a full engine. Chosen, not measured: gateways that know
the same spread over equal engines, and it is less than one zone's distance, so it overrules none.
"""
SLOWER_THAN_USUAL = 2.0
"""Times the fastest engine's answer time up to which an engine is not taken for slow. Chosen, not
measured: up to that, answers differ by load alone, which the cost counts already.
"""
MOST_SLOWNESS_COST = 1.0
"""Most that slowness adds to a cost, as much as all places taken. Chosen, not measured: a slow
engine gets requests again where the fast ones are full."""
HEDGE_FILL = 0.5
"""Part of an engine's places; below it the engine may get an early hedge. Load: one of three
engines is left; of 3,769 requests there 641 were hedges of requests in its queue, and 216 were
refused, when every engine could get them. Chosen, not measured, at 0.5: more hedges fill engines
that are slow because they are full; fewer leave a request at an engine that is silent until it is
overdue."""
QUEUE_FILL = 2.0
"""Times an engine's places; at more a scorer's request is not sent. Same load as `HEDGE_FILL`.
Chosen, not measured: one answer's time of waiting is within a scorer's deadline of six of them, and
a sample that is not judged now is judged later."""


class CostInputs(NamedTuple):
    """What decides how dear an engine is.

    Attributes
    ----------
    running
        Own requests at the engine.
    slots
        Requests that it works on at a time.
    answer_seconds
        Smoothed time of its answers; 0 while unknown.
    usual_seconds
        The least of these times among the engines in question; 0 while unknown.
    distance
        Between this gateway and the engine.
    has_connection
        Whether an open connection is at hand.
    draw
        A random number from 0 to 1.
    """

    running: int
    slots: int
    answer_seconds: float
    usual_seconds: float
    distance: Distance
    has_connection: bool
    draw: float


def cost(inputs: CostInputs) -> float:
    """Return how dear an engine is: 1 is as dear as all its places taken by own requests."""
    total = inputs.running / inputs.slots + inputs.draw * JITTER
    usual = inputs.usual_seconds
    if usual and inputs.answer_seconds > usual * SLOWER_THAN_USUAL:
        total += min(MOST_SLOWNESS_COST, inputs.answer_seconds / usual - SLOWER_THAN_USUAL)
    total += DISTANCE_COSTS[inputs.distance]
    total += 0.0 if inputs.has_connection else CONNECTION_COST
    return total


class ColdView(Protocol):
    """What the choice asks about engines that have just started."""

    def preferred(self, engines: list[Engine], now: float) -> list[Engine]:
        """Return the warm engines; where there are none, cold ones that may get something now."""

    def is_cold(self, engine: Engine, now: float) -> bool:
        """Return whether an engine is slow since it started, as far as is known."""


class Wanted(NamedTuple):
    """What a request may still be sent to.

    Attributes
    ----------
    service
        Whose engines may get it.
    homes
        Regions that it may be in; empty where any will do.
    passed_over
        Identifiers of engines that do not get it now.
    again
        Identifiers of engines that it was sent to and may be sent to once more.
    engines_used
        Engines that it was sent to.
    most_engines
        Engines that it may be sent to.
    """

    service: str
    homes: frozenset[str]
    passed_over: frozenset[str]
    again: frozenset[str]
    engines_used: int
    most_engines: int

    def may_reach(self, engine: str) -> bool:
        """Return whether the request may go to an engine without exceeding its engines."""
        return engine in self.again or self.engines_used < self.most_engines


class EngineChoice:
    """Chooses among the engines of a service.

    Parameters
    ----------
    zone
        Zone of this gateway; engines in it are preferred.
    has_connection
        Returns whether an open connection to an engine is at hand.
    cold
        Which engines are cold; None where none ever is.
    rng
        Spreads requests over equal engines; one draw for each engine that is compared.

    Attributes
    ----------
    silent_zones
        Zones from which nothing answers.
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
        passed_over: set[str] | frozenset[str],
        homes: frozenset[str],
        now: float,
    ) -> Engine | None:
        """Return the engine with the least cost; None where none is left.

        Engines of zones from which nothing answers, and those that failed just now, come last.
        """
        usable = self._engines.usable(service, now, homes)
        fresh = [each for each in usable if each.identifier not in passed_over]
        if self._cold is not None:
            fresh = self._cold.preferred(fresh, now)
        heard = [
            each for each in fresh if not self.silent_zones.is_silent(each.entry.zone, now)
        ] or fresh
        rested = [each for each in heard if now >= each.not_before] or heard
        usual = min((each.answer_seconds for each in rested if each.answer_seconds), default=0.0)
        return min(rested, key=lambda each: self._cost(each, usual), default=None)

    def choose_with_room(self, wanted: Wanted, now: float) -> Engine | None:
        """Return the best engine that may get a request now.

        Where others are only full, one that failed just now does not get it, since waiting for
        room costs less than waiting for a connection that does not come up; nor does a cold one.
        """
        passed_over = wanted.passed_over
        some_full = False
        while True:
            engine = self.choose(wanted.service, passed_over, wanted.homes, now)
            if engine is None or (some_full and self._is_last_resort(engine, now)):
                return None
            if not self._may_probe(engine, now):
                return None
            if wanted.may_reach(engine.identifier):
                if may_get(engine, now):
                    return engine
                some_full = True
            passed_over = passed_over | {engine.identifier}

    def has_spare(self, wanted: Wanted, now: float) -> bool:
        """Return whether another engine is free enough for an early hedge.

        Where engines are slow because they are full, hedges only fill them more.
        """
        engine = self.choose_with_room(wanted, now)
        return engine is not None and engine.running < engine.entry.slots * HEDGE_FILL

    def has_room(self, service: str, homes: frozenset[str], now: float) -> bool:
        """Return whether an engine in the homes would begin a request soon, by own work."""
        engine = self.choose(service, frozenset(), homes, now)
        return engine is not None and engine.running < engine.entry.slots * QUEUE_FILL

    def note_attempt(self, service: str, engine: Engine, now: float) -> None:
        """Take that an attempt at an engine begins; one that failed just now is probed by it."""
        if engine.failures and now < engine.not_before:
            self._probed_at[service] = now

    def _cost(self, engine: Engine, usual: float) -> float:
        places = self._engines.places
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
        """Return whether an engine that failed just now may be tried before its pause ends.

        Load: all engines of a service are gone and many requests wait. One attempt now and then
        finds out for all of them when an engine is back.
        """
        if engine.failures == 0 or now >= engine.not_before:
            return True
        return now >= self._probed_at.get(engine.entry.service, 0.0) + LOOK_AGAIN_SECONDS

    def _is_last_resort(self, engine: Engine, now: float) -> bool:
        is_cold = self._cold is not None and self._cold.is_cold(engine, now)
        return is_cold or now < engine.not_before
