"""The simulated platform: object service with outages, lost answers and old reads.

Owns the earlier states that an old read may show; objects are in the emulator's `ObjectStore`. The
scorer is simulated in `instruction_driver`.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from pondtiller.serve.core.events import (
    StoredObject,
    StoreFailed,
    StoreListed,
    StoreWatched,
    StoreWriteEnded,
    StoreWriteResult,
)
from pondtiller.serve.emulator.object_store import Listing, ObjectStore, PutStatus
from pondtiller.serve.simulation.network import Deliver
from pondtiller.serve.simulation.scheduler import Scheduler

ANSWER_SECONDS = 0.005
"""Of the object service at least. Modelled."""
TIMEOUT_SECONDS = 2.0
"""After which a caller of a service that is down knows it. Modelled."""
WATCH_SECONDS = 10.0
"""Longest wait of a watch. Modelled."""
WATCH_CHECK_SECONDS = 0.1
"""How often a waiting watch looks for changes. Modelled."""
KEPT_OLD_READS = 20
"""Earlier states of which one may be read in place of the last. Modelled: reads may be old."""


@dataclass(slots=True)
class PlatformNode:
    """The object service as daemons and operators reach it.

    Attributes
    ----------
    down
        Nothing is answered and nothing takes effect.
    extra_seconds
        Added to each answer while the service is slow.
    lost_answers
        Probability that a write takes effect and its answer is lost.
    old_reads
        Probability that a list or a watch shows an earlier state.
    """

    store: ObjectStore
    scheduler: Scheduler
    source: random.Random
    down: bool = False
    extra_seconds: float = 0.0
    lost_answers: float = 0.0
    old_reads: float = 0.0
    reads: int = 0
    writes: int = 0
    _earlier: list[Listing] = field(default_factory=list)
    on_write: Callable[[str, int, bytes], None] | None = None

    def _delay(self) -> float:
        return ANSWER_SECONDS + self.extra_seconds * self.source.random()

    def list_all(self, deliver: Deliver) -> None:
        """Answer a list."""
        if self.down:
            self.scheduler.after(TIMEOUT_SECONDS, lambda: deliver(StoreFailed(False)))
            return
        self.reads += 1
        listing = self.store.list_all()
        if self._earlier and self.source.random() < self.old_reads:
            listing = self.source.choice(self._earlier)
        event = StoreListed(_objects(listing), listing.revision)
        self.scheduler.after(self._delay(), lambda: deliver(event))

    def watch(self, revision: int, deliver: Deliver) -> None:
        """Answer a watch once something changed, or without anything at its end."""
        self.reads += 1
        self._look(revision, self.scheduler.now + WATCH_SECONDS, deliver)

    def _look(self, revision: int, until: float, deliver: Deliver) -> None:
        if self.down:
            self.scheduler.after(TIMEOUT_SECONDS, lambda: deliver(StoreFailed(False)))
            return
        listing = self.store.changes_since(revision)
        if self._earlier and self.source.random() < self.old_reads:
            listing = self.source.choice(self._earlier)
        if listing is None:
            self.scheduler.after(self._delay(), lambda: deliver(StoreFailed(True)))
        elif listing.objects or self.scheduler.now >= until:
            event = StoreWatched(_objects(listing), listing.revision)
            self.scheduler.after(self._delay(), lambda: deliver(event))
        else:
            again = WATCH_CHECK_SECONDS
            self.scheduler.after(again, lambda: self._look(revision, until, deliver))

    def put(self, name: str, expected: int | None, body: bytes, deliver: Deliver) -> None:
        """Answer a compare-and-swap."""
        unknown = StoreWriteEnded(name, StoreWriteResult.UNKNOWN, 0)
        if self.down:
            self.scheduler.after(TIMEOUT_SECONDS, lambda: deliver(unknown))
            return
        self.writes += 1
        self._earlier.append(self.store.list_all())
        del self._earlier[:-KEPT_OLD_READS]
        result = self.store.put(name, expected, body, self.scheduler.now)
        written = result.status is PutStatus.WRITTEN
        if written and self.on_write is not None:
            self.on_write(name, result.revision, body)
        if self.source.random() < self.lost_answers:
            self.scheduler.after(TIMEOUT_SECONDS, lambda: deliver(unknown))
            return
        outcome = StoreWriteResult.WRITTEN if written else StoreWriteResult.CONFLICT
        event = StoreWriteEnded(name, outcome, result.revision)
        self.scheduler.after(self._delay(), lambda: deliver(event))


def _objects(listing: Listing) -> tuple[StoredObject, ...]:
    return tuple(StoredObject(each.name, each.revision, each.body) for each in listing.objects)
