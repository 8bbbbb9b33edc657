"""Seconds after which a rejected caller should retry: all rules of `Retry-After`. No I/O.

| reason of the rejection | seconds |
|---|---|
| no engine can take it | `after_no_engine`: until the queue has drained, or a part of the time |
| tenant's rate | `after_rate`: until this gateway's share allows another request |
| content is quarantined | until the quarantine ends (`Quarantine.seconds_left`) |
| anything else, not run | `RETRY_AFTER_SECONDS` |
| it may have run, or would fail again | no header |

Stateless. `Failure` carries the seconds of the first three; `gateway_retry_after` formats the
header of the answer. Answers from elsewhere than the gateway's own front end, and streams that fail
before they start, use whole seconds from `ErrorAnswer.retry_after_seconds` only.
"""

import math

from pondtiller.errors import Failure, Ran

RETRY_AFTER_SECONDS = 0.25
"""Default for rejections without a better estimate: gateway not ready or stopping, or deadline
passed in the queue. Usually another gateway takes the request then. A caller with 1 s left still
has time for two retries, and sends at most 4 requests a second to a gateway that rejects them. In a
burst while the live engines are gone, callers get the same answer again after this time (40 of 59
rejected)."""
EXACT_BELOW_SECONDS = 100
"""Below this `Retry-After` has three digits, above it whole seconds: `%g` would write an exponent
from 1000 on, and a caller that waits so long does not need the part of a second."""
LATEST_RETRY_SHARE = 1 / 3
"""Part of the remaining time after which a retry is useful; it leaves time to queue and to run."""
MIN_RETRY_SECONDS = 0.05
"""Earlier retries would meet the same queue, since refusing engines are skipped for as long."""
RETRY_SPREAD = 0.5
"""Retry times are spread over this part, so that the retries do not form another burst."""
MIN_RATE_RETRY_SECONDS = 0.05
"""Shortest time after which a caller above its tenant's rate may retry."""


def after_no_engine(seconds_left: float, drain_seconds: float | None, draw: float) -> float:
    """Return the seconds until a caller should retry after no engine had a free slot.

    Parameters
    ----------
    seconds_left
        Seconds until the request's deadline.
    drain_seconds
        Seconds until the waiting requests have left; None if no pace is known.
    draw
        Random number from 0 to 1.
    """
    useful = seconds_left * LATEST_RETRY_SHARE
    seconds = useful if drain_seconds is None else min(useful, drain_seconds)
    spread = 1.0 - draw * RETRY_SPREAD
    return max(MIN_RETRY_SECONDS, seconds * spread)


def after_rate(free_at: float, window_seconds: float, now: float) -> float:
    """Return the seconds until a caller above its tenant's rate should retry.

    Parameters
    ----------
    free_at
        When this gateway's share allows the next request, in monotonic time; infinite without a
        share.
    window_seconds
        Window of the rate.
    """
    pause = free_at - now if free_at < math.inf else window_seconds
    return max(MIN_RATE_RETRY_SECONDS, pause)


def gateway_retry_after(failure: Failure) -> str | None:
    """Return the value of `Retry-After`; None if the header is not sent.

    Only a request that was not run may be retried without further checks. The value has three
    digits and never an exponent.
    """
    answer = failure.answer
    if answer.ran is not Ran.NO or answer.retry_after_seconds is None:
        return None
    pause = failure.retry_after_seconds or RETRY_AFTER_SECONDS
    return f"{pause:.3g}" if pause < EXACT_BELOW_SECONDS else f"{pause:.0f}"
