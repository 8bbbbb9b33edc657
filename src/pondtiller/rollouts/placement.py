"""Which engine takes a sample next. No I/O.

What a choice needs of a service (its usable engines, which of them have room, the usual pace)
is worked out once a tick, and runs are counted by engine and group as they begin and end. So
a tick costs samples times engines with room, whatever else runs.
"""

import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from pondtiller.coordination.rate_shares import SlidingCount
from pondtiller.rollouts.sample_work import SampleWork
from pondtiller.routes.cold import ColdEngines
from pondtiller.routes.engines import Engine, EngineDirectory, usual_pace
from pondtiller.routes.places import Distance

GROUP_BONUS = 0.4
SLOWNESS_COST = 1.5
REGION_COST = 0.25
"""An engine in another region than the leader's, against a full one. Load: the events of its
samples, some kilobytes each, cross to the leader; they wait 20 ms, which a sample does not feel.
So the near engines take a quarter of their places more, and all are used when there is work."""
LONGEST_SIZE = 3.0
"""Sizes of samples, against their step's mean, above which a slow engine costs no more."""

Need = tuple[str, str, int, int | None]
"""Service, model, oldest version, and the version that a begun text must stay with."""


@dataclass
class ServiceView:
    """A service as it is during one tick.

    Attributes
    ----------
    usable
        Engines that may get new work.
    with_room
        Those of them that have a free slot and are not paused; shrinks as samples start.
    pace
        Usual time between two events of a stream, in seconds; 0 while unknown.
    unmet
        Needs for which no engine has room, so that like samples are not looked at again.
    reserved
        Places promised to runs that move here in this tick, by engine.
    by_pace
        The engines with room, the fastest first; None until somebody asks.
    """

    usable: list[Engine]
    with_room: list[Engine]
    pace: float
    unmet: set[Need] = field(default_factory=set)
    reserved: Counter[str] = field(default_factory=Counter)
    by_pace: list[Engine] | None = None


class Placement:
    """Chooses engines for samples.

    Parameters
    ----------
    is_loading
        Returns whether an engine, by its identifier, is changing the weights of a model.
    zone
        Of the leader, to which all events of the runs go.
    cold
        Which engines are cold; None where none ever is.

    Attributes
    ----------
    cold_from
        Before this time no sample is ordered at a cold engine: no runner can hold a share of it.
    """

    def __init__(
        self,
        engines: EngineDirectory,
        is_loading: Callable[[str, str], bool],
        zone: str = "",
        cold: ColdEngines | None = None,
    ) -> None:
        self._zone = zone
        self.engines = engines
        self._cold = cold
        self.cold_from = -math.inf
        self._cold_starts: dict[str, SlidingCount] = {}
        self.is_loading = is_loading
        self.groups: dict[str, Counter[str]] = {}
        self.views: dict[str, ServiceView] = {}

    def begin_tick(self) -> None:
        """Look at all services anew."""
        self.views.clear()

    def began(self, work: SampleWork) -> None:
        """Count a run."""
        self.groups.setdefault(work.engine, Counter())[work.group] += 1
        engine = self.engines.engines.get(work.engine)
        if self._cold is not None and engine is not None:
            if self._cold.is_cold(engine, work.run_started):
                count = self._cold_starts.setdefault(work.engine, SlidingCount())
                count.add(work.run_started)
            else:
                self._cold_starts.pop(work.engine, None)

    def ended(self, work: SampleWork) -> None:
        """Count the end of a run."""
        groups = self.groups.get(work.engine)
        if groups is None:
            return
        groups[work.group] -= 1
        if groups[work.group] <= 0:
            del groups[work.group]
        if not groups:
            del self.groups[work.engine]

    def view(self, service: str, now: float) -> ServiceView:
        """Return a service as it is in this tick."""
        found = self.views.get(service)
        if found is None:
            usable = self.engines.usable(service, now)
            with_room = [
                engine
                for engine in usable
                if now >= engine.not_before
                and engine.running < engine.entry.slots
                and self._starts_left(engine, now) > 0
            ]
            found = ServiceView(usable, with_room, usual_pace(usable))
            self.views[service] = found
        return found

    def choose(self, work: SampleWork, now: float) -> Engine | None:
        """Return the engine that is to take a sample now, or None while none can."""
        service = work.service
        view = self.view(service, now)
        if not view.with_room:
            return None
        need = _need(service, work)
        if need in view.unmet:
            return None
        candidates = [each for each in view.with_room if self.has_weights(each, work)]
        if not candidates:
            view.unmet.add(need)
            return None
        chosen = min(candidates, key=lambda each: self._cost(each, work, view.pace))
        if min(chosen.entry.slots - chosen.running, self._starts_left(chosen, now)) <= 1:
            view.with_room.remove(chosen)
        return chosen

    def _starts_left(self, engine: Engine, now: float) -> float:
        """Return how many samples may start at an engine now; a cold one takes few in a second.

        What a cold engine gets is bounded by the shares of those who send. This only keeps
        samples from being ordered in vain.
        """
        if self._cold is None or not self._cold.is_cold(engine, now):
            return math.inf
        terms = self._cold.terms(engine.identifier)
        if terms is None:
            return math.inf
        if now < self.cold_from:
            return 0
        count = self._cold_starts.get(engine.identifier)
        return terms.most_each - (count.within(now) if count is not None else 0)

    def reserve_better(self, work: SampleWork, pace: float, factor: float, now: float) -> bool:
        """Reserve a place for a run on an engine that is `factor` times as fast as a pace.

        Each place is promised to one run only: a run that leaves its engine and finds no place
        elsewhere goes back to the same engine, and has gained nothing.

        Parameters
        ----------
        pace
            Seconds between two events where the run is now.

        Returns
        -------
        bool
            False where no such engine has room to spare.
        """
        view = self.view(work.service, now)
        for other in self._by_pace(view):
            if self.expected_pace(other, view) >= pace / factor:
                return False
            taken = other.running + view.reserved[other.identifier]
            if (
                taken < other.entry.slots - 1
                and other.identifier != work.engine
                and self.has_weights(other, work)
            ):
                view.reserved[other.identifier] += 1
                return True
        return False

    def _by_pace(self, view: ServiceView) -> list[Engine]:
        """Return the engines with room, the fastest first; sorted once a tick."""
        if view.by_pace is None:
            view.by_pace = sorted(view.with_room, key=lambda each: self.expected_pace(each, view))
        return view.by_pace

    def expected_pace(self, engine: Engine, view: ServiceView) -> float:
        """Return the time between two events; an engine that made none lately is a usual one."""
        return engine.event_seconds or view.pace

    def has_weights(self, engine: Engine, work: SampleWork) -> bool:
        """Return whether an engine has weights that may make the rest of a sample."""
        if self.is_loading(engine.identifier, work.model):
            return False
        version = engine.entry.models.get(work.model)
        if version is None:
            return not engine.entry.models
        stays_with = work.stays_with
        if stays_with is not None:
            return version == stays_with
        return version >= work.oldest_version

    def _cost(self, engine: Engine, work: SampleWork, pace: float) -> float:
        """Return the cost of a place: a full engine, and a slow one the more a sample is long."""
        relative = engine.event_seconds / pace if engine.event_seconds and pace else 1.0
        cost = (engine.running + 1) / engine.entry.slots
        cost += SLOWNESS_COST * max(0.0, relative - 1.0) * min(work.size, LONGEST_SIZE)
        distance = self.engines.places.distance(self._zone, engine.entry.zone)
        cost += REGION_COST if distance is Distance.OTHER_REGION else 0.0
        shares_prompt = work.group in self.groups.get(engine.identifier, ())
        return cost - (GROUP_BONUS if shares_prompt else 0.0)


def _need(service: str, work: SampleWork) -> Need:
    return service, work.model, work.oldest_version, work.stays_with
