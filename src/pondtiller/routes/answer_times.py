"""How long answers take, as one gateway has seen it: when a hedge begins. No I/O.

A request that waits longer than nearly all others did is likelier at a silent or slow engine than
at a busy one, so a hedge then costs few needless runs (Dean and Barroso, The Tail at Scale).

Owns the last answers' times; `service_times` keeps one for each service and each row. Whether a
hedge may begin is `live_attempts.may_hedge`.
"""

from collections import deque

KEPT_ANSWERS = 64
"""Answers of one service that its usual time is taken from. Chosen, not measured: the slowest of
twenty is then the fifth slowest, so that no single answer decides, and at a request a second the
oldest is a minute old.
"""
FEWEST_ANSWERS = 16
"""Of fewer answers the slowest of twenty cannot be told."""
USUAL_QUANTILE = 0.95
"""Part of the answers that come within the usual time. As Dean and Barroso have it: one request in
twenty is hedged at most. Played in pairs against half of a row's objective, no difference told from
noise (0.03) on seven days; taken since it needs no setting.
"""
FIRST_SECONDS = 0.1
"""Until enough answers were seen. On quiet days half of the answers took 40 ms and 99 of 100 took
105 to 120 ms, on deployments with work of 25 to 40 ms."""
SHORTEST_SECONDS = 0.06
"""Less is noise of the daemon itself."""
SMOOTHED_WEIGHT = 0.2
"""Weight of the last answer of a row. Chosen, not measured: as `ANSWER_WEIGHT` for an engine, so
that a row's time and its engines' follow a change alike.
"""
SMOOTHED_KEPT_SECONDS = 3.0
"""As for an engine's pace: an older time tells nothing of now."""


class SmoothedTime:
    """Time of the last answers of one kind, in seconds; 0 while none is known."""

    def __init__(self) -> None:
        self._seconds = 0.0
        self._noted_at = 0.0

    def note(self, seconds: float, now: float) -> None:
        """Take how long an answer took."""
        known = self.seconds(now)
        self._seconds = known + SMOOTHED_WEIGHT * (seconds - known) if known else seconds
        self._noted_at = now

    def seconds(self, now: float) -> float:
        """Return the smoothed time; 0 where the last answer is too long ago."""
        return self._seconds if now <= self._noted_at + SMOOTHED_KEPT_SECONDS else 0.0


class AnswerTimes:
    """Times of the last answers of one service, in seconds."""

    def __init__(self) -> None:
        self._seconds: deque[float] = deque(maxlen=KEPT_ANSWERS)
        self._usual: float | None = None

    def note(self, seconds: float) -> None:
        """Take how long an answer took, or an engine was waited for when another answered."""
        self._seconds.append(seconds)
        self._usual = None

    @property
    def usual_seconds(self) -> float:
        """Time within which nearly all answers came."""
        if len(self._seconds) < FEWEST_ANSWERS:
            return FIRST_SECONDS
        if self._usual is None:
            ordered = sorted(self._seconds)
            found = ordered[int(USUAL_QUANTILE * (len(ordered) - 1))]
            self._usual = max(SHORTEST_SECONDS, found)
        return self._usual
