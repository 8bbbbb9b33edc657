"""Chooses what runs next and where: fair queueing over rows, two choices among engines.

Owns `World.prefix_hints`, and makes the rows of `World.attempts`. Relies on the engines that
`fleet` keeps and on their latest reports, corrected by this daemon's own attempts since then. Does
not retry: what failed comes back to the queue through `attempts`.
"""

from pondtiller.serve.core import constants
from pondtiller.serve.core.entities import Attempt, Engine, Request, RequestState
from pondtiller.serve.core.events import RequestQueued
from pondtiller.serve.core.instructions import EngineRequest, StartAttempt
from pondtiller.serve.core.timers import TimerKind
from pondtiller.serve.core.views import PrefixHint
from pondtiller.serve.core.world import World
from pondtiller.serve.systems.engine_choice import cheaper_of_two, prefix_key
from pondtiller.serve.systems.fleet import is_usable

RETRY_SECONDS = 0.25
"""How soon waiting requests are looked at again where nothing else wakes them. Chosen, not
measured."""
KEPT_HINTS = 4096
"""Beginnings of prompts that are remembered; then all are forgotten at once. Chosen, not measured:
it bounds memory."""


def run(world: World, now: float) -> None:
    """Start attempts while some waiting request has an engine with room."""
    woken = world.batch.of(RequestQueued) or world.due_keys(TimerKind.DISPATCH)
    if not woken or not world.queue:
        return
    started = True
    while started:
        started = any(_start_first(world, row, now) for row in world.queue.order())
    if world.queue:
        world.set_timer(TimerKind.DISPATCH, now + RETRY_SECONDS)


def _start_first(world: World, row: str, now: float) -> bool:
    request = world.requests[world.queue.peek(row)]
    engine = choose_engine(world, request, now)
    if engine is None:
        return False
    world.queue.pop(row, request.weight, cost=float(request.spec.maximum_tokens))
    world.row_counts(row).queued -= 1
    _start(world, request, engine, now)
    return True


def choose_engine(world: World, request: Request, now: float) -> Engine | None:
    """Return the engine for a request, or None where none is able."""
    model = request.spec.model
    is_urgent = request.priority >= constants.URGENT_PRIORITY
    able: list[Engine] = []
    for name in world.subset:
        engine = world.engines[name]
        if model not in engine.models or not is_usable(engine, now):
            continue
        if engine.versions.get(model, 0) < request.spec.minimum_version:
            continue
        if _has_room(engine, is_urgent):
            able.append(engine)
    others = [engine for engine in able if engine.name != request.avoid]
    drawn = others or able
    if not drawn:
        return None
    return cheaper_of_two(world, request, drawn, now)


def _has_room(engine: Engine, is_urgent: bool) -> bool:
    # Engines let urgent requests push others aside, so only urgent ones take their room.
    occupied = engine.urgent_estimate() if is_urgent else engine.estimate()
    return occupied < engine.slots


def _start(world: World, request: Request, engine: Engine, now: float) -> None:
    spec = request.spec
    is_urgent = request.priority >= constants.URGENT_PRIORITY
    attempt = Attempt(
        world.next_id("attempt"),
        spec.request_id,
        engine.name,
        is_urgent,
        now,
        reached_before=request.reached_engine,
    )
    world.attempts[attempt.attempt_id] = attempt
    engine.own += 1
    engine.own_urgent += int(is_urgent)
    engine.breaker.note_sent(now)
    _count(world, request)
    request.state = RequestState.RUNNING
    request.attempt_id = attempt.attempt_id
    request.reached_engine = True
    _remember_prefix(world, request, engine, now)
    due = now + constants.ATTEMPT_SILENCE_SECONDS
    world.set_timer(TimerKind.ATTEMPT_SILENCE, due, attempt.attempt_id)
    world.do(
        StartAttempt(
            attempt.attempt_id,
            engine.name,
            engine.address,
            _engine_request(world, request, attempt),
        )
    )


def _count(world: World, request: Request) -> None:
    counts = world.row_counts(request.spec.row)
    request.attempts += 1
    counts.attempts += 1
    if request.attempts == 1:
        budget = world.budgets.get(request.spec.row)
        if budget is not None:
            budget.note_first_try()


def _engine_request(world: World, request: Request, attempt: Attempt) -> EngineRequest:
    spec = request.spec
    return EngineRequest(
        request_id=attempt.attempt_id,
        model=spec.model,
        prompt=spec.prompt,
        maximum_tokens=spec.maximum_tokens,
        priority=request.priority,
        resume_text=request.text(),
        resume_tokens=request.token_count,
        minimum_version=spec.minimum_version,
    )


def _remember_prefix(world: World, request: Request, engine: Engine, now: float) -> None:
    if len(world.prefix_hints) >= KEPT_HINTS:
        world.prefix_hints.clear()
    world.prefix_hints[prefix_key(request)] = PrefixHint(engine.name, now)
