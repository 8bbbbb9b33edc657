"""Stewards of engines: bring new weights to each engine by fenced orders.

Any member may believe that it is an engine's steward. Before its first order it takes a
higher fence from a register, and the engine refuses every lower fence from then on, so an
earlier steward that wakes up is refused.
"""

from pondtiller import wire
from pondtiller.coordination.registers.proposer import OutcomeStatus, RegisterOutcome
from pondtiller.coordination.retries import Backoff
from pondtiller.hashing import owner, score
from pondtiller.serve.core import constants
from pondtiller.serve.core.entities import Engine
from pondtiller.serve.core.events import OrderAnswered, OrderResult
from pondtiller.serve.core.instructions import EngineOrder, OrderEngine
from pondtiller.serve.core.timers import TimerKind
from pondtiller.serve.core.views import StewardState
from pondtiller.serve.core.world import World
from pondtiller.serve.systems.registers import change_register

CHECK_SECONDS = 0.5
"""How often a steward compares its engines with the versions that it knows. Chosen, not
measured."""
PREFETCH = "prefetch"
ACTIVATE = "activate"
FENCES_PER_EPOCH = 1_000_000
"""Fences of one epoch of the register's shard: a shard that lost its memory and starts empty in a
later epoch still gives higher ones. Chosen: far more than orders in the life of an epoch."""
FAILURE_BACKOFF = Backoff(first=0.5, maximum=5.0)


def run(world: World, now: float) -> None:
    """Take engines' answers to orders and give the orders that are due."""
    for answered in world.batch.of(OrderAnswered):
        _take_answer(world, answered, now)
    for engine in world.due_keys(TimerKind.ORDER_TIMEOUT):
        state = world.stewarded.get(engine)
        if state is not None:
            state.order_id = ""
    if world.due_keys(TimerKind.STEWARD):
        world.set_timer(TimerKind.STEWARD, now + CHECK_SECONDS)
        _choose_engines(world, now)
        for name in world.stewarded:
            _advance(world, name, now)


def _choose_engines(world: World, now: float) -> None:
    members = tuple(world.membership.live_names_in(world.zone))
    basis = (members, world.documents.revision(constants.FLEET_DOCUMENT))
    if basis == world.stewarded_basis or world.draining:
        return
    world.stewarded_basis = basis
    served_zones = {member.zone for member in world.membership.members.values()}
    wanted: set[str] = set()
    for engine in world.engines.values():
        at_home = engine.zone == world.zone
        pool = members if at_home else tuple(world.membership.live_names())
        if not at_home and engine.zone in served_zones:
            continue
        if owner(f"steward/{engine.name}", pool) == world.name:
            wanted.add(engine.name)
    for name in [name for name in world.stewarded if name not in wanted]:
        del world.stewarded[name]
    for name in sorted(wanted - set(world.stewarded)):
        world.stewarded[name] = StewardState()
        if not world.timer_is_set(TimerKind.POLL_ENGINE, name):
            world.set_timer(TimerKind.POLL_ENGINE, now, name)


def _advance(world: World, name: str, now: float) -> None:
    state = world.stewarded[name]
    engine = world.engines.get(name)
    if engine is None or engine.leaving or state.order_id or state.fence_operation is not None:
        return
    if engine.reported_at is None or now < state.wait_until:
        return
    for model in sorted(engine.models):
        version = world.model_versions.get(model, 0)
        if engine.versions.get(model, 0) < version:
            _order_version(world, engine, state, model, version, now)
            return


def _order_version(
    world: World, engine: Engine, state: StewardState, model: str, version: int, now: float
) -> None:
    if not state.fence:
        _take_fence(world, engine.name, state, now)
    elif state.prefetched.get(model, 0) < version:
        _order(world, engine, state, PREFETCH, model, version, now)
    elif _wave_has_come(world, engine, model, now):
        _order(world, engine, state, ACTIVATE, model, version, now)


def _wave_has_come(world: World, engine: Engine, model: str, now: float) -> bool:
    """Return whether an engine may swap now; waves keep part of a model's engines serving."""
    wave = score("wave", engine.name) % constants.SWAP_WAVES
    learned_at = world.version_learned_at.get(model)
    return learned_at is None or now >= learned_at + wave * constants.WAVE_SECONDS


def _order(
    world: World,
    engine: Engine,
    state: StewardState,
    kind: str,
    model: str,
    version: int,
    now: float,
) -> None:
    state.order_id = world.next_id("order")
    order = EngineOrder(state.order_id, state.fence, kind, model, version)
    state.order = order
    world.do(OrderEngine(engine.name, engine.address, order))
    due = now + constants.ORDER_TIMEOUT_SECONDS
    world.set_timer(TimerKind.ORDER_TIMEOUT, due, engine.name)


def _take_answer(world: World, answered: OrderAnswered, now: float) -> None:
    state = world.stewarded.get(answered.engine)
    if state is None or state.order_id != answered.order_id or state.order is None:
        return
    state.order_id = ""
    world.clear_timer(TimerKind.ORDER_TIMEOUT, answered.engine)
    order = state.order
    world.log(
        "order_answered",
        engine=answered.engine,
        kind=order.kind,
        version=order.version,
        result=answered.result,
    )
    if answered.result == OrderResult.DONE:
        _take_done(world, answered.engine, state, order)
        world.set_timer(TimerKind.STEWARD, now)
        return
    state.failures += 1
    state.wait_until = now + FAILURE_BACKOFF.delay(state.failures, world.source)
    if answered.result == OrderResult.STALE_FENCE:
        state.minimum_fence = state.fence + 1
        state.fence = 0


def _take_done(world: World, name: str, state: StewardState, order: EngineOrder) -> None:
    state.failures = 0
    state.prefetched[order.model] = max(order.version, state.prefetched.get(order.model, 0))
    engine = world.engines.get(name)
    if order.kind == ACTIVATE and engine is not None:
        engine.versions[order.model] = order.version
        engine.broken = False


def _take_fence(world: World, name: str, state: StewardState, now: float) -> None:
    minimum = state.minimum_fence
    key = constants.STEWARD_PREFIX + name
    shard = world.proposer.configuration.shard_of(key)
    # A shard that was reset starts far above every fence that it gave before.
    floor = shard.epoch * FENCES_PER_EPOCH if shard is not None else 0

    def change(current: bytes) -> bytes:
        known = wire.StewardRecord().parse(current)
        is_mine = (known.steward, known.steward_incarnation) == (world.name, world.incarnation)
        if is_mine and known.fence >= max(1, minimum):
            return current
        record = wire.StewardRecord(
            fence=max(known.fence, minimum, floor) + 1,
            steward=world.name,
            steward_incarnation=world.incarnation,
        )
        return bytes(record)

    def settle(world: World, outcome: RegisterOutcome, now: float) -> None:
        held = world.stewarded.get(name)
        if held is None:
            return
        held.fence_operation = None
        record = wire.StewardRecord().parse(outcome.value)
        if outcome.status is OutcomeStatus.COMMITTED and record.steward == world.name:
            held.fence = record.fence
            world.set_timer(TimerKind.STEWARD, now)

    timeout = constants.STEWARD_TIMEOUT_SECONDS
    state.fence_operation = change_register(world, key, change, now, timeout, settle)
