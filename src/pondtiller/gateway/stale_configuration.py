"""Notes in the log when a gateway's configuration may be older than it is allowed to be.

Owns only whether it was so at the last look. It decides nothing: requests are routed by the table
in force, however old it is.
"""

from collections.abc import Callable

from pondtiller.gateway.callers.table_in_force import TableInForce
from pondtiller.process import logs


class StaleConfigurationLog:
    """Writes a line when the configuration becomes older than its bound, and when it no longer is.

    Parameters
    ----------
    within_seconds
        From the acknowledgement of a change until it must be in force.
    reader
        Returns who is followed for the configuration: a replica's name, or `store`.
    """

    def __init__(
        self, in_force: TableInForce, within_seconds: float, reader: Callable[[], str]
    ) -> None:
        self._in_force = in_force
        self._within_seconds = within_seconds
        self._reader = reader
        self._is_stale = False

    def look(self) -> None:
        """Compare the age of what is known with the bound; nothing before the first table."""
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
