"""Values that a new leader reads only after its takeover. No I/O.

Holds which values are still to be read, for one term. Which values may be deferred is decided in
`takeover_reads.py`.
"""

from collections.abc import Iterable, Mapping

from pondtiller.steplog.entry import Entry

PART_KEYS = 64
"""Values in one message, as in a takeover (`takeover_reads.CHUNK_KEYS`), so that heartbeats and run
messages are sent between them."""
UNANSWERED_SECONDS = 1.0
"""Time after which a part is requested again, from another replica. Only readers of steps that have
ended wait for it."""


class DeferredValues:
    """Values that are still to be read, and the request in progress.

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
        """Remove a value that was rewritten or deleted."""
        self.epochs.pop(key, None)

    def link_lost(self, link: int) -> None:
        """Handle the end of a link; its request is repeated."""
        if link == self._asked_link:
            self._asked_link = None

    def is_lacked_by(self, held: Mapping[str, int]) -> bool:
        """Return whether a replica that has some keys lacks one of the values."""
        return any(held.get(key, -1) < epoch for key, epoch in self.epochs.items())

    def next_request(self, links: list[int], now: float) -> tuple[int, list[str]] | None:
        """Return which link to ask for which keys; None during a request or if nothing is left."""
        is_asked = self._asked_link is not None and now < self._asked_at + UNANSWERED_SECONDS
        if not self.epochs or not links or is_asked:
            return None
        self._turn += 1
        self._asked_link, self._asked_at = links[self._turn % len(links)], now
        keys = [key for key, _ in zip(self.epochs, range(PART_KEYS), strict=False)]
        return self._asked_link, keys

    def pop_awaited(self, entries: Iterable[Entry]) -> list[Entry]:
        """Process an answer; return the awaited values."""
        self._asked_link = None
        found = [entry for entry in entries if self.epochs.get(entry.key) == entry.epoch]
        for entry in found:
            del self.epochs[entry.key]
        return found
