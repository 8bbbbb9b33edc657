"""A leader's record of all gateways' counts. No I/O.

Holds the counts of one term; the durable part is in the log (`reports.py`). Relies on counts that
only grow, so that a count received twice does no harm.
"""

from collections.abc import Iterable
from typing import NamedTuple

from pondtiller.usage.meter import UseRow

DAEMON_GONE_SECONDS = 15.0
"""Time without a report after which a gateway is not waited for: each reports once per window."""


class LedgerRow(NamedTuple):
    """A count as reported by one incarnation of a gateway."""

    daemon: str
    incarnation: int
    window: int
    tenant: str
    requests: int


class ReportedDaemon(NamedTuple):
    """A daemon's latest report.

    Attributes
    ----------
    complete_until
        Agreed wall-clock time up to which its counts are final.
    at
        When it was received, on the leader's monotonic clock.
    """

    complete_until: float
    at: float


class LedgerKey(NamedTuple):
    """Whose count it is: an incarnation of a daemon, and a tenant."""

    daemon: str
    incarnation: int
    tenant: str


class UseLedger:
    """The highest reported count of each row; they are summed up at the end of a window."""

    def __init__(self) -> None:
        self.daemons: dict[str, ReportedDaemon] = {}
        self._windows: dict[int, dict[LedgerKey, int]] = {}

    def take(self, rows: Iterable[LedgerRow]) -> list[LedgerRow]:
        """Record counts; return the new ones. A lower count than a known one is late."""
        news: list[LedgerRow] = []
        for row in rows:
            window = self._windows.setdefault(row.window, {})
            key = LedgerKey(row.daemon, row.incarnation, row.tenant)
            if row.requests > window.get(key, 0):
                window[key] = row.requests
                news.append(row)
        return news

    def report(
        self,
        daemon: str,
        incarnation: int,
        complete_until: float,
        rows: Iterable[UseRow],
        now: float,
    ) -> list[LedgerRow]:
        """Record a daemon's report; return the new counts."""
        self.daemons[daemon] = ReportedDaemon(complete_until, now)
        return self.take(LedgerRow(daemon, incarnation, *row) for row in rows)

    def is_complete(self, until: float, now: float) -> bool:
        """Return whether all live gateways have reported everything that started until then."""
        return all(
            each.complete_until >= until
            for each in self.daemons.values()
            if now < each.at + DAEMON_GONE_SECONDS
        )

    def totals(self, window: int) -> dict[str, int]:
        """Return how many requests of each tenant started in a window."""
        found: dict[str, int] = {}
        for key, count in sorted(self._windows.get(window, {}).items()):
            found[key.tenant] = found.get(key.tenant, 0) + count
        return found

    def windows(self) -> list[int]:
        """Return the windows with counts, oldest first."""
        return sorted(self._windows)

    def forget(self, until_window: int) -> None:
        """Drop all windows up to one, which are reported."""
        for window in [each for each in self._windows if each <= until_window]:
            del self._windows[window]
