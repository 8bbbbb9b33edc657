"""Tells the leader what this gateway has counted, and learns the agreed time of day from it.

Owns what was sent to which leader; what was counted is the meter's. Both end with the process.
"""

from collections.abc import Callable

import curio

from pondtiller.coordination.agreed_clock import AgreedClock
from pondtiller.hashing import score
from pondtiller.peers.leader_client import LeaderClient
from pondtiller.peers.replicas import LeaderPlace
from pondtiller.process import clock
from pondtiller.usage.meter import UseMeter, pack_rows, window_of
from pondtiller.wire.steplog import UseTaken, UseTold

CHECK_SECONDS = 0.1
"""Between two looks whether there is something to send. Chosen, not measured: a fifth of
`TELL_SECONDS`."""
TELL_SECONDS = 0.5
"""How long counts are gathered: what is lost of them where this process is killed."""
RETRY_SECONDS = 0.5
"""Pause after a call that no leader took. Chosen, not measured: counts stay here until one does."""
CALL_SECONDS = 1.0
"""How long the leader may take to answer. Chosen, not measured: many times an answer from another
region (40 ms), and what was not taken is sent again."""
SPREAD_SECONDS = 0.6
"""Over this time after the end of a window the gateways say that they have counted all of it.

Spreads their calls to one leader. Chosen, not measured."""
HASH_RANGE = 1 << 64
"""Values of `hashing.score`, without unit: divides one into a part of `SPREAD_SECONDS`."""


class UsageTeller:
    """Tells counts of one gateway.

    Parameters
    ----------
    find_leader
        Returns the leader as far as it is known.
    """

    def __init__(
        self,
        name: str,
        meter: UseMeter,
        agreed: AgreedClock,
        steps: LeaderClient,
        find_leader: Callable[[], LeaderPlace | None],
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
        """Tell until cancelled."""
        while True:
            await curio.sleep(CHECK_SECONDS)
            leader = self._find_leader()
            now = clock.monotonic()
            if leader is not None and self._should_tell(leader.epoch, now):
                await self.tell(leader.epoch)

    def _should_tell(self, epoch: int, now: float) -> bool:
        """Return whether the leader is new, lacks counts, or waits for the end of a window."""
        if now < self._next:
            return False
        agreed_now = self._agreed.now(now)
        if epoch != self._epoch or agreed_now is None:
            return True
        self._meter.count(now, agreed_now)
        window = window_of(agreed_now - self._delay, self._meter.window_seconds)
        return window > self._window or bool(self._meter.untold(epoch))

    async def tell(self, epoch: int) -> None:
        """Tell all that a leader does not know."""
        now = clock.monotonic()
        agreed_now = self._agreed.now(now)
        complete_until = 0.0
        if agreed_now is not None:
            self._meter.count(now, agreed_now)
            complete_until = agreed_now - (now - self._meter.complete_until(now))
        rows = self._meter.untold(epoch)
        message = UseTold(
            daemon=self._name,
            incarnation=self._incarnation,
            wall_seconds=clock.wall(),
            complete_until=complete_until,
            rows=pack_rows(rows) if rows else b"",
        )
        answer = await self._steps.tell_use(message, CALL_SECONDS)
        answered_at = clock.monotonic()
        self._next = answered_at + RETRY_SECONDS
        if answer is None:
            return
        self._learn(answer, now, answered_at)
        if answer.epoch != epoch:
            return
        self._next = now + TELL_SECONDS
        self._epoch = epoch
        self._meter.told(epoch, rows)
        if agreed_now is not None:
            told = window_of(complete_until - self._delay, self._meter.window_seconds)
            self._window = max(self._window, told)

    def _learn(self, answer: UseTaken, asked_at: float, answered_at: float) -> None:
        if answer.agreed_seconds:
            travelled = (answered_at - asked_at) / 2
            self._agreed.learned(answer.agreed_seconds + travelled, answered_at)
