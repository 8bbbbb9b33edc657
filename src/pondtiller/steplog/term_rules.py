"""When a takeover is complete, how long a lease lasts, and when a leader steps down. No I/O.

Stateless: each rule is a function of its inputs. Relies on the lease that a replica grants
(`replica.LEASE_SECONDS`). When a gateway campaigns is decided in `gateway/leader/candidacy.py`.
"""

from collections.abc import Iterable
from typing import NamedTuple

from pondtiller.steplog.instructions import Phase, StepDownReason
from pondtiller.steplog.replica import LEASE_SECONDS

HEARTBEAT_SECONDS = 0.3
"""Longest time without a message from a leader to a replica that promised: a quarter of the lease,
which thus outlives two heartbeats that are late or lost."""

LEASE_MARGIN_SECONDS = 0.15
"""How much earlier than a replica a leader considers its lease over. Covers monotonic clocks of two
machines with different speeds, and what a leader still does after its last check of the lease. A
longer margin gives up leases that a late answer would still have renewed."""

TAKEOVER_SECONDS = 3.0
"""How long a takeover may make no progress before the candidate gives up. Counted from the last
progress: reading 1,568 values over a link of 100 Mbit/s took 1.2 s, longer than a lease, and with a
limit from the start, fourteen terms in 20 s served no step. Longer than two leases, for replicas
that are slow to read or to sync; a waiting candidate excludes others."""


class TermState(NamedTuple):
    """Inputs of the decision whether a term continues; times are monotonic seconds.

    Attributes
    ----------
    advanced_at
        When a takeover last made progress.
    lease_until
        Until when a write quorum excludes other leaders; minus infinity without one.
    awaits_renewal
        Whether an expired lease may still be renewed (`lease_renewal.py`).
    """

    phase: Phase
    advanced_at: float
    lease_until: float
    awaits_renewal: bool = False


def step_down_reason(state: TermState, now: float) -> StepDownReason | None:
    """Return why a leader or candidate must step down now; None if it continues."""
    if state.phase is Phase.IDLE:
        return None
    if state.phase is not Phase.LEADING:
        is_late = now > state.advanced_at + TAKEOVER_SECONDS
        return StepDownReason.TAKEOVER_TOO_LONG if is_late else None
    has_ended = now >= state.lease_until and not state.awaits_renewal
    return StepDownReason.LEASE_ENDED if has_ended else None


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


def must_step_down_on(refusal: RefusedPromise) -> bool:
    """Return whether a refused promise ends a term.

    A candidate without a read quorum gives up at any refusal, since another lease may last. Later
    only a higher epoch matters; a replica that follows a lower one is merely not available.
    """
    return refusal.replica_epoch > refusal.own_epoch or refusal.phase is Phase.PREPARING


def is_takeover_complete(state: TermState, has_unwritten: bool, now: float) -> bool:
    """Return whether a candidate leads: everything is written, and its lease is valid.

    Reading the log may take longer than the lease that its promises gave. If that has ended, the
    heartbeats in transit renew it.

    Parameters
    ----------
    has_unwritten
        Whether a value has not reached a write quorum yet.
    """
    return state.phase is Phase.REWRITING and not has_unwritten and now < state.lease_until


def lease_until(consented_at: Iterable[float], needed: int) -> float:
    """Return until when enough replicas exclude other leaders, in monotonic seconds.

    Parameters
    ----------
    consented_at
        For each synced member, the sending time of the last message that it accepted. The sending
        time counts, since the replica's lease started later.
    needed
        Members whose lease must last: a write quorum.
    """
    latest_first = sorted(consented_at, reverse=True)
    if len(latest_first) < needed:
        return float("-inf")
    return latest_first[needed - 1] + LEASE_SECONDS - LEASE_MARGIN_SECONDS
