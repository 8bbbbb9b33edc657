"""Leader's part in shared rates: grants shares to the gateways that ask for them.

Holds the shares granted in one term. The size of a share is decided in
`coordination/rate_grants.py`.
"""

from collections.abc import Callable

from pondtiller.coordination.rate_grants import RateGrantor
from pondtiller.coordination.rate_shares import RateDemand, RateTerms
from pondtiller.coordination.shares import HolderKey
from pondtiller.process import clock
from pondtiller.rollouts.steps import StepStatus
from pondtiller.wire.steplog import AskShares, SharesGranted

MAX_LEASE_SECONDS = 10.0
"""Lease for a rate that the table does not name; longer than that of any rate."""

FindTerms = Callable[[str], RateTerms | None]
"""Takes a rate's key; returns None if there is no such rate, of which nothing is granted."""


NO_RATE = RateTerms(0, 0, MAX_LEASE_SECONDS)


def no_terms(_subject: str) -> None:
    """Return None for any rate."""


class RateDuty:
    """Grants shares during one term.

    Parameters
    ----------
    find_terms
        Called for each request, so that the rows in force at the leader decide, whatever the asking
        gateway knows.
    """

    def __init__(self, epoch: int, find_terms: FindTerms) -> None:
        self._epoch = epoch
        self._find_terms = find_terms
        self._grantor = RateGrantor(clock.monotonic())

    def answer(self, message: AskShares, now: float) -> SharesGranted:
        """Answer a gateway's requests; those for another leader or out of order are rejected.

        Parameters
        ----------
        now
            When the lease was checked. Shares are granted as of then, even if this process was
            paused in between.
        """
        holder = HolderKey(message.daemon, message.incarnation)
        columns = (message.subjects, message.wanted, message.holding, message.holding_of)
        is_whole = len({len(column) for column in columns}) == 1
        is_ours = message.epoch == self._epoch and is_whole
        if not is_ours or not self._grantor.is_latest(holder, message.sequence):
            return SharesGranted(status=StepStatus.UNAVAILABLE)
        answer = SharesGranted(status=StepStatus.OK)
        for each in zip(*columns, strict=True):
            demand = RateDemand(*each)
            terms = self._find_terms(demand.subject) or NO_RATE
            answer.granted.append(self._grantor.grant(holder, demand, terms, now))
            answer.totals.append(terms.total)
        return answer

    def drop_expired(self, now: float) -> None:
        """Remove unused rates."""
        self._grantor.drop_expired(now)
