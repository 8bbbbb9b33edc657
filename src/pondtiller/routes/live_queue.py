"""Queue of live requests at a gateway: their order, and early rejection. No I/O.

More requests may arrive than the engines of a service can take, since they are full, slow, or gone
for a second or two. If all were sent on at once, the same engines would refuse them one after the
other, and callers would use up their few attempts within milliseconds, with most of their time
left.

- A request that no engine can take waits. The order is by row priority, then by deadline, then by
  arrival. A retried request has an earlier deadline than a new one, so it leaves first without
  special treatment.
- It waits for a part of its time only; the rest is left for a retry, possibly at another gateway.
- A request that would be answered too late at the observed pace is rejected at once. The pace is
  the duration of an answer divided by the number of requests that may be at engines concurrently.
  While no engine is known to answer there is no pace, and requests wait as above.
- The time after which the caller should retry follows from the pace, or from the remaining time if
  there is none (`retry_after`).

Keeps the order of waiting requests. Does not wake them (`gateway.callers.waiting`) and does not
choose an engine (`engine_choice`).
"""

import heapq
import itertools
import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from pondtiller.routes.engines import REFUSAL_PAUSE_SECONDS, Engine
from pondtiller.routes.retry_after import after_no_engine

MAX_WAIT_SHARE = 0.4
"""Part of a request's remaining time that it may wait here, long enough for engines that are gone
for a second. Below a half, so that a rejected caller has more time left than it has lost and can
retry."""
RECHECK_SECONDS = REFUSAL_PAUSE_SECONDS
"""Interval at which the first waiting request looks for an engine again, in addition to each
answer; and at which a failed engine is probed before its pause ends, if all engines of a service
have failed."""


@dataclass(order=True, frozen=True, slots=True)
class Ticket:
    """A request's position in the queue.

    Attributes
    ----------
    priority
        Rank of its row; 0 is the most urgent.
    deadline, leave_by
        When its answer is due, and until when it may wait, in monotonic time.
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
        Duration of an answer, over all rows; 0 if unknown.
    concurrency
        This daemon's requests that may be at engines concurrently.
    own_seconds
        Duration of an answer of the request's own row; 0 if unknown.
    """

    answer_seconds: float
    concurrency: int
    own_seconds: float

    def seconds_to_leave(self, ahead: int) -> float:
        """Return the time until the given number of requests has left and one more may leave."""
        return self.answer_seconds * ahead / max(1, self.concurrency)

    def seconds_to_answer(self, ahead: int) -> float:
        """Return the shortest time to an answer behind the given number of requests; 0 if unknown.

        The first waiting request may leave at any moment, since the requests at engines started
        earlier.
        """
        return self.seconds_to_leave(ahead) + self.own_seconds


UNKNOWN_PACE = Pace(0.0, 0, 0.0)


def pace_of(engines: Iterable[Engine], own_seconds: float) -> Pace:
    """Return the pace of the answering engines; an engine without a limit counts with its slots."""
    answering = [each for each in engines if each.answer_seconds and not each.failures]
    if not answering:
        return UNKNOWN_PACE
    seconds = sum(each.answer_seconds for each in answering) / len(answering)
    return Pace(seconds, sum(_concurrency(each) for each in answering), own_seconds)


def _concurrency(engine: Engine) -> int:
    limit = engine.limit.value
    return engine.entry.slots if limit is None else min(engine.entry.slots, int(limit))


def has_capacity(engine: Engine, now: float) -> bool:
    """Return whether an engine may get another live request, as far as is known."""
    return now >= engine.full_until and engine.limit.allows(engine.running)


class LiveQueue:
    """Waiting requests of one service at this gateway."""

    def __init__(self, rng: random.Random) -> None:
        self._waiting: list[Ticket] = []
        self._numbers = itertools.count()
        self._random = rng

    def __len__(self) -> int:
        return len(self._waiting)

    @property
    def first(self) -> Ticket | None:
        """The request that leaves next; None if none waits."""
        return self._waiting[0] if self._waiting else None

    def enqueue(self, priority: int, deadline: float, now: float, pace: Pace) -> Ticket | None:
        """Return the ticket of a request; None if it would be answered too late."""
        leave_by = now + (deadline - now) * MAX_WAIT_SHARE
        ticket = Ticket(priority, deadline, next(self._numbers), leave_by)
        ahead = sum(each < ticket for each in self._waiting)
        if pace.seconds_to_answer(ahead) > deadline - now:
            return None
        self.requeue(ticket)
        return ticket

    def requeue(self, ticket: Ticket) -> None:
        """Put back a request whose attempt failed; it keeps the end of its waiting time."""
        heapq.heappush(self._waiting, ticket)

    def remove(self, ticket: Ticket) -> None:
        """Remove a request: it goes to an engine, was rejected, or its caller has left."""
        self._waiting.remove(ticket)
        heapq.heapify(self._waiting)

    def seconds_to_retry(self, seconds_left: float, pace: Pace) -> float:
        """Return the seconds after which a rejected caller should retry.

        Parameters
        ----------
        seconds_left
            Seconds until its deadline.
        """
        drained = pace.seconds_to_leave(len(self._waiting) + 1) if pace.answer_seconds else None
        return after_no_engine(seconds_left, drained, self._random.random())
