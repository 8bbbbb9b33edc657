"""From the acknowledgement of an evacuation until no connected gateway sends anything there.

One place for the waits on that way, in seconds, and their sum: settings that promise less are
refused. Owns no state; relies on the constants of the modules that wait. It bounds when news
arrives, not how long requests that already run in the zone go on. docs/design/19-evacuations.md has
the table of what may fail.
"""

from pondtiller.platform.object_client import WATCH_MARGIN_SECONDS
from pondtiller.store.mirror import CHECK_SECONDS, MIRROR_TIMES
from pondtiller.store.mirrored_store import (
    ANSWER_SECONDS,
    MAX_WAIT_SECONDS,
    RETRY_SECONDS,
    TOLD_SECONDS,
)
from pondtiller.store.news_times import STORE_SECONDS
from pondtiller.store.store_watch import RETRY_SECONDS as STORE_RETRY_SECONDS

DIRECT_WAIT_SECONDS = 2.5
"""Longest wait of a gateway that asks the store itself. A call that hangs since its path was cut
must have ended within the 4 s after which the platform counts a machine as connected again."""
SEND_SECONDS = 0.2
"""From the last look at the gate until the request is at the engine."""

MIRRORED_NEWS_SECONDS = (
    max(MAX_WAIT_SECONDS + ANSWER_SECONDS, MIRROR_TIMES.fresh_seconds + CHECK_SECONDS)
    + (TOLD_SECONDS + RETRY_SECONDS)
    + ANSWER_SECONDS
    + STORE_SECONDS
)
"""The first mirror is silent through its wait, or the second one is turned away by the store and
says so last; mirrors are looked for a little longer, the last one asked is silent, the store
itself answers."""
DIRECT_NEWS_SECONDS = (
    DIRECT_WAIT_SECONDS + WATCH_MARGIN_SECONDS + STORE_RETRY_SECONDS + STORE_SECONDS
)
"""A call to the store hangs to its end, and the next one brings the change; one that is refused is
followed by a pause."""
MAX_SECONDS = max(MIRRORED_NEWS_SECONDS, DIRECT_NEWS_SECONDS) + SEND_SECONDS


def reason_against(within: float) -> str | None:
    """Return why evacuations cannot be in force within so many seconds; None where they can."""
    if within == 0 or within > MAX_SECONDS:
        return None
    return f"news of an evacuation may take {MAX_SECONDS:.2f} s: give more, or 0 for none"
