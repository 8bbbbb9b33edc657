"""Permission to order engines: claimed once a term, and a note in the log before each order.

A successor waits only for orders that another gateway may have sent recently. Holds the notes that
are not committed yet and how long each one is valid, for one term. The notes themselves are in the
step log, and the rules in `order_waits.py`. Which engine loads which version is decided in
`rollouts/versions.py`.
"""

import curio

from pondtiller.gateway.engines.orders import ORDER_SECONDS
from pondtiller.gateway.leader.leadership import Leadership
from pondtiller.gateway.leader.order_waits import (
    NOTE_SECONDS,
    OrderRight,
    engine_waits,
    free_from,
    may_leave,
    pause_after_others,
)
from pondtiller.process import clock, logs
from pondtiller.rollouts.versions import VersionSteward
from pondtiller.routes.engines import EngineDirectory
from pondtiller.steplog.instructions import ElectionWon


class OrderRights:
    """Decides when a term's leader may order which engine.

    Parameters
    ----------
    lease_seconds
        Minimum time between another leader's last order and the first own one.
    """

    def __init__(
        self,
        leadership: Leadership,
        engines: EngineDirectory,
        steward: VersionSteward,
        won: ElectionWon,
        lease_seconds: float,
    ) -> None:
        self._leadership = leadership
        self._engines = engines
        self._steward = steward
        self._epoch = won.epoch
        self._lease_seconds = lease_seconds
        self._held_before = won.order_holder == leadership.name
        self._last_orders = won.last_orders
        self._claim_key = ""
        self._notes: dict[str, curio.Event] = {}
        self._good_until: dict[str, float] = {}

    def claim(self) -> None:
        """Start to order engines; engines recently ordered by another gateway wait first.

        The claim only makes this gateway the preferred leader next time. Safety comes from the
        notes.
        """
        now = clock.monotonic()
        pause = pause_after_others(self._lease_seconds, ORDER_SECONDS)
        waits = engine_waits(self._last_orders, self._leadership.name, pause)
        self._steward.waits = waits
        if self._held_before:
            self._steward.may_order_from = now
        else:
            self._claim_key = self._leadership.log.claim_orders()
        logs.decision(
            "orders_claimed",
            epoch=self._epoch,
            held_before=self._held_before,
            engines_waiting=sum(until > now for until in waits.values()),
            longest_wait=max(0.0, max(waits.values(), default=now) - now),
        )

    async def committed(self, key: str) -> bool:
        """Handle a write that is on a quorum of disks; False if it is neither claim nor note."""
        if key == self._claim_key:
            self._steward.may_order_from = clock.monotonic()
            self._leadership.log.drop_older_claims(key)
            return True
        note = self._notes.get(key)
        if note is None:
            return False
        self._leadership.log.drop_older_notes(key)
        await note.set()
        return True

    async def note(self, identifier: str) -> bool:
        """Write a note that an engine is about to be ordered; return False if it must not be.

        Successors rely on the note of every order being on a quorum of disks before the order is
        sent, and on the order being sent within `NOTE_SECONDS`.
        """
        engine = self._engines.engines.get(identifier)
        return engine is not None and await self.note_subject(engine.place)

    def free_from(self, subject: str, pause: float) -> float:
        """Return when this gateway may act on a subject: `pause` after another gateway's note."""
        return free_from(self._last_orders.get(subject), self._leadership.name, pause)

    async def note_subject(self, subject: str) -> bool:
        """Write a note that a subject is about to be acted on, as `note` does for an engine."""
        log = self._leadership.log
        began = clock.monotonic()
        if not log.holds_lease(began):
            return False
        key = log.note_order(subject)
        committed = self._notes[key] = curio.Event()
        try:
            await self._leadership.flush()
            await curio.ignore_after(NOTE_SECONDS, committed.wait)
        finally:
            del self._notes[key]
        self._good_until[subject] = began + NOTE_SECONDS if committed.is_set() else began
        return self.may_act(subject)

    def may_act(self, subject: str) -> bool:
        """Return whether the note on a subject is still valid.

        Checked again right before a call is sent, since this machine may have been suspended.
        """
        now = clock.monotonic()
        good_until = self._good_until.get(subject, float("-inf"))
        return may_leave(OrderRight(good_until, self._leadership.log.holds_lease(now)), now)

    def may_order(self, identifier: str) -> bool:
        """Return whether the note on an engine covers an order that is sent now."""
        engine = self._engines.engines.get(identifier)
        return engine is not None and self.may_act(engine.place)
