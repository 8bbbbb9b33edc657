"""Upper bound of the time from an evacuation's acknowledgement until no gateway sends to the zone.

The waits on that path, in seconds, and their sum: settings that promise less are rejected. Has no
state; uses the constants of the modules that wait. It bounds the delivery of the change, not the
duration of requests that already run in the zone. docs/design/19-evacuations.md has the table of
possible failures.
"""

from pondtiller.platform.object_client import WATCH_MARGIN_SECONDS
from pondtiller.store.change_delays import STORE_SECONDS
from pondtiller.store.mirror import CHECK_SECONDS, MIRROR_TIMES
from pondtiller.store.mirrored_store import (
    ANSWER_SECONDS,
    MAX_WAIT_SECONDS,
    MIRRORS_ONLY_SECONDS,
    RETRY_SECONDS,
)
from pondtiller.store.store_watch import RETRY_SECONDS as STORE_RETRY_SECONDS

DIRECT_WAIT_SECONDS = 2.5
"""Longest wait of a gateway that reads the store directly. A call that hangs since its path was cut
must have ended within the 4 s after which the platform counts a machine as connected again."""
SEND_SECONDS = 0.2
"""From the last check of the gate until the request is at the engine."""

MIRRORED_CHANGE_SECONDS = (
    max(MAX_WAIT_SECONDS + ANSWER_SECONDS, MIRROR_TIMES.fresh_seconds + CHECK_SECONDS)
    + (MIRRORS_ONLY_SECONDS + RETRY_SECONDS)
    + ANSWER_SECONDS
    + STORE_SECONDS
)
"""Worst case: the first mirror is silent for its whole wait, or the second one is rejected by the
store and reports that last; other mirrors are tried for a little longer, the last one is silent,
and the store itself answers."""
DIRECT_CHANGE_SECONDS = (
    DIRECT_WAIT_SECONDS + WATCH_MARGIN_SECONDS + STORE_RETRY_SECONDS + STORE_SECONDS
)
"""Worst case: a call to the store hangs until its end, and the next one returns the change; a
rejected call is followed by a pause."""
MAX_SECONDS = max(MIRRORED_CHANGE_SECONDS, DIRECT_CHANGE_SECONDS) + SEND_SECONDS


def reason_against(within: float) -> str | None:
    """Return why evacuations cannot take effect within `within` seconds; None if they can."""
    if within == 0 or within > MAX_SECONDS:
        return None
    return f"news of an evacuation may take {MAX_SECONDS:.2f} s: give more, or 0 for none"
