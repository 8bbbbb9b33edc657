"""Changes in a request's life that several systems make: queue, complete, fail.

The only place where a request ends, so that counts, claims, timers and places are freed once and an
error never says `not run` of a request that may have run. Owns no state of its own.
"""

from pondtiller import wire
from pondtiller.coordination.registers.proposer import RegisterOutcome
from pondtiller.errors import ErrorKind, Failure, Ran
from pondtiller.hashing import digest
from pondtiller.serve.core import constants
from pondtiller.serve.core.entities import FinishedRequest, Request, RequestState
from pondtiller.serve.core.events import RequestFinished, RequestQueued
from pondtiller.serve.core.instructions import CancelAttempt, FailAnswer, FinishAnswer
from pondtiller.serve.core.timers import TimerKind
from pondtiller.serve.core.world import OutcomeHandler, World
from pondtiller.serve.systems import limits
from pondtiller.serve.systems.registers import change_register

KEPT_LATENCIES = 256
"""Last latencies of a row, of which the status shows quantiles. Chosen, not measured."""


def enqueue(world: World, request: Request, first: bool = False) -> None:
    """Let a request wait for an engine, at the front of its row where `first`."""
    request.state = RequestState.QUEUED
    world.row_counts(request.spec.row).queued += 1
    world.queue.push(request.spec.row, request.spec.request_id, first)
    world.emit(RequestQueued(request.spec.request_id))


def drop_attempt(world: World, request: Request, cancel: bool) -> None:
    """End the request's attempt, if it has one, and free its place on the engine."""
    attempt = world.attempts.pop(request.attempt_id, None)
    request.attempt_id = ""
    if attempt is None:
        return
    world.clear_timer(TimerKind.ATTEMPT_SILENCE, attempt.attempt_id)
    engine = world.engines.get(attempt.engine)
    if engine is not None:
        engine.own -= 1
        engine.own_urgent -= int(attempt.urgent)
    if cancel:
        world.do(CancelAttempt(attempt.attempt_id))


def complete(world: World, request: Request, now: float) -> None:
    """End a request with its whole answer."""
    if request.holds_claim and request.state is not RequestState.RECORDING:
        request.state = RequestState.RECORDING
        _record_answer(world, request, now)
        return
    _answer(world, request, now)


def _answer(world: World, request: Request, now: float) -> None:
    spec = request.spec
    for row in spec.rows:
        counts = world.row_counts(row)
        counts.answered += 1
        counts.tokens += request.token_count
        counts.latencies.append(now - request.arrived_at)
        del counts.latencies[:-KEPT_LATENCIES]
    _remove(world, request, now)
    if spec.is_rollout:
        world.emit(RequestFinished(FinishedRequest(request, None)))
        return
    text = request.text()
    world.do(
        FinishAnswer(
            spec.request_id,
            text,
            request.token_count,
            request.finish_reason,
            tuple(request.segments),
            digest(text),
        )
    )


def fail(world: World, request: Request, failure: Failure, now: float) -> None:
    """End a request with an error that says truthfully whether it ran."""
    failure = truthful(world, request, failure)
    for row in request.spec.rows:
        counts = world.row_counts(row)
        if failure.answer.ran is Ran.NO:
            counts.refused += 1
        else:
            counts.failed += 1
    drop_attempt(world, request, cancel=True)
    _settle_claim(world, request, now)
    _remove(world, request, now)
    if request.spec.is_rollout:
        world.emit(RequestFinished(FinishedRequest(request, failure)))
        return
    world.do(FailAnswer(request.spec.request_id, failure, request.reached_engine))


def truthful(world: World, request: Request, failure: Failure) -> Failure:
    """Return the failure, changed where it would say `not run` of a request that may have."""
    if not request.reached_engine or not world.mechanisms.truthful_refusals:
        return failure
    if request.spec.once:
        return Failure(ErrorKind.OUTCOME_UNKNOWN, failure.detail)
    if failure.answer.ran is not Ran.NO:
        return failure
    if failure.kind is ErrorKind.EXPIRED_IN_QUEUE:
        return Failure(ErrorKind.DEADLINE_EXCEEDED, failure.detail)
    return Failure(ErrorKind.ENGINE_FAILED, failure.detail)


def _remove(world: World, request: Request, now: float) -> None:
    spec = request.spec
    if request.state is RequestState.QUEUED:
        world.queue.discard(spec.row, spec.request_id)
        world.row_counts(spec.row).queued -= 1
    for kind in (TimerKind.REQUEST_DEADLINE, TimerKind.ADMISSION, TimerKind.FOLLOW_CLAIM):
        world.clear_timer(kind, spec.request_id)
    for row in request.held_rows:
        world.row_counts(row).in_flight -= 1
        limits.pass_on(world, row, now)
    request.held_rows.clear()
    del world.requests[spec.request_id]


def claim_key(request: Request) -> str:
    """Return the register under which a request that must not be repeated is claimed."""
    spec = request.spec
    return f"{constants.CLAIM_PREFIX}{spec.row}/{spec.caller}/{spec.idempotency_key}"


def own_claim(world: World, request: Request, state: int) -> wire.Claim:
    """Return this daemon's claim of a request in a given state."""
    return wire.Claim(
        state=wire.ClaimState(state),
        holder=world.name,
        holder_incarnation=world.incarnation,
        request_id=request.spec.request_id,
        fingerprint=request.spec.fingerprint,
    )


def _record_answer(world: World, request: Request, now: float) -> None:
    claim = own_claim(world, request, wire.ClaimState.CLAIM_DONE)
    text = request.text()
    claim.answer_tokens = request.token_count
    claim.finish_reason = request.finish_reason
    if len(text.encode("utf-8", "surrogatepass")) <= constants.KEPT_ANSWER_BYTES:
        claim.answer = text
    request_id = request.spec.request_id

    def answer(world: World, outcome: RegisterOutcome, now: float) -> None:
        # Answered whether or not the record was kept: the answer is whole either way.
        recorded = world.requests.get(request_id)
        if recorded is not None:
            _answer(world, recorded, now)

    replace_own_claim(world, request, claim, now, answer)


def _settle_claim(world: World, request: Request, now: float) -> None:
    """Leave behind what a later request with the same key must know."""
    if not request.spec.once or not request.spec.idempotency_key:
        return
    if request.state is RequestState.FOLLOWING:
        return
    state = wire.ClaimState.CLAIM_RELEASED
    if request.reached_engine:
        state = wire.ClaimState.CLAIM_LOST
    replace_own_claim(world, request, own_claim(world, request, state), now, ignore_outcome)


def ignore_outcome(world: World, outcome: RegisterOutcome, now: float) -> None:
    """Take the outcome of an operation that nobody waits for."""


def replace_own_claim(
    world: World,
    request: Request,
    claim: wire.Claim,
    now: float,
    handler: OutcomeHandler,
) -> None:
    """Put `claim` in the place of this request's own; another request's is left alone."""
    new = bytes(claim)

    def change(current: bytes) -> bytes:
        if not current:
            return current
        known = wire.Claim().parse(current)
        return new if known.request_id == claim.request_id else current

    change_register(
        world,
        claim_key(request),
        change,
        now,
        constants.CLAIM_TIMEOUT_SECONDS,
        handler,
    )
