"""Which row serves a request and whose it is, or why it is refused at once. No I/O.

Owns no state: it reads the table in force. It relies on `platform.requests` for requests that are
decoded and on `KeyFreshness` for whether keys may be trusted. It chooses no engine
(`routes.engine_choice`), counts no request against a rate (`tenant_rates.py`) and writes no log
line: `log_refusal` does, from the refusal that these decisions return.
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
"""Stands for the row in the metric of requests about steps that were submitted before."""


class Reason(Enum):
    """Why a request is refused before anything is done for it."""

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
"""What the log line and the answer say of a refusal for the sake of homes."""


class Refusal(NamedTuple):
    """A request that is refused.

    Attributes
    ----------
    failure
        What the caller is answered.
    label
        Row that the metric counts it under; empty where no row was found.
    version
        Version of the table that decided; 0 where there is none.
    homes
        Regions to which the request was bound; empty where that is not the reason.
    """

    reason: Reason
    failure: Failure
    label: str = ""
    version: int = 0
    homes: frozenset[str] = frozenset()


class RoutedRequest(NamedTuple):
    """A request that may go on.

    Attributes
    ----------
    route
        Row that serves it, with the homes that row and tenant have in common.
    tenant
        Whose it is; empty on rows that need no key.
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
        """Return the row and the tenant of a live request, or of a step that is submitted."""
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
        return self._keep_at_home(request, table, route, owner.ok_value)

    def step_owner(self, request: CallerRequest) -> Result[str, Refusal]:
        """Return whose steps a request may see: empty text for those of no tenant."""
        table = self._in_force.table
        if table is None:
            return Err(Refusal(Reason.NO_TABLE, Failure(ErrorKind.NOT_READY), STEPS_LABEL))
        if request.key_digest is None and table.has_public_steps(request.host):
            return Ok("")
        return self._tenant(request, table, STEPS_LABEL) if table.tenants else Ok("")

    def _owner(
        self, request: CallerRequest, table: RouteTable, route: RouteRow
    ) -> Result[str, Refusal]:
        """Return whose a request is: empty text on rows that need no key."""
        return self._tenant(request, table, route.name) if table.needs_key(route) else Ok("")

    def _tenant(
        self, request: CallerRequest, table: RouteTable, label: str
    ) -> Result[str, Refusal]:
        """Return the tenant that holds the key that a request shows.

        Keys that may have been revoked meanwhile are refused as not ready, not as unknown: the
        same request may be served by a gateway that has heard of the table since.
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

    def _keep_at_home(
        self, request: CallerRequest, table: RouteTable, route: RouteRow, tenant: str
    ) -> Result[RoutedRequest, Refusal]:
        """Narrow a row to the homes that it shares with the tenant; refuse what cannot stay there.

        A step goes to the leader, to the members of the replicas' group and to runners, which may
        be in any region: it is taken where all regions are homes.
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
