"""Requests that wait at a gateway for engines, and how they are woken in order.

Holds the queues, one for each service and set of homes. Which requests may wait, for how long and
in which order is decided in `routes.live_queue` and `routes.live_attempts.may_wait`; a woken
request looks for an engine itself.
"""

import random
from dataclasses import dataclass
from typing import Any

import curio

from pondtiller.process import clock
from pondtiller.routes.live_queue import RECHECK_SECONDS, LiveQueue, Ticket


@dataclass(frozen=True, slots=True)
class WaitingQueue:
    """Requests that wait for the engines of a service, with the same homes.

    Attributes
    ----------
    turn
        A `curio.Event`, set when the order or an engine's capacity has changed.
    """

    queue: LiveQueue
    turn: Any

    async def wait_for_turn(self, ticket: Ticket) -> None:
        """Wait until the order may have changed; the first request also checks periodically."""
        self.turn.clear()
        patience = max(0.0, ticket.leave_by - clock.monotonic())
        if self.queue.first is ticket:
            patience = min(patience, RECHECK_SECONDS)
        await curio.ignore_after(patience, self.turn.wait)


class WaitingQueues:
    """One queue for each service and set of homes, since other homes may have free engines."""

    def __init__(self, rng: random.Random) -> None:
        self._random = rng
        self._lines: dict[str, dict[frozenset[str], WaitingQueue]] = {}

    def of(self, service: str, homes: frozenset[str]) -> WaitingQueue:
        """Return the queue in which a request waits."""
        lines = self._lines.setdefault(service, {})
        if homes not in lines:
            lines[homes] = WaitingQueue(LiveQueue(self._random), curio.Event())
        return lines[homes]

    async def wake_all(self) -> None:
        """Wake all requests that wait: a condition that applies to all of them has changed."""
        for service in list(self._lines):
            await self.wake(service)

    async def wake(self, service: str) -> None:
        """Wake the requests that wait for a service: an engine may have a free slot."""
        for line in list(self._lines.get(service, {}).values()):
            if line.queue:
                await line.turn.set()
