"""Which engine takes a sample next. No I/O.

What a choice needs of a service (its usable engines, which of them have room, the usual pace)
is worked out once a tick, and runs are counted by engine and group as they begin and end. So
a tick costs one look at each engine, and for each sample the engines that are compared for it
(`candidates.py`) and those that run samples of its group.
"""

import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from pondtiller.coordination.rate_shares import SlidingCount
from pondtiller.rollouts.candidates import Candidates
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

Need = tuple[str, str, int, int | None, frozenset[str]]
"""Service, model, oldest version, the version that a begun text must stay with, and homes."""


@dataclass
class ServiceView:
    """A service as it is during one tick.

    Attributes
    ----------
    usable
        Engines that may get new work.
    with_room
        Those of them that have a free slot and are not paused, by identifier; shrinks as samples
        start.
    pace
        Usual time between two events of a stream, in seconds; 0 while unknown.
    candidates
        Engines with room by what a sample needs.
    reserved
        Places promised to runs that move here in this tick, by engine.
    by_pace
        The engines with room, the fastest first; None until somebody asks.
    """

    usable: list[Engine]
    with_room: dict[str, Engine]
    pace: float
    candidates: dict[Need, Candidates] = field(default_factory=dict)
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
        self.by_group: dict[str, Counter[str]] = {}
        self.views: dict[str, ServiceView] = {}

    def begin_tick(self) -> None:
        """Look at all services anew."""
        self.views.clear()

    def began(self, work: SampleWork) -> None:
        """Count a run; its engine has one place less."""
        self.groups.setdefault(work.engine, Counter())[work.group] += 1
        self.by_group.setdefault(work.group, Counter())[work.engine] += 1
        self._count_cold_start(work)
        view = self.views.get(work.service)
        engine = view.with_room.get(work.engine) if view is not None else None
        if view is None or engine is None:
            return
        is_full = not self._has_room(engine, work.run_started)
        if is_full:
            del view.with_room[engine.identifier]
        for candidates in view.candidates.values():
            candidates.filled(engine, is_full)

    def _count_cold_start(self, work: SampleWork) -> None:
        engine = self.engines.engines.get(work.engine)
        if self._cold is None or engine is None:
            return
        if self._cold.is_cold(engine, work.run_started):
            count = self._cold_starts.setdefault(work.engine, SlidingCount())
            count.add(work.run_started)
        else:
            self._cold_starts.pop(work.engine, None)

    def ended(self, work: SampleWork) -> None:
        """Count the end of a run."""
        _count_down(self.groups, work.engine, work.group)
        _count_down(self.by_group, work.group, work.engine)

    def view(self, service: str, now: float) -> ServiceView:
        """Return a service as it is in this tick."""
        found = self.views.get(service)
        if found is None:
            usable = self.engines.usable(service, now)
            with_room = {
                engine.identifier: engine
                for engine in usable
                if now >= engine.not_before and self._has_room(engine, now)
            }
            found = ServiceView(usable, with_room, usual_pace(usable))
            self.views[service] = found
        return found

    def choose(self, work: SampleWork, now: float) -> Engine | None:
        """Return the engine that is to take a sample now, or None while none can."""
        service = work.service
        view = self.view(service, now)
        if not view.with_room:
            return None
        candidates = self._candidates(view, work)
        if not candidates.compared:
            return None
        compared = [*candidates.compared.values(), *self._of_group(work, view, candidates)]
        return min(
            self._new_to(work, compared, view, now),
            key=lambda each: self._cost(each, work, view.pace),
            default=None,
        )

    def _new_to(
        self, work: SampleWork, engines: list[Engine], view: ServiceView, now: float
    ) -> list[Engine]:
        """Return the engines that a sample's runs have not left just now.

        None where others could take it that have no room yet: one of them will, sooner than an
        engine that is gone. All where there are no others.
        """
        if not work.left:
            return engines
        new = [each for each in engines if not work.has_left(each.identifier, now)]
        others = (each for each in view.usable if not work.has_left(each.identifier, now))
        if new or any(self.suits(each, work) for each in others):
            return new
        return engines

    def _candidates(self, view: ServiceView, work: SampleWork) -> Candidates:
        need = _need(work.service, work)
        found = view.candidates.get(need)
        if found is None:
            suited = [each for each in view.with_room.values() if self.suits(each, work)]
            found = Candidates(suited, lambda each: self._base_cost(each, view.pace))
            view.candidates[need] = found
        return found

    def _of_group(
        self, work: SampleWork, view: ServiceView, candidates: Candidates
    ) -> list[Engine]:
        """Return the engines that run samples of the same group and are not compared yet."""
        if candidates.compares_all:
            return []
        found = (view.with_room.get(each) for each in self.by_group.get(work.group, ()))
        return [
            each
            for each in found
            if each is not None
            and each.identifier not in candidates.compared
            and self.suits(each, work)
        ]

    def _has_room(self, engine: Engine, now: float) -> bool:
        """Return whether an engine has a free slot, and may get a sample where it is cold."""
        return engine.running < engine.entry.slots and self._starts_left(engine, now) > 0

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
                and not work.has_left(other.identifier, now)
                and self.suits(other, work)
            ):
                view.reserved[other.identifier] += 1
                return True
        return False

    def _by_pace(self, view: ServiceView) -> list[Engine]:
        """Return the engines with room, the fastest first; sorted once a tick."""
        if view.by_pace is None:
            view.by_pace = sorted(
                view.with_room.values(), key=lambda each: self.expected_pace(each, view)
            )
        return view.by_pace

    def expected_pace(self, engine: Engine, view: ServiceView) -> float:
        """Return the time between two events; an engine that made none lately is a usual one."""
        return engine.event_seconds or view.pace

    def suits(self, engine: Engine, work: SampleWork) -> bool:
        """Return whether an engine may make the rest of a sample: its region and its weights."""
        homes = work.route.homes
        return self.engines.places.may_hold(engine.entry.zone, homes) and self.has_weights(
            engine, work
        )

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
        cost = self._base_cost(engine, pace, min(work.size, LONGEST_SIZE))
        shares_prompt = work.group in self.groups.get(engine.identifier, ())
        return cost - (GROUP_BONUS if shares_prompt else 0.0)

    def _base_cost(self, engine: Engine, pace: float, size: float = 1.0) -> float:
        """Return what an engine costs a sample of a size whose group is nowhere."""
        cost = _filling(engine)
        cost += SLOWNESS_COST * max(0.0, _relative_pace(engine, pace) - 1.0) * size
        distance = self.engines.places.distance(self._zone, engine.entry.zone)
        return cost + (REGION_COST if distance is Distance.OTHER_REGION else 0.0)


def _filling(engine: Engine) -> float:
    return (engine.running + 1) / engine.entry.slots


def _relative_pace(engine: Engine, pace: float) -> float:
    return engine.event_seconds / pace if engine.event_seconds and pace else 1.0


def _count_down(counts: dict[str, Counter[str]], name: str, part: str) -> None:
    """Count one less; what nobody counts any more is forgotten."""
    counter = counts.get(name)
    if counter is None:
        return
    counter[part] -= 1
    if counter[part] <= 0:
        del counter[part]
    if not counter:
        del counts[name]


def _need(service: str, work: SampleWork) -> Need:
    return service, work.model, work.oldest_version, work.stays_with, work.route.homes
