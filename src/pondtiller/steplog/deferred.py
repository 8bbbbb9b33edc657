"""Values that a new leader reads only once it leads. No I/O.

Owns which are still to be read, for one term. Which values may wait is decided in
`takeover_reads.py`.
"""

from collections.abc import Iterable, Mapping

from pondtiller.steplog.entry import Entry

PART_KEYS = 64
"""Values in one message: as many as in one of a takeover (`takeover_reads.CHUNK_KEYS`), so that
heartbeats and runs get through between them. Chosen, not measured."""
UNANSWERED_SECONDS = 1.0
"""After this a part is asked for again, from another replica. Chosen, not measured: nothing waits
for it but readers of steps that have ended."""


class DeferredValues:
    """Which values are still to be read, and the request under way.

    Attributes
    ----------
    epochs
        Epoch of each value, by key.
    """

    def __init__(self, epochs: Mapping[str, int] | None = None) -> None:
        self.epochs = dict(epochs or {})
        self._asked_link: int | None = None
        self._asked_at = float("-inf")
        self._turn = 0

    def drop(self, key: str) -> None:
        """Forget a value that is written anew or removed."""
        self.epochs.pop(key, None)

    def link_lost(self, link: int) -> None:
        """Take the end of a link; what it was asked for is asked for again."""
        if link == self._asked_link:
            self._asked_link = None

    def is_lacked_by(self, held: Mapping[str, int]) -> bool:
        """Return whether a replica that holds some keys lacks one of the values."""
        return any(held.get(key, -1) < epoch for key, epoch in self.epochs.items())

    def next_request(self, links: list[int], now: float) -> tuple[int, list[str]] | None:
        """Return whom to ask for which keys; None while a request is under way or nothing lacks."""
        is_asked = self._asked_link is not None and now < self._asked_at + UNANSWERED_SECONDS
        if not self.epochs or not links or is_asked:
            return None
        self._turn += 1
        self._asked_link, self._asked_at = links[self._turn % len(links)], now
        keys = [key for key, _ in zip(self.epochs, range(PART_KEYS), strict=False)]
        return self._asked_link, keys

    def take(self, entries: Iterable[Entry]) -> list[Entry]:
        """Take an answer; return the values that were waited for."""
        self._asked_link = None
        found = [entry for entry in entries if self.epochs.get(entry.key) == entry.epoch]
        for entry in found:
            del self.epochs[entry.key]
        return found
