"""Adaptive limit of the live requests that a daemon sends to one engine at a time. No I/O.

During a burst, or with slow engines, more requests arrive than a service can answer. An engine
queues what exceeds its slots, so all answers come after their deadlines although the engine is
never idle. Other daemons' requests wait in the same queue, so a daemon cannot tell from its own
count. A refusal or a late answer shows it: the limit then falls by a factor, and it rises by one
for each round of answers in time (additive increase, multiplicative decrease, as in TCP congestion
control). The daemons converge to fair parts of the engine's slots.

Holds one engine's limit, kept in `Engine` and lost at a restart. Applies to live requests only, not
to samples.
"""

DECREASE_FACTOR = 0.7
"""Halving would leave an engine idle whose queue is only a little too long."""
INCREASE_OBJECTIVE_SHARE = 0.5
"""Part of the objective within which an answer raises the limit. With a larger part the limit
oscillates around answers that are just too late."""
MIN_LIMIT = 1.0
"""One request at a time is always allowed; otherwise a recovery would never be noticed."""
UNLIMITED_SLOTS_FACTOR = 2.0
"""A limit above this multiple of the engine's slots has no effect and is removed."""


class ConcurrencyLimit:
    """Limit of concurrent requests at one engine; unset until the engine was full or late.

    Attributes
    ----------
    value
        Most concurrent requests; None for no limit.
    """

    def __init__(self) -> None:
        self.value: float | None = None
        self._next_decrease_at = 0.0

    def allows(self, running: int) -> bool:
        """Return whether one more request may be sent beside those in flight."""
        return self.value is None or running < int(self.value)

    def note_late(self, running: int, seconds: float, now: float) -> None:
        """Lower the limit after a refusal or a late answer.

        Parameters
        ----------
        running
            Own requests at the engine, including the late one.
        seconds
            How long further late answers are ignored: their requests were sent before the decrease.
        """
        if now < self._next_decrease_at:
            return
        self._next_decrease_at = now + seconds
        current = running if self.value is None else min(self.value, running)
        self.value = max(MIN_LIMIT, current * DECREASE_FACTOR)

    def note_answer(
        self, running: int, slots: int, seconds: float, objective: float, now: float
    ) -> None:
        """Adjust the limit by an answer's duration, compared with the objective of its row."""
        if seconds > objective:
            self.note_late(running, objective, now)
        elif self.value is not None and seconds <= objective * INCREASE_OBJECTIVE_SHARE:
            if running >= int(self.value):
                self.value += 1.0 / self.value
            if self.value > slots * UNLIMITED_SLOTS_FACTOR:
                self.value = None
