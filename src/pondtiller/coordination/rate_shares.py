"""Rates held by many daemons together: leased shares of what may leave in any second. No I/O.

Here is a holder's part; the leader's is in `rate_grants`.

A rate is a number of requests that may leave in any span of one second, summed over all daemons.
A leader grants parts of it, each for a lease that its holder counts from when it asked, so it ends
at the holder before it ends in the leader's book. What a holder may use no more rests for one
window before it is granted to another: the two then never share a second.

Two leaders: a holder's wish names the epoch of the leader that it asks, and only that leader takes
it. A successor's book is empty, so for one lease and one window it renews what holders still have,
and grants nothing more. Renewing adds nothing to the sum: the predecessor, which grants nothing
any more, had it reserved for that holder.
"""

import math
from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

WINDOW_SECONDS = 1.05
"""Every span of one second counts; what is let through at the window's two ends may take up to
50 ms longer or shorter to the wire."""
REST_MARGIN_SECONDS = 0.1
"""For clocks that run apart: below 1 % over the longest lease."""
PROMISE_SECONDS = 0.5
"""How long a place is kept for a request whose connection is being opened."""
DEMAND_SECONDS = 2.0
"""Over how long, in seconds, requests are counted to tell how many come. Chosen, not measured: two
windows of the rate, so that one second without a request gives no share back."""
HEADROOM = 1.25
"""Requests do not come evenly: asked for is a quarter more than came. Chosen, not measured."""
RENEW_PARTS = 3.0
"""A share in use is renewed this many times within its lease."""
RETRY_SECONDS = 0.15
"""Pause before what was denied is asked for again; what is wanted beyond that is asked at once."""


class SlidingCount:
    """Times within a window that ends now."""

    def __init__(self, window_seconds: float = WINDOW_SECONDS) -> None:
        self.window_seconds = window_seconds
        self._times: deque[float] = deque()

    def within(self, now: float) -> int:
        """Return how many there are in the window."""
        while self._times and self._times[0] <= now - self.window_seconds:
            self._times.popleft()
        return len(self._times)

    def add(self, now: float) -> None:
        """Note one."""
        self._times.append(now)

    def drop_first(self) -> None:
        """Forget the earliest one, where there is any."""
        if self._times:
            self._times.popleft()

    def free_at(self, most: int, now: float) -> float:
        """Return from when on there are fewer than `most`; infinite where that is never."""
        if most <= 0:
            return math.inf
        if self.within(now) < most:
            return now
        return self._times[len(self._times) - most] + self.window_seconds


class RateWish(NamedTuple):
    """What a holder asks for.

    Attributes
    ----------
    wanted
        Requests in a window.
    holding
        What it may use until it is answered: at most this from now on.
    holding_of
        The whole rate of which that was granted.
    """

    subject: str
    wanted: int
    holding: int
    holding_of: int = 0


class RateTerms(NamedTuple):
    """How a rate is granted.

    Attributes
    ----------
    total
        Requests in a window, of all holders together.
    most_each
        Of one holder.
    window_seconds
        Length of a window; longer than a second for rates below one a second.
    """

    total: int
    most_each: int
    lease_seconds: float
    window_seconds: float = WINDOW_SECONDS

    @property
    def rest_seconds(self) -> float:
        """How long what a holder may use no more is granted to nobody."""
        return self.window_seconds + REST_MARGIN_SECONDS

    @property
    def quiet_seconds(self) -> float:
        """How long after a leader began it may not know all that is held."""
        return self.lease_seconds + self.rest_seconds


@dataclass
class HeldRate:
    """What one daemon may let through of one rate.

    Attributes
    ----------
    granted_of
        The whole rate of which it was granted.
    waiting
        Requests that wait for a share here.
    answered_at
        When the last answer came.
    """

    subject: str
    terms: RateTerms
    granted: int = 0
    granted_of: int = 0
    expires_at: float = -math.inf
    asked_at: float = -math.inf
    answered_at: float = -math.inf
    waiting: int = 0
    _wanted: int = 0
    _sent: SlidingCount = field(init=False)
    _promised: SlidingCount = field(default_factory=lambda: SlidingCount(PROMISE_SECONDS))
    _arrived: SlidingCount = field(default_factory=lambda: SlidingCount(DEMAND_SECONDS))

    def __post_init__(self) -> None:
        self._sent = SlidingCount(self.terms.window_seconds)

    @property
    def renew_seconds(self) -> float:
        """How often a share in use is renewed."""
        return self.terms.lease_seconds / RENEW_PARTS

    def usable(self, now: float) -> int:
        """Return how many may leave in a window now."""
        return self.granted if now < self.expires_at else 0

    def follow(self, terms: RateTerms) -> None:
        """Take the rate as this daemon's rows have it: a lower one lowers what is held at once."""
        if terms == self.terms:
            return
        if terms.window_seconds != self.terms.window_seconds:
            # What was let through counts in windows of the new length from now on.
            self.granted = 0
            self._sent.window_seconds = terms.window_seconds
        self.terms = terms
        self.granted = lowered(self.granted, self.granted_of, terms.total)
        self.granted_of = min(self.granted_of, terms.total)

    def free_at(self, now: float) -> float:
        """Return from when on one may leave, with what is held now; infinite where nothing is."""
        at = self._sent.free_at(self.usable(now) - self._promised.within(now), now)
        return at if at < self.expires_at else math.inf

    def arrived(self, now: float) -> None:
        """Note a request that is to leave."""
        self._arrived.add(now)

    def promise(self, now: float) -> None:
        """Keep a place for one that will leave in a moment; no right to leave follows from it."""
        self._promised.add(now)

    def take(self, now: float) -> bool:
        """Let one request through, and count it; False where it must not leave now."""
        self._promised.drop_first()
        if self._sent.within(now) >= self.usable(now):
            return False
        self._sent.add(now)
        return True

    def needed(self, now: float) -> int:
        """Return the share that is of use now; a lone request gives its share back at once."""
        recent = self._arrived.within(now)
        if not self.waiting and (recent <= 1 or not self.usable(now)):
            return 0
        # What waits needs places beside those that are taken, or kept, in this window.
        taken = self._sent.within(now) + self._promised.within(now)
        at_once = self.waiting + taken if self.waiting else 0
        a_window = recent / DEMAND_SECONDS * self.terms.window_seconds
        return max(at_once, math.ceil(a_window * HEADROOM))

    def is_due(self, now: float) -> bool:
        """Return whether the leader is to be asked now."""
        needed, usable = self.needed(now), self.usable(now)
        if needed > usable and (needed > self._wanted or now >= self.asked_at + RETRY_SECONDS):
            return True
        # A share that is a little too large is not worth a message each time.
        is_useless = needed == 0 and usable > 0
        return is_useless or (usable > 0 and now >= self.asked_at + self.renew_seconds)

    def was_answered_since(self, moment: float) -> bool:
        """Return whether the leader answered a wish that was made since a moment."""
        return self.asked_at >= moment and self.answered_at >= self.asked_at

    def is_idle(self, now: float) -> bool:
        """Return whether nothing is held, wanted or counted."""
        return not (self.usable(now) or self.needed(now) or self._sent.within(now))

    def wish(self, now: float) -> RateWish:
        """Return what to ask for; from now on no more is used than is wanted."""
        needed = self.needed(now)
        self.granted = min(self.usable(now), needed)
        self.asked_at = now
        self._wanted = needed
        return RateWish(self.subject, needed, self.granted, self.granted_of)

    def receive(self, granted: int, total: int, now: float) -> None:
        """Take the answer to the latest wish: a share, and the whole rate at the leader."""
        self.granted = lowered(granted, total, self.terms.total)
        self.granted_of = min(total, self.terms.total)
        self.expires_at = self.asked_at + self.terms.lease_seconds
        self.answered_at = now


def lowered(share: int, share_of: int, total: int) -> int:
    """Return a share of a rate as one of a lower rate; a higher one leaves it as it is."""
    return share * total // share_of if share_of > total else share
