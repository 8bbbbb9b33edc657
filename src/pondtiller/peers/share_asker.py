"""Asks the leader for shares of the rates that all gateways hold together, while any are of use.

Where no such rate is touched it sends nothing and waits for nothing. Owns the shares that this
gateway holds; they end with the process. How shares are used up is in `coordination/`, how they are
granted, at the leader in `gateway/leader/rate_duty.py`.
"""

from collections.abc import Awaitable, Callable

import curio

from pondtiller.coordination.rate_shares import HeldRate, RateTerms, RateWish
from pondtiller.peers.replicas import LeaderPlace
from pondtiller.process import clock
from pondtiller.wire.steplog import AskShares, SharesGranted

CHECK_SECONDS = 0.05
"""How often shares are looked at while there are any."""
CALL_SECONDS = 0.5
"""Chosen, not measured: ten times a leader's answer from another region."""
MAX_SUBJECTS = 200
"""In one message; the rest follows in the next. Chosen, not measured."""

Ask = Callable[[AskShares, float], Awaitable[SharesGranted | None]]


class ShareAsker:
    """The shares of one gateway.

    Parameters
    ----------
    ask
        Calls the leader; None where none took the message.
    find_leader
        Returns the leader as far as it is known.
    """

    def __init__(self, name: str, ask: Ask, find_leader: Callable[[], LeaderPlace | None]) -> None:
        self._name = name
        self._ask = ask
        self._find_leader = find_leader
        self._incarnation = clock.new_incarnation()
        self._sequence = 0
        self._held: dict[str, HeldRate] = {}
        self._wake = curio.Event()
        self._changed = curio.Event()

    def held(self, subject: str, terms: RateTerms) -> HeldRate:
        """Return what is held of a rate, which is now as given."""
        held = self._held.get(subject)
        if held is None:
            held = self._held[subject] = HeldRate(subject, terms)
        held.follow(terms)
        return held

    def take(self, subject: str, now: float) -> bool:
        """Let one request of a rate leave, and count it; False where it must not."""
        held = self._held.get(subject)
        return held is not None and held.take(now)

    def has_room(self, subject: str, now: float) -> bool:
        """Return whether one request of a rate might leave now."""
        held = self._held.get(subject)
        return held is not None and held.free_at(now) <= now

    async def wait(self, subject: str, terms: RateTerms, until: float) -> bool:
        """Wait until one request might leave, and keep its place a moment; False once that will
        not be in time.
        """
        return await self._wait(self.held(subject, terms), until, takes=False)

    async def admit(self, held: HeldRate, until: float) -> bool:
        """Wait until one request may leave, and count it; False once that will not be in time."""
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
        """Ask until cancelled."""
        while True:
            if not self._held:
                await self._wake.wait()
            self._wake.clear()
            await self.look()
            await curio.ignore_after(CHECK_SECONDS, self._wake.wait)

    async def look(self) -> None:
        """Ask for what is due; forget what is idle."""
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
        wishes: list[RateWish] = [each.wish(now) for each in due]
        self._sequence += 1
        message = AskShares(
            daemon=self._name,
            incarnation=self._incarnation,
            sequence=self._sequence,
            epoch=epoch,
            subjects=[each.subject for each in wishes],
            wanted=[each.wanted for each in wishes],
            holding=[each.holding for each in wishes],
            holding_of=[each.holding_of for each in wishes],
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
    """Count a request that leaves now, or keep its place until the gate counts it."""
    if takes:
        return held.take(now)
    held.promise(now)
    return True
