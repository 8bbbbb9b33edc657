"""Notes in the log when a gateway's configuration may be older than it is allowed to be.

Owns only whether it was so at the last look. It decides nothing: requests are routed by the table
in force, however old it is.
"""

from collections.abc import Callable

from pondtiller.gateway.callers.table_in_force import TableInForce
from pondtiller.process import logs


class LateNews:
    """Writes a line when the configuration is not heard of within its bound, and when it is again.

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
        self._is_late = False

    def look(self) -> None:
        """Compare the age of what is known with the bound; nothing before the first table."""
        version, age = self._in_force.read()
        is_late = bool(version) and age > self._within_seconds
        if is_late == self._is_late:
            return
        self._is_late = is_late
        logs.decision(
            "configuration_unheard" if is_late else "configuration_heard",
            version=version,
            age=age,
            within=self._within_seconds,
            reader=self._reader(),
        )
