"""Requests that must not be repeated: claimed in a register before the first byte leaves.

A later request with the same key finds the claim and gets the stored answer, waits for
the one that runs, or an error which says that the outcome is unknown. It never runs a second time.
"""

from pondtiller import wire
from pondtiller.coordination.member import MemberStatus
from pondtiller.coordination.registers.proposer import OutcomeStatus, RegisterOutcome
from pondtiller.errors import ErrorKind, Failure
from pondtiller.serve.core import constants
from pondtiller.serve.core.entities import Request, RequestState
from pondtiller.serve.core.events import ClaimNeeded
from pondtiller.serve.core.timers import TimerKind
from pondtiller.serve.core.world import World
from pondtiller.serve.systems import lifecycle
from pondtiller.serve.systems.registers import change_register, is_available


def run(world: World, now: float) -> None:
    """Start claims of admitted requests and look again at claims of others."""
    for needed in world.batch.of(ClaimNeeded):
        request = world.requests.get(needed.request_id)
        if request is not None:
            _claim(world, request, now)
    for request_id in world.due_keys(TimerKind.FOLLOW_CLAIM):
        request = world.requests.get(request_id)
        if request is not None and request.state is RequestState.FOLLOWING:
            _claim(world, request, now)


def _claim(world: World, request: Request, now: float) -> None:
    if not is_available(world, lifecycle.claim_key(request)):
        detail = "too few replicas answer"
        lifecycle.fail(world, request, Failure(ErrorKind.CLAIMS_UNAVAILABLE, detail), now)
        return
    mine = bytes(lifecycle.own_claim(world, request, wire.ClaimState.CLAIM_RUNNING))

    def change(current: bytes) -> bytes:
        if not current:
            return mine
        known = wire.Claim().parse(current)
        return mine if known.state is wire.ClaimState.CLAIM_RELEASED else current

    request_id = request.spec.request_id

    def settle(world: World, outcome: RegisterOutcome, now: float) -> None:
        claimed = world.requests.get(request_id)
        if claimed is not None:
            _settle(world, claimed, outcome, now)
        elif _is_own(outcome, request_id):
            # The request ended while its claim was on the way, so it will never run.
            released = lifecycle.own_claim(world, request, wire.ClaimState.CLAIM_RELEASED)
            ignore = lifecycle.ignore_outcome
            lifecycle.replace_own_claim(world, request, released, now, ignore)

    timeout = constants.CLAIM_TIMEOUT_SECONDS
    change_register(world, lifecycle.claim_key(request), change, now, timeout, settle)


def _is_own(outcome: RegisterOutcome, request_id: str) -> bool:
    if outcome.status is not OutcomeStatus.COMMITTED:
        return False
    claim = wire.Claim().parse(outcome.value)
    return claim.request_id == request_id and claim.state is wire.ClaimState.CLAIM_RUNNING


def _settle(world: World, request: Request, outcome: RegisterOutcome, now: float) -> None:
    if outcome.status is OutcomeStatus.UNAVAILABLE:
        lifecycle.fail(world, request, Failure(ErrorKind.CLAIMS_UNAVAILABLE), now)
        return
    claim = wire.Claim().parse(outcome.value)
    if claim.request_id == request.spec.request_id:
        request.holds_claim = True
        lifecycle.enqueue(world, request)
        return
    request.state = RequestState.FOLLOWING
    if claim.fingerprint != request.spec.fingerprint:
        lifecycle.fail(world, request, Failure(ErrorKind.KEY_REUSED), now)
    elif claim.state is wire.ClaimState.CLAIM_DONE:
        _answer_again(world, request, claim, now)
    elif claim.state is wire.ClaimState.CLAIM_RUNNING and _holder_lives(world, claim):
        due = now + constants.CLAIM_POLL_SECONDS
        world.set_timer(TimerKind.FOLLOW_CLAIM, due, request.spec.request_id)
    else:
        failure = Failure(ErrorKind.OUTCOME_UNKNOWN, "the daemon that ran it was lost")
        lifecycle.fail(world, request, failure, now)


def _holder_lives(world: World, claim: wire.Claim) -> bool:
    member = world.membership.members.get(claim.holder)
    if member is None or member.incarnation != claim.holder_incarnation:
        return False
    return member.is_live or member.status is MemberStatus.LEAVING


def _answer_again(world: World, request: Request, claim: wire.Claim, now: float) -> None:
    if claim.answer_tokens and not claim.answer:
        failure = Failure(ErrorKind.OUTCOME_UNKNOWN, "it ran; its answer was too long to keep")
        lifecycle.fail(world, request, failure, now)
        return
    request.parts = [claim.answer]
    request.token_count = claim.answer_tokens
    request.finish_reason = claim.finish_reason
    lifecycle.complete(world, request, now)
