"""Engines at work on one sample: not two for long, unless the older run's gateway cannot act."""

from collections.abc import Callable
from dataclasses import dataclass

from pondtiller.soak.promises import Promises

TWICE_SECONDS = 0.4
"""An engine may go on with a sample for less than this after another one has begun it; a gateway
that is cut off from most others notices it later (1.0 s), and nobody can tell it sooner."""


@dataclass(eq=False)
class SampleRun:
    """An engine at work on a sample.

    Attributes
    ----------
    can_act_since
        Returns since when the gateway that holds the run has run, is in touch with most others,
        and reaches the engine; infinite while it does not. On the steady clock, in seconds.
    rival, rival_began_at
        The first engine that began the sample after this one.
    """

    sample: str
    engine: str
    gateway: str
    can_act_since: Callable[[], float]
    rival: str = ""
    rival_began_at: float = float("inf")


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

    def began(self, run: SampleRun, now: float) -> None:
        """Take that an engine began a sample."""
        runs = self._runs.setdefault(run.sample, [])
        for other in runs:
            if other.engine != run.engine and not other.rival:
                other.rival, other.rival_began_at = run.engine, now
        runs.append(run)

    def ended(self, run: SampleRun, now: float) -> None:
        """Take that an engine ended a run, or that its gateway left it; the first counts."""
        runs = self._runs[run.sample]
        if run not in runs:
            return
        runs.remove(run)
        if not run.rival:
            return
        self.overlaps += 1
        self.longest = max(self.longest, now - run.rival_began_at)
        twice = now - max(run.rival_began_at, run.can_act_since())
        if twice >= TWICE_SECONDS:
            detail = (
                f"{run.sample}: {run.engine} of {run.gateway or 'an unknown gateway'} went on for "
                f"{twice:.2f} s after {run.rival} had begun it"
            )
            self._promises.breach("no two engines work on a sample", detail)
