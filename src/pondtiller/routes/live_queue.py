"""Which live requests wait at a gateway, in which order they leave, which are refused. No I/O.

Load: more requests than the engines of a service may get now, since they are full, slow, or gone
for a second or two. Sent on at once, requests are refused one after the other by the same engines;
a caller then has spent its few attempts within milliseconds, with most of its time left.

- A request that no engine may get waits, the most urgent first: by its row's priority, then by its
  deadline, then in order of arrival. A request that came back has an earlier deadline than one that
  is new, so it leaves first without being told apart.
- It waits for a part of its time only: its caller keeps the rest to come back, which may be to
  another gateway.
- A request that would be answered too late at the observed pace is refused at once. The pace is the
  time of an answer divided by how many may be at engines together. While no engine is known to
  answer, there is no pace: nothing is refused at once, and requests wait as above.
- The time to come back follows from the pace; without one, from the time that is left
  (`retry_after`).

Owns the order of those that wait. Does not wake them (`gateway.callers.waiting`) nor choose an
engine (`engine_choice`).
"""

import heapq
import itertools
import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from pondtiller.routes.engines import REFUSAL_PAUSE_SECONDS, Engine
from pondtiller.routes.retry_after import after_no_engine

HOLD_SHARE = 0.4
"""Part of a request's time that it may wait here. Load: engines gone for a second. Under a half, so
that a caller has more time left after a refusal than it has lost, and can come back."""
LOOK_AGAIN_SECONDS = REFUSAL_PAUSE_SECONDS
"""How often the first of those that wait looks for an engine again, besides each answer; and how
often an engine that failed just now is probed before its pause ends, where all of a service did."""


@dataclass(order=True, frozen=True, slots=True)
class Ticket:
    """A request's place in the order.

    Attributes
    ----------
    priority
        Rank of its row, 0 first.
    deadline, leave_by
        When its answer is due, and until when it may wait, on the steady clock.
    """

    priority: int
    deadline: float
    number: int
    leave_by: float = field(compare=False)


@dataclass(frozen=True, slots=True)
class Pace:
    """How fast a service answers this daemon.

    Attributes
    ----------
    answer_seconds
        Time of one answer, of all kinds; 0 while unknown.
    places
        Own requests that may be at engines together.
    own_seconds
        Time of one answer of this kind; 0 while unknown.
    """

    answer_seconds: float
    places: int
    own_seconds: float

    def seconds_to_place(self, ahead: int) -> float:
        """Return how long until so many requests have left, and one more may."""
        return self.answer_seconds * ahead / max(1, self.places)

    def seconds_to_answer(self, ahead: int) -> float:
        """Return the least time to an answer behind so many others; 0 while unknown.

        The first of those that wait may leave at any moment, since requests that are at engines
        began some time ago.
        """
        return self.seconds_to_place(ahead) + self.own_seconds


UNKNOWN_PACE = Pace(0.0, 0, 0.0)


def pace_of(engines: Iterable[Engine], own_seconds: float) -> Pace:
    """Return the pace of engines that answer; places without a learned limit are their slots."""
    answering = [each for each in engines if each.answer_seconds and not each.failures]
    if not answering:
        return UNKNOWN_PACE
    seconds = sum(each.answer_seconds for each in answering) / len(answering)
    return Pace(seconds, sum(_places(each) for each in answering), own_seconds)


def _places(engine: Engine) -> int:
    limit = engine.limit.value
    return engine.entry.slots if limit is None else min(engine.entry.slots, int(limit))


def may_get(engine: Engine, now: float) -> bool:
    """Return whether an engine may get a live request: it is not full as far as is known."""
    return now >= engine.full_until and engine.limit.allows(engine.running)


class LiveQueue:
    """Requests of one service that wait at this gateway."""

    def __init__(self, rng: random.Random) -> None:
        self._waiting: list[Ticket] = []
        self._numbers = itertools.count()
        self._random = rng

    def __len__(self) -> int:
        return len(self._waiting)

    @property
    def first(self) -> Ticket | None:
        """The request that leaves next."""
        return self._waiting[0] if self._waiting else None

    def enter(self, priority: int, deadline: float, now: float, pace: Pace) -> Ticket | None:
        """Return a request's place; None where it would be answered too late and is refused."""
        leave_by = now + (deadline - now) * HOLD_SHARE
        ticket = Ticket(priority, deadline, next(self._numbers), leave_by)
        ahead = sum(each < ticket for each in self._waiting)
        if pace.seconds_to_answer(ahead) > deadline - now:
            return None
        self.enter_again(ticket)
        return ticket

    def enter_again(self, ticket: Ticket) -> None:
        """Put a request back whose attempt came to nothing: it waits for no longer than before."""
        heapq.heappush(self._waiting, ticket)

    def leave(self, ticket: Ticket) -> None:
        """Take a request out: it goes to an engine, is refused, or its caller has left."""
        self._waiting.remove(ticket)
        heapq.heapify(self._waiting)

    def return_seconds(self, left: float, pace: Pace) -> float:
        """Return when a refused caller is to come back, in seconds.

        Parameters
        ----------
        left
            Until its deadline.
        """
        drained = pace.seconds_to_place(len(self._waiting) + 1) if pace.answer_seconds else None
        return after_no_engine(left, drained, self._random.random())
