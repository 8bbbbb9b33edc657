"""How many runs of each group are at which engine. No I/O.

Owns the counts, for one term of a leader. What nobody counts any more is forgotten.
"""

from collections import Counter
from collections.abc import Collection


class GroupRuns:
    """Counts runs by engine and group."""

    def __init__(self) -> None:
        self._groups_at: dict[str, Counter[str]] = {}
        self._engines_of: dict[str, Counter[str]] = {}

    def began(self, engine: str, group: str) -> None:
        """Count a run."""
        self._groups_at.setdefault(engine, Counter())[group] += 1
        self._engines_of.setdefault(group, Counter())[engine] += 1

    def ended(self, engine: str, group: str) -> None:
        """Count the end of a run."""
        _count_down(self._groups_at, engine, group)
        _count_down(self._engines_of, group, engine)

    def groups_at(self, engine: str) -> Collection[str]:
        """Return the groups of which an engine runs samples."""
        return self._groups_at.get(engine, ())

    def engines_of(self, group: str) -> Collection[str]:
        """Return the engines that run samples of a group, in the order in which they began."""
        return self._engines_of.get(group, ())


def _count_down(counts: dict[str, Counter[str]], name: str, part: str) -> None:
    counter = counts.get(name)
    if counter is None:
        return
    counter[part] -= 1
    if counter[part] <= 0:
        del counter[part]
    if not counter:
        del counts[name]
