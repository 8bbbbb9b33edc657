"""Rows that route requests: callers' rows by host and path, services' rows, and limits.

These are immutable values from an operator's whole configuration; a newer version replaces all of
them at once. `platform.configuration` reads them. What a row's cells mean for a request is decided
where the request is handled (`gateway.callers`, `rollouts`).
"""

import re
from dataclasses import dataclass, field, replace
from enum import StrEnum
from typing import NamedTuple

from pondtiller.hashing import score
from pondtiller.routes.tenants import TenantIndex, TenantRow
from pondtiller.routes.topology import common_homes

HASH_RANGE = 1 << 64
"""Exclusive upper bound of `hashing.score`, which returns 64 bits."""


class RequestKind(StrEnum):
    """What a failed request of this kind allows."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"
    STEP = "step"


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service's part of a route's traffic."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class RouteRow:
    """A caller's row: which requests it matches, and how they are handled.

    Attributes
    ----------
    host, path_prefix
        It matches requests of this host whose path starts with the prefix.
    shares
        Services with their weights.
    time_limit_seconds
        Longest time until the answer.
    objective_seconds
        Latency within which an answer gets full credit.
    attempts
        Most engines that one request may be sent to.
    priority
        Rank; 0 is the most urgent.
    may_resume
        Whether another engine may continue a stream.
    single_version
        Whether a sample must be made by a single version of the weights.
    step_seconds, queue_seconds
        For steps: when results are due, and when a sample may be given up.
    is_public
        Whether callers need no key.
    homes
        Regions that may process and store its requests; empty for any.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    shares: tuple[ServiceShare, ...]
    time_limit_seconds: float = 10.0
    objective_seconds: float = 1.0
    attempts: int = 1
    priority: int = 0
    may_resume: bool = False
    is_sticky: bool = False
    single_version: bool = False
    step_seconds: float = 60.0
    queue_seconds: float = 120.0
    is_public: bool = False
    homes: frozenset[str] = frozenset()

    @property
    def may_repeat(self) -> bool:
        """Whether a request that may have run can be sent again."""
        return self.kind is RequestKind.SAFE or self.kind is RequestKind.STEP or self.may_resume

    def choose_service(self, request: str) -> str:
        """Return the service of a request: stable for the same request, distributed by weight."""
        if len(self.shares) == 1:
            return self.shares[0].service
        total = sum(share.weight for share in self.shares)
        point = score("share", request) / HASH_RANGE * total
        for share in self.shares:
            point -= share.weight
            if point < 0:
                return share.service
        return self.shares[-1].service

    def services(self) -> frozenset[str]:
        """Return all services that this row may use."""
        return frozenset(share.service for share in self.shares if share.weight > 0)


class Scaling(NamedTuple):
    """How many engines of a service may be ordered, and their prices.

    Attributes
    ----------
    least, most
        Number of engines in each zone, on-demand and spot together.
    start_seconds
        Seconds from an order until the new engine serves.
    zone_prices
        Relative price of an engine second by zone.
    spot_price
        Price of a spot engine relative to an on-demand one; 0 if the service has no spot engines.
    """

    least: int
    most: int
    start_seconds: float
    zone_prices: dict[str, float]
    spot_price: float = 0.0


@dataclass(frozen=True, slots=True)
class ServiceRow:
    """A service's row.

    Attributes
    ----------
    most_connections
        Connections that one of its engines accepts from all callers together.
    models
        Models that its engines serve.
    cold_seconds
        How long an engine is slow after its start.
    cold_rate
        Requests a second that a cold engine can serve; 0 if as many as a warm one.
    scaling
        None if no engines may be ordered.
    """

    name: str
    health_path: str = ""
    most_connections: int = 100
    models: tuple[str, ...] = ()
    cold_seconds: float = 0.0
    cold_rate: float = 0.0
    scaling: Scaling | None = None


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Bounds on a caller's requests: sizes and times."""

    head_bytes: int = 32_768
    body_bytes: int = 32 * 1024 * 1024
    head_seconds: float = 10.0
    idle_seconds: float = 75.0


@dataclass(frozen=True)
class RouteTable:
    """All rows of one configuration version.

    Attributes
    ----------
    tenants
        Tenants that may call rows that are not public; if there are none, no row needs a key.
    """

    version: int
    routes: tuple[RouteRow, ...] = ()
    services: dict[str, ServiceRow] = field(default_factory=dict)
    limits: RequestLimits = RequestLimits()
    tenants: tuple[TenantRow, ...] = ()
    tenant_index: TenantIndex = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        object.__setattr__(self, "tenant_index", TenantIndex(self.tenants))
        by_host: dict[str, list[RouteRow]] = {}
        for route in self.routes:
            by_host.setdefault(route.host, []).append(route)
        for rows in by_host.values():
            rows.sort(key=lambda row: -len(row.path_prefix))
        object.__setattr__(self, "_by_host", by_host)

    @property
    def named_services(self) -> frozenset[str]:
        """Return all services that have a row or that a route may use."""
        return frozenset(self.services).union(*(route.services() for route in self.routes))

    def find(self, host: str, path: str) -> RouteRow | None:
        """Return the row with the longest matching path prefix."""
        rows: list[RouteRow] = getattr(self, "_by_host").get(host_name(host), [])  # noqa: B009
        for row in rows:
            if path.startswith(row.path_prefix):
                return row
        return None

    def find_for(self, host: str, path: str, tenant: str) -> RouteRow | None:
        """Return the row for a tenant's requests; None if there is none that may serve them.

        The tenant's rank takes precedence over the row's, and the homes of both apply.
        """
        row = self.find(host, path)
        owner = self.tenant_index.by_name.get(tenant)
        if row is None or owner is None:
            return row
        priority = row.priority if owner.priority is None else owner.priority
        homes = self.homes_for(row, tenant)
        if homes is None:
            return None
        return replace(row, priority=priority, homes=homes)

    def homes_for(self, route: RouteRow, tenant: str) -> frozenset[str] | None:
        """Return the regions that may process and store a tenant's request on a row.

        Returns
        -------
        frozenset of str, or None
            Empty for any region; None if the row and the tenant have no region in common.
        """
        owner = self.tenant_index.by_name.get(tenant)
        return common_homes(route.homes, owner.homes if owner is not None else frozenset())

    def needs_key(self, route: RouteRow) -> bool:
        """Return whether callers of a row must present a tenant's key."""
        return bool(self.tenants) and not route.is_public

    def has_public_steps(self, host: str) -> bool:
        """Return whether a host's steps may be opened, read and ended without a key."""
        rows: list[RouteRow] = getattr(self, "_by_host").get(host_name(host), [])  # noqa: B009
        return not self.tenants or any(
            row.is_public for row in rows if row.kind is RequestKind.STEP
        )


def host_name(host: str) -> str:
    """Return the value of a `Host` header without the port, in lower case."""
    return re.sub(r":\d+$", "", host).lower()
