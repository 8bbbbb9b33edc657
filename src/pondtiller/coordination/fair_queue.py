"""Weighted fair queueing over rows by virtual finish time.

Holds the queues in memory. Does not limit how many items may be in service, and does not reject.
"""

from collections import deque
from typing import Generic, TypeVar

Item = TypeVar("Item")

MIN_WEIGHT = 1e-3
"""Lower bound of a row's weight, which avoids a division by 0: a row without weight gets a
thousandth of a row with weight 1."""


class FairQueue(Generic[Item]):
    """Queues of items by row, served in proportion to the rows' weights.

    The queue is work conserving: a single row gets everything. A row that was idle starts at the
    current virtual time, so that it cannot accumulate credit.
    """

    def __init__(self) -> None:
        self._queues: dict[str, deque[Item]] = {}
        self._finish: dict[str, float] = {}
        self._virtual_time = 0.0

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues.values())

    def length(self, row: str) -> int:
        """Return how many items of `row` are waiting."""
        return len(self._queues.get(row, ()))

    def push(self, row: str, item: Item, first: bool = False) -> None:
        """Add `item` at the end of its row, or at the front if `first`."""
        queue = self._queues.setdefault(row, deque())
        if not queue:
            self._finish[row] = max(self._finish.get(row, 0.0), self._virtual_time)
        if first:
            queue.appendleft(item)
        else:
            queue.append(item)

    def order(self) -> list[str]:
        """Return the rows that have items, in the order of service."""
        waiting = [row for row, queue in self._queues.items() if queue]
        return sorted(waiting, key=lambda row: (self._finish[row], row))

    def peek(self, row: str) -> Item:
        """Return the first item of `row` without removing it."""
        return self._queues[row][0]

    def pop(self, row: str, weight: float, cost: float = 1.0) -> Item:
        """Remove the first item of `row` and charge its `cost` against `weight`."""
        item = self._queues[row].popleft()
        start = self._finish[row]
        self._virtual_time = max(self._virtual_time, start)
        self._finish[row] = start + cost / max(weight, MIN_WEIGHT)
        if not self._queues[row]:
            del self._queues[row]
        return item

    def discard(self, row: str, item: Item) -> bool:
        """Remove `item` from its row; return False if it is not there."""
        queue = self._queues.get(row)
        if queue is None or item not in queue:
            return False
        queue.remove(item)
        if not queue:
            del self._queues[row]
        return True
