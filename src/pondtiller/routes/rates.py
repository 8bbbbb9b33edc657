"""Tenants' request rates as shared by all gateways, and rejection of requests above them. No I/O.

Stateless: `coordination.rate_shares` counts, `peers.share_asker` requests shares, and
`gateway.callers.tenant_rates` rejects requests.
"""

import math
from typing import NamedTuple

from pondtiller.coordination.rate_shares import WINDOW_SECONDS, RateTerms
from pondtiller.errors import ErrorKind
from pondtiller.routes.retry_after import after_rate

LEASE_SECONDS = 4.0
"""Lease of a share of a tenant's rate. Longer than most changes of the leader take, so that holders
of shares can continue meanwhile."""
SUBJECT_PREFIX = "tenant/"


def rate_terms(rate_per_second: float, excess: float) -> RateTerms:
    """Return how a tenant's rate is granted: whole requests in a window of one second.

    A rate below one per second becomes one request in a longer window.

    Parameters
    ----------
    excess
        Part by which all daemons together may exceed the rate.
    """
    most = max(0.0, rate_per_second) * (1.0 + excess)
    if most <= 0:
        return RateTerms(0, 0, LEASE_SECONDS)
    if most < 1.0:
        return RateTerms(1, 1, LEASE_SECONDS, WINDOW_SECONDS / most)
        # Absorbs binary rounding: 1.1 times 10 must give 11.
    total = math.floor(most + 1e-9)
    return RateTerms(total, total, LEASE_SECONDS)


def subject_of(tenant: str) -> str:
    """Return the key of a tenant's rate among all shared rates."""
    return SUBJECT_PREFIX + tenant


class RefusalInputs(NamedTuple):
    """What is known about a rate when a request above it is rejected.

    Attributes
    ----------
    is_known
        Whether a leader has answered since the request arrived, or this gateway holds a share.
    free_at
        When this gateway's share allows the next request, in monotonic time; infinite without a
        share.
    window_seconds
        Window of the rate.
    now
        Monotonic time.
    """

    is_known: bool
    free_at: float
    window_seconds: float
    now: float


class RateRefusal(NamedTuple):
    """Rejection of a request above its tenant's rate; it was not run.

    Attributes
    ----------
    kind
        Whether the rate is reached, or its state is unknown.
    pause_seconds
        Seconds after which the caller should retry.
    """

    kind: ErrorKind
    pause_seconds: float


def rate_refusal(inputs: RefusalInputs) -> RateRefusal:
    """Return how to answer a request that exceeds its tenant's rate."""
    kind = ErrorKind.LIMIT_REACHED if inputs.is_known else ErrorKind.NOT_READY
    return RateRefusal(kind, after_rate(inputs.free_at, inputs.window_seconds, inputs.now))
