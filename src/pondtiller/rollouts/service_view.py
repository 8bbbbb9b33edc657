"""A service as it is during one tick, so that it is worked out once and not for each sample.

Owned by `placement.py`, which drops it at the next tick. Decides nothing.
"""

from collections import Counter
from dataclasses import dataclass, field
from typing import NamedTuple

from pondtiller.rollouts.candidates import Candidates
from pondtiller.rollouts.sample_work import SampleWork
from pondtiller.routes.engines import Engine


class SampleNeed(NamedTuple):
    """What decides which engines suit a sample; samples with the same need share candidates.

    Attributes
    ----------
    oldest_version
        The oldest version that may make it.
    stays_with
        The version that a begun text must stay with; None where any may go on.
    homes
        Regions that it may be in; empty where any will do.
    """

    service: str
    model: str
    oldest_version: int
    stays_with: int | None
    homes: frozenset[str]


@dataclass
class ServiceView:
    """A service as it is during one tick.

    Attributes
    ----------
    usable
        Engines that may get new work.
    with_room
        Those of them that have a free slot and are not paused, by identifier; shrinks as samples
        start.
    pace
        Usual time between two events of a stream, in seconds; 0 while unknown.
    candidates
        Engines with room by what a sample needs.
    reserved
        Places promised to runs that move here in this tick, by engine.
    by_pace
        The engines with room, the fastest first; None until somebody asks.
    """

    usable: list[Engine]
    with_room: dict[str, Engine]
    pace: float
    candidates: dict[SampleNeed, Candidates] = field(default_factory=dict)
    reserved: Counter[str] = field(default_factory=Counter)
    by_pace: list[Engine] | None = None


def sample_need(service: str, work: SampleWork) -> SampleNeed:
    """Return what a sample needs of an engine."""
    return SampleNeed(service, work.model, work.oldest_version, work.stays_with, work.route.homes)
