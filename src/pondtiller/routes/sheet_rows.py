"""Conversion of routing rows into the operators' table."""

from pondtiller.routes.table import RequestKind, RouteRow, RouteTable
from pondtiller.routes.tenants import TenantRow
from pondtiller.table.sheet import Row, RowKind, Sheet

HIGHEST_PRIORITY = 9
"""Most urgent priority in the operators' table, whose scale is the reverse of a route's rank."""


def sheet_of(table: RouteTable) -> Sheet:
    """Return the operators' table that corresponds to a route table."""
    callers = [_caller_row(route) for route in table.routes]
    services = [
        Row(kind=RowKind.SERVICE, name=each.name, model=(each.models or (each.name,))[0])
        for each in table.services.values()
    ]
    tenants = [_tenant_row(each) for each in table.tenants]
    rows = [*services, *callers, *tenants]
    return Sheet(rows=tuple(sorted(rows, key=lambda row: (row.kind, row.name))))


def _caller_row(route: RouteRow) -> Row:
    is_step = route.kind is RequestKind.STEP
    return Row(
        kind=RowKind.CALLER,
        name=route.name,
        priority=HIGHEST_PRIORITY - min(route.priority, HIGHEST_PRIORITY),
        deadline_seconds=route.time_limit_seconds,
        host=route.host,
        path=route.path_prefix,
        request=route.kind.value,
        split=" ".join(f"{share.service}:{share.weight:g}" for share in route.shares),
        objective_seconds=route.objective_seconds,
        attempts=route.attempts,
        resumes=route.may_resume or None,
        sticky=route.is_sticky or None,
        single_version=route.single_version or None,
        step_seconds=route.step_seconds if is_step else None,
        queue_seconds=route.queue_seconds if is_step else None,
        public=route.is_public or None,
    )


def _tenant_row(tenant: TenantRow) -> Row:
    rank = tenant.priority
    return Row(
        kind=RowKind.TENANT,
        name=tenant.name,
        priority=HIGHEST_PRIORITY - min(rank, HIGHEST_PRIORITY) if rank is not None else None,
        keys=" ".join(sorted(tenant.key_digests)) or None,
        rate=tenant.rate_per_second,
    )
