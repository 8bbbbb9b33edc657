"""Which engines are cold, and what all daemons together may send them. No I/O.

An engine is cold while its entry says so. One that failed here and has not written an entry since
may have started anew without this daemon's knowing: it is taken for cold until it writes one, or
as long as a start of its service lasts.

Owns what leaders said of engines within the last second. Does not count what is sent:
`gateway.engines.cold_sends` takes shares for that.
"""

from collections.abc import Callable

from pondtiller.coordination.rate_shares import RateTerms
from pondtiller.routes.engines import Engine, EngineDirectory
from pondtiller.routes.table import RouteTable, ServiceRow

LEASE_SECONDS = 1.5
"""Of a share of a cold engine's rate: engines are cold for a few seconds only."""
QUIET_SECONDS = RateTerms(0, 0, LEASE_SECONDS).quiet_seconds
"""How long a new leader grants nothing of a cold engine's rate that is not held already."""
TOLD_SECONDS = 1.0
"""How long an engine counts as cold after a leader that knows more said so."""
MOST_OF_ONE = 0.75
"""Part of an engine's rate that one daemon may hold: the rest is for others' requests."""
SUBJECT_PREFIX = "cold/"


class ColdBound:
    """What a cold engine may get, by settings: its rate times `excess`, and `slack` requests."""

    def __init__(self, excess: float, slack: float) -> None:
        self._excess = excess
        self._slack = slack

    def terms(self, row: ServiceRow) -> RateTerms:
        """Return what may be granted of an engine's rate.

        An engine bears its rate, and the bound lies above that: what lies between is the margin
        for a request that waits between its count and the wire.
        """
        bound = int(row.cold_rate * self._excess + self._slack)
        total = min(bound, max(1, int(row.cold_rate)))
        return RateTerms(total, max(1, int(total * MOST_OF_ONE)), LEASE_SECONDS)


class ColdEngines:
    """Which engines are cold, as this daemon knows it.

    Parameters
    ----------
    find_table
        Returns the rows in force.
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
        self._told_until: dict[str, float] = {}

    def row(self, engine: Engine) -> ServiceRow | None:
        """Return the row of an engine's service; None where its engines need no care."""
        table = self._find_table()
        row = table.services.get(engine.entry.service) if table is not None else None
        return row if row is not None and row.cold_rate > 0 else None

    def is_cold(self, engine: Engine, now: float) -> bool:
        """Return whether an engine gets no more than its share of requests now."""
        if now < engine.cold_until or self._is_told(engine.identifier, now):
            return self.row(engine) is not None
        if engine.failed_at is None:
            return False
        row = self.row(engine)
        return row is not None and now < engine.failed_at + row.cold_seconds

    def is_cold_name(self, identifier: str, now: float) -> bool:
        """Return whether an engine, which may not be known here, is cold."""
        engine = self.engines.engines.get(identifier)
        if engine is None:
            return self._is_told(identifier, now)
        return self.is_cold(engine, now)

    def told(self, identifier: str, now: float) -> None:
        """Take that a leader takes an engine for cold."""
        self._told_until[identifier] = now + TOLD_SECONDS

    def terms(self, identifier: str) -> RateTerms | None:
        """Return what may be granted of an engine's rate; None where it is not known here."""
        engine = self.engines.engines.get(identifier)
        row = self.row(engine) if engine is not None else None
        return self._bound.terms(row) if row is not None else None

    def cold(self, now: float) -> list[Engine]:
        """Return the engines that are cold."""
        return [each for each in self.engines.engines.values() if self.is_cold(each, now)]

    def keep_house(self, now: float) -> None:
        """Forget what leaders said of engines some time ago."""
        for identifier, until in list(self._told_until.items()):
            if until <= now:
                del self._told_until[identifier]

    def _is_told(self, identifier: str, now: float) -> bool:
        return now < self._told_until.get(identifier, now)


def subject_of(identifier: str) -> str:
    """Return the name of a cold engine's rate among all rates that are held together."""
    return SUBJECT_PREFIX + identifier
