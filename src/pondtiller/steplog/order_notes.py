"""Notes of orders to engines: which gateway ordered which engine last, and how long ago. No I/O.

A leader writes a note into the log before each order, and sends the order only once the note is
committed. A successor thus finds a note of every order that was sent, and need only wait for the
engines that another gateway ordered recently, instead of for all.

Clocks of machines differ, so no time is written: each replica measures on its own monotonic clock
how long it has had a note. The promises of a read quorum include at least one copy that is older
than the order; of several copies the youngest counts, which can only lengthen the wait.

Holds the ages that a candidate received, for its term. How long to wait is decided by the driver
(`gateway/leader/order_rights.py`).
"""

from collections.abc import Iterable
from typing import NamedTuple

from pondtiller.wire.steplog import OrderAge

ORDER_PREFIX = "order/"


class OrderNote(NamedTuple):
    """One note, as encoded in its key; the value of the entry is empty.

    Attributes
    ----------
    number
        Rises with each note of an epoch.
    engine
        Address of the engine: another incarnation at the same address is the same engine here.
    gateway
        Gateway that ordered.
    """

    epoch: int
    number: int
    engine: str
    gateway: str

    @property
    def key(self) -> str:
        """Key in the log; keys sort by epoch, then by number."""
        return f"{ORDER_PREFIX}{self.epoch:020d}/{self.number:08d}/{self.engine}/{self.gateway}"


class LastOrder(NamedTuple):
    """The last order that an engine may have received.

    Attributes
    ----------
    at
        Monotonic time of the candidate, in seconds, before which it was noted.
    """

    gateway: str
    at: float


def parse_note(key: str) -> OrderNote:
    """Parse the key of a note."""
    _, epoch, number, engine, gateway = key.split("/", 4)
    return OrderNote(int(epoch), int(number), engine, gateway)


def last_orders(
    noted_at: dict[str, float], keys: Iterable[str], latest: float
) -> dict[str, LastOrder]:
    """Return the last order of each engine.

    Parameters
    ----------
    noted_at
        Latest time at which a replica may have received a note, by key.
    keys
        All notes in the log.
    latest
        Time that counts for a note whose age no replica sent.
    """
    found: dict[str, LastOrder] = {}
    for key in sorted(keys):
        note = parse_note(key)
        found[note.engine] = LastOrder(note.gateway, noted_at.get(key, latest))
    return found


class OrderNotes:
    """Ages of notes that a candidate received, and the numbers of its own notes; for one term."""

    def __init__(self) -> None:
        self._noted_at: dict[str, float] = {}
        self._last_number = 0

    def learn(self, ages: Iterable[OrderAge], now: float) -> None:
        """Record how long a replica has had notes of orders; the youngest copy counts."""
        for order in ages:
            at = now - order.milliseconds / 1000.0
            self._noted_at[order.key] = max(at, self._noted_at.get(order.key, at))

    def last_orders(self, keys: Iterable[str], latest: float) -> dict[str, LastOrder]:
        """Return the last order of each engine, as `last_orders` does."""
        return last_orders(self._noted_at, keys, latest)

    def next_note(self, epoch: int, engine: str, gateway: str) -> OrderNote:
        """Return a new note of this term."""
        self._last_number += 1
        return OrderNote(epoch, self._last_number, engine, gateway)


def older_notes(key: str, keys: Iterable[str]) -> list[str]:
    """Return the notes of the same engine as a given one that are older."""
    engine = parse_note(key).engine
    return [
        each
        for each in keys
        if each.startswith(ORDER_PREFIX) and each < key and parse_note(each).engine == engine
    ]
