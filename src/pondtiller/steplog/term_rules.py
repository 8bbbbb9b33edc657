"""When a leader's takeover is over, how long its lease lasts, and when it stands down. No I/O.

Owns nothing: each rule is a function of its inputs. Relies on the lease that a replica grants
(`replica.LEASE_SECONDS`). When a gateway stands for leader is not decided here, but in
`gateway/leader/standing.py`.
"""

from collections.abc import Iterable
from typing import NamedTuple

from pondtiller.steplog.instructions import Phase, StandDown
from pondtiller.steplog.replica import LEASE_SECONDS

HEARTBEAT_SECONDS = 0.3
"""Longest time without a message from a leader to a replica that promised.

Chosen, not measured: a quarter of the lease, so that a lease outlives two heartbeats that are
late or lost."""

LEASE_MARGIN_SECONDS = 0.15
"""How much earlier than a replica a leader takes its lease for over.

Answers steady clocks of two machines that run at different speeds, and what a leader still does
after its last look at the lease. Chosen, not measured: an eighth of the lease; a longer margin
gives up leases that a late answer would still have renewed."""

TAKEOVER_SECONDS = 3.0
"""How long a takeover may go without an answer that brings it on before the candidate gives up.

Counted from the last progress, not from the start: reading 1,568 values over a link of 100 Mbit/s
took 1.2 s, longer than a lease, and fourteen terms in 20 s served no step. The figure itself is
chosen, not measured: more than two leases, for replicas that are slow to read or to sync; while a
candidate waits, it holds others off."""


class TermState(NamedTuple):
    """What decides whether a term goes on; all times in seconds of the steady clock.

    Attributes
    ----------
    advanced_at
        When a takeover last made progress.
    lease_until
        Until when a write quorum keeps others from leading; minus infinity without one.
    awaits_renewal
        Whether a lease that has ended may still be renewed (`lease_renewal.py`).
    """

    phase: Phase
    advanced_at: float
    lease_until: float
    awaits_renewal: bool = False


def reason_to_stand_down(state: TermState, now: float) -> StandDown | None:
    """Return why a leader or candidate has to stand down at a moment; None while it goes on."""
    if state.phase is Phase.IDLE:
        return None
    if state.phase is not Phase.LEADING:
        is_late = now > state.advanced_at + TAKEOVER_SECONDS
        return StandDown.TAKEOVER_TOO_LONG if is_late else None
    has_ended = now >= state.lease_until and not state.awaits_renewal
    return StandDown.LEASE_ENDED if has_ended else None


class RefusedPromise(NamedTuple):
    """A replica that did not promise.

    Attributes
    ----------
    replica_epoch
        Highest epoch that the replica promised.
    own_epoch
        Epoch of the candidate or leader.
    """

    phase: Phase
    replica_epoch: int
    own_epoch: int


def must_stand_down_on(refusal: RefusedPromise) -> bool:
    """Return whether a refused promise ends a term.

    A candidate that has no read quorum yet gives up at any refusal: another lease may last. Later
    only a higher epoch counts; a replica that follows a lower one is asked in vain, no more.
    """
    return refusal.replica_epoch > refusal.own_epoch or refusal.phase is Phase.PREPARING


def is_takeover_over(state: TermState, has_unwritten: bool, now: float) -> bool:
    """Return whether a candidate leads: everything is written, and its lease still lasts.

    Reading the log may take longer than the lease that its promises gave. Where it has ended, the
    heartbeats that are under way renew it.

    Parameters
    ----------
    has_unwritten
        Whether a value is still on its way to a write quorum.
    """
    return state.phase is Phase.REWRITING and not has_unwritten and now < state.lease_until


def lease_until(consented_at: Iterable[float], needed: int) -> float:
    """Return until when enough replicas keep others from leading, in seconds of the steady clock.

    Parameters
    ----------
    consented_at
        For each synced member, when the last message was sent that it answered with consent. The
        time of sending counts, as the replica's lease began later.
    needed
        Members of which a lease has to last: a write quorum.
    """
    latest_first = sorted(consented_at, reverse=True)
    if len(latest_first) < needed:
        return float("-inf")
    return latest_first[needed - 1] + LEASE_SECONDS - LEASE_MARGIN_SECONDS
