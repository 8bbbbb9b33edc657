"""What a leader of the step log tells its driver, and the phases that it goes through."""

from enum import Enum
from typing import NamedTuple

from pondtiller.steplog.entry import Entry
from pondtiller.steplog.order_notes import LastOrder
from pondtiller.wire.steplog import Append, Fetch, Prepare, Resign


class Send(NamedTuple):
    """Send a message on a link."""

    link: int
    message: Prepare | Fetch | Append | Resign


class Won(NamedTuple):
    """The daemon leads now.

    Attributes
    ----------
    entries
        Everything that the log holds, but for groups, claims and notes of orders.
    order_holder
        Daemon of the last claim to order engines; empty where there is none.
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


class Deposed(NamedTuple):
    """The daemon does not lead any more, or failed to take over.

    Attributes
    ----------
    wait_seconds
        How long the lease lasts that stood against it; 0 where none did.
    """

    reason: str
    highest_epoch: int
    wait_seconds: float = 0.0


Instruction = Send | Won | Loaded | Committed | Deposed


class Phase(Enum):
    """How far a leader is."""

    IDLE = "idle"
    PREPARING = "preparing"
    FETCHING = "fetching"
    REWRITING = "rewriting"
    LEADING = "leading"
