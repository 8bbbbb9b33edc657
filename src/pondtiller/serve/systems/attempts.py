"""Attempts on engines: takes chunks in order, checks versions, retries what failed.

Reads and ends rows of `World.attempts`; `dispatch` makes them. A request that must not be repeated
is not tried again once an engine may have been reached. Retries of live requests come from the
row's budget; those of samples go on until their deadline.
"""

from pondtiller.coordination.retries import RetryBudget
from pondtiller.errors import ErrorKind, Failure, Ran
from pondtiller.hashing import digest
from pondtiller.serve.core import constants
from pondtiller.serve.core.entities import Attempt, Request
from pondtiller.serve.core.events import AttemptFailed, ChunkArrived
from pondtiller.serve.core.instructions import SendText
from pondtiller.serve.core.timers import TimerKind
from pondtiller.serve.core.tokens import Chunk, extend_segments
from pondtiller.serve.core.world import World
from pondtiller.serve.systems import lifecycle
from pondtiller.serve.systems.peers import note_leaving


def run(world: World, now: float) -> None:
    """Take what engines sent, and give up attempts that fell silent."""
    for arrived in world.batch.of(ChunkArrived):
        attempt = world.attempts.get(arrived.attempt_id)
        if attempt is not None:
            _take_chunk(world, attempt, arrived.chunk, now)
    for failed in world.batch.of(AttemptFailed):
        attempt = world.attempts.get(failed.attempt_id)
        if attempt is not None:
            _take_failure(world, attempt, failed, now)
    for attempt_id in world.due_keys(TimerKind.ATTEMPT_SILENCE):
        attempt = world.attempts.get(attempt_id)
        if attempt is not None:
            silence = AttemptFailed(attempt_id, Ran.UNKNOWN, "the engine fell silent")
            _take_failure(world, attempt, silence, now)


def _take_chunk(world: World, attempt: Attempt, chunk: Chunk, now: float) -> None:
    request = world.requests[attempt.request_id]
    due = now + constants.ATTEMPT_SILENCE_SECONDS
    world.set_timer(TimerKind.ATTEMPT_SILENCE, due, attempt.attempt_id)
    engine = world.engines.get(attempt.engine)
    if engine is not None and chunk.token_count:
        engine.versions[request.spec.model] = chunk.version
    problem = _problem(world, request, chunk)
    if problem is not None:
        _retry_elsewhere(world, request, attempt, problem, now)
        return
    if chunk.first_token + chunk.token_count <= request.token_count and not chunk.finish_reason:
        return
    _append(world, request, chunk)
    if chunk.finish_reason:
        _finish(world, request, attempt, chunk, now)


def _problem(world: World, request: Request, chunk: Chunk) -> str | None:
    """Return what is wrong with a chunk, or None where it continues the answer."""
    if chunk.token_count and chunk.version < request.spec.minimum_version:
        return "the engine's weights are too old"
    if chunk.first_token != request.token_count and world.mechanisms.offset_checks:
        return "the engine's chunk does not continue the answer"
    return None


def _append(world: World, request: Request, chunk: Chunk) -> None:
    if not chunk.token_count:
        return
    request.token_count += chunk.token_count
    request.parts.append(chunk.text)
    if world.mechanisms.version_segments or not request.segments:
        extend_segments(request.segments, chunk)
    if request.spec.stream and not request.spec.is_rollout:
        world.do(SendText(request.spec.request_id, chunk.text))


def _finish(world: World, request: Request, attempt: Attempt, chunk: Chunk, now: float) -> None:
    if chunk.digest != digest(request.text()) and world.mechanisms.offset_checks:
        _start_over(world, request, attempt, now)
        return
    request.finish_reason = chunk.finish_reason
    engine = world.engines.get(attempt.engine)
    if engine is not None:
        engine.breaker.note_success()
    lifecycle.drop_attempt(world, request, cancel=False)
    world.set_timer(TimerKind.DISPATCH, now)
    lifecycle.complete(world, request, now)


def _start_over(world: World, request: Request, attempt: Attempt, now: float) -> None:
    """Make the whole answer again where nothing of it has been passed on."""
    detail = "the answer does not match the engine's digest"
    if request.spec.stream and not request.spec.is_rollout:
        lifecycle.fail(world, request, Failure(ErrorKind.ENGINE_FAILED, detail), now)
        return
    request.parts.clear()
    request.segments.clear()
    request.token_count = 0
    _retry_elsewhere(world, request, attempt, detail, now)


def _retry_elsewhere(
    world: World, request: Request, attempt: Attempt, detail: str, now: float
) -> None:
    """Cancel an attempt whose engine is well but whose output cannot be used."""
    lifecycle.drop_attempt(world, request, cancel=True)
    _retry(world, request, attempt.engine, detail, now)


def _take_failure(world: World, attempt: Attempt, failed: AttemptFailed, now: float) -> None:
    request = world.requests[attempt.request_id]
    engine = world.engines.get(attempt.engine)
    if engine is not None and not (failed.engine_leaving or failed.engine_busy):
        engine.breaker.note_failure(now)
        if failed.ran is Ran.NO:
            # It does not even take connections: no more work until a poll is answered.
            engine.failed_polls = constants.ENGINE_DOWN_AFTER_FAILED_POLLS
    if engine is not None and failed.engine_leaving:
        note_leaving(world, engine.name, engine.generation)
    if failed.ran is Ran.NO:
        request.reached_engine = attempt.reached_before
    silent = failed.detail.endswith("silent")
    lifecycle.drop_attempt(world, request, cancel=silent)
    world.set_timer(TimerKind.DISPATCH, now)
    if failed.ran is Ran.NO and request.attempts < constants.MAXIMUM_ATTEMPTS:
        _requeue_refused(world, request, attempt.engine, failed.engine_busy)
        return
    _retry(world, request, attempt.engine, failed.detail, now)


def _requeue_refused(world: World, request: Request, engine: str, busy: bool) -> None:
    """Queue again what an engine refused; this is no retry, for nothing has run."""
    request.avoid = engine
    if busy:
        known = world.engines.get(engine)
        if known is not None:
            known.running = max(known.running, known.slots)
            known.reported_own = known.own
    lifecycle.enqueue(world, request, first=True)


def _retry(world: World, request: Request, engine: str, detail: str, now: float) -> None:
    if request.spec.once and request.reached_engine:
        lifecycle.fail(world, request, Failure(ErrorKind.OUTCOME_UNKNOWN, detail), now)
        return
    budget = world.budgets.setdefault(request.spec.row, RetryBudget(0.1))
    is_allowed = request.spec.is_rollout or (
        request.attempts < constants.MAXIMUM_ATTEMPTS and budget.take_retry()
    )
    if not is_allowed:
        kind = ErrorKind.ENGINE_FAILED if request.reached_engine else ErrorKind.NO_ENGINE
        lifecycle.fail(world, request, Failure(kind, detail), now)
        return
    request.avoid = engine
    lifecycle.enqueue(world, request, first=True)
