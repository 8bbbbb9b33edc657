"""A leader's writes that are not on a write quorum yet, or were not sent yet. No I/O.

Holds the numbers of writes and the pending ones for one term; the counter of numbers continues.
Which number a quorum has on disk is computed in `voting.py`.
"""

from typing import NamedTuple

from pondtiller.steplog.entry import Entry


class UnsentWrites(NamedTuple):
    """Writes for the next message to each replica."""

    puts: list[Entry]
    drops: list[str]


class UnwrittenValues:
    """Pending writes.

    Attributes
    ----------
    sequence
        Number of the last write.
    """

    def __init__(self) -> None:
        self.sequence = 0
        self._pending: dict[str, int] = {}
        self._unsent = UnsentWrites([], [])

    def __bool__(self) -> bool:
        """Return whether a value is not on a write quorum yet."""
        return bool(self._pending)

    def reset(self) -> None:
        """Forget the writes of a term."""
        self._pending = {}
        self.take_unsent()

    def put(self, entry: Entry) -> None:
        """Add a value to write."""
        self.sequence += 1
        self._pending[entry.key] = self.sequence
        self._unsent.puts.append(entry)

    def drop(self, key: str) -> None:
        """Add a key to remove."""
        self._pending.pop(key, None)
        self._unsent.drops.append(key)

    def take_unsent(self) -> UnsentWrites | None:
        """Return the writes since the last call; None if there are none."""
        if not self._unsent.puts and not self._unsent.drops:
            return None
        taken, self._unsent = self._unsent, UnsentWrites([], [])
        return taken

    def drop_unsent_puts(self) -> None:
        """Drop unsent values, which each replica gets when it is brought up to date."""
        self._unsent.puts.clear()

    def oldest(self) -> int | None:
        """Return the number of the oldest pending write; None without any."""
        return next(iter(self._pending.values()), None)

    def written(self, number: float) -> list[str]:
        """Return the keys of the writes up to a number."""
        return [key for key, each in self._pending.items() if each <= number]

    def committed(self, key: str) -> None:
        """Record that a write is on a write quorum."""
        del self._pending[key]
