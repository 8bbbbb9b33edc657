"""How many live requests a daemon may have at one engine, learned from its answers. No I/O.

Load: a burst, or slow engines, so that more comes than a service can answer. An engine queues what
exceeds its places, and each request then waits there for those before it: all answers come after
their deadlines although the engine works without a pause. Other daemons' requests queue there too,
so one's own count does not tell. What tells is a refusal, or an answer that comes late: the limit
falls by a factor, and rises by one for each round of answers in good time (additive increase,
multiplicative decrease, as TCP shares a link). Each daemon comes to a fair part of the places.

Owns one engine's limit, kept in `Engine` and lost at a restart. Binds live requests only, not
samples.
"""

DECREASE = 0.7
"""A third less at a time: half would empty an engine whose queue is only a little too long."""
GOOD_TIME = 0.5
"""Part of the objective within which an answer lets the limit rise: at more, it would oscillate
about answers that are just too late."""
FEWEST = 1.0
"""One request at a time is always allowed, else nothing would be learned of a better time."""
FORGOTTEN_SLOTS = 2.0
"""A limit above this many times the engine's places binds nothing and is dropped."""


class ConcurrencyLimit:
    """A limit of requests at one engine; none until an engine was full or late.

    Attributes
    ----------
    value
        Most requests at once; None while nothing was learned, where all may leave.
    """

    def __init__(self) -> None:
        self.value: float | None = None
        self._not_lower_before = 0.0

    def allows(self, running: int) -> bool:
        """Return whether one more request may leave beside those that run."""
        return self.value is None or running < int(self.value)

    def note_late(self, running: int, seconds: float, now: float) -> None:
        """Take a refusal or a late answer.

        Parameters
        ----------
        running
            Own requests at the engine, the one that was late included.
        seconds
            For how long further ones tell nothing new: they left before the limit fell.
        """
        if now < self._not_lower_before:
            return
        self._not_lower_before = now + seconds
        current = running if self.value is None else min(self.value, running)
        self.value = max(FEWEST, current * DECREASE)

    def note_answer(
        self, running: int, slots: int, seconds: float, objective: float, now: float
    ) -> None:
        """Take how long an answer took, against the time within which it counts in full."""
        if seconds > objective:
            self.note_late(running, objective, now)
        elif self.value is not None and seconds <= objective * GOOD_TIME:
            if running >= int(self.value):
                self.value += 1.0 / self.value
            if self.value > slots * FORGOTTEN_SLOTS:
                self.value = None
