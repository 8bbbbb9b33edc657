"""When a gateway stands for leader, and how long it waits before. No I/O.

Owns when this gateway may stand next (`Candidacy`), which ends with the process. Relies on what the
replicas last said of a leader, and on where they are. How a candidate takes over is in
`steplog/leader.py`, and why a leader stands down in `steplog/term_rules.py`.
"""

import random
from collections import Counter
from collections.abc import Callable, Sequence
from typing import NamedTuple

from pondtiller.routes.topology import Distance, Topology
from pondtiller.steplog.group import write_quorum
from pondtiller.wire.steplog import GroupMember

STAND_DELAY_SECONDS = 0.25
"""A candidate waits a random part of this after a leader's end.

Keeps candidates apart, as each refuses the others a lease: a candidate needs its promises, one way
and back, before the next one stands, which is 40 ms between regions. Chosen, not measured: longer
delays are time without a leader, 0.12 s of it in the mean for the only candidate."""

DELAY_PER_SLOWNESS_SECONDS = 0.15
"""Added for a machine of one core; half of it for two, so a slow machine stands later.

Answers a leader on a machine of half a core that lost its lease under its own load, 2.5 s into a
quiet day. The figure is chosen, not measured: a machine of 0.5 cores stands 0.26 s after one of 4,
more than the random delays differ."""

LONGEST_HANDICAP_SECONDS = 0.5
"""Most that a slow machine waits more: reached at 0.3 cores.

Chosen, not measured: where all machines are slow nothing is gained by waiting, and it is two fifths
of a lease without a leader."""

NO_MEMBER_IN_ZONE_SECONDS = 0.1
"""Added where no member of the group is in the gateway's zone: each write would cross zones.

Chosen, not measured: less than half of the random delay, and than what a machine of one core waits
more, so a fast machine across zones still stands before a slow one beside a member."""

NO_QUORUM_IN_REGION_SECONDS = 0.25
"""Each commit of such a leader waits for another region, 40 ms there and back: it stands after the
gateways of a region that holds a quorum, whose random delays are as long at most."""

BACKOFF_SECONDS = 0.5
"""After it stood, a candidate stands again after one to two times this, unless somebody leads.

Longer than a takeover whose log is short needs: 0.4 s from standing to the log read, over two
regions after a loss of all power. So no candidate ends its own. Chosen, not measured."""


class CandidatePlace(NamedTuple):
    """What decides how long a gateway waits before it stands.

    Attributes
    ----------
    handicap
        How much later a slow machine stands, in seconds; see `handicap`.
    zone
        Of this gateway.
    members
        Of the replicas' group, as far as it is known.
    places
        Where zones lie.
    is_order_holder
        Whether this gateway ordered engines last.
    """

    handicap: float
    zone: str
    members: Sequence[GroupMember]
    places: Topology
    is_order_holder: bool


def handicap(cores: float) -> float:
    """Return how much later a machine stands, in seconds: a leader does the most work of all."""
    return min(LONGEST_HANDICAP_SECONDS, DELAY_PER_SLOWNESS_SECONDS / cores)


def stand_delay(place: CandidatePlace, draws: random.Random) -> float:
    """Return how long to wait before standing, in seconds.

    The gateway that ordered engines last comes first: it need not wait for its own orders.
    """
    if place.is_order_holder:
        return 0.0
    delay = place.handicap + draws.random() * STAND_DELAY_SECONDS
    distances = {place.places.distance(place.zone, each.zone) for each in place.members}
    if distances and Distance.SAME_ZONE not in distances:
        delay += NO_MEMBER_IN_ZONE_SECONDS
    if is_far_from_quorum(place):
        delay += NO_QUORUM_IN_REGION_SECONDS
    return delay


def is_far_from_quorum(place: CandidatePlace) -> bool:
    """Return whether each write would wait for another region, and for none elsewhere."""
    quorum = write_quorum(len(place.members))
    near = [
        each
        for each in place.members
        if place.places.distance(place.zone, each.zone) < Distance.OTHER_REGION
    ]
    by_region = Counter(place.places.region(each.zone) for each in place.members)
    return len(near) < quorum <= max(by_region.values(), default=0)


class CandidateView(NamedTuple):
    """What decides whether a gateway is a candidate at all.

    Attributes
    ----------
    may_stand
        Whether it is ready to lead, and has not resigned.
    hears_replicas
        Whether any replica said anything on an open link.
    is_led
        Whether the replicas name a leader.
    """

    may_stand: bool
    hears_replicas: bool
    is_led: bool


class Candidacy:
    """When this gateway stands next.

    Attributes
    ----------
    stand_at
        When it stands unless a leader is named before, on the steady clock; None while it is no
        candidate.
    not_before
        Until when a refusal said that another lease lasts, with a delay of its own. Kept apart from
        `stand_at`, so that leases that come and go meanwhile don't
        make it stand at once.
    """

    def __init__(self, draws: random.Random) -> None:
        self.stand_at: float | None = None
        self.not_before = 0.0
        self._draws = draws

    def is_due(self, view: CandidateView, now: float, delay: Callable[[], float]) -> bool:
        """Return whether to stand now; if so the next try is a backoff later.

        Parameters
        ----------
        delay
            Returns how long to wait first, in seconds; called once for each end of a leader.
        """
        if not view.may_stand or not view.hears_replicas or view.is_led:
            self.stand_at = None
            return False
        if self.stand_at is None:
            self.stand_at = now + delay()
        if now < max(self.stand_at, self.not_before):
            return False
        self.stand_at = now + BACKOFF_SECONDS + self._draws.random() * BACKOFF_SECONDS
        return True

    def refused(self, until: float) -> None:
        """Take that no gateway can lead before a time: another lease lasts."""
        self.not_before = until

    def next_at(self) -> float | None:
        """Return when to look again; None while this gateway is no candidate."""
        return None if self.stand_at is None else max(self.stand_at, self.not_before)
