"""Versions of weights: one steward brings each engine to the newest version named. No I/O.

Orders carry the leader's epoch as their fence, the engine's incarnation, and the number of
orders that the engine had taken, so one that is carried out late does nothing. A few engines
of a model load at a time; the others serve on with the version before.

Owns the orders under way and what engines last reported, for one term of a leader; what lasts is
at the engines themselves. Relies on `load_choice.py` and `model_demand.py` for which engines load
and how many, and on its caller to send orders and questions. Does not read weights.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

from pondtiller.rollouts.load_choice import LoadOrder, loads_at_once, spare_below
from pondtiller.rollouts.model_demand import ModelDemand
from pondtiller.rollouts.model_fleet import ModelFleet, fleets_of
from pondtiller.routes.engines import Engine, EngineDirectory

LOAD_SECONDS = 1.6
"""From an engine's consent until it is asked what became of the load, in seconds. Chosen, not
measured: too short asks an engine that still loads, which costs a message; an entry or report that
names the version ends the wait before."""
UNANSWERED_SECONDS = 0.8
"""The same from an order that was not answered yet, and between two questions, in seconds. Chosen,
not measured: too short asks a busy engine in vain, which costs a message."""
REFUSED_SECONDS = 0.4
"""Pause of an engine that refused an order or whose count of orders is being asked, in seconds.
Chosen, not measured: its own report ends it before; without one the engine is asked again."""


@dataclass(frozen=True, slots=True)
class OrderVersion:
    """Order an engine to load a version."""

    engine: str
    model: str
    version: int
    orders_taken: int
    must_wait: bool


@dataclass(frozen=True, slots=True)
class AskEngine:
    """Ask an engine for its versions and the number of orders taken."""

    engine: str


class ModelVersion(NamedTuple):
    """A version of a model's weights."""

    model: str
    version: int


class EngineReport(NamedTuple):
    """What an engine said of itself, with the orders that it took after that.

    Attributes
    ----------
    models
        Versions by model.
    orders_taken
        Orders that it has taken so far; the next one names this number.
    """

    models: dict[str, int]
    orders_taken: int


NOTHING_REPORTED = EngineReport({}, 0)


@dataclass
class Load:
    """An order under way.

    Attributes
    ----------
    until
        When the engine is asked what became of it.
    """

    model: str
    version: int
    until: float


@dataclass
class VersionSteward:
    """Decides which engine loads what.

    Attributes
    ----------
    newest
        Newest version named, by model.
    may_order_from
        No order before this time: the right to order is not claimed yet.
    waits
        No order to an engine before this time, by its place: another leader's last order to it
        may still arrive.
    demand
        What steps ask of each model.
    loads
        Orders under way, by engine.
    known
        What engines reported, by engine.
    """

    engines: EngineDirectory
    newest: dict[str, int] = field(default_factory=dict)
    single_version_models: set[str] = field(default_factory=set)
    may_order_from: float = float("inf")
    waits: dict[str, float] = field(default_factory=dict)
    demand: ModelDemand = field(default_factory=ModelDemand)
    loads: dict[str, Load] = field(default_factory=dict)
    known: dict[str, EngineReport] = field(default_factory=dict)
    _pause: dict[str, float] = field(default_factory=dict)
    _fleets: dict[str, ModelFleet] = field(default_factory=dict)
    _out: list[OrderVersion | AskEngine] = field(default_factory=list)

    def take(self) -> list[OrderVersion | AskEngine]:
        """Return the instructions since the last call."""
        taken, self._out = self._out, []
        return taken

    def named(self, model: str, version: int) -> None:
        """Take a version that a trainer named."""
        self.newest[model] = max(version, self.newest.get(model, 0))

    def step_opened(self, model: str, tokens: float, samples: int) -> None:
        """Take the size of a step, for the sharing of engines among models."""
        self.demand.step_opened(model, tokens, samples)

    def answered(self, engine: str, is_taken: bool, now: float) -> None:
        """Take an engine's consent or refusal."""
        load = self.loads.get(engine)
        if load is None:
            return
        if is_taken:
            load.until = now + LOAD_SECONDS
            self._count_order(engine)
        else:
            del self.loads[engine]
            self._pause[engine] = now + REFUSED_SECONDS
            self._out.append(AskEngine(engine))

    def _count_order(self, engine: str) -> None:
        report = self.known[engine]
        self.known[engine] = report._replace(orders_taken=report.orders_taken + 1)

    def reported(self, engine: str, models: dict[str, int], orders_taken: int, busy: bool) -> None:
        """Take an engine's own report."""
        self.known[engine] = EngineReport(models, orders_taken)
        self._pause.pop(engine, None)
        load = self.loads.get(engine)
        if load is not None and not busy:
            del self.loads[engine]

    def is_loading(self, engine: str, model: str) -> bool:
        """Return whether an engine is told to change a model."""
        load = self.loads.get(engine)
        return load is not None and load.model == model

    def tick(self, now: float) -> None:
        """Give the orders that are due."""
        self._finish(now)
        if now < self.may_order_from or not self.newest:
            return
        self._fleets = fleets_of(self.engines)
        for model, version in self._by_need():
            for engine in self._to_load(model, version, now):
                if len(self.loads) >= self._loads_at_once():
                    return
                if engine.identifier in self.known:
                    self._order(engine, model, version, now)
                else:
                    self._ask_first(engine, now)

    def _finish(self, now: float) -> None:
        for identifier, load in list(self.loads.items()):
            engine = self.engines.engines.get(identifier)
            if engine is None or engine.entry.models.get(load.model, 0) >= load.version:
                del self.loads[identifier]
            elif now >= load.until:
                load.until = now + UNANSWERED_SECONDS
                self._out.append(AskEngine(identifier))

    def _loads_at_once(self) -> int:
        """Return how many engines may load together; the others serve on meanwhile."""
        with_models = {each for fleet in self._fleets.values() for each in fleet.engines}
        return loads_at_once(len(with_models))

    def _by_need(self) -> list[ModelVersion]:
        """Return the newest versions, those that fewest engines have first."""
        versions = [ModelVersion(*each) for each in self.newest.items()]
        return sorted(versions, key=lambda each: len(self._holding(each.model, each.version)))

    def _to_load(self, model: str, version: int, now: float) -> list[Engine]:
        """Return the engines that are to load a version now, the first ones first.

        The most outdated come first, slow ones last. Where engines are left over, those that had
        one of the last versions take turns, and the others stay as they are.
        """
        fleet = self._fleet(model)
        missing = self.demand.engines_wanted(model, fleet) - len(self._holding(model, version))
        if missing <= 0:
            return []
        behind = [
            engine
            for engine in fleet.engines.values()
            if self._version_of(engine, model) < version and self._may_order(engine, now)
        ]
        spare = spare_below(version, self.demand.is_enough(fleet))

        def order(engine: Engine) -> LoadOrder:
            has = self._version_of(engine, model)
            name = engine.identifier
            return LoadOrder(name in fleet.slow, has < spare, has, engine.running, name)

        return sorted(behind, key=order)[:missing]

    def _may_order(self, engine: Engine, now: float) -> bool:
        """Return whether an engine may get an order now."""
        return (
            engine.identifier not in self.loads
            and now >= self._pause.get(engine.identifier, 0.0)
            and now >= self.waits.get(engine.place, 0.0)
        )

    def _fleet(self, model: str) -> ModelFleet:
        return self._fleets.get(model) or ModelFleet()

    def _holding(self, model: str, version: int) -> set[str]:
        """Return the sound engines that have a version, or are loading it."""
        fleet = self._fleet(model)
        holding = {
            identifier
            for identifier, engine in fleet.engines.items()
            if self._version_of(engine, model) >= version and identifier not in fleet.slow
        }
        loading = {
            identifier
            for identifier, load in self.loads.items()
            if load.model == model and load.version >= version and self._may_serve(identifier)
        }
        return holding | loading

    def _may_serve(self, identifier: str) -> bool:
        engine = self.engines.engines.get(identifier)
        return engine is None or not self.engines.is_evacuated(engine)

    def _version_of(self, engine: Engine, model: str) -> int:
        reported = self.known.get(engine.identifier, NOTHING_REPORTED).models
        return max(engine.entry.models.get(model, 0), reported.get(model, 0))

    def _ask_first(self, engine: Engine, now: float) -> None:
        """Learn how many orders an engine has taken; only its own report tells."""
        self._pause[engine.identifier] = now + REFUSED_SECONDS
        self._out.append(AskEngine(engine.identifier))

    def _order(self, engine: Engine, model: str, version: int, now: float) -> None:
        orders_taken = self.known[engine.identifier].orders_taken
        self.loads[engine.identifier] = Load(model, version, now + UNANSWERED_SECONDS)
        self._out.append(
            OrderVersion(
                engine.identifier,
                model,
                version,
                orders_taken,
                model in self.single_version_models,
            )
        )
