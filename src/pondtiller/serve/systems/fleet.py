"""Engines: which exist, which leave, how loaded each is, and which this daemon uses.

Owns `World.engines` and `World.subset`. The list of machines lags behind, so engines' own reports
and peers' marks count as well; a mark that an engine leaves holds for its generation. Which engine
gets a request is chosen in `dispatch`.
"""

from pydantic import BaseModel, ConfigDict, ValidationError

from pondtiller.address import Address
from pondtiller.coordination.documents import Document
from pondtiller.hashing import rank
from pondtiller.serve.core import constants
from pondtiller.serve.core.entities import Engine
from pondtiller.serve.core.events import EnginePollFailed, EngineReported
from pondtiller.serve.core.instructions import PollEngine
from pondtiller.serve.core.timers import TimerKind
from pondtiller.serve.core.world import World
from pondtiller.serve.systems.peers import note_leaving, note_version


class FleetEngine(BaseModel):
    """One engine in the platform's list of machines."""

    model_config = ConfigDict(frozen=True, extra="ignore")

    name: str
    zone: str
    host: str
    port: int
    slots: int
    models: tuple[str, ...]
    generation: int = 0
    leaving: bool = False


class Fleet(BaseModel):
    """The platform's list of machines; it lags behind the truth."""

    model_config = ConfigDict(frozen=True, extra="ignore")

    engines: tuple[FleetEngine, ...] = ()


def run(world: World, now: float) -> None:
    """Take reports of engines and poll those of the subset."""
    for report in world.batch.of(EngineReported):
        _take_report(world, report, now)
    for failed in world.batch.of(EnginePollFailed):
        engine = world.engines.get(failed.engine)
        if engine is not None:
            engine.failed_polls += 1
    for name in world.due_keys(TimerKind.POLL_ENGINE):
        _poll(world, name, now)


def adopt_fleet(world: World, document: Document) -> None:
    """Replace the set of engines by the newest list; what was measured stays."""
    try:
        listed = Fleet.model_validate_json(document.body).engines
    except ValidationError as error:
        world.log("document_invalid", document=document.name, problem=str(error.error_count()))
        return
    names = {entry.name for entry in listed}
    for name in [name for name in world.engines if name not in names]:
        _forget_unlisted(world, name)
    for entry in listed:
        _adopt_engine(world, entry)
    _choose_subset(world, document.adopted_at)


def _forget_unlisted(world: World, name: str) -> None:
    """Give no new work to an engine that left the list; forget it once it has none."""
    world.engines[name].leaving = True
    world.leaving_engines.pop(name, None)
    if world.engines[name].own == 0:
        del world.engines[name]


def _adopt_engine(world: World, entry: FleetEngine) -> None:
    known = world.engines.get(entry.name)
    if known is None or known.generation != entry.generation:
        world.engines[entry.name] = Engine(
            name=entry.name,
            zone=entry.zone,
            address=Address(entry.host, entry.port),
            slots=entry.slots,
            models=frozenset(entry.models),
            generation=entry.generation,
        )
    engine = world.engines[entry.name]
    marked = world.leaving_engines.get(entry.name, -1) >= entry.generation
    if entry.leaving and world.mechanisms.leaving_marks:
        note_leaving(world, entry.name, entry.generation)
        marked = True
    engine.leaving = marked
    engine.models = frozenset(entry.models)


def _choose_subset(world: World, now: float) -> None:
    """Choose for each model a bounded set of engines, own zone first."""
    subset: set[str] = set()
    models = {model for engine in world.engines.values() for model in engine.models}
    for model in sorted(models):
        able = [
            engine.name
            for engine in world.engines.values()
            if model in engine.models and not engine.leaving
        ]
        ranked = rank(f"subset/{world.name}/{model}", able)
        ranked.sort(key=lambda name: world.engines[name].zone != world.zone)
        subset.update(ranked[: constants.ENGINE_SUBSET])
    world.subset = sorted(subset)
    for name in world.subset:
        if not world.timer_is_set(TimerKind.POLL_ENGINE, name):
            world.set_timer(TimerKind.POLL_ENGINE, now, name)


def _poll(world: World, name: str, now: float) -> None:
    engine = world.engines.get(name)
    is_used = name in world.subset or name in world.stewarded
    if engine is None or not is_used:
        return
    world.do(PollEngine(name, engine.address))
    is_busy = bool(world.requests) or engine.reported_at is None or name in world.stewarded
    seconds = constants.ENGINE_POLL_SECONDS if is_busy else constants.IDLE_POLL_SECONDS
    due = now + seconds * world.source.uniform(0.8, 1.2)
    world.set_timer(TimerKind.POLL_ENGINE, due, name)


def _take_report(world: World, report: EngineReported, now: float) -> None:
    engine = world.engines.get(report.engine)
    if engine is None:
        return
    engine.failed_polls = 0
    engine.reported_at = now
    engine.running = report.running
    engine.urgent = report.urgent
    engine.reported_own = engine.own
    engine.reported_own_urgent = engine.own_urgent
    engine.broken = report.broken
    engine.versions = {each.model: each.version for each in report.versions}
    for each in report.versions:
        note_version(world, each.model, each.version, now)
    if report.leaving:
        note_leaving(world, engine.name, engine.generation)
    if world.queue and not world.timer_is_set(TimerKind.DISPATCH):
        world.set_timer(TimerKind.DISPATCH, now)


def is_usable(engine: Engine, now: float) -> bool:
    """Return whether an engine may be given new work."""
    is_down = engine.failed_polls >= constants.ENGINE_DOWN_AFTER_FAILED_POLLS
    return not (engine.leaving or engine.broken or is_down) and engine.breaker.allows(now)
