"""In which order waiting samples begin, where all can be whole in time. No I/O.

Owns nothing. Older steps come first, and within a step the longest samples: the last of them
decides when a step is whole. Long samples of steps that are not much younger go first of all.
Where not all groups can be whole in time, `turns.py` puts its own order before this one.
"""

from typing import NamedTuple

from pondtiller.rollouts.shedding import RANK_SECONDS

LONG_SIZE = 2.0
"""Size of a sample, against its step's mean, from which on it decides when its step is whole.
Chosen, not measured: it only orders what waits, so a wrong one costs a step its last moments."""
LONG_HEAD_START_SECONDS = 3.0
"""How much younger, in seconds, a step may be whose long samples go before the short ones of
others. Answers the load after a pause, when several steps wait for fewer places than they have
samples: a short sample that begins half a second later ends long before the long ones of its own
step, whose runs take 3 s to 6 s more than the mean's (hjolsam-grown: 6.3 s against 0.9 s); a long
one that begins later makes its step late by as much."""


class StartOrder(NamedTuple):
    """Where a sample stands among those that wait; lower ones begin first.

    Attributes
    ----------
    counts_from
        When its step counts as accepted, in seconds of the time of day.
    shortness
        Tokens that are expected to be made, negated.
    """

    counts_from: float
    shortness: float


FIRST_OF_ALL = StartOrder(float("-inf"), 0.0)
"""Of a sample that no step has put in order yet."""


def start_order(accepted_at: float, priority: int, tokens: float, size: float) -> StartOrder:
    """Return where a sample stands.

    Parameters
    ----------
    accepted_at
        Of its step, in seconds of the time of day.
    priority
        Of its row, 0 first.
    tokens
        Expected to be made.
    size
        The same against the mean of its step's samples.
    """
    head_start = LONG_HEAD_START_SECONDS if size >= LONG_SIZE else 0.0
    return StartOrder(accepted_at + priority * RANK_SECONDS - head_start, -tokens)
