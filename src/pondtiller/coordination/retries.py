"""Retry budgets, jittered backoff and circuit breakers.

Each holds its own state in memory, gets the time and random source from its caller, and does not
send or wait itself.
"""

import random
from dataclasses import dataclass
from enum import Enum

INITIAL_TOKENS = 5.0
"""Retries that a budget has before any first attempt, so that retries are possible when starting
next to a failing engine. Bounds the load that a start adds to a failure."""
MAXIMUM_TOKENS = 50.0
"""Upper bound of the saved retries. Bounds the burst of retries after a long quiet time; beyond it
retries are a share of first attempts."""


class RetryBudget:
    """Allows retries as a share of first attempts, so that failures cannot multiply load.

    Parameters
    ----------
    ratio
        Retries earned by each first attempt, for example 0.1.
    """

    def __init__(self, ratio: float) -> None:
        self.ratio = ratio
        self._tokens = INITIAL_TOKENS

    def note_first_try(self) -> None:
        """Add a share of one retry."""
        self._tokens = min(MAXIMUM_TOKENS, self._tokens + self.ratio)

    def take_retry(self) -> bool:
        """Spend one retry; return False if the budget is empty."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


@dataclass(frozen=True, slots=True)
class Backoff:
    """Exponential backoff with full jitter, in seconds."""

    first: float = 0.05
    maximum: float = 2.0

    def delay(self, attempt: int, source: random.Random) -> float:
        """Return the wait before attempt number `attempt`, counted from 1."""
        ceiling = min(self.maximum, self.first * 2 ** min(attempt - 1, 16))
        return source.uniform(0.0, ceiling)


class BreakerState(Enum):
    """Whether a breaker lets requests pass."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


class Breaker:
    """Stops traffic to an engine after consecutive failures and probes it later.

    Parameters
    ----------
    threshold
        Consecutive failures that open the breaker.
    open_seconds
        Time from opening until one probe is allowed.
    """

    def __init__(self, threshold: int = 3, open_seconds: float = 1.0) -> None:
        self.threshold = threshold
        self.open_seconds = open_seconds
        self._failures = 0
        self._opened_at: float | None = None
        self._probing_since: float | None = None

    def state(self, now: float) -> BreakerState:
        """Return the state at `now` seconds."""
        if self._opened_at is None:
            return BreakerState.CLOSED
        if now - self._opened_at < self.open_seconds:
            return BreakerState.OPEN
        return BreakerState.HALF_OPEN

    def allows(self, now: float) -> bool:
        """Return whether a request may be sent now."""
        state = self.state(now)
        if state is not BreakerState.HALF_OPEN:
            return state is BreakerState.CLOSED
        return self._probing_since is None or now - self._probing_since >= self.open_seconds

    def note_sent(self, now: float) -> None:
        """Record that a request was sent; a half-open breaker then waits for its outcome."""
        if self.state(now) is BreakerState.HALF_OPEN:
            self._probing_since = now

    def note_success(self) -> None:
        """Close the breaker."""
        self._failures = 0
        self._opened_at = None
        self._probing_since = None

    def note_failure(self, now: float) -> None:
        """Count a failure and open the breaker at the threshold."""
        self._failures += 1
        self._probing_since = None
        if self._failures >= self.threshold:
            self._opened_at = now
