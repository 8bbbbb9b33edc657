"""Time at which a gateway campaigns to become the leader. No I/O.

Holds when this gateway may campaign next (`Candidacy`), which ends with the process. Relies on the
leader that replicas last reported, and on their zones. The takeover itself is in
`steplog/leader.py`, and the reasons for which a leader steps down in `steplog/term_rules.py`.
"""

import random
from collections import Counter
from collections.abc import Callable, Sequence
from typing import NamedTuple

from pondtiller.routes.topology import Distance, Topology
from pondtiller.steplog.group import write_quorum
from pondtiller.wire.steplog import GroupMember

ELECTION_DELAY_SECONDS = 0.25
"""Upper bound of a candidate's random delay after a leader's end. It separates candidates, since
each one makes replicas refuse the others: a candidate needs its promises, one round trip of 40 ms
between regions, before the next one starts. Longer delays are time without a leader, 0.12 s on
average for a single candidate."""

DELAY_PER_SLOWNESS_SECONDS = 0.15
"""Additional delay of a machine of one core; half of it for two, so that slow machines come later.
A leader on a machine of half a core lost its lease under its own load after 2.5 s. A machine of 0.5
cores starts 0.26 s after one of 4, which is more than the random delays differ."""

MAX_HANDICAP_SECONDS = 0.5
"""Upper bound of a slow machine's additional delay, reached at 0.3 cores. If all machines are slow
waiting gains nothing, and this is two fifths of a lease without a leader."""

NO_MEMBER_IN_ZONE_SECONDS = 0.1
"""Additional delay if no member of the group is in the gateway's zone, since each write would cross
zones. Less than half of the random delay, and than the delay of a machine of one core: a fast
machine in another zone still comes before a slow one next to a member."""

NO_QUORUM_IN_REGION_SECONDS = 0.25
"""Additional delay if each commit would wait 40 ms for another region. The gateway then comes after
those in a region that holds a quorum, whose random delays are not longer than this."""

BACKOFF_SECONDS = 0.5
"""A candidate retries after one to two times this if there is still no leader. Longer than a
takeover with a short log takes, so that no candidate interrupts its own: 0.4 s from the campaign to
the read log, over two regions after a power loss."""


class CandidateLocation(NamedTuple):
    """Inputs of a candidate's delay.

    Attributes
    ----------
    handicap
        Additional delay of a slow machine, in seconds; see `handicap`.
    zone
        Zone of this gateway.
    members
        Members of the replica group, as far as known.
    topology
        Regions of zones.
    is_order_holder
        Whether this gateway was the last one to order engines.
    """

    handicap: float
    zone: str
    members: Sequence[GroupMember]
    topology: Topology
    is_order_holder: bool


def handicap(cores: float) -> float:
    """Return a machine's additional delay, in seconds: the leader has the most work of all."""
    return min(MAX_HANDICAP_SECONDS, DELAY_PER_SLOWNESS_SECONDS / cores)


def election_delay(place: CandidateLocation, draws: random.Random) -> float:
    """Return the delay before a campaign, in seconds.

    The gateway that ordered engines last has none: it need not wait for its own orders.
    """
    if place.is_order_holder:
        return 0.0
    delay = place.handicap + draws.random() * ELECTION_DELAY_SECONDS
    distances = {place.topology.distance(place.zone, each.zone) for each in place.members}
    if distances and Distance.SAME_ZONE not in distances:
        delay += NO_MEMBER_IN_ZONE_SECONDS
    if is_far_from_quorum(place):
        delay += NO_QUORUM_IN_REGION_SECONDS
    return delay


def is_far_from_quorum(place: CandidateLocation) -> bool:
    """Return whether each write would wait for another region, but not from some other region."""
    quorum = write_quorum(len(place.members))
    near = [
        each
        for each in place.members
        if place.topology.distance(place.zone, each.zone) < Distance.OTHER_REGION
    ]
    by_region = Counter(place.topology.region(each.zone) for each in place.members)
    return len(near) < quorum <= max(by_region.values(), default=0)


class CandidateView(NamedTuple):
    """Inputs of the decision whether a gateway is a candidate.

    Attributes
    ----------
    may_campaign
        Whether it is ready to lead and has not resigned.
    has_replica_view
        Whether any replica has sent its view on an open link.
    has_leader
        Whether the replicas name a leader.
    """

    may_campaign: bool
    has_replica_view: bool
    has_leader: bool


class Candidacy:
    """Time of this gateway's next campaign.

    Attributes
    ----------
    campaign_at
        When it campaigns unless a leader is named before, in monotonic time; None while it is no
        candidate.
    not_before
        End of another gateway's lease, as a refusal stated it, plus a delay. Kept apart from
        `campaign_at`, so that leases that come and go meanwhile do not trigger a campaign at once.
    """

    def __init__(self, draws: random.Random) -> None:
        self.campaign_at: float | None = None
        self.not_before = 0.0
        self._draws = draws

    def is_due(self, view: CandidateView, now: float, delay: Callable[[], float]) -> bool:
        """Return whether to campaign now; if so, the next attempt is scheduled after a backoff.

        Parameters
        ----------
        delay
            Returns the initial delay in seconds; called once for each end of a leader.
        """
        if not view.may_campaign or not view.has_replica_view or view.has_leader:
            self.campaign_at = None
            return False
        if self.campaign_at is None:
            self.campaign_at = now + delay()
        if now < max(self.campaign_at, self.not_before):
            return False
        self.campaign_at = now + BACKOFF_SECONDS + self._draws.random() * BACKOFF_SECONDS
        return True

    def note_refusal(self, until: float) -> None:
        """Record that no gateway can become the leader before a time, since another lease lasts."""
        self.not_before = until

    def next_at(self) -> float | None:
        """Return when to check again; None while this gateway is no candidate."""
        return None if self.campaign_at is None else max(self.campaign_at, self.not_before)
