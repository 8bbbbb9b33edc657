"""The leader's part in rates that many daemons hold together: grants shares of them. No I/O."""

from collections.abc import Iterator
from typing import NamedTuple

from pondtiller.coordination.rate_shares import RateTerms, RateWish, lowered
from pondtiller.coordination.shares import HolderKey, divide


class _Reserved(NamedTuple):
    amount: int
    until: float


class _Book:
    """Who may use how much of one rate, and who wants how much."""

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
        """Return who wants more than it has."""
        return (each for each, (want, _) in self.wanted.items() if want > self.amount(each, now))

    def drop_expired(self, now: float) -> None:
        """Forget what has ended, and the wants of those that have not asked for long."""
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
    """A leader's part, for one term.

    Parameters
    ----------
    began_at
        When the term began: no earlier leader grants anything from then on.
    """

    def __init__(self, began_at: float) -> None:
        self._began_at = began_at
        self._books: dict[str, _Book] = {}
        self._latest: dict[HolderKey, int] = {}

    def is_latest(self, holder: HolderKey, sequence: int) -> bool:
        """Return whether a message of wishes is newer than all before it; it is noted."""
        if sequence <= self._latest.get(holder, 0):
            return False
        self._latest[holder] = sequence
        return True

    def grants_anew(self, terms: RateTerms, now: float) -> bool:
        """Return whether all that earlier leaders granted has ended or is in the book."""
        return now >= self._began_at + terms.quiet_seconds

    def grant(self, holder: HolderKey, wish: RateWish, terms: RateTerms, now: float) -> int:
        """Take a wish and return the share that the holder may use from when it asked."""
        book = self._books.setdefault(wish.subject, _Book())
        book.drop_expired(now)
        until = now + terms.quiet_seconds
        book.wanted[holder] = (wish.wanted, now + terms.lease_seconds)
        # What it held above what it says has been used until now at the latest.
        before = [
            _Reserved(each.amount, min(each.until, now + terms.rest_seconds))
            for each in book.reserved.get(holder, ())
        ]
        granted = self._share(book, holder, wish, terms, now)
        book.reserved[holder] = (*before, _Reserved(max(granted, wish.holding), until))
        return granted

    def _share(
        self, book: _Book, holder: HolderKey, wish: RateWish, terms: RateTerms, now: float
    ) -> int:
        wanted = min(wish.wanted, terms.most_each, terms.total)
        if not self.grants_anew(terms, now):
            return min(wanted, lowered(wish.holding, wish.holding_of, terms.total))
        free = max(0, terms.total - book.others(holder, now))
        if any(each != holder for each in book.is_unmet(now)):
            wants = {each: want for each, (want, _) in book.wanted.items()}
            wanted = min(wanted, max(divide(terms.total, wants)[holder], 1))
        return min(wanted, free)

    def drop_expired(self, now: float) -> None:
        """Forget rates of which nothing is held or wanted."""
        for subject, book in list(self._books.items()):
            book.drop_expired(now)
            if not book.reserved and not book.wanted:
                del self._books[subject]
