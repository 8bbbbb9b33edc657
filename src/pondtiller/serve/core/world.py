"""All state of one daemon, its inbox and its outbox."""

import random
from collections.abc import Callable, KeysView
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, TypeVar

from pondtiller.address import Address
from pondtiller.coordination.deadlines import DeadlineIndex
from pondtiller.coordination.documents import DocumentReplica
from pondtiller.coordination.fair_queue import FairQueue
from pondtiller.coordination.member import Member
from pondtiller.coordination.membership import Membership, MembershipSettings
from pondtiller.coordination.outbound import Outbound
from pondtiller.coordination.registers.acceptor import Acceptor
from pondtiller.coordination.registers.configuration import Replica, ReplicaConfiguration
from pondtiller.coordination.registers.proposer import Proposer, RegisterOutcome
from pondtiller.coordination.registers.reconfigurer import Reconfigurer
from pondtiller.coordination.retries import RetryBudget
from pondtiller.coordination.shares import Allocator, HeldShare
from pondtiller.serve.core.entities import (
    Attempt,
    Engine,
    Request,
    RowCounts,
    SamplePoll,
    SlotKey,
    Step,
    StepKey,
)
from pondtiller.serve.core.instructions import (
    EngineOrder,
    Instruction,
    LogEvent,
    LogField,
    WriteStore,
)
from pondtiller.serve.core.reports import DaemonReport
from pondtiller.table.sheet import Row, Sheet

EventType = TypeVar("EventType")
FactsBasis = tuple[int, int, int, tuple[tuple[str, int], ...]]
OutcomeHandler = Callable[["World", RegisterOutcome, float], None]


class TimerKind(StrEnum):
    """What a timer of the world stands for."""

    MEMBERSHIP = "membership"
    PROPOSER = "proposer"
    RECONFIGURER = "reconfigurer"
    REPAIR = "repair"
    SWEEP = "sweep"
    REQUEST_DEADLINE = "request_deadline"
    ADMISSION = "admission"
    FOLLOW_CLAIM = "follow_claim"
    ATTEMPT_SILENCE = "attempt_silence"
    DISPATCH = "dispatch"
    POLL_ENGINE = "poll_engine"
    STORE = "store"
    STORE_WRITE = "store_write"
    READINESS = "readiness"
    SHARE_DEMAND = "share_demand"
    SHARE_ROUND = "share_round"
    STEWARD = "steward"
    ORDER_TIMEOUT = "order_timeout"
    SAMPLE_POLL = "sample_poll"
    SCORE = "score"
    IDLE_STEP = "idle_step"
    STATUS = "status"
    DRAIN = "drain"


@dataclass(frozen=True, slots=True)
class Timer:
    """A deadline of the world: its kind and the entity that it belongs to."""

    kind: TimerKind
    key: str = ""


@dataclass(frozen=True, slots=True)
class Mechanisms:
    """Switches for tests that show what each mechanism prevents; all on in service."""

    claims: bool = True
    staleness_checks: bool = True
    offset_checks: bool = True
    truthful_refusals: bool = True
    leaving_marks: bool = True
    drain: bool = True
    forward_only_documents: bool = True
    slot_cursor: bool = True
    version_segments: bool = True
    share_leases: bool = True


@dataclass(frozen=True, slots=True)
class WorldSettings:
    """What a daemon knows of itself at the start.

    Attributes
    ----------
    member
        This daemon as others shall see it.
    seeds
        Members to contact first.
    shard_count
        Register shards that a first configuration gets.
    replica_count
        Replicas of a shard.
    """

    member: Member
    seeds: tuple[Member, ...]
    membership: MembershipSettings = field(default_factory=MembershipSettings)
    shard_count: int = 4
    replica_count: int = 5
    mechanisms: Mechanisms = field(default_factory=Mechanisms)


class Batch:
    """The events of one pass, by type."""

    def __init__(self, events: list[Any]) -> None:
        self._by_type: dict[type, list[Any]] = {}
        for event in events:
            self.add(event)

    @property
    def types(self) -> KeysView[type]:
        """Types of the events in the batch."""
        return self._by_type.keys()

    def add(self, event: Any) -> None:
        """Add an event for the systems that follow in this pass."""
        self._by_type.setdefault(type(event), []).append(event)

    def of(self, event_type: type[EventType]) -> list[EventType]:
        """Return the events of one type, in order of arrival."""
        return self._by_type.get(event_type, [])


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
class EngineDuty:
    """A steward's knowledge of one engine."""

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


class World:
    """Entity tables and coordination parts of one daemon.

    Parameters
    ----------
    settings
        Identity and sizes.
    source
        Seeded random source; the only one that any system uses.
    """

    def __init__(self, settings: WorldSettings, source: random.Random) -> None:
        member = settings.member
        self.settings = settings
        self.mechanisms = settings.mechanisms
        self.name = member.name
        self.zone = member.zone
        self.incarnation = member.incarnation
        self.source = source
        self.inbox: list[Any] = []
        self.batch = Batch([])
        self.outbox: list[Instruction] = []
        self.peer_messages: list[Outbound] = []
        self.timers: DeadlineIndex[Timer] = DeadlineIndex()
        self.due: dict[TimerKind, list[str]] = {}

        self.membership = Membership(member, list(settings.seeds), settings.membership, source)
        self.documents = DocumentReplica(settings.mechanisms.forward_only_documents)
        self.acceptor = Acceptor(Replica(name=member.name, storage=member.storage))
        self.proposer = Proposer(f"{member.name}:{member.incarnation}", source)
        self.reconfigurer = Reconfigurer(
            member.name, settings.shard_count, settings.replica_count, source
        )
        self.outcome_handlers: dict[int, OutcomeHandler] = {}
        self.heard_peers: set[str] = set()

        self.sheet = Sheet()
        self.rows: dict[str, Row] = {}
        self.store = StoreView()
        self.pending_configuration: WriteStore | None = None
        self.stored_replicas = StoredReplicas()
        self.shard_lost_since: dict[int, float] = {}
        self.started_at: float | None = None
        self.ready = False
        self.draining = False
        self.drained = False
        self.drain_started_at = 0.0

        self.engines: dict[str, Engine] = {}
        self.subset: list[str] = []
        self.model_versions: dict[str, int] = {}
        self.leaving_engines: dict[str, int] = {}
        self.facts_basis: FactsBasis | None = None
        self.facts = b""
        self.prefix_hints: dict[int, PrefixHint] = {}
        self.duties: dict[str, EngineDuty] = {}
        self.duties_basis: tuple[tuple[str, ...], int] | None = None
        self.version_learned_at: dict[str, float] = {}

        self.requests: dict[str, Request] = {}
        self.attempts: dict[str, Attempt] = {}
        self.queue: FairQueue[str] = FairQueue()
        self.budgets: dict[str, RetryBudget] = {}
        self.counts: dict[str, RowCounts] = {}
        self.shares: dict[str, HeldShare] = {}
        self.allocators: dict[str, Allocator] = {}
        self.waiting_for_share: dict[str, list[str]] = {}
        self.steps: dict[StepKey, Step] = {}
        self.polls: dict[str, SamplePoll] = {}
        self.rollouts: dict[str, SlotKey] = {}
        self.scoring: dict[str, SlotKey] = {}
        self.reports: dict[str, MemberReport] = {}
        self._sequence = 0

    def next_id(self, prefix: str) -> str:
        """Return an identifier that no other daemon or incarnation gives."""
        self._sequence += 1
        return f"{prefix}-{self.name}-{self.incarnation}-{self._sequence}"

    def emit(self, event: Any) -> None:
        """Add an event for the next pass of this tick."""
        self.inbox.append(event)

    def do(self, instruction: Instruction) -> None:
        """Ask the driver to do something."""
        self.outbox.append(instruction)

    def log(self, event: str, **fields: str | int | float | bool) -> None:
        """Ask the driver to write one log line."""
        pairs = tuple(LogField(key, value) for key, value in fields.items())
        self.outbox.append(LogEvent(event, pairs))

    def set_timer(self, kind: TimerKind, due: float | None, key: str = "") -> None:
        """Set a timer, or clear it where `due` is None."""
        timer = Timer(kind, key)
        if due is None:
            self.timers.clear(timer)
        else:
            self.timers.set(timer, due)

    def clear_timer(self, kind: TimerKind, key: str = "") -> None:
        """Clear a timer."""
        self.timers.clear(Timer(kind, key))

    def timer_is_set(self, kind: TimerKind, key: str = "") -> bool:
        """Return whether a timer is set."""
        return Timer(kind, key) in self.timers

    def due_keys(self, kind: TimerKind) -> list[str]:
        """Return the keys whose timers of one kind are due in this pass."""
        return self.due.get(kind, [])

    def take_outbox(self) -> list[Instruction]:
        """Return and forget the instructions."""
        outbox, self.outbox = self.outbox, []
        return outbox

    def send(self, outbound: Outbound) -> None:
        """Queue a message for a peer; `systems.peers` wraps and addresses it."""
        self.peer_messages.append(outbound)

    def row_counts(self, row: str) -> RowCounts:
        """Return the counters of a row, made at first use."""
        return self.counts.setdefault(row, RowCounts())

    def member_address(self, name: str) -> Address | None:
        """Return where a member takes peer messages, or None where it is not known."""
        member = self.membership.members.get(name)
        return Address(member.host, member.peer_port) if member is not None else None
