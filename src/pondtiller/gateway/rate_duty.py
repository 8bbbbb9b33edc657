"""The leader's part in rates that all daemons hold together: grants shares to those who ask."""

from collections.abc import Callable

from pondtiller.coordination.rate_shares import RateGrantor, RateTerms, RateWish
from pondtiller.coordination.shares import HolderKey
from pondtiller.daemon import clock
from pondtiller.rollouts.steps import StepStatus
from pondtiller.wire.steplog import AskShares, SharesGranted

FindTerms = Callable[[str], RateTerms | None]
"""Takes a rate's subject; None where there is no such rate, of which nothing is granted."""


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

    def take(self, message: AskShares) -> SharesGranted:
        """Take a daemon's wishes; those meant for another leader, or overtaken, are not taken."""
        holder = HolderKey(message.daemon, message.incarnation)
        is_whole = len(message.subjects) == len(message.wanted) == len(message.holding)
        is_ours = message.epoch == self._epoch and is_whole
        if not is_ours or not self._grantor.is_latest(holder, message.sequence):
            return SharesGranted(status=StepStatus.UNAVAILABLE)
        now = clock.monotonic()
        columns = zip(message.subjects, message.wanted, message.holding, strict=True)
        granted = [self._grant(holder, RateWish(*each), now) for each in columns]
        return SharesGranted(status=StepStatus.OK, granted=granted)

    def _grant(self, holder: HolderKey, wish: RateWish, now: float) -> int:
        terms = self._find_terms(wish.subject)
        return self._grantor.grant(holder, wish, terms, now) if terms is not None else 0

    def keep_house(self, now: float) -> None:
        """Forget rates that nobody uses."""
        self._grantor.keep_house(now)
