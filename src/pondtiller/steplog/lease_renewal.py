"""Whether a leader whose lease expired in a pause of its process may still renew it. No I/O.

A paused leader sends no heartbeat. If no candidate was promised a higher epoch meanwhile, its
replicas still accept its messages, and its term continues. Holds until when their answers are
awaited, for one term. Everything that needs the lease stays forbidden meanwhile
(`LeaderLog.holds_lease`).
"""

from typing import NamedTuple

from pondtiller.steplog.term_rules import HEARTBEAT_SECONDS

READING_SECONDS = 0.2
"""Time after a pause until everything that arrived in it has been read."""
RENEWAL_SECONDS = READING_SECONDS + HEARTBEAT_SECONDS
"""Longest wait for a write quorum after such a pause, in running time. A leader that is
disconnected when it wakes lets its own runs continue for this long. A successor restarts them 1.4 s
after its last heartbeat at the earliest, and two engines may work on a sample for 0.4 s."""


class Moment(NamedTuple):
    """Time at which a leader checked its lease.

    Attributes
    ----------
    now
        Monotonic seconds.
    running
        The same without all pauses of the process, in seconds.
    """

    now: float
    running: float


def ended_in_pause(lease_until: float, before: Moment, at: Moment) -> bool:
    """Return whether a lease has ended only because of a pause between two checks."""
    return before.now + (at.running - before.running) < lease_until <= at.now


class LeaseRenewal:
    """Waits for the renewal of a lease that expired in a pause.

    Attributes
    ----------
    is_awaited
        Whether answers may still renew the lease; the term continues without it meanwhile.
    """

    def __init__(self) -> None:
        self.is_awaited = False
        self._before: Moment | None = None
        self._ended_lease = float("-inf")
        self._give_up_at = 0.0

    def update(self, lease_until: float, at: Moment) -> None:
        """Update the state from the end of the lease and the time of a check."""
        before, self._before = self._before, at
        if before is not None and lease_until > max(self._ended_lease, before.now):
            # Renewed since, though it may have ended again in a further pause. An answer to a
            # heartbeat from before the pause also moves the lease, but to an end that has passed.
            self.is_awaited = False
        if self.is_awaited:
            self.is_awaited = at.running < self._give_up_at
        elif before is not None and ended_in_pause(lease_until, before, at):
            self.is_awaited = True
            self._ended_lease = lease_until
            self._give_up_at = at.running + RENEWAL_SECONDS
