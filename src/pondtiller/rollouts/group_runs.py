"""Number of runs of each sample group at each engine. No I/O.

Holds the counts for one term of a leader; entries without runs are removed.
"""

from collections import Counter
from collections.abc import Collection


class GroupRuns:
    """Counts runs of each group by engine."""

    def __init__(self) -> None:
        self._engines_of: dict[str, Counter[str]] = {}

    def began(self, engine: str, group: str) -> None:
        """Count a run."""
        self._engines_of.setdefault(group, Counter())[engine] += 1

    def ended(self, engine: str, group: str) -> None:
        """Count the end of a run."""
        engines = self._engines_of.get(group)
        if engines is None:
            return
        engines[engine] -= 1
        if engines[engine] <= 0:
            del engines[engine]
        if not engines:
            del self._engines_of[group]

    def engines_of(self, group: str) -> Collection[str]:
        """Return the engines that run samples of a group, in the order in which they started."""
        return self._engines_of.get(group, ())
