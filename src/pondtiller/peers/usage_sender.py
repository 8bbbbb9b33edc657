"""Sends this gateway's usage counts to the leader, and receives the agreed time from it.

Holds what was sent to which leader; the counts belong to the meter. Both are lost with the process.
"""

from collections.abc import Callable

import curio

from pondtiller.coordination.agreed_clock import AgreedClock
from pondtiller.hashing import score
from pondtiller.peers.leader_client import LeaderClient
from pondtiller.peers.replicas import KnownLeader
from pondtiller.process import clock
from pondtiller.usage.meter import UseMeter, pack_rows, window_of
from pondtiller.wire.steplog import UseTaken, UseTold

CHECK_SECONDS = 0.1
"""Interval of the check whether there is something to send: a fifth of `SEND_INTERVAL_SECONDS`."""
SEND_INTERVAL_SECONDS = 0.5
"""How long counts are batched: the part that is lost if this process is killed."""
RETRY_SECONDS = 0.5
"""Pause after a call that no leader accepted; counts stay here until one does."""
CALL_SECONDS = 1.0
"""Time limit of the leader's answer: many times an answer from another region (40 ms). Counts that
were not accepted are sent again."""
SPREAD_SECONDS = 0.6
"""Interval after the end of a window over which the gateways report that they have counted all of
it; it spreads their calls to the leader."""
HASH_RANGE = 1 << 64
"""Exclusive upper bound of `hashing.score`; scales a score to a part of `SPREAD_SECONDS`."""


class UsageSender:
    """Sends the counts of one gateway.

    Parameters
    ----------
    find_leader
        Returns the leader, if known.
    """

    def __init__(
        self,
        name: str,
        meter: UseMeter,
        agreed: AgreedClock,
        steps: LeaderClient,
        find_leader: Callable[[], KnownLeader | None],
    ) -> None:
        self._name = name
        self._meter = meter
        self._agreed = agreed
        self._steps = steps
        self._find_leader = find_leader
        self._incarnation = clock.new_incarnation()
        self._delay = score("tell", name) / HASH_RANGE * SPREAD_SECONDS
        self._epoch = 0
        self._next = 0.0
        self._window = 0

    async def run(self) -> None:
        """Send counts until cancelled."""
        while True:
            await curio.sleep(CHECK_SECONDS)
            leader = self._find_leader()
            now = clock.monotonic()
            if leader is not None and self._should_send(leader.epoch, now):
                await self.send(leader.epoch)

    def _should_send(self, epoch: int, now: float) -> bool:
        """Return whether the leader is new, lacks counts, or waits for the end of a window."""
        if now < self._next:
            return False
        agreed_now = self._agreed.now(now)
        if epoch != self._epoch or agreed_now is None:
            return True
        self._meter.count(now, agreed_now)
        window = window_of(agreed_now - self._delay, self._meter.window_seconds)
        return window > self._window or bool(self._meter.unreported(epoch))

    async def send(self, epoch: int) -> None:
        """Send all counts that a leader does not have."""
        now = clock.monotonic()
        agreed_now = self._agreed.now(now)
        complete_until = 0.0
        if agreed_now is not None:
            self._meter.count(now, agreed_now)
            complete_until = agreed_now - (now - self._meter.complete_until(now))
        rows = self._meter.unreported(epoch)
        message = UseTold(
            daemon=self._name,
            incarnation=self._incarnation,
            wall_seconds=clock.wall(),
            complete_until=complete_until,
            rows=pack_rows(rows) if rows else b"",
        )
        answer = await self._steps.send_usage(message, CALL_SECONDS)
        answered_at = clock.monotonic()
        self._next = answered_at + RETRY_SECONDS
        if answer is None:
            return
        self._learn(answer, now, answered_at)
        if answer.epoch != epoch:
            return
        self._next = now + SEND_INTERVAL_SECONDS
        self._epoch = epoch
        self._meter.note_reported(epoch, rows)
        if agreed_now is not None:
            reported = window_of(complete_until - self._delay, self._meter.window_seconds)
            self._window = max(self._window, reported)

    def _learn(self, answer: UseTaken, asked_at: float, answered_at: float) -> None:
        if answer.agreed_seconds:
            travelled = (answered_at - asked_at) / 2
            self._agreed.note_agreed_time(answer.agreed_seconds + travelled, answered_at)
