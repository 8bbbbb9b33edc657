"""Which engine takes a sample next. No I/O.

An engine takes a sample where it has room, weights that may make the rest of it, and is in its
homes; of those the cheapest place is taken (`place_cost.py`). Each engine that the sample's runs
left just now is passed over while others could take it.

What a choice needs of a service (its usable engines, which of them have room, the usual pace)
is worked out once a tick, and runs are counted by engine and group as they begin and end. So
a tick costs one look at each engine, and for each sample the engines that are compared for it
(`candidates.py`) and those that run samples of its group.

Owns the views of services, for one tick, and the counts of runs, for one term of a leader. Does not
begin runs, and does not say when one moves (`moving.py`).
"""

from collections.abc import Callable

from pondtiller.rollouts.candidates import Candidates
from pondtiller.rollouts.cold_starts import ColdStarts
from pondtiller.rollouts.group_runs import GroupRuns
from pondtiller.rollouts.place_cost import PlaceCosts
from pondtiller.rollouts.sample_work import SampleWork
from pondtiller.rollouts.service_view import ServiceView, sample_need
from pondtiller.routes.cold import ColdEngines
from pondtiller.routes.engines import Engine, EngineDirectory, usual_pace


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
    views
        Services by name, as they are in this tick.
    """

    def __init__(
        self,
        engines: EngineDirectory,
        is_loading: Callable[[str, str], bool],
        zone: str = "",
        cold: ColdEngines | None = None,
    ) -> None:
        self.engines = engines
        self.is_loading = is_loading
        self.views: dict[str, ServiceView] = {}
        self._costs = PlaceCosts(engines.places, zone)
        self._groups = GroupRuns()
        self._cold_starts = ColdStarts(cold)

    @property
    def cold_from(self) -> float:
        """Before this time no sample is ordered at a cold engine, in seconds."""
        return self._cold_starts.not_before

    @cold_from.setter
    def cold_from(self, at: float) -> None:
        self._cold_starts.not_before = at

    def begin_tick(self) -> None:
        """Look at all services anew."""
        self.views.clear()

    def began(self, work: SampleWork) -> None:
        """Count a run; its engine has one place less."""
        self._groups.began(work.engine, work.group)
        known = self.engines.engines.get(work.engine)
        if known is not None:
            self._cold_starts.began(known, work.run_started)
        view = self.views.get(work.service)
        engine = view.with_room.get(work.engine) if view is not None else None
        if view is None or engine is None:
            return
        is_full = not self._has_room(engine, work.run_started)
        if is_full:
            del view.with_room[engine.identifier]
        for candidates in view.candidates.values():
            candidates.filled(engine, is_full)

    def ended(self, work: SampleWork) -> None:
        """Count the end of a run."""
        self._groups.ended(work.engine, work.group)

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
        with_group = self._groups.engines_of(work.group)
        return min(
            self._new_to(work, compared, view, now),
            key=lambda each: self._costs.of(
                each, view.pace, work.size, each.identifier in with_group
            ),
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
        need = sample_need(work.service, work)
        found = view.candidates.get(need)
        if found is None:
            suited = [each for each in view.with_room.values() if self.suits(each, work)]
            found = Candidates(suited, lambda each: self._costs.base(each, view.pace))
            view.candidates[need] = found
        return found

    def _of_group(
        self, work: SampleWork, view: ServiceView, candidates: Candidates
    ) -> list[Engine]:
        """Return the engines that run samples of the same group and are not compared yet."""
        if candidates.compares_all:
            return []
        found = (view.with_room.get(each) for each in self._groups.engines_of(work.group))
        return [
            each
            for each in found
            if each is not None
            and each.identifier not in candidates.compared
            and self.suits(each, work)
        ]

    def _has_room(self, engine: Engine, now: float) -> bool:
        """Return whether an engine has a free slot, and may get a sample where it is cold."""
        return engine.running < engine.entry.slots and self._cold_starts.left(engine, now) > 0

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
        return self.engines.places.allows_zone(engine.entry.zone, homes) and self.has_weights(
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
