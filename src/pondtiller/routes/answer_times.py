"""Response times as one gateway observes them; they decide when a hedge starts. No I/O.

A request that has waited longer than nearly all others is more likely to be at an unresponsive or
slow engine than at a busy one, so a hedge at that point causes few unnecessary runs (Dean and
Barroso, The Tail at Scale).

Holds the recent response times; `service_times` keeps one instance for each service and each row.
Whether a hedge is allowed is decided by `live_attempts.may_hedge`.
"""

from collections import deque

MAX_ANSWERS = 64
"""Answers of one service that the usual time is computed from. The 95th percentile is then the
fifth slowest, so that no single answer decides it, and at one request a second the oldest answer is
a minute old.
"""
MIN_ANSWERS = 16
"""With fewer answers the 95th percentile is not meaningful."""
USUAL_QUANTILE = 0.95
"""Quantile of the answer times that counts as the usual time. At most one request in twenty is
hedged, as Dean and Barroso recommend; unlike a share of a row's objective it needs no setting.
"""
INITIAL_USUAL_SECONDS = 0.1
"""Usual time until enough answers were seen. With engine work of 25 to 40 ms, half of the answers
take 40 ms without faults, and 99 in 100 take 105 to 120 ms."""
MIN_USUAL_SECONDS = 0.06
"""Lower bound of the usual time: shorter differences are scheduling noise of this process."""
SMOOTHING_WEIGHT = 0.2
"""Weight of the latest answer of a row. Equal to `ANSWER_WEIGHT` of an engine, so that the times of
a row and of its engines follow a change equally fast.
"""
SMOOTHED_EXPIRY_SECONDS = 3.0
"""Age at which a smoothed time expires; as `PACE_EXPIRY_SECONDS` of an engine."""


class SmoothedTime:
    """Exponentially smoothed time of recent answers of one kind, in seconds; 0 while unknown."""

    def __init__(self) -> None:
        self._seconds = 0.0
        self._noted_at = 0.0

    def note(self, seconds: float, now: float) -> None:
        """Record the duration of an answer."""
        known = self.seconds(now)
        self._seconds = known + SMOOTHING_WEIGHT * (seconds - known) if known else seconds
        self._noted_at = now

    def seconds(self, now: float) -> float:
        """Return the smoothed time; 0 if the latest answer is too old."""
        return self._seconds if now <= self._noted_at + SMOOTHED_EXPIRY_SECONDS else 0.0


class AnswerTimes:
    """Durations of the latest answers of one service, in seconds."""

    def __init__(self) -> None:
        self._seconds: deque[float] = deque(maxlen=MAX_ANSWERS)
        self._usual: float | None = None

    def note(self, seconds: float) -> None:
        """Record an answer's duration, or how long an engine was waited for that lost a hedge."""
        self._seconds.append(seconds)
        self._usual = None

    @property
    def usual_seconds(self) -> float:
        """Time within which nearly all answers arrive."""
        if len(self._seconds) < MIN_ANSWERS:
            return INITIAL_USUAL_SECONDS
        if self._usual is None:
            ordered = sorted(self._seconds)
            found = ordered[int(USUAL_QUANTILE * (len(ordered) - 1))]
            self._usual = max(MIN_USUAL_SECONDS, found)
        return self._usual
