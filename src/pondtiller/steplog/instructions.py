"""What a leader of the step log tells its driver, and the phases that it goes through."""

from enum import Enum, StrEnum
from typing import NamedTuple

from pondtiller.steplog.entry import Entry
from pondtiller.steplog.order_notes import LastOrder
from pondtiller.wire.steplog import Append, Fetch, Prepare, Resign


class Send(NamedTuple):
    """Send a message on a link."""

    link: int
    message: Prepare | Fetch | Append | Resign


class Won(NamedTuple):
    """The gateway leads now.

    Attributes
    ----------
    entries
        Everything that the log holds, but for groups, claims and notes of orders.
    order_holder
        Gateway of the last claim to order engines; empty where there is none.
    last_orders
        The last order of each engine, by the place where it is reached.
    deferred
        Keys of values that follow as `Loaded`.
    """

    epoch: int
    entries: tuple[Entry, ...]
    order_holder: str
    last_orders: dict[str, LastOrder]
    deferred: tuple[str, ...] = ()


class Loaded(NamedTuple):
    """Values that were left for later have been read."""

    entries: tuple[Entry, ...]


class Committed(NamedTuple):
    """A write is on a quorum of disks."""

    key: str


class StandDown(StrEnum):
    """Why a leader or a candidate gave up; the value is what `leader_ended` logs as `reason`.

    Attributes
    ----------
    REPLICA_LOST
        The link to a replica ended that owed values of the log.
    PROMISE_REFUSED
        A replica follows another leader, or promised a higher epoch.
    VALUE_LACKED
        A replica's answer lacks a value that its promise named.
    HIGHER_EPOCH
        A replica refused a write: it promised another candidate.
    TAKEOVER_TOO_LONG
        Nothing brought the takeover on for `TAKEOVER_SECONDS`.
    LEASE_ENDED
        No write quorum answered in time: the leader's replicas do not hear it, while other
        gateways may.
    RESIGNED
        The process stops, or hands over.
    """

    REPLICA_LOST = "a replica was lost during takeover"
    PROMISE_REFUSED = "a replica refused its promise"
    VALUE_LACKED = "a replica lacks a value that it named"
    HIGHER_EPOCH = "a replica follows a higher epoch"
    TAKEOVER_TOO_LONG = "takeover took too long"
    LEASE_ENDED = "the lease ended"
    RESIGNED = "resigned"


class Deposed(NamedTuple):
    """The gateway does not lead any more, or failed to take over.

    Attributes
    ----------
    highest_epoch
        Highest epoch that is known: a replica's where that ended the term, else the own one.
    wait_seconds
        How long the lease lasts that stood against it; 0 where none did.
    """

    reason: StandDown
    highest_epoch: int
    wait_seconds: float = 0.0


Instruction = Send | Won | Loaded | Committed | Deposed


class Phase(Enum):
    """How far a leader is.

    Attributes
    ----------
    IDLE
        It neither leads nor takes over.
    PREPARING
        It asks for promises, until each voting group has a read quorum of them.
    FETCHING
        It reads the values of the log.
    REWRITING
        It writes again what no write quorum provably holds.
    LEADING
        Takeover is complete; it stands down when its lease ends.
    """

    IDLE = "idle"
    PREPARING = "preparing"
    FETCHING = "fetching"
    REWRITING = "rewriting"
    LEADING = "leading"
