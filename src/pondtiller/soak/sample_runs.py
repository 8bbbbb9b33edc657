"""Engines at work on one sample: not two for long, unless the older run's gateway cannot act."""

from collections.abc import Callable
from dataclasses import dataclass

from pondtiller.soak.promises import Promises

TWICE_SECONDS = 0.4
"""An engine may go on with a sample for less than this after another one has begun it, and while
that one works; a gateway that is cut off from most others notices it later (1.0 s), and nothing
can reach it sooner."""


@dataclass(eq=False)
class SampleRun:
    """An engine at work on a sample.

    Attributes
    ----------
    can_act_since
        Returns since when the gateway that holds the run has run, is connected to most others,
        and reaches the engine; infinite while it does not. On the steady clock, in seconds.
    """

    sample: str
    engine: str
    gateway: str
    can_act_since: Callable[[], float]
    began_at: float


class SampleRuns:
    """Checks how long two engines work on one sample.

    Attributes
    ----------
    overlaps, longest
        How often they did, and the longest time in seconds, whatever the gateway could do.
    """

    def __init__(self, promises: Promises) -> None:
        self.overlaps = 0
        self.longest = 0.0
        self._promises = promises
        self._runs: dict[str, list[SampleRun]] = {}

    def began(self, run: SampleRun) -> None:
        """Take that an engine began a sample."""
        self._runs.setdefault(run.sample, []).append(run)

    def ended(self, run: SampleRun, now: float) -> None:
        """Take that an engine ended a run, or that its gateway left it; the first counts."""
        runs = self._runs[run.sample]
        if run not in runs:
            return
        place = runs.index(run)
        runs.remove(run)
        for other in runs[:place]:
            self._judge(other, run, now)
        for other in runs[place:]:
            self._judge(run, other, now)

    def _judge(self, older: SampleRun, newer: SampleRun, now: float) -> None:
        """Judge two runs when the first of them ends."""
        if older.engine == newer.engine:
            return
        self.overlaps += 1
        self.longest = max(self.longest, now - newer.began_at)
        twice = now - max(newer.began_at, older.can_act_since())
        if twice >= TWICE_SECONDS:
            detail = (
                f"{older.sample}: {older.engine} of {older.gateway or 'an unknown gateway'} "
                f"went on for {twice:.2f} s after {newer.engine} of {newer.gateway} had begun it"
            )
            self._promises.breach("no two engines work on a sample", detail)
