"""Tenants' rates as all daemons hold them together. No I/O."""

import math

from pondtiller.coordination.rate_shares import WINDOW_SECONDS, RateTerms

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
