"""Which engine takes a sample next. No I/O.

An engine may take a sample if it has a free slot, weights that may make the rest of it, and is in
its homes; the one with the cheapest slot is taken (`slot_cost.py`). Engines that the sample's runs
left recently are skipped while others could take it.

The state of a service that a choice needs (usable engines, free slots, usual pace) is computed once
a tick, and runs are counted by engine and group as they start and end. A tick thus examines each
engine once, and for each sample only the compared engines (`candidates.py`) and those that run
samples of its group.

Holds the views of services for one tick, and the counts of runs for one term of a leader. Does not
start runs, and does not decide when one moves (`moving.py`).
"""

from collections.abc import Callable

from pondtiller.rollouts.candidates import Candidates
from pondtiller.rollouts.cold_starts import ColdStarts
from pondtiller.rollouts.group_runs import GroupRuns
from pondtiller.rollouts.sample_work import SampleWork
from pondtiller.rollouts.service_view import ServiceView, sample_need
from pondtiller.rollouts.slot_cost import SlotCosts
from pondtiller.routes.cold import ColdEngines
from pondtiller.routes.engines import Engine, EngineDirectory, usual_pace


class Placement:
    """Chooses engines for samples.

    Parameters
    ----------
    is_loading
        Returns whether an engine, by its identifier, is changing the weights of a model.
    zone
        Zone of the leader, to which all events of the runs are sent.
    cold
        Which engines are cold; None if none ever is.

    Attributes
    ----------
    views
        Services by name, as of this tick.
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
        self._costs = SlotCosts(engines.topology, zone)
        self._groups = GroupRuns()
        self._cold_starts = ColdStarts(cold)

    @property
    def cold_from(self) -> float:
        """Before this monotonic time no sample is started at a cold engine."""
        return self._cold_starts.not_before

    @cold_from.setter
    def cold_from(self, at: float) -> None:
        self._cold_starts.not_before = at

    def begin_tick(self) -> None:
        """Discard the views of the last tick."""
        self.views.clear()

    def began(self, work: SampleWork) -> None:
        """Count a run; its engine has one free slot less."""
        self._groups.began(work.engine, work.group)
        known = self.engines.engines.get(work.engine)
        if known is not None:
            self._cold_starts.began(known, work.run_started)
        view = self.views.get(work.service)
        engine = view.free_engines.get(work.engine) if view is not None else None
        if view is None or engine is None:
            return
        is_full = not self._has_room(engine, work.run_started)
        if is_full:
            del view.free_engines[engine.identifier]
        for candidates in view.candidates.values():
            candidates.note_start(engine, is_full)

    def ended(self, work: SampleWork) -> None:
        """Count the end of a run."""
        self._groups.ended(work.engine, work.group)

    def view(self, service: str, now: float) -> ServiceView:
        """Return the view of a service in this tick."""
        found = self.views.get(service)
        if found is None:
            usable = self.engines.usable(service, now)
            free_engines = {
                engine.identifier: engine
                for engine in usable
                if now >= engine.not_before and self._has_room(engine, now)
            }
            found = ServiceView(usable, free_engines, usual_pace(usable))
            self.views[service] = found
        return found

    def choose(self, work: SampleWork, now: float) -> Engine | None:
        """Return the engine that should take a sample now, or None if none can."""
        service = work.service
        view = self.view(service, now)
        if not view.free_engines:
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
        """Return the engines that the sample's runs have not left recently.

        If others without a free slot could take it, the result may be empty: one of them will be
        free sooner than an engine recovers. If there are no others, all are returned.
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
            suited = [each for each in view.free_engines.values() if self.suits(each, work)]
            found = Candidates(suited, lambda each: self._costs.base(each, view.pace))
            view.candidates[need] = found
        return found

    def _of_group(
        self, work: SampleWork, view: ServiceView, candidates: Candidates
    ) -> list[Engine]:
        """Return the engines that run samples of the same group and are not compared yet."""
        if candidates.compares_all:
            return []
        found = (view.free_engines.get(each) for each in self._groups.engines_of(work.group))
        return [
            each
            for each in found
            if each is not None
            and each.identifier not in candidates.compared
            and self.suits(each, work)
        ]

    def _has_room(self, engine: Engine, now: float) -> bool:
        """Return whether an engine has a free slot, and may start a sample if it is cold."""
        return engine.running < engine.entry.slots and self._cold_starts.left(engine, now) > 0

    def reserve_better(self, work: SampleWork, pace: float, factor: float, now: float) -> bool:
        """Reserve a slot for a run on an engine that is `factor` times as fast as a pace.

        Each slot is reserved for one run only: a run that leaves its engine without finding another
        slot returns to the same engine and has gained nothing.

        Parameters
        ----------
        pace
            Seconds between two events where the run is now.

        Returns
        -------
        bool
            False if no such engine has a free slot to spare.
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
        """Return the engines with free slots, fastest first; sorted once a tick."""
        if view.by_pace is None:
            view.by_pace = sorted(
                view.free_engines.values(), key=lambda each: self.expected_pace(each, view)
            )
        return view.by_pace

    def expected_pace(self, engine: Engine, view: ServiceView) -> float:
        """Return the time between two events; the usual one for an engine without recent events."""
        return engine.event_seconds or view.pace

    def suits(self, engine: Engine, work: SampleWork) -> bool:
        """Return whether an engine may make the rest of a sample: its region and its weights."""
        homes = work.route.homes
        return self.engines.topology.allows_zone(engine.entry.zone, homes) and self.has_weights(
            engine, work
        )

    def has_weights(self, engine: Engine, work: SampleWork) -> bool:
        """Return whether an engine has weights that may make the rest of a sample."""
        if self.is_loading(engine.identifier, work.model):
            return False
        version = engine.entry.models.get(work.model)
        if version is None:
            return not engine.entry.models
        required_version = work.required_version
        if required_version is not None:
            return version == required_version
        return version >= work.oldest_version
