"""An ordered index of deadlines, so that a tick only handles what is due."""

from collections.abc import Hashable
from typing import Generic, TypeVar

from sortedcontainers import SortedList

Key = TypeVar("Key", bound=Hashable)


class DeadlineIndex(Generic[Key]):
    """Keys ordered by the time at which each is due.

    Setting, clearing and removing a key each take logarithmic time in the number of keys.
    """

    def __init__(self) -> None:
        self._order: SortedList[tuple[float, int, Key]] = SortedList(key=lambda entry: entry[:2])
        self._entries: dict[Key, tuple[float, int, Key]] = {}
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, key: Key) -> bool:
        return key in self._entries

    def set(self, key: Key, due: float) -> None:
        """Make `key` due at `due` seconds, replacing an earlier deadline."""
        self.clear(key)
        self._sequence += 1
        entry = (due, self._sequence, key)
        self._entries[key] = entry
        self._order.add(entry)

    def clear(self, key: Key) -> None:
        """Remove `key`; no error if it is not set."""
        entry = self._entries.pop(key, None)
        if entry is not None:
            self._order.remove(entry)

    def take_due(self, now: float) -> list[Key]:
        """Remove and return the keys that are due at `now`, earliest first."""
        due: list[Key] = []
        while self._order and self._order[0][0] <= now:
            key = self._order.pop(0)[2]
            del self._entries[key]
            due.append(key)
        return due

    def next_due(self) -> float | None:
        """Return the earliest deadline in seconds, or None if there is none."""
        return self._order[0][0] if self._order else None
