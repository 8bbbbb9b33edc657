"""Tenants' rates as gateways hold them together, and what a request above one is answered. No I/O.

Owns no state: `coordination.rate_shares` counts. Does not ask for shares (`peers.share_asker`) nor
refuse (`gateway.callers.tenant_rates`).
"""

import math
from typing import NamedTuple

from pondtiller.coordination.rate_shares import WINDOW_SECONDS, RateTerms
from pondtiller.errors import ErrorKind
from pondtiller.routes.retry_after import after_rate

LEASE_SECONDS = 4.0
"""Of a share of a tenant's rate: longer than most changes of the leader take, so that those who
have shares go on meanwhile."""
SUBJECT_PREFIX = "tenant/"


def rate_terms(rate_per_second: float, excess: float) -> RateTerms:
    """Return how a tenant's rate is granted: whole requests in a window of a second.

    A rate below one a second is one request in a longer window.

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
    # An excess that comes out as 1.1 times 10 is 11, whatever the binary fraction says.
    total = math.floor(most + 1e-9)
    return RateTerms(total, total, LEASE_SECONDS)


def subject_of(tenant: str) -> str:
    """Return the name of a tenant's rate among all rates that are held together."""
    return SUBJECT_PREFIX + tenant


class RefusalInputs(NamedTuple):
    """What is known of a rate as a request above it is refused.

    Attributes
    ----------
    is_known
        Whether a leader has answered since the request came, or this gateway holds a share.
    free_at
        When a place of this gateway's share is free, on the steady clock; infinite without a share.
    window_seconds
        Of the rate.
    now
        The steady clock.
    """

    is_known: bool
    free_at: float
    window_seconds: float
    now: float


class RateRefusal(NamedTuple):
    """How a request above its tenant's rate is answered; it was not run.

    Attributes
    ----------
    kind
        Whether the rate is reached, or nobody could say.
    pause_seconds
        When the caller is to come back.
    """

    kind: ErrorKind
    pause_seconds: float


def rate_refusal(inputs: RefusalInputs) -> RateRefusal:
    """Return how a request is answered that got no place of its tenant's rate."""
    kind = ErrorKind.LIMIT_REACHED if inputs.is_known else ErrorKind.NOT_READY
    return RateRefusal(kind, after_rate(inputs.free_at, inputs.window_seconds, inputs.now))
