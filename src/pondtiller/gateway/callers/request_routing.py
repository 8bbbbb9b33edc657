"""Row and tenant of a request, or the reason for its rejection. No I/O.

Reads the table in force. Relies on `platform.requests` for parsed requests and on `KeyFreshness`
for whether keys may be trusted. Does not choose an engine (`routes.engine_choice`) or count
requests against a rate (`tenant_rates.py`); rejections are logged by `log_refusal`.
"""

from collections.abc import Callable
from dataclasses import replace
from enum import Enum, auto
from typing import NamedTuple

from result import Err, Ok, Result

from pondtiller.errors import ErrorKind, Failure
from pondtiller.gateway.callers.table_in_force import TableInForce
from pondtiller.platform.requests import CallerRequest
from pondtiller.routes.table import RequestKind, RouteRow, RouteTable
from pondtiller.routes.topology import Topology

STEPS_LABEL = "step"
"""Label, in place of a row, of metrics for requests about submitted steps."""


class Reason(Enum):
    """Why a request is rejected before any processing."""

    NO_TABLE = auto()
    NO_ROUTE = auto()
    KEYS_TOO_OLD = auto()
    UNKNOWN_KEY = auto()
    NO_COMMON_HOME = auto()
    STEP_LEAVES_HOMES = auto()


HOME_REASONS = {
    Reason.NO_COMMON_HOME: "the row and the tenant have no home in common",
    Reason.STEP_LEAVES_HOMES: "a step cannot be kept inside its homes",
}
"""Text about a rejection because of homes, for the log line and the answer."""


class Refusal(NamedTuple):
    """A rejected request.

    Attributes
    ----------
    failure
        Answer to the caller.
    label
        Row under which the metric counts it; empty if no row was found.
    version
        Version of the table that decided; 0 if there is none.
    homes
        Regions that the request is restricted to; empty unless they are the reason.
    """

    reason: Reason
    failure: Failure
    label: str = ""
    version: int = 0
    homes: frozenset[str] = frozenset()


class RoutedRequest(NamedTuple):
    """A request that is accepted.

    Attributes
    ----------
    route
        Row that serves it, with the home regions that row and tenant have in common.
    tenant
        Its tenant; empty on rows that need no key.
    """

    route: RouteRow
    tenant: str


class RequestRouter:
    """Decides by the table in force.

    Parameters
    ----------
    are_keys_fresh
        Returns whether the keys of the table may be trusted now.
    """

    def __init__(
        self, in_force: TableInForce, places: Topology, are_keys_fresh: Callable[[], bool]
    ) -> None:
        self._in_force = in_force
        self._places = places
        self._are_keys_fresh = are_keys_fresh

    def route(self, request: CallerRequest) -> Result[RoutedRequest, Refusal]:
        """Return the row and the tenant of a live request, or of a submitted step."""
        table = self._in_force.table
        if table is None:
            return Err(Refusal(Reason.NO_TABLE, Failure(ErrorKind.NOT_READY)))
        route = table.find(request.host, request.path)
        if route is None:
            failure = Failure(ErrorKind.NOT_FOUND)
            return Err(Refusal(Reason.NO_ROUTE, failure, version=table.version))
        owner = self._owner(request, table, route)
        if isinstance(owner, Err):
            return owner
        return self._restrict_to_homes(request, table, route, owner.ok_value)

    def step_owner(self, request: CallerRequest) -> Result[str, Refusal]:
        """Return the tenant whose steps a request may access; empty for steps without a tenant."""
        table = self._in_force.table
        if table is None:
            return Err(Refusal(Reason.NO_TABLE, Failure(ErrorKind.NOT_READY), STEPS_LABEL))
        if request.key_digest is None and table.has_public_steps(request.host):
            return Ok("")
        return self._tenant(request, table, STEPS_LABEL) if table.tenants else Ok("")

    def _owner(
        self, request: CallerRequest, table: RouteTable, route: RouteRow
    ) -> Result[str, Refusal]:
        """Return the tenant of a request; empty on rows that need no key."""
        return self._tenant(request, table, route.name) if table.needs_key(route) else Ok("")

    def _tenant(
        self, request: CallerRequest, table: RouteTable, label: str
    ) -> Result[str, Refusal]:
        """Return the tenant of the key in a request.

        Keys that may have been revoked are rejected as not ready, not as unknown: a gateway with a
        newer table may serve the same request.
        """
        if not self._are_keys_fresh():
            failure = Failure(ErrorKind.NOT_READY, "keys may have changed")
            return Err(Refusal(Reason.KEYS_TOO_OLD, failure, label, table.version))
        digest = request.key_digest
        tenant = table.tenant_index.find(digest) if digest is not None else None
        if tenant is None:
            failure = Failure(ErrorKind.UNKNOWN_KEY)
            return Err(Refusal(Reason.UNKNOWN_KEY, failure, label, table.version))
        return Ok(tenant.name)

    def _restrict_to_homes(
        self, request: CallerRequest, table: RouteTable, route: RouteRow, tenant: str
    ) -> Result[RoutedRequest, Refusal]:
        """Restrict a row to the homes that it shares with the tenant; reject what may leave them.

        A step is sent to the leader, to the members of the replica group and to runners, which may
        be in any region: it is accepted only if all regions are homes.
        """
        homes = table.homes_for(route, tenant)
        if homes is None:
            return Err(_home_refusal(Reason.NO_COMMON_HOME, table, route, frozenset()))
        if route.kind is RequestKind.STEP and not self._places.allows_all_zones(homes):
            return Err(_home_refusal(Reason.STEP_LEAVES_HOMES, table, route, homes))
        if homes != route.homes:
            route = replace(route, homes=homes)
        return Ok(RoutedRequest(route, tenant))


def _home_refusal(
    reason: Reason, table: RouteTable, route: RouteRow, homes: frozenset[str]
) -> Refusal:
    failure = Failure(ErrorKind.NO_ENGINE, HOME_REASONS[reason])
    return Refusal(reason, failure, route.name, table.version, homes)
