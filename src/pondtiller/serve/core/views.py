"""What a daemon knows of things outside it, as it was last heard.

Lost with the process and learned again: of the object service by listing it, of engines by polls
and orders, of members by their reports. Engines themselves are rows of `core.entities`.
"""

from dataclasses import dataclass, field

from pondtiller.coordination.registers.configuration import ReplicaConfiguration
from pondtiller.serve.core.instructions import EngineOrder
from pondtiller.serve.core.reports import DaemonReport


@dataclass(slots=True)
class StoreView:
    """What this daemon knows of the platform's object service.

    Attributes
    ----------
    listed
        Whether a list was answered since the start.
    revision
        Service-wide revision up to which changes were seen.
    answered_at
        Time of the latest answer, None where there was none.
    """

    listed: bool = False
    revision: int = 0
    answered_at: float | None = None
    is_busy: bool = False
    outdated: bool = False


@dataclass(slots=True)
class StoredReplicas:
    """The object service's copy of the register configuration, as last seen."""

    revision: int = 0
    configuration: ReplicaConfiguration = field(default_factory=ReplicaConfiguration)


@dataclass(slots=True)
class StewardState:
    """What a steward knows of one engine and has ordered of it."""

    fence: int = 0
    minimum_fence: int = 0
    fence_operation: int | None = None
    order_id: str = ""
    order: EngineOrder | None = None
    prefetched: dict[str, int] = field(default_factory=dict)
    failures: int = 0
    wait_until: float = 0.0


@dataclass(frozen=True, slots=True)
class PrefixHint:
    """Engine to which a prompt's beginning was sent last, and when."""

    engine: str
    at: float


@dataclass(slots=True)
class MemberReport:
    """Latest status report of a member, kept by the zone's status writer."""

    report: DaemonReport
    heard_at: float
