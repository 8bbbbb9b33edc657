"""State of a service during one tick, computed once instead of for each sample.

Held by `placement.py`, which discards it at the next tick.
"""

from collections import Counter
from dataclasses import dataclass, field
from typing import NamedTuple

from pondtiller.rollouts.candidates import Candidates
from pondtiller.rollouts.sample_work import SampleWork
from pondtiller.routes.engines import Engine


class SampleNeed(NamedTuple):
    """What determines which engines suit a sample; samples with the same need share candidates.

    Attributes
    ----------
    oldest_version
        Oldest version that may make it.
    required_version
        Version with which a started text must continue; None for any.
    homes
        Regions that it may be in; empty for any.
    """

    service: str
    model: str
    oldest_version: int
    required_version: int | None
    homes: frozenset[str]


@dataclass
class ServiceView:
    """State of a service during one tick.

    Attributes
    ----------
    usable
        Engines that may get new work.
    free_engines
        Those of them that have a free slot and are not paused, by identifier; shrinks as samples
        start.
    pace
        Usual time between two events of a stream, in seconds; 0 if unknown.
    candidates
        Engines with free slots by what a sample needs.
    reserved
        Slots reserved for runs that move here in this tick, by engine.
    by_pace
        Engines with free slots, fastest first; None until needed.
    """

    usable: list[Engine]
    free_engines: dict[str, Engine]
    pace: float
    candidates: dict[SampleNeed, Candidates] = field(default_factory=dict)
    reserved: Counter[str] = field(default_factory=Counter)
    by_pace: list[Engine] | None = None


def sample_need(service: str, work: SampleWork) -> SampleNeed:
    """Return what a sample needs of an engine."""
    return SampleNeed(
        service, work.model, work.oldest_version, work.required_version, work.route.homes
    )
