"""Parses the operator's configuration object into a route table.

Has no state and decides nothing: which of two tables is in force is decided in
`gateway/watches.py`. Tenants' keys are replaced by digests before any other code sees the object
(`without_keys`).
"""

from typing import Any

from result import Err, Ok, Result

from pondtiller.routes.table import (
    RequestKind,
    RequestLimits,
    RouteRow,
    RouteTable,
    Scaling,
    ServiceRow,
    ServiceShare,
)
from pondtiller.routes.tenants import TenantRow, digest_of

KEYS = "api_keys"
KEY_DIGESTS = "key_digests"
"""Own field that replaces the keys of a tenant from the moment of reading."""

TIME_LIMIT_MS = 10_000.0
"""Default of a row's time limit; the operator's configuration usually gives one for each row."""
OBJECTIVE_MS = 1_000.0
"""Default of a row's objective."""
STEP_MS = 60_000.0
"""Default of a row's time until the results of a step are due."""
QUEUE_SECONDS = 120.0
"""Default of a row's time after which a sample may be abandoned, in s and not in ms."""
MAX_CONNECTIONS = 100
"""Default of a service's connections that one engine accepts."""
HEAD_BYTES = 32_768
"""Default of the longest head of a request, in bytes."""
BODY_BYTES = 32 * 1024 * 1024
"""Default of the longest body of a request, in bytes."""
HEAD_MS = 10_000.0
"""Default of the longest time for the head of a request."""
IDLE_MS = 75_000.0
"""Default of the longest time between two requests."""

KINDS = {
    "safe": RequestKind.SAFE,
    "unsafe": RequestKind.UNSAFE,  # must not run twice
    "stream": RequestKind.STREAM,
    "batch": RequestKind.STEP,  # two names for one kind
    "rollout": RequestKind.STEP,
}


def route_table(spec: Any) -> Result[RouteTable, str]:
    """Parse a configuration; the error says what is wrong with it."""
    try:
        return Ok(
            RouteTable(
                version=int(spec["version"]),
                routes=tuple(_route(each) for each in spec["routes"]),
                services={each["name"]: _service(each) for each in spec["services"]},
                limits=_limits(spec.get("limits") or {}),
                tenants=tuple(_tenant(each) for each in spec.get("tenants") or ()),
            )
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        return Err(f"{type(error).__name__}: {error}")


def _route(given: dict[str, Any]) -> RouteRow:
    return RouteRow(
        name=given["name"],
        host=given["host"].lower(),
        path_prefix=given["path_prefix"],
        kind=KINDS[given["kind"]],
        shares=_shares(given),
        time_limit_seconds=_seconds(given, "timeout_ms", TIME_LIMIT_MS),
        objective_seconds=_seconds(given, "slo_ms", OBJECTIVE_MS),
        attempts=int(given.get("max_attempts") or 1),
        priority=int(given.get("priority") or 0),
        may_resume=bool(given.get("resumable")),
        is_sticky=bool(given.get("sticky")),
        single_version=bool(given.get("single_version")),
        step_seconds=_seconds(given, "run_deadline_ms", STEP_MS),
        queue_seconds=float(given.get("queue_ttl_s") or QUEUE_SECONDS),
        is_public=bool(given.get("public")),
        homes=_homes(given),
    )


def _homes(given: dict[str, Any]) -> frozenset[str]:
    return frozenset(str(each) for each in given.get("allowed_regions") or ())


def without_keys(spec: Any) -> Any:
    """Return a configuration with digests in place of the tenants' keys.

    A value that is not a configuration is returned without its tenants: it must not contain keys.
    """
    if not isinstance(spec, dict) or "tenants" not in spec:
        return spec
    try:
        tenants = [_with_digests(each) for each in spec["tenants"] or ()]
    except (KeyError, TypeError, ValueError, AttributeError):
        tenants = None
    return {**spec, "tenants": tenants if tenants is not None else [{}]}


def _with_digests(given: dict[str, Any]) -> dict[str, Any]:
    if KEY_DIGESTS in given:
        return given
    digests = [digest_of(str(key)) for key in given.get(KEYS) or ()]
    kept = {name: value for name, value in given.items() if name != KEYS}
    return {**kept, KEY_DIGESTS: digests}


def _tenant(given: dict[str, Any]) -> TenantRow:
    priority, rate = given.get("priority"), given.get("rate_per_s")
    return TenantRow(
        name=str(given["name"]),
        key_digests=frozenset(given[KEY_DIGESTS]),
        priority=int(priority) if priority is not None else None,
        rate_per_second=float(rate) if rate else None,
        homes=_homes(given),
    )


def _shares(given: dict[str, Any]) -> tuple[ServiceShare, ...]:
    split = given.get("traffic_split")
    if split:
        return tuple(ServiceShare(each["service"], float(each["weight"])) for each in split)
    return (ServiceShare(given["service"], 1.0),)


def _seconds(given: dict[str, Any], name: str, otherwise: float) -> float:
    return float(given.get(name) or otherwise) / 1000.0


def _service(given: dict[str, Any]) -> ServiceRow:
    engine = given.get("engine") or {}
    return ServiceRow(
        name=given["name"],
        health_path=given.get("health_path") or "",
        most_connections=int(given.get("max_conns") or MAX_CONNECTIONS),
        models=tuple(each["name"] for each in engine.get("models") or ()),
        cold_seconds=float(given.get("cold_start_s") or 0.0),
        cold_rate=float(given.get("cold_per_s") or 0.0),
        scaling=_scaling(given.get("autoscale")),
    )


def _scaling(given: dict[str, Any] | None) -> Scaling | None:
    """Parse the range that may be ordered; None if the minimum is above the maximum."""
    if not given:
        return None
    least, most = int(given.get("min_replicas") or 0), int(given.get("max_replicas") or 0)
    if not 0 <= least <= most:
        return None
    return Scaling(
        least=least,
        most=most,
        start_seconds=float(given.get("boot_time_s") or 0.0),
        zone_prices={
            str(zone): float(price) for zone, price in (given.get("zone_prices") or {}).items()
        },
        spot_price=float(given.get("spot_price") or 0.0),
    )


def _limits(given: dict[str, Any]) -> RequestLimits:
    return RequestLimits(
        head_bytes=int(given.get("max_header_bytes") or HEAD_BYTES),
        body_bytes=int(given.get("max_body_bytes") or BODY_BYTES),
        head_seconds=_seconds(given, "header_timeout_ms", HEAD_MS),
        idle_seconds=_seconds(given, "idle_timeout_ms", IDLE_MS),
    )
