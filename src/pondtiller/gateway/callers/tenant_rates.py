"""Enforces tenants' rates: each request of a limited tenant first takes a place of a share.

Stateless: `ShareAsker` holds this gateway's shares, which a leader grants. What a rate allows, and
how a request above it is answered, is decided in `routes.rates`.
"""

from collections.abc import Callable

from pondtiller.coordination.rate_shares import HeldRate, RateTerms
from pondtiller.errors import Failure
from pondtiller.gateway.metrics import GatewayMetrics
from pondtiller.peers.share_asker import ShareAsker
from pondtiller.process import clock, logs
from pondtiller.routes.rates import RefusalInputs, rate_refusal, rate_terms, subject_of
from pondtiller.routes.table import RouteTable
from pondtiller.routes.tenants import TenantRow

WAIT_SECONDS = 0.25
"""Longest wait for a share: a leader in another region answers within 0.05 s, and a request that
will be rejected should not be delayed for long."""
MAX_WAIT_SHARE = 0.25
"""Part of a request's remaining time that it may wait for a share, if less than `WAIT_SECONDS`.
Applies only to requests due within 1 s, and leaves them most of their time to be served or
retried."""


class TenantRates:
    """Rates of tenants at one daemon.

    Parameters
    ----------
    excess
        Part by which all daemons together may exceed a rate.
    find_table
        Returns the table in force.
    """

    def __init__(
        self,
        excess: float,
        shares: ShareAsker,
        find_table: Callable[[], RouteTable | None],
        metrics: GatewayMetrics,
    ) -> None:
        self._excess = excess
        self._shares = shares
        self._find_table = find_table
        self._metrics = metrics

    def terms(self, tenant: str) -> RateTerms | None:
        """Return how a tenant's rate may be granted; None if it has no rate."""
        row = self._row(tenant)
        if row is None or row.rate_per_second is None:
            return None
        return rate_terms(row.rate_per_second, self._excess)

    def _row(self, tenant: str) -> TenantRow | None:
        table = self._find_table()
        return table.tenant_index.by_name.get(tenant) if table is not None else None

    async def admit(self, tenant: str, request: str, seconds: float) -> Failure | None:
        """Count a request against its tenant's rate; return a failure if it must not run now.

        Parameters
        ----------
        seconds
            Remaining time of the request.
        """
        terms = self.terms(tenant) if tenant else None
        if terms is None:
            return None
        held = self._shares.held(subject_of(tenant), terms)
        began = clock.monotonic()
        until = began + min(WAIT_SECONDS, seconds * MAX_WAIT_SHARE)
        if await self._shares.admit(held, until):
            self._metrics.rate_admitted += 1
            return None
        return self._refuse(tenant, request, held, began)

    def _refuse(self, tenant: str, request: str, held: HeldRate, began: float) -> Failure:
        """Reject a request as not run, and log it."""
        now = clock.monotonic()
        is_known = held.was_answered_since(began) or held.usable(now) > 0
        refusal = rate_refusal(
            RefusalInputs(is_known, held.free_at(now), held.terms.window_seconds, now)
        )
        self._metrics.rate_refused += 1
        logs.decision(
            "rate_refused",
            request=request,
            tenant=tenant,
            total=held.terms.total,
            share=held.usable(now),
            waited=now - began,
            known=is_known,
            pause=refusal.pause_seconds,
        )
        detail = "the tenant's rate"
        return Failure(refusal.kind, detail, retry_after_seconds=refusal.pause_seconds)
