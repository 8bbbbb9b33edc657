"""The leader's part in rates that all gateways hold together: grants shares to those who ask.

Owns the shares granted in one term. How large a share is, is decided in
`coordination/rate_grants.py`.
"""

from collections.abc import Callable

from pondtiller.coordination.rate_grants import RateGrantor
from pondtiller.coordination.rate_shares import RateTerms, RateWish
from pondtiller.coordination.shares import HolderKey
from pondtiller.process import clock
from pondtiller.rollouts.steps import StepStatus
from pondtiller.wire.steplog import AskShares, SharesGranted

LONGEST_LEASE_SECONDS = 10.0
"""Of a rate that the table does not name: longer than that of any rate. Chosen, not measured."""

FindTerms = Callable[[str], RateTerms | None]
"""Takes a rate's subject; None where there is no such rate, of which nothing is granted."""


NO_RATE = RateTerms(0, 0, LONGEST_LEASE_SECONDS)


def no_terms(_subject: str) -> None:
    """Return that there is no such rate."""


class RateDuty:
    """The duty during one term.

    Parameters
    ----------
    find_terms
        Asked at each wish: the rows in force at the leader decide, whatever those who ask know.
    """

    def __init__(self, epoch: int, find_terms: FindTerms) -> None:
        self._epoch = epoch
        self._find_terms = find_terms
        self._grantor = RateGrantor(clock.monotonic())

    def take(self, message: AskShares, now: float) -> SharesGranted:
        """Take a gateway's wishes; those meant for another leader, or overtaken, are not taken.

        Parameters
        ----------
        now
            When the lease was looked at: what is granted is granted as of then, however long this
            gateway stands still in between.
        """
        holder = HolderKey(message.daemon, message.incarnation)
        columns = (message.subjects, message.wanted, message.holding, message.holding_of)
        is_whole = len({len(column) for column in columns}) == 1
        is_ours = message.epoch == self._epoch and is_whole
        if not is_ours or not self._grantor.is_latest(holder, message.sequence):
            return SharesGranted(status=StepStatus.UNAVAILABLE)
        answer = SharesGranted(status=StepStatus.OK)
        for each in zip(*columns, strict=True):
            wish = RateWish(*each)
            terms = self._find_terms(wish.subject) or NO_RATE
            answer.granted.append(self._grantor.grant(holder, wish, terms, now))
            answer.totals.append(terms.total)
        return answer

    def drop_expired(self, now: float) -> None:
        """Forget rates that nobody uses."""
        self._grantor.drop_expired(now)
