"""Instructions of the step log's leader to its driver, and the phases of a term."""

from enum import Enum, StrEnum
from typing import NamedTuple

from pondtiller.steplog.entry import Entry
from pondtiller.steplog.order_notes import LastOrder
from pondtiller.wire.steplog import Append, Fetch, Prepare, Resign


class Send(NamedTuple):
    """Send a message on a link."""

    link: int
    message: Prepare | Fetch | Append | Resign


class ElectionWon(NamedTuple):
    """The gateway is the leader now.

    Attributes
    ----------
    entries
        Everything in the log except groups, claims and notes of orders.
    order_holder
        Gateway of the last claim to order engines; empty if there is none.
    last_orders
        The last order of each engine, by its address.
    deferred
        Keys of values that follow as `DeferredLoaded`.
    """

    epoch: int
    entries: tuple[Entry, ...]
    order_holder: str
    last_orders: dict[str, LastOrder]
    deferred: tuple[str, ...] = ()


class DeferredLoaded(NamedTuple):
    """Deferred values have been read."""

    entries: tuple[Entry, ...]


class Committed(NamedTuple):
    """A write is on a quorum of disks."""

    key: str


class StepDownReason(StrEnum):
    """Why a leader or a candidate stepped down; `leader_ended` logs the value as `reason`.

    Attributes
    ----------
    REPLICA_LOST
        The link to a replica ended before it had returned values of the log.
    PROMISE_REFUSED
        A replica follows another leader, or promised a higher epoch.
    VALUE_LACKED
        A replica's answer lacks a value that its promise named.
    HIGHER_EPOCH
        A replica refused a write since it promised another candidate.
    TAKEOVER_TOO_LONG
        The takeover made no progress for `TAKEOVER_SECONDS`.
    LEASE_ENDED
        No write quorum answered in time: the leader cannot reach its replicas, while other gateways
        may.
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


class SteppedDown(NamedTuple):
    """The gateway is no longer the leader, or its takeover failed.

    Attributes
    ----------
    highest_epoch
        Highest known epoch: a replica's if that ended the term, otherwise the own one.
    wait_seconds
        Remaining time of the lease that caused a refusal; 0 if there was none.
    """

    reason: StepDownReason
    highest_epoch: int
    wait_seconds: float = 0.0


Instruction = Send | ElectionWon | DeferredLoaded | Committed | SteppedDown


class Phase(Enum):
    """Phase of a leader's term.

    Attributes
    ----------
    IDLE
        It neither leads nor takes over.
    PREPARING
        It asks for promises, until each voting group has a read quorum of them.
    FETCHING
        It reads the values of the log.
    REWRITING
        It rewrites what no write quorum provably has.
    LEADING
        The takeover is complete; it steps down when its lease ends.
    """

    IDLE = "idle"
    PREPARING = "preparing"
    FETCHING = "fetching"
    REWRITING = "rewriting"
    LEADING = "leading"
