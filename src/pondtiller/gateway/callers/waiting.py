"""Requests that wait at a gateway for engines, and how they are woken in turn.

Owns the lines, one for each service and set of homes. Who may wait, for how long and in which order
is `routes.live_queue` and `routes.live_attempts.may_wait`; whoever is woken asks for an engine
itself.
"""

import random
from dataclasses import dataclass
from typing import Any

import curio

from pondtiller.process import clock
from pondtiller.routes.live_queue import RECHECK_SECONDS, LiveQueue, Ticket


@dataclass(frozen=True, slots=True)
class WaitingLine:
    """Requests that wait for the engines of a service, in the same homes.

    Attributes
    ----------
    turn
        A `curio.Event`, set when the order or an engine's room has changed.
    """

    queue: LiveQueue
    turn: Any

    async def wait_turn(self, ticket: Ticket) -> None:
        """Wait until the order may have changed; the first looks for itself now and then."""
        self.turn.clear()
        patience = max(0.0, ticket.leave_by - clock.monotonic())
        if self.queue.first is ticket:
            patience = min(patience, RECHECK_SECONDS)
        await curio.ignore_after(patience, self.turn.wait)


class WaitingLines:
    """One line for each service, and for each set of homes, since others may leave earlier."""

    def __init__(self, rng: random.Random) -> None:
        self._random = rng
        self._lines: dict[str, dict[frozenset[str], WaitingLine]] = {}

    def of(self, service: str, homes: frozenset[str]) -> WaitingLine:
        """Return the line that a request waits in."""
        lines = self._lines.setdefault(service, {})
        if homes not in lines:
            lines[homes] = WaitingLine(LiveQueue(self._random), curio.Event())
        return lines[homes]

    async def call(self, service: str) -> None:
        """Let those that wait for a service look again: an engine may have room."""
        for line in list(self._lines.get(service, {}).values()):
            if line.queue:
                await line.turn.set()
