"""Order in which waiting samples start if all groups can be complete in time. No I/O.

Older steps come first, and within a step the longest samples, since the last sample decides when a
step is complete. Long samples of steps that are not much younger come before everything else. If
not all groups can be complete in time, the order of `turns.py` takes precedence.
"""

from typing import NamedTuple

from pondtiller.rollouts.shedding import RANK_SECONDS

LONG_SIZE = 2.0
"""Size of a sample, relative to its step's mean, from which on it decides when its step is
complete. It only orders what waits, so a wrong value costs a step little time."""
LONG_HEAD_START_SECONDS = 3.0
"""How much younger, in seconds, a step may be whose long samples go before the short ones of
others. After a pause, several steps wait for fewer slots than they have samples. A short sample
that starts half a second later ends long before the long ones of its own step, whose runs take 3 s
to 6 s more than the mean (6.3 s against 0.9 s); a long one that starts later delays its step by as
much."""


class StartOrder(NamedTuple):
    """Sort key of a waiting sample; lower ones start first.

    Attributes
    ----------
    effective_accepted_at
        Effective acceptance time of its step, in wall-clock seconds.
    shortness
        Tokens that are expected to be made, negated.
    """

    effective_accepted_at: float
    shortness: float


UNORDERED = StartOrder(float("-inf"), 0.0)
"""Key of a sample before its step has ordered it."""


def start_order(accepted_at: float, priority: int, tokens: float, size: float) -> StartOrder:
    """Return the sort key of a sample.

    Parameters
    ----------
    accepted_at
        Acceptance of its step, in wall-clock seconds.
    priority
        Rank of its row, 0 first.
    tokens
        Expected tokens.
    size
        The same relative to the mean of its step's samples.
    """
    head_start = LONG_HEAD_START_SECONDS if size >= LONG_SIZE else 0.0
    return StartOrder(accepted_at + priority * RANK_SECONDS - head_start, -tokens)
