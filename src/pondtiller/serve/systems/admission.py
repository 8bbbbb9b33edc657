"""Admits requests: row, readiness, queue bound and the row's share of its limit.

What cannot be served is refused at once, as not run; what waits for a share waits for a bounded
time. Makes the rows of `World.requests`. Samples of steps are not refused here: they wait, and
`steps` bounds how many there are.
"""

from pondtiller.errors import ErrorKind, Failure
from pondtiller.serve.core import constants
from pondtiller.serve.core.entities import Request, RequestSpec, RequestState
from pondtiller.serve.core.events import ClaimNeeded, RequestArrived, RolloutStarted, ShareObtained
from pondtiller.serve.core.instructions import FailAnswer
from pondtiller.serve.core.timers import TimerKind
from pondtiller.serve.core.world import World
from pondtiller.serve.systems import lifecycle, limits
from pondtiller.table.sheet import Row, RowKind


def run(world: World, now: float) -> None:
    """Admit what arrived and what obtained its share; refuse what waited too long."""
    for arrived in world.batch.of(RequestArrived):
        _arrive(world, arrived.spec, now)
    for rollout in world.batch.of(RolloutStarted):
        _accept(world, rollout.spec, now)
    for obtained in world.batch.of(ShareObtained):
        request = world.requests.get(obtained.request_id)
        if request is None or request.state is not RequestState.ADMISSION:
            world.row_counts(obtained.row).in_flight -= 1
            continue
        request.held_rows.append(obtained.row)
        _continue(world, request, now)
    for request_id in world.due_keys(TimerKind.ADMISSION):
        request = world.requests.get(request_id)
        if request is not None and request.state is RequestState.ADMISSION:
            lifecycle.fail(world, request, Failure(ErrorKind.LIMIT_REACHED), now)


def _arrive(world: World, spec: RequestSpec, now: float) -> None:
    refusal = _refusal(world, spec)
    if refusal is not None:
        world.row_counts(spec.row).refused += 1
        world.do(FailAnswer(spec.request_id, refusal, reached_engine=False))
        return
    _accept(world, spec, now)


def _refusal(world: World, spec: RequestSpec) -> Failure | None:
    if world.draining and world.mechanisms.drain:
        return Failure(ErrorKind.DRAINING)
    if not world.ready:
        return Failure(ErrorKind.NOT_READY)
    if spec.row not in world.rows:
        return Failure(ErrorKind.UNKNOWN_MODEL, spec.row)
    if spec.caller and world.sheet.row(RowKind.CALLER, spec.caller) is None:
        return Failure(ErrorKind.UNKNOWN_ROW, f"caller/{spec.caller}")
    if world.queue.length(spec.row) >= constants.QUEUE_LIMIT_PER_ROW:
        return Failure(ErrorKind.QUEUE_FULL)
    return None


def _accept(world: World, spec: RequestSpec, now: float) -> None:
    row = world.rows.get(spec.row)
    caller = world.sheet.row(RowKind.CALLER, spec.caller) if spec.caller else None
    request = Request(
        spec=spec,
        arrived_at=now,
        deadline=now + deadline_seconds(row, caller, spec.is_rollout),
        weight=(row.weight if row else 1.0) * (caller.weight if caller else 1.0),
        priority=priority(row, caller, spec.is_rollout),
    )
    world.requests[spec.request_id] = request
    world.set_timer(TimerKind.REQUEST_DEADLINE, request.deadline, spec.request_id)
    if not spec.is_rollout:
        wait = constants.ADMISSION_WAIT_SECONDS
        world.set_timer(TimerKind.ADMISSION, now + wait, spec.request_id)
    _continue(world, request, now)


def deadline_seconds(row: Row | None, caller: Row | None, is_rollout: bool) -> float:
    """Return how long a request may take: the caller's cell, the row's, else a default."""
    for entry in (caller, row):
        if entry is not None and entry.deadline_seconds is not None:
            return entry.deadline_seconds
    if is_rollout:
        return constants.DEFAULT_ROLLOUT_DEADLINE_SECONDS
    return constants.DEFAULT_LIVE_DEADLINE_SECONDS


def priority(row: Row | None, caller: Row | None, is_rollout: bool) -> int:
    """Return the priority passed to engines: the caller's cell, the row's, else a default."""
    for entry in (caller, row):
        if entry is not None and entry.priority is not None:
            return entry.priority
    if is_rollout:
        return constants.DEFAULT_ROLLOUT_PRIORITY
    return constants.DEFAULT_LIVE_PRIORITY


def _continue(world: World, request: Request, now: float) -> None:
    """Obtain the missing shares one after the other, then claim or queue."""
    for row in request.spec.rows:
        if row in request.held_rows:
            continue
        if not limits.may_start(world, row, now):
            limits.wait(world, row, request.spec.request_id, now)
            return
        world.row_counts(row).in_flight += 1
        request.held_rows.append(row)
        limits.keep_demanding(world, row, now)
    world.clear_timer(TimerKind.ADMISSION, request.spec.request_id)
    if request.spec.once and request.spec.idempotency_key and world.mechanisms.claims:
        request.state = RequestState.CLAIMING
        world.emit(ClaimNeeded(request.spec.request_id))
    else:
        lifecycle.enqueue(world, request)
