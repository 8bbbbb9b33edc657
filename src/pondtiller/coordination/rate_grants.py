"""The leader's part in shared rates: grants shares of them to daemons. No I/O."""

from collections.abc import Iterator
from typing import NamedTuple

from pondtiller.coordination.rate_shares import RateDemand, RateTerms, lowered
from pondtiller.coordination.shares import HolderKey, divide


class _Reserved(NamedTuple):
    amount: int
    until: float


class _Book:
    """Grants and demands of all holders of one rate."""

    def __init__(self) -> None:
        self.reserved: dict[HolderKey, tuple[_Reserved, ...]] = {}
        self.wanted: dict[HolderKey, tuple[int, float]] = {}

    def amount(self, holder: HolderKey, now: float) -> int:
        """Return the most that a holder may use now, or has used within a window."""
        amounts = (each.amount for each in self.reserved.get(holder, ()) if each.until > now)
        return max(amounts, default=0)

    def others(self, holder: HolderKey, now: float) -> int:
        """Return what all other holders may use together."""
        return sum(self.amount(each, now) for each in self.reserved if each != holder)

    def is_unmet(self, now: float) -> Iterator[HolderKey]:
        """Return the holders that want more than they have."""
        return (each for each, (want, _) in self.wanted.items() if want > self.amount(each, now))

    def drop_expired(self, now: float) -> None:
        """Remove expired grants, and demands of holders that have not asked for long."""
        for holder, entries in list(self.reserved.items()):
            left = tuple(each for each in entries if each.until > now)
            if left:
                self.reserved[holder] = left
            else:
                del self.reserved[holder]
        for holder, (_, until) in list(self.wanted.items()):
            if until <= now:
                del self.wanted[holder]


class RateGrantor:
    """The leader's part during one term.

    Parameters
    ----------
    began_at
        Start of the term, from which on no earlier leader grants anything.
    """

    def __init__(self, began_at: float) -> None:
        self._began_at = began_at
        self._books: dict[str, _Book] = {}
        self._latest: dict[HolderKey, int] = {}

    def is_latest(self, holder: HolderKey, sequence: int) -> bool:
        """Return whether a message is newer than all before it, and record it."""
        if sequence <= self._latest.get(holder, 0):
            return False
        self._latest[holder] = sequence
        return True

    def may_grant_more(self, terms: RateTerms, now: float) -> bool:
        """Return whether all grants of earlier leaders have expired or are known here."""
        return now >= self._began_at + terms.takeover_wait_seconds

    def grant(self, holder: HolderKey, demand: RateDemand, terms: RateTerms, now: float) -> int:
        """Record a demand; return the share that the holder may use, from when it asked."""
        book = self._books.setdefault(demand.subject, _Book())
        book.drop_expired(now)
        until = now + terms.takeover_wait_seconds
        book.wanted[holder] = (demand.wanted, now + terms.lease_seconds)
        # Usage above the share that the holder reports happened before now.
        before = [
            _Reserved(each.amount, min(each.until, now + terms.rest_seconds))
            for each in book.reserved.get(holder, ())
        ]
        granted = self._share(book, holder, demand, terms, now)
        book.reserved[holder] = (*before, _Reserved(max(granted, demand.holding), until))
        return granted

    def _share(
        self, book: _Book, holder: HolderKey, demand: RateDemand, terms: RateTerms, now: float
    ) -> int:
        wanted = min(demand.wanted, terms.most_each, terms.total)
        if not self.may_grant_more(terms, now):
            return min(wanted, lowered(demand.holding, demand.holding_of, terms.total))
        free = max(0, terms.total - book.others(holder, now))
        if any(each != holder for each in book.is_unmet(now)):
            wants = {each: want for each, (want, _) in book.wanted.items()}
            wanted = min(wanted, max(divide(terms.total, wants)[holder], 1))
        return min(wanted, free)

    def drop_expired(self, now: float) -> None:
        """Remove rates of which nothing is held or wanted."""
        for subject, book in list(self._books.items()):
            book.drop_expired(now)
            if not book.reserved and not book.wanted:
                del self._books[subject]
