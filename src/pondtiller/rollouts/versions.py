"""Versions of weights: one steward updates each engine to the newest named version. No I/O.

Orders carry the leader's epoch as their fence, the engine's incarnation, and the number of orders
that the engine had accepted, so that a delayed order has no effect. A few engines of a model load
at a time; the others keep serving with the previous version.

Holds the orders in progress and the engines' last reports, for one term of a leader; the durable
state is at the engines. `load_choice.py` and `model_demand.py` decide which engines load and how
many; the caller sends orders and questions. Does not read weights.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

from pondtiller.rollouts.load_choice import LoadPriority, loads_at_once, spare_below
from pondtiller.rollouts.model_demand import ModelDemand
from pondtiller.rollouts.model_fleet import ModelFleet, fleets_of
from pondtiller.routes.engines import Engine, EngineDirectory

LOAD_SECONDS = 1.6
"""Time from an engine's acceptance until it is asked about the load. A shorter one asks an engine
that is still loading, which costs a message; an entry or report with the version ends the wait."""
UNANSWERED_SECONDS = 0.8
"""The same for an order that is not answered yet, and between two questions. A shorter one asks a
busy engine needlessly, which costs a message."""
REFUSED_SECONDS = 0.4
"""Pause of an engine that refused an order or whose order count is being asked. Its own report ends
it; without one the engine is asked again."""


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
    """Ask an engine for its versions and its order count."""

    engine: str


class ModelVersion(NamedTuple):
    """A version of a model's weights."""

    model: str
    version: int


class EngineReport(NamedTuple):
    """An engine's last report, with the orders that it accepted after that.

    Attributes
    ----------
    models
        Versions by model.
    orders_taken
        Orders that it has accepted so far; the next one must name this number.
    """

    models: dict[str, int]
    orders_taken: int


NOTHING_REPORTED = EngineReport({}, 0)


@dataclass
class Load:
    """An order in progress.

    Attributes
    ----------
    until
        When the engine is asked about the outcome.
    """

    model: str
    version: int
    until: float


@dataclass
class VersionSteward:
    """Decides which engine loads which version.

    Attributes
    ----------
    newest
        Newest named version by model.
    may_order_from
        No order before this time: the permission to order is not claimed yet.
    waits
        No order to an engine before this time, by its address: another leader's last order to it
        may still arrive.
    demand
        Demand of steps for each model.
    loads
        Orders in progress by engine.
    known
        Reports by engine.
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

    def pop_instructions(self) -> list[OrderVersion | AskEngine]:
        """Return the instructions since the last call."""
        taken, self._out = self._out, []
        return taken

    def note_version(self, model: str, version: int) -> None:
        """Record a version that a trainer named."""
        self.newest[model] = max(version, self.newest.get(model, 0))

    def step_opened(self, model: str, tokens: float, samples: int) -> None:
        """Record the size of a step, to share engines among models."""
        self.demand.step_opened(model, tokens, samples)

    def note_answer(self, engine: str, is_taken: bool, now: float) -> None:
        """Process an engine's acceptance or refusal of an order."""
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

    def note_report(
        self, engine: str, models: dict[str, int], orders_taken: int, busy: bool
    ) -> None:
        """Process an engine's own report."""
        self.known[engine] = EngineReport(models, orders_taken)
        self._pause.pop(engine, None)
        load = self.loads.get(engine)
        if load is not None and not busy:
            del self.loads[engine]

    def is_loading(self, engine: str, model: str) -> bool:
        """Return whether an engine has been ordered to change a model."""
        load = self.loads.get(engine)
        return load is not None and load.model == model

    def tick(self, now: float) -> None:
        """Emit the orders that are due."""
        self._finish(now)
        if now < self.may_order_from or not self.newest:
            return
        self._fleets = fleets_of(self.engines)
        for model, version in self._by_scarcity():
            for engine in self._engines_to_load(model, version, now):
                if len(self.loads) >= self._loads_at_once():
                    return
                if engine.identifier in self.known:
                    self._order(engine, model, version, now)
                else:
                    self._ask_order_count(engine, now)

    def _finish(self, now: float) -> None:
        for identifier, load in list(self.loads.items()):
            engine = self.engines.engines.get(identifier)
            if engine is None or engine.entry.models.get(load.model, 0) >= load.version:
                del self.loads[identifier]
            elif now >= load.until:
                load.until = now + UNANSWERED_SECONDS
                self._out.append(AskEngine(identifier))

    def _loads_at_once(self) -> int:
        """Return how many engines may load at the same time; the others keep serving."""
        with_models = {each for fleet in self._fleets.values() for each in fleet.engines}
        return loads_at_once(len(with_models))

    def _by_scarcity(self) -> list[ModelVersion]:
        """Return the newest versions, those that fewest engines have first."""
        versions = [ModelVersion(*each) for each in self.newest.items()]
        return sorted(versions, key=lambda each: len(self._holding(each.model, each.version)))

    def _engines_to_load(self, model: str, version: int, now: float) -> list[Engine]:
        """Return the engines that should load a version now, in order.

        The most outdated come first, slow ones last. If there are spare engines, those that had one
        of the last versions alternate, and the others stay as they are.
        """
        fleet = self._fleet(model)
        missing = self.demand.target_engines(model, fleet) - len(self._holding(model, version))
        if missing <= 0:
            return []
        behind = [
            engine
            for engine in fleet.engines.values()
            if self._version_of(engine, model) < version and self._may_order(engine, now)
        ]
        spare = spare_below(version, self.demand.is_enough(fleet))

        def order(engine: Engine) -> LoadPriority:
            has = self._version_of(engine, model)
            name = engine.identifier
            return LoadPriority(name in fleet.slow, has < spare, has, engine.running, name)

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

    def _ask_order_count(self, engine: Engine, now: float) -> None:
        """Ask for an engine's order count, which only its own report contains."""
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
