"""Which values a candidate reads during its takeover, from whom, and which can wait. No I/O.

Owns the requests under way (`Fetches`), for one takeover. Values that wait are read by
`deferred.py` once the candidate leads.
"""

from collections.abc import Callable, Collection, Iterable, Sequence

from pondtiller.steplog.follower import Follower

CHUNK_KEYS = 64
"""Values in one message of a takeover: heartbeats get through between them.

Answers a log of 8 MB in one answer a replica, which took 1.2 s on a link of 100 Mbit/s, longer
than a lease. 64 values of about 6 KB take 31 ms there (worked out). Chosen, not measured."""


class Fetches:
    """Keys that were asked for and not answered, by link, in the order of asking."""

    def __init__(self) -> None:
        self._chunks: dict[int, list[list[str]]] = {}

    def __bool__(self) -> bool:
        """Return whether an answer is missing."""
        return bool(self._chunks)

    def is_asked(self, link: int) -> bool:
        """Return whether a replica owes an answer."""
        return link in self._chunks

    def add(self, link: int, key: str) -> None:
        """Ask a replica for one value more."""
        chunks = self._chunks.setdefault(link, [[]])
        if len(chunks[-1]) >= CHUNK_KEYS:
            chunks.append([])
        chunks[-1].append(key)

    def requests(self) -> list[tuple[int, list[str]]]:
        """Return link and keys of each request."""
        return [(link, keys) for link, chunks in self._chunks.items() for keys in chunks]

    def answered(self, link: int) -> list[str]:
        """Return the keys of a replica's oldest request, which is over."""
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
    """Return for each key the link to fetch it from: one that has its highest epoch.

    Where several do, they share the keys.
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
    may_wait: Callable[[Collection[str]], set[str]],
    have_write_quorums: Callable[[set[str]], bool],
) -> dict[str, int]:
    """Return the keys, with their epochs, whose values may be read once this gateway leads.

    A write quorum holds them at the highest epoch that anybody does, so nothing of them is
    to be written again. As long as they are not read, they are as safe as they were without
    a leader. Who lacks one is brought up to date later: the quorum is chosen among those
    that hold most, and lacks none.

    Parameters
    ----------
    promised
        Replicas that promised, with their keys.
    may_wait
        Returns which of some keys' values are not needed to lead.
    have_write_quorums
        Returns whether some disks are write quorums of all voting groups.
    """
    highest = highest_epochs(promised)
    waiting = {key: highest[key] for key in may_wait(highest.keys())}
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
    """Return a write quorum of those that hold most of some values; empty where none is."""
    ordered = sorted(
        promised, key=lambda each: len(values.items() & (each.keys or {}).items()), reverse=True
    )
    for size in range(1, len(ordered) + 1):
        if have_write_quorums({follower.disk for follower in ordered[:size]}):
            return ordered[:size]
    return []
