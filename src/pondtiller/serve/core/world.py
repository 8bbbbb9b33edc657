"""All state of one daemon, its inbox and its outbox.

Lasts as long as the process: what must outlive it is in the registers of other members, in the
journal of this one's acceptor, or in the object service. Does no I/O and reads no clock: a driver
(`daemon.runtime`, or the simulation) puts events into the inbox, calls `systems.tick.tick`, and
carries out what is in the outbox. What the state means is decided by the systems.
"""

import random
from collections.abc import Callable

from pondtiller.address import Address
from pondtiller.coordination.deadlines import DeadlineIndex
from pondtiller.coordination.documents import DocumentReplica
from pondtiller.coordination.fair_queue import FairQueue
from pondtiller.coordination.membership import Membership
from pondtiller.coordination.outbound import Outbound
from pondtiller.coordination.registers.acceptor import Acceptor
from pondtiller.coordination.registers.configuration import Replica
from pondtiller.coordination.registers.proposer import Proposer, RegisterOutcome
from pondtiller.coordination.registers.reconfigurer import Reconfigurer
from pondtiller.coordination.retries import RetryBudget
from pondtiller.coordination.shares import Allocator, HeldShare
from pondtiller.serve.core.batch import Batch
from pondtiller.serve.core.entities import Attempt, Engine, Request, RowCounts
from pondtiller.serve.core.events import Event
from pondtiller.serve.core.instructions import Instruction, LogEvent, LogField, WriteStore
from pondtiller.serve.core.step_entities import SamplePoll, SlotKey, Step, StepKey
from pondtiller.serve.core.timers import Timer, TimerKind
from pondtiller.serve.core.views import (
    MemberReport,
    PrefixHint,
    StewardState,
    StoredReplicas,
    StoreView,
)
from pondtiller.serve.core.world_settings import WorldSettings
from pondtiller.table.sheet import Row, Sheet

FactsBasis = tuple[int, int, int, tuple[tuple[str, int], ...]]
OutcomeHandler = Callable[["World", RegisterOutcome, float], None]


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
        self.inbox: list[Event] = []
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
        self.stewarded: dict[str, StewardState] = {}
        self.stewarded_basis: tuple[tuple[str, ...], int] | None = None
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

    def emit(self, event: Event) -> None:
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
