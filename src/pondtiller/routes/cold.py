"""Which engines are cold, and how much all daemons together may send to them. No I/O.

An engine is cold while its entry in the store says so. An engine that failed here and has not
written an entry since may have restarted unnoticed: it counts as cold until it writes an entry, or
for the warm-up time of its service.

Holds what leaders reported about engines within the last second. Does not count requests:
`gateway.engines.cold_sends` requests shares of the rate for that.
"""

from collections.abc import Callable

from pondtiller.coordination.rate_shares import RateTerms
from pondtiller.routes.engines import Engine, EngineDirectory
from pondtiller.routes.table import RouteTable, ServiceRow

LEASE_SECONDS = 1.5
"""Lease of a share of a cold engine's rate; engines are cold for a few seconds only."""
QUIET_SECONDS = RateTerms(0, 0, LEASE_SECONDS).takeover_wait_seconds
"""How long a new leader grants only those parts of a cold engine's rate that are already held."""
COLD_REPORT_SECONDS = 1.0
"""How long an engine counts as cold after a better informed leader reported it as cold."""
MAX_DAEMON_SHARE = 0.75
"""Largest part of an engine's rate that one daemon may hold; the rest is left for others."""
SUBJECT_PREFIX = "cold/"


class ColdBound:
    """Bound on requests to a cold engine, by settings: its rate times `excess`, plus `slack`."""

    def __init__(self, excess: float, slack: float) -> None:
        self._excess = excess
        self._slack = slack

    def terms(self, row: ServiceRow) -> RateTerms:
        """Return how much of an engine's rate may be granted.

        No more than the rate that the engine can serve is granted. The bound is higher; the
        difference allows for requests that are delayed between being counted and being sent.
        """
        bound = int(row.cold_rate * self._excess + self._slack)
        total = min(bound, max(1, int(row.cold_rate)))
        return RateTerms(total, max(1, int(total * MAX_DAEMON_SHARE)), LEASE_SECONDS)


class ColdEngines:
    """Which engines are cold, as far as this daemon knows.

    Parameters
    ----------
    find_table
        Returns the table in force.
    """

    def __init__(
        self,
        engines: EngineDirectory,
        bound: ColdBound,
        find_table: Callable[[], RouteTable | None],
    ) -> None:
        self.engines = engines
        self._bound = bound
        self._find_table = find_table
        self._reported_until: dict[str, float] = {}

    def row(self, engine: Engine) -> ServiceRow | None:
        """Return the row of an engine's service; None if its cold engines need no rate limit."""
        table = self._find_table()
        row = table.services.get(engine.entry.service) if table is not None else None
        return row if row is not None and row.cold_rate > 0 else None

    def is_cold(self, engine: Engine, now: float) -> bool:
        """Return whether an engine may only get requests within a granted share now."""
        if now < engine.cold_until or self._is_reported(engine.identifier, now):
            return self.row(engine) is not None
        if engine.failed_at is None:
            return False
        row = self.row(engine)
        return row is not None and now < engine.failed_at + row.cold_seconds

    def is_cold_name(self, identifier: str, now: float) -> bool:
        """Return whether an engine is cold that this daemon may not know."""
        engine = self.engines.engines.get(identifier)
        if engine is None:
            return self._is_reported(identifier, now)
        return self.is_cold(engine, now)

    def note_cold_report(self, identifier: str, now: float) -> None:
        """Record that a leader reported an engine as cold."""
        self._reported_until[identifier] = now + COLD_REPORT_SECONDS

    def terms(self, identifier: str) -> RateTerms | None:
        """Return how much of an engine's rate may be granted; None for an unknown engine."""
        engine = self.engines.engines.get(identifier)
        row = self.row(engine) if engine is not None else None
        return self._bound.terms(row) if row is not None else None

    def cold_engines(self, now: float) -> list[Engine]:
        """Return the cold engines."""
        return [each for each in self.engines.engines.values() if self.is_cold(each, now)]

    def drop_expired(self, now: float) -> None:
        """Remove expired reports of leaders."""
        for identifier, until in list(self._reported_until.items()):
            if until <= now:
                del self._reported_until[identifier]

    def _is_reported(self, identifier: str, now: float) -> bool:
        return now < self._reported_until.get(identifier, now)


def subject_of(identifier: str) -> str:
    """Return the key of a cold engine's rate among all shared rates."""
    return SUBJECT_PREFIX + identifier
