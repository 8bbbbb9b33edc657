"""Logs when a gateway's configuration may be older than its bound.

Holds only whether that was so at the last check. It has no effect on routing: requests are routed
by the table in force, however old it is.
"""

from collections.abc import Callable

from pondtiller.gateway.callers.table_in_force import TableInForce
from pondtiller.process import logs


class StaleConfigurationLog:
    """Logs when the configuration becomes older than its bound, and when it no longer is.

    Parameters
    ----------
    within_seconds
        Time from the acknowledgement of a change until it must be in force.
    reader
        Returns the source of the configuration: a replica's name, or `store`.
    """

    def __init__(
        self, in_force: TableInForce, within_seconds: float, reader: Callable[[], str]
    ) -> None:
        self._in_force = in_force
        self._within_seconds = within_seconds
        self._reader = reader
        self._is_stale = False

    def check(self) -> None:
        """Compare the configuration's age with the bound; no-op before the first table."""
        version, age = self._in_force.read()
        is_stale = bool(version) and age > self._within_seconds
        if is_stale == self._is_stale:
            return
        self._is_stale = is_stale
        logs.decision(
            "configuration_stale" if is_stale else "configuration_fresh",
            version=version,
            age=age,
            within=self._within_seconds,
            reader=self._reader(),
        )
