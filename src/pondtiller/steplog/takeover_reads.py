"""Which values a candidate reads during its takeover, from which replica, and which are deferred.

Holds the requests in progress (`Fetches`), for one takeover. Deferred values are read by
`deferred.py` after the takeover. No I/O.
"""

from collections.abc import Callable, Collection, Iterable, Sequence

from pondtiller.steplog.follower import Follower

CHUNK_KEYS = 64
"""Values in one message of a takeover, so that heartbeats are sent in between. A log of 8 MB in one
answer per replica took 1.2 s on a link of 100 Mbit/s, longer than a lease; 64 values of about 6 KB
take 31 ms there."""


class Fetches:
    """Requested keys without an answer, by link, in the order of the requests."""

    def __init__(self) -> None:
        self._chunks: dict[int, list[list[str]]] = {}

    def __bool__(self) -> bool:
        """Return whether an answer is missing."""
        return bool(self._chunks)

    def is_asked(self, link: int) -> bool:
        """Return whether a replica has yet to answer."""
        return link in self._chunks

    def add(self, link: int, key: str) -> None:
        """Request another value from a replica."""
        chunks = self._chunks.setdefault(link, [[]])
        if len(chunks[-1]) >= CHUNK_KEYS:
            chunks.append([])
        chunks[-1].append(key)

    def requests(self) -> list[tuple[int, list[str]]]:
        """Return link and keys of each request."""
        return [(link, keys) for link, chunks in self._chunks.items() for keys in chunks]

    def answered(self, link: int) -> list[str]:
        """Return the keys of a replica's oldest request, and remove it."""
        chunks = self._chunks[link]
        keys = chunks.pop(0)
        if not chunks:
            del self._chunks[link]
        return keys


def highest_epochs(followers: Iterable[Follower]) -> dict[str, int]:
    """Return the highest epoch of each key that any replica named."""
    highest: dict[str, int] = {}
    for follower in followers:
        for key, epoch in (follower.keys or {}).items():
            highest[key] = max(epoch, highest.get(key, epoch))
    return highest


def best_holders(followers: Iterable[Follower]) -> dict[str, int]:
    """Return for each key a link to fetch it from, which has its highest epoch.

    If several links do, the keys are distributed over them.
    """
    highest: dict[str, int] = {}
    holders: dict[str, list[int]] = {}
    for follower in followers:
        for key, epoch in (follower.keys or {}).items():
            if epoch > highest.get(key, -1):
                highest[key], holders[key] = epoch, []
            if epoch == highest[key]:
                holders[key].append(follower.link)
    return {key: links[place % len(links)] for place, (key, links) in enumerate(holders.items())}


def deferrable(
    promised: Sequence[Follower],
    may_defer: Callable[[Collection[str]], set[str]],
    have_write_quorums: Callable[[set[str]], bool],
) -> dict[str, int]:
    """Return the keys, with their epochs, whose values may be read after the takeover.

    A write quorum has them at the highest known epoch, so nothing of them has to be rewritten, and
    until they are read they are as safe as without a leader. Replicas that lack one are brought up
    to date later: the quorum is chosen among those that have most, and lacks none.

    Parameters
    ----------
    promised
        Replicas that promised, with their keys.
    may_defer
        Returns which of some keys' values are not needed to lead.
    have_write_quorums
        Returns whether some disks are write quorums of all voting groups.
    """
    highest = highest_epochs(promised)
    waiting = {key: highest[key] for key in may_defer(highest.keys())}
    quorum = _most_complete_quorum(promised, waiting, have_write_quorums)
    return {
        key: epoch
        for key, epoch in waiting.items()
        if quorum and all((each.keys or {}).get(key) == epoch for each in quorum)
    }


def _most_complete_quorum(
    promised: Sequence[Follower],
    values: dict[str, int],
    have_write_quorums: Callable[[set[str]], bool],
) -> list[Follower]:
    """Return a write quorum of those that have most of some values; empty if there is none."""
    ordered = sorted(
        promised, key=lambda each: len(values.items() & (each.keys or {}).items()), reverse=True
    )
    for size in range(1, len(ordered) + 1):
        if have_write_quorums({follower.disk for follower in ordered[:size]}):
            return ordered[:size]
    return []
