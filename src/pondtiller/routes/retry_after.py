"""When a refused caller is to come back: the one rule of `Retry-After`. No I/O.

| refused because | seconds |
|---|---|
| no engine may get it | `after_no_engine`: until the line has drained, or a part of the time left |
| its tenant's rate | `after_rate`: until a place of this gateway's share is free |
| its content is held back | until the content may run again (`Quarantine.seconds_left`) |
| anything else, not run | `RETRY_AFTER_SECONDS` |
| it may have run, or would fail again | no header |

Owns no state. `Failure` carries the seconds of the first three; the answer's header is made from it
by `gateway_retry_after`. Answers that are not the gateway's own front's, and streams that fail
before they begin, give whole seconds by `ErrorAnswer.retry_after_seconds` alone.
"""

import math

from pondtiller.errors import Failure, Ran

RETRY_AFTER_SECONDS = 0.25
"""Where the refusal knows no better: gateway not ready or stopping, deadline passed in the line.
Another gateway usually takes the request then. Chosen, not measured against other values: a caller
whose request is due in 1 s still has time for two more, and one caller asks a gateway that refuses
at most 4 times a second. In a burst while the live engines are gone, callers come back after this
to the same answer (40 of 59 refused, design note 28)."""
EXACT_BELOW_SECONDS = 100
"""Below this `Retry-After` has three digits, above it whole seconds: `%g` would write an exponent
from 1000 on, and a caller that waits so long does not need the part of a second."""
LATEST_RETURN_SHARE = 1 / 3
"""Part of the time left after which a return is useful: as long again to wait, and to be served."""
SHORTEST_RETURN_SECONDS = 0.05
"""A return within less meets the same queue: engines that refused are passed over for as long."""
RETURN_SPREAD = 0.5
"""Returns are spread over this part of the time to come back, so that they are not a new burst."""
SHORTEST_RATE_PAUSE_SECONDS = 0.05
"""Least time after which a caller above its tenant's rate may come back."""


def after_no_engine(left: float, drained: float | None, draw: float) -> float:
    """Return when a caller comes back that no engine had room for, in seconds.

    Parameters
    ----------
    left
        Seconds until the request's deadline.
    drained
        Seconds until those that wait have left; None where no pace is known.
    draw
        A random number from 0 to 1.
    """
    useful = left * LATEST_RETURN_SHARE
    seconds = useful if drained is None else min(useful, drained)
    spread = 1.0 - draw * RETURN_SPREAD
    return max(SHORTEST_RETURN_SECONDS, seconds * spread)


def after_rate(free_at: float, window_seconds: float, now: float) -> float:
    """Return when a caller above its tenant's rate comes back, in seconds.

    Parameters
    ----------
    free_at
        When a place of this gateway's share is free, on the steady clock; infinite while it has
        no share.
    window_seconds
        Of the rate.
    """
    pause = free_at - now if free_at < math.inf else window_seconds
    return max(SHORTEST_RATE_PAUSE_SECONDS, pause)


def gateway_retry_after(failure: Failure) -> str | None:
    """Return the text of `Retry-After`; None where no such header is sent.

    Only what was not run is to come back by itself. Three digits, and never an exponent.
    """
    answer = failure.answer
    if answer.ran is not Ran.NO or answer.retry_after_seconds is None:
        return None
    pause = failure.retry_after_seconds or RETRY_AFTER_SECONDS
    return f"{pause:.3g}" if pause < EXACT_BELOW_SECONDS else f"{pause:.0f}"
