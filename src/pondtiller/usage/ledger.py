"""What a leader knows of all gateways' counts. No I/O.

Owns the counts of one term; what lasts is in the log (`reports.py`). Relies on counts that only
grow, so that one received twice does no harm.
"""

from collections.abc import Iterable
from typing import NamedTuple

from pondtiller.usage.meter import UseRow

GONE_SECONDS = 15.0
"""After this time without a report a gateway is not waited for: each reports once a window."""


class LedgerRow(NamedTuple):
    """A count as one start of a gateway reported it."""

    daemon: str
    incarnation: int
    window: int
    tenant: str
    requests: int


class HeardDaemon(NamedTuple):
    """What a daemon said of itself last.

    Attributes
    ----------
    complete_until
        Agreed time of day up to which its counts are final.
    at
        When it said so, on the leader's steady clock.
    """

    complete_until: float
    at: float


class LedgerKey(NamedTuple):
    """Whose count it is: a start of a daemon, and a tenant."""

    daemon: str
    incarnation: int
    tenant: str


class UseLedger:
    """The highest count of each row that was reported; they are added up at the end of a window."""

    def __init__(self) -> None:
        self.daemons: dict[str, HeardDaemon] = {}
        self._windows: dict[int, dict[LedgerKey, int]] = {}

    def take(self, rows: Iterable[LedgerRow]) -> list[LedgerRow]:
        """Take counts; return those that are news. A lower count than a known one is late."""
        news: list[LedgerRow] = []
        for row in rows:
            window = self._windows.setdefault(row.window, {})
            key = LedgerKey(row.daemon, row.incarnation, row.tenant)
            if row.requests > window.get(key, 0):
                window[key] = row.requests
                news.append(row)
        return news

    def told(
        self,
        daemon: str,
        incarnation: int,
        complete_until: float,
        rows: Iterable[UseRow],
        now: float,
    ) -> list[LedgerRow]:
        """Take what a daemon tells; return what is news."""
        self.daemons[daemon] = HeardDaemon(complete_until, now)
        return self.take(LedgerRow(daemon, incarnation, *row) for row in rows)

    def is_complete(self, until: float, now: float) -> bool:
        """Return whether all gateways that still live have reported what they began until then."""
        return all(
            each.complete_until >= until
            for each in self.daemons.values()
            if now < each.at + GONE_SECONDS
        )

    def totals(self, window: int) -> dict[str, int]:
        """Return how many requests of each tenant began in a window."""
        found: dict[str, int] = {}
        for key, count in sorted(self._windows.get(window, {}).items()):
            found[key.tenant] = found.get(key.tenant, 0) + count
        return found

    def windows(self) -> list[int]:
        """Return the windows of which something is known, oldest first."""
        return sorted(self._windows)

    def forget(self, until_window: int) -> None:
        """Drop all windows up to one, which are reported."""
        for window in [each for each in self._windows if each <= until_window]:
            del self._windows[window]
