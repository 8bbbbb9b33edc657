"""The rows that route requests: caller rows by host and path, service rows, limits.

These are the table's rows as an operator's whole configuration gives them. They are values:
a newer version replaces all of them at once.

Owns no state. Read from the operators' configuration by `platform.configuration`; what is done with
a row's cells is decided where the request is (`gateway.callers`, `rollouts`).
"""

import re
from dataclasses import dataclass, field, replace
from enum import StrEnum
from typing import NamedTuple

from pondtiller.hashing import score
from pondtiller.routes.places import common_homes
from pondtiller.routes.tenants import TenantIndex, TenantRow

HASH_SPAN = 1 << 64
"""Numbers that `hashing.score` may give: it returns 64 bits."""


class RequestKind(StrEnum):
    """What may be done with a request that failed."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"
    STEP = "step"


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """One part of a route's traffic."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class RouteRow:
    """A caller's row: which requests it takes, and the cells that decide about them.

    Attributes
    ----------
    host, path_prefix
        Requests of this host whose path begins with the prefix.
    shares
        Services with their weights.
    time_limit_seconds
        Longest time to an answer.
    objective_seconds
        Time within which an answer counts in full.
    attempts
        Most engines that one request may be sent to.
    priority
        Rank, 0 first.
    may_resume
        Whether a stream may be continued on another engine.
    single_version
        Whether a sample must come from one version of the weights.
    step_seconds, queue_seconds
        For steps: when results are due, and when a sample may be given up.
    is_public
        Whether callers show no key.
    homes
        Regions that may serve and keep its requests; empty where any may.
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
        """Return the service for a request: the same for the same request, shares by weight."""
        if len(self.shares) == 1:
            return self.shares[0].service
        total = sum(share.weight for share in self.shares)
        point = score("share", request) / HASH_SPAN * total
        for share in self.shares:
            point -= share.weight
            if point < 0:
                return share.service
        return self.shares[-1].service

    def services(self) -> frozenset[str]:
        """Return all services that this row may use."""
        return frozenset(share.service for share in self.shares if share.weight > 0)


class Scaling(NamedTuple):
    """How many engines of a service may be ordered, and what they cost.

    Attributes
    ----------
    least, most
        Engines in each zone, of both kinds together.
    start_seconds
        From an order until a new engine serves.
    zone_prices
        Price of a second of an engine by zone, against each other.
    spot_price
        Price of an engine that may be taken away, against one that may not; 0 where there are
        none.
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
        Models that its engines hold.
    cold_seconds
        How long an engine is slow after a start.
    cold_rate
        Requests a second that a cold engine bears; 0 where it bears as many as a warm one.
    scaling
        None where no engines are to be ordered.
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
    """What a caller may send, and how long it may take."""

    head_bytes: int = 32_768
    body_bytes: int = 32 * 1024 * 1024
    head_seconds: float = 10.0
    idle_seconds: float = 75.0


@dataclass(frozen=True)
class RouteTable:
    """All rows of one version of the configuration.

    Attributes
    ----------
    tenants
        Who may call rows that are not public; where there are none, no row needs a key.
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
        """Return all services that have a row, or that a row of routes may use."""
        return frozenset(self.services).union(*(route.services() for route in self.routes))

    def find(self, host: str, path: str) -> RouteRow | None:
        """Return the row with the longest prefix that begins the path."""
        rows: list[RouteRow] = getattr(self, "_by_host").get(host_name(host), [])  # noqa: B009
        for row in rows:
            if path.startswith(row.path_prefix):
                return row
        return None

    def find_for(self, host: str, path: str, tenant: str) -> RouteRow | None:
        """Return the row for a tenant's requests; None where there is none that may serve them.

        The tenant's rank goes before the row's, and the homes of both bind.
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
        """Return the regions that may serve and keep a tenant's request on a row.

        Returns
        -------
        frozenset of str, or None
            Empty where any region may; None where the row's and the tenant's have none in common.
        """
        owner = self.tenant_index.by_name.get(tenant)
        return common_homes(route.homes, owner.homes if owner is not None else frozenset())

    def needs_key(self, route: RouteRow) -> bool:
        """Return whether callers of a row must show a tenant's key."""
        return bool(self.tenants) and not route.is_public

    def has_public_steps(self, host: str) -> bool:
        """Return whether steps of a host may be opened, read and ended without a key."""
        rows: list[RouteRow] = getattr(self, "_by_host").get(host_name(host), [])  # noqa: B009
        return not self.tenants or any(
            row.is_public for row in rows if row.kind is RequestKind.STEP
        )


def host_name(host: str) -> str:
    """Return a `Host` value without its port, in lower case."""
    return re.sub(r":\d+$", "", host).lower()
