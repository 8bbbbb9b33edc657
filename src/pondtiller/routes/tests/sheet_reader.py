"""Converts a sheet back into routes, so that tests can check that no cell of a row is lost."""

from pondtiller.routes.sheet_rows import HIGHEST_PRIORITY
from pondtiller.routes.table import RequestKind, RouteRow, RouteTable, ServiceRow, ServiceShare
from pondtiller.routes.tenants import TenantRow
from pondtiller.table.sheet import Row, RowKind, Sheet


def routes_of(sheet: Sheet, version: int) -> RouteTable:
    """Return the route table that an operators' table corresponds to."""
    routes = tuple(_route(row) for row in sheet.rows_of(RowKind.CALLER) if row.host is not None)
    services = {
        row.name: ServiceRow(row.name, models=(row.model or row.name,))
        for row in sheet.rows_of(RowKind.SERVICE)
    }
    tenants = tuple(_tenant(row) for row in sheet.rows_of(RowKind.TENANT))
    return RouteTable(version, routes, services, tenants=tenants)


def _tenant(row: Row) -> TenantRow:
    return TenantRow(
        name=row.name,
        key_digests=frozenset((row.keys or "").split()),
        priority=HIGHEST_PRIORITY - row.priority if row.priority is not None else None,
        rate_per_second=row.rate,
    )


def _route(row: Row) -> RouteRow:
    defaults = RouteRow("", "", "", RequestKind.SAFE, ())
    rank = HIGHEST_PRIORITY - (row.priority if row.priority is not None else HIGHEST_PRIORITY)
    return RouteRow(
        name=row.name,
        host=row.host or "",
        path_prefix=row.path or "/",
        kind=RequestKind(row.request or "safe"),
        shares=_shares(row.split or ""),
        time_limit_seconds=row.deadline_seconds or defaults.time_limit_seconds,
        objective_seconds=row.objective_seconds or defaults.objective_seconds,
        attempts=row.attempts or defaults.attempts,
        priority=rank,
        may_resume=bool(row.resumes),
        is_sticky=bool(row.sticky),
        single_version=bool(row.single_version),
        step_seconds=row.step_seconds or defaults.step_seconds,
        queue_seconds=row.queue_seconds or defaults.queue_seconds,
        is_public=bool(row.public),
    )


def _shares(split: str) -> tuple[ServiceShare, ...]:
    parts = [part.rpartition(":") for part in split.split()]
    return tuple(ServiceShare(service, float(weight)) for service, _, weight in parts)
