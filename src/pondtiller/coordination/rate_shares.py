"""Rates shared by many daemons: leased shares of the requests allowed in any second. No I/O.

This is the holder's part; the leader's part is in `rate_grants`.

A rate is a number of requests that may be sent in any interval of one second, summed over all
daemons. A leader grants parts of it, each for a lease that its holder counts from when it asked, so
that it ends at the holder before it ends in the leader's book. A part that a holder may no longer
use is not granted to another for one window, so that the two never share a second.

With two leaders, a holder's demand names the epoch of the leader that it asks, and only that leader
accepts it. A successor's book is empty, so for one lease and one window it renews what holders
still have, and grants nothing more. Renewing adds nothing to the sum: the predecessor, which no
longer grants anything, had it reserved for that holder.
"""

import math
from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

WINDOW_SECONDS = 1.05
"""Window of the count. The limit applies to every interval of one second; requests counted at the
two ends of the window may be up to 50 ms faster or slower to the wire."""
REST_MARGIN_SECONDS = 0.1
"""Margin for clocks that drift apart: below 1% over the longest lease."""
PROMISE_SECONDS = 0.5
"""How long a place is reserved for a request whose connection is being opened."""
DEMAND_SECONDS = 2.0
"""Interval over which requests are counted to estimate their rate: two windows of the rate, so that
a second without a request does not return the share."""
HEADROOM = 1.25
"""Factor of the demand over the observed rate, since requests do not arrive evenly."""
RENEW_PARTS = 3.0
"""How often a share in use is renewed within its lease."""
RETRY_SECONDS = 0.15
"""Pause before a denied demand is repeated; a larger demand is sent at once."""


class SlidingCount:
    """Times within a window that ends now."""

    def __init__(self, window_seconds: float = WINDOW_SECONDS) -> None:
        self.window_seconds = window_seconds
        self._times: deque[float] = deque()

    def within(self, now: float) -> int:
        """Return the number of times in the window."""
        while self._times and self._times[0] <= now - self.window_seconds:
            self._times.popleft()
        return len(self._times)

    def add(self, now: float) -> None:
        """Add a time."""
        self._times.append(now)

    def drop_first(self) -> None:
        """Remove the earliest time, if there is any."""
        if self._times:
            self._times.popleft()

    def free_at(self, most: int, now: float) -> float:
        """Return when there are fewer than `most`; infinite if never."""
        if most <= 0:
            return math.inf
        if self.within(now) < most:
            return now
        return self._times[len(self._times) - most] + self.window_seconds


class RateDemand(NamedTuple):
    """A holder's demand.

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
        Requests in a window, of one holder.
    window_seconds
        Length of a window; longer than a second for rates below one a second.
    """

    total: int
    most_each: int
    lease_seconds: float
    window_seconds: float = WINDOW_SECONDS

    @property
    def rest_seconds(self) -> float:
        """How long a part that a holder may no longer use is not granted to another."""
        return self.window_seconds + REST_MARGIN_SECONDS

    @property
    def takeover_wait_seconds(self) -> float:
        """How long a new leader may not know all grants of its predecessors."""
        return self.lease_seconds + self.rest_seconds


@dataclass
class HeldRate:
    """One daemon's share of one rate.

    Attributes
    ----------
    granted_of
        The whole rate of which it was granted.
    waiting
        Requests that wait for a share here.
    answered_at
        When the last answer arrived.
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
        """Interval of the renewals of a share in use."""
        return self.terms.lease_seconds / RENEW_PARTS

    def usable(self, now: float) -> int:
        """Return how many requests may be sent in a window now."""
        return self.granted if now < self.expires_at else 0

    def follow(self, terms: RateTerms) -> None:
        """Apply the rate in this daemon's rows: a lower one reduces the share at once."""
        if terms == self.terms:
            return
        if terms.window_seconds != self.terms.window_seconds:
            # From now on sent requests are counted in windows of the new length.
            self.granted = 0
            self._sent.window_seconds = terms.window_seconds
        self.terms = terms
        self.granted = lowered(self.granted, self.granted_of, terms.total)
        self.granted_of = min(self.granted_of, terms.total)

    def free_at(self, now: float) -> float:
        """Return when the share allows the next request; infinite without a share."""
        at = self._sent.free_at(self.usable(now) - self._promised.within(now), now)
        return at if at < self.expires_at else math.inf

    def arrived(self, now: float) -> None:
        """Count a request that wants to be sent."""
        self._arrived.add(now)

    def promise(self, now: float) -> None:
        """Reserve a place for a request about to be sent; it must still be counted by `take`."""
        self._promised.add(now)

    def take(self, now: float) -> bool:
        """Count a request that is sent; return False if it must not be sent now."""
        self._promised.drop_first()
        if self._sent.within(now) >= self.usable(now):
            return False
        self._sent.add(now)
        return True

    def needed(self, now: float) -> int:
        """Return the share that is useful now; a single request returns its share at once."""
        recent = self._arrived.within(now)
        if not self.waiting and (recent <= 1 or not self.usable(now)):
            return 0
        # Waiting requests need places beside those that are used or reserved in this window.
        taken = self._sent.within(now) + self._promised.within(now)
        at_once = self.waiting + taken if self.waiting else 0
        a_window = recent / DEMAND_SECONDS * self.terms.window_seconds
        return max(at_once, math.ceil(a_window * HEADROOM))

    def is_due(self, now: float) -> bool:
        """Return whether the leader should be asked now."""
        needed, usable = self.needed(now), self.usable(now)
        if needed > usable and (needed > self._wanted or now >= self.asked_at + RETRY_SECONDS):
            return True
        # A share that is slightly too large is not worth a message each time.
        is_useless = needed == 0 and usable > 0
        return is_useless or (usable > 0 and now >= self.asked_at + self.renew_seconds)

    def was_answered_since(self, moment: float) -> bool:
        """Return whether the leader answered a demand that was sent since a moment."""
        return self.asked_at >= moment and self.answered_at >= self.asked_at

    def is_idle(self, now: float) -> bool:
        """Return whether nothing is held, wanted or counted."""
        return not (self.usable(now) or self.needed(now) or self._sent.within(now))

    def demand(self, now: float) -> RateDemand:
        """Return the demand to send; from now on no more is used than is wanted."""
        needed = self.needed(now)
        self.granted = min(self.usable(now), needed)
        self.asked_at = now
        self._wanted = needed
        return RateDemand(self.subject, needed, self.granted, self.granted_of)

    def receive(self, granted: int, total: int, now: float) -> None:
        """Apply the answer to the latest demand: a share, and the whole rate at the leader."""
        self.granted = lowered(granted, total, self.terms.total)
        self.granted_of = min(total, self.terms.total)
        self.expires_at = self.asked_at + self.terms.lease_seconds
        self.answered_at = now


def lowered(share: int, share_of: int, total: int) -> int:
    """Scale a share down to a lower rate; a higher rate leaves it unchanged."""
    return share * total // share_of if share_of > total else share
