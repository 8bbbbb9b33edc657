"""The modelled network: latency by zone, loss, duplication, reordering, one-way cuts.

Owns the cuts in force and the count of what was dropped. Draws from its own seeded source. Streams
of answers keep their order unless a fault disturbs it; that is done in `engines`.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from pondtiller.serve.core.events import Event
from pondtiller.serve.deployment import Latencies
from pondtiller.serve.simulation.scheduler import Scheduler

JITTER_SHARE = 0.5
"""Largest part by which a trip is longer than its latency. Modelled."""


Deliver = Callable[[Event], None]
"""Hands an event to a daemon; does nothing once the life that waits for it has ended."""


@dataclass(frozen=True, slots=True)
class Cut:
    """Traffic from one zone to another that does not pass."""

    from_zone: str
    to_zone: str


@dataclass(slots=True)
class Network:
    """Delivers datagrams and stream pieces between zones.

    Attributes
    ----------
    loss, duplication
        Probability for each datagram.
    dropped
        Datagrams that were lost or met a cut.
    """

    scheduler: Scheduler
    latencies: Latencies
    source: random.Random
    loss: float = 0.0
    duplication: float = 0.0
    cuts: set[Cut] = field(default_factory=set)
    dropped: int = 0

    def latency(self, from_zone: str, to_zone: str) -> float:
        """Draw the one-way latency between two zones in seconds."""
        base = self.latencies.between_zones_seconds
        if from_zone == to_zone:
            base = self.latencies.same_zone_seconds
        return base * (1 + JITTER_SHARE * self.source.random())

    def is_cut(self, from_zone: str, to_zone: str) -> bool:
        """Return whether nothing passes in this direction."""
        return Cut(from_zone, to_zone) in self.cuts

    def cut(self, first: str, second: str, one_way: bool) -> None:
        """Cut two zones from each other, or only the first from reaching the second."""
        self.cuts.add(Cut(first, second))
        if not one_way:
            self.cuts.add(Cut(second, first))

    def heal(self) -> None:
        """Remove all cuts."""
        self.cuts.clear()

    def loses(self) -> bool:
        """Draw whether something sent now is lost."""
        return self.loss > 0 and self.source.random() < self.loss

    def datagram(self, from_zone: str, to_zone: str, deliver: Callable[[], None]) -> None:
        """Send something that may be lost, doubled or overtaken."""
        if self.is_cut(from_zone, to_zone) or self.loses():
            self.dropped += 1
            return
        self.scheduler.after(self.latency(from_zone, to_zone), deliver)
        if self.source.random() < self.duplication:
            self.scheduler.after(2 * self.latency(from_zone, to_zone), deliver)
