"""Requests shares of shared rates from the leader, while they are of use.

Without requests for such a rate it sends nothing and waits for nothing. Holds the shares of this
gateway; they are lost with the process. The use of shares is in `coordination/`, granting them, at
the leader, in `gateway/leader/rate_duty.py`.
"""

from collections.abc import Awaitable, Callable

import curio

from pondtiller.coordination.rate_shares import HeldRate, RateDemand, RateTerms
from pondtiller.peers.replicas import KnownLeader
from pondtiller.process import clock
from pondtiller.wire.steplog import AskShares, SharesGranted

CHECK_SECONDS = 0.05
"""Interval of the check of shares while there are any."""
CALL_SECONDS = 0.5
"""Time limit of a call: ten times a leader's answer from another region."""
MAX_SUBJECTS = 200
"""Largest number of rates in one message; the rest follows in the next."""

Ask = Callable[[AskShares, float], Awaitable[SharesGranted | None]]


class ShareAsker:
    """Shares of one gateway.

    Parameters
    ----------
    ask
        Calls the leader; returns None if no leader accepted the message.
    find_leader
        Returns the leader, if known.
    """

    def __init__(self, name: str, ask: Ask, find_leader: Callable[[], KnownLeader | None]) -> None:
        self._name = name
        self._ask = ask
        self._find_leader = find_leader
        self._incarnation = clock.new_incarnation()
        self._sequence = 0
        self._held: dict[str, HeldRate] = {}
        self._wake = curio.Event()
        self._changed = curio.Event()

    def held(self, subject: str, terms: RateTerms) -> HeldRate:
        """Return the share of a rate, whose current terms are given."""
        held = self._held.get(subject)
        if held is None:
            held = self._held[subject] = HeldRate(subject, terms)
        held.follow(terms)
        return held

    def take(self, subject: str, now: float) -> bool:
        """Count one request of a rate that is sent; return False if it must not be sent."""
        held = self._held.get(subject)
        return held is not None and held.take(now)

    def has_room(self, subject: str, now: float) -> bool:
        """Return whether one request of a rate might be sent now."""
        held = self._held.get(subject)
        return held is not None and held.free_at(now) <= now

    async def wait(self, subject: str, terms: RateTerms, until: float) -> bool:
        """Wait until one request might be sent, and reserve its place for a moment.

        Returns False once that will not be in time.
        """
        return await self._wait(self.held(subject, terms), until, takes=False)

    async def admit(self, held: HeldRate, until: float) -> bool:
        """Wait until one request may be sent, and count it; False once that will not be in time."""
        return await self._wait(held, until, takes=True)

    async def _wait(self, held: HeldRate, until: float, takes: bool) -> bool:
        now = clock.monotonic()
        held.arrived(now)
        if held.free_at(now) <= now:
            return _use(held, now, takes)
        held.waiting += 1
        try:
            return await self._wait_for(held, now, until, takes)
        finally:
            held.waiting -= 1

    async def _wait_for(self, held: HeldRate, began: float, until: float, takes: bool) -> bool:
        while True:
            now = clock.monotonic()
            free_at = held.free_at(now)
            if free_at <= now:
                return _use(held, now, takes)
            is_answered = held.was_answered_since(began)
            if now >= until or (is_answered and free_at > until):
                return False
            await self._wake.set()
            await curio.ignore_after(min(free_at, until) - now, self._changed.wait)

    async def run(self) -> None:
        """Request shares until cancelled."""
        while True:
            if not self._held:
                await self._wake.wait()
            self._wake.clear()
            await self.check()
            await curio.ignore_after(CHECK_SECONDS, self._wake.wait)

    async def check(self) -> None:
        """Request what is due; remove what is idle."""
        now = clock.monotonic()
        due = [each for each in self._held.values() if each.is_due(now)][:MAX_SUBJECTS]
        leader = self._find_leader()
        if due and leader is not None:
            await self._call(due, leader.epoch, now)
        now = clock.monotonic()
        for subject, held in list(self._held.items()):
            if held.is_idle(now):
                del self._held[subject]

    async def _call(self, due: list[HeldRate], epoch: int, now: float) -> None:
        demands: list[RateDemand] = [each.demand(now) for each in due]
        self._sequence += 1
        message = AskShares(
            daemon=self._name,
            incarnation=self._incarnation,
            sequence=self._sequence,
            epoch=epoch,
            subjects=[each.subject for each in demands],
            wanted=[each.wanted for each in demands],
            holding=[each.holding for each in demands],
            holding_of=[each.holding_of for each in demands],
        )
        answer = await self._ask(message, CALL_SECONDS)
        if answer is None or not len(answer.granted) == len(answer.totals) == len(due):
            return
        answered_at = clock.monotonic()
        for each, granted, total in zip(due, answer.granted, answer.totals, strict=True):
            each.receive(granted, total, answered_at)
        changed, self._changed = self._changed, curio.Event()
        await changed.set()


def _use(held: HeldRate, now: float, takes: bool) -> bool:
    """Count a request that is sent now, or reserve its place until the gate counts it."""
    if takes:
        return held.take(now)
    held.promise(now)
    return True
