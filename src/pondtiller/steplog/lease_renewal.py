"""Whether a leader whose lease ended in a pause of its process may still renew it. No I/O.

A paused leader sends no heartbeat. Where no candidate was promised a higher epoch meanwhile, its
replicas still take its messages, and its term goes on. Owns until when their answers are waited
for; this ends with the term. What needs the lease stays forbidden meanwhile
(`LeaderLog.holds_lease`).
"""

from typing import NamedTuple

from pondtiller.steplog.term_rules import HEARTBEAT_SECONDS

READING_SECONDS = 0.2
"""After a pause, until what came in it has been read."""
RENEWAL_SECONDS = READING_SECONDS + HEARTBEAT_SECONDS
"""Longest wait for a write quorum after such a pause, in seconds in which the process ran. A leader
that is cut off as it wakes lets its own runs go on for so long; a successor begins them anew 1.4 s
after its last heartbeat at the earliest, and two engines may work on a sample for 0.4 s."""


class Moment(NamedTuple):
    """When a leader looked at its lease.

    Attributes
    ----------
    now
        In seconds of the steady clock.
    running
        The same less all pauses of the process, in seconds.
    """

    now: float
    running: float


def ended_in_pause(lease_until: float, before: Moment, at: Moment) -> bool:
    """Return whether a lease that has ended would still last but for a pause between two looks."""
    return before.now + (at.running - before.running) < lease_until <= at.now


class LeaseRenewal:
    """Waits for the renewal of a lease that ended in a pause.

    Attributes
    ----------
    is_awaited
        Whether answers may still renew the lease; the term goes on without it meanwhile.
    """

    def __init__(self) -> None:
        self.is_awaited = False
        self._before: Moment | None = None
        self._ended_lease = float("-inf")
        self._give_up_at = 0.0

    def looked(self, lease_until: float, at: Moment) -> None:
        """Take the end of the lease, and the time, as a leader looks at them."""
        before, self._before = self._before, at
        if before is not None and lease_until > max(self._ended_lease, before.now):
            # Renewed since, though it may have ended again in a further pause. An answer to a
            # heartbeat from before the pause moves the lease too, to an end that has passed.
            self.is_awaited = False
        if self.is_awaited:
            self.is_awaited = at.running < self._give_up_at
        elif before is not None and ended_in_pause(lease_until, before, at):
            self.is_awaited = True
            self._ended_lease = lease_until
            self._give_up_at = at.running + RENEWAL_SECONDS
