"""Cost of a slot at an engine for a sample; the cheapest one is taken. No I/O.

Stateless. The unit is a full engine: 1 is the cost of the last slot of an engine with the usual
pace. Takes plain numbers instead of a tuple of inputs, since a tick with 100 starts calls it some
4,000 times. Which engines may take the sample at all is decided in `placement.py`.
"""

from pondtiller.routes.engines import Engine
from pondtiller.routes.topology import Distance, Topology

GROUP_BONUS = 0.4
"""Discount of an engine that runs a sample of the same group, which shares the reading of the
prompt: 2.4 slots of an engine with 6. Balanced against load, so that a group does not wait for one
engine while others are idle."""
SLOWNESS_COST = 1.5
"""Cost of slowness, per multiple of the usual pace, for a sample of its step's mean size. Engines
of one service may differ in speed by 1.3 (38 and 50 ms between events), while a full batch costs
6%. An engine slower by a third costs a mean sample half an engine more, and the longest ones one
and a half."""
REGION_COST = 0.25
"""Cost of an engine in another region than the leader's. The events of its samples, some kilobytes
each, cross to the leader and are delayed by 20 ms, which is negligible for a sample. Near engines
are therefore filled a quarter more, and all are used while there is work."""
MAX_SIZE = 3.0
"""Size of a sample, relative to its step's mean, above which a slow engine costs no more: at this
size 10% of slowness already costs 0.45 of an engine."""


class SlotCosts:
    """Costs of slots for the samples of a leader.

    Parameters
    ----------
    zone
        Zone of the leader, to which all events of the runs are sent.
    """

    def __init__(self, topology: Topology, zone: str) -> None:
        self._topology = topology
        self._zone = zone

    def of(self, engine: Engine, usual_pace: float, size: float, shares_prompt: bool) -> float:
        """Return the cost of a slot for one sample.

        Parameters
        ----------
        usual_pace
            Seconds between two events at the service's engines; 0 if unknown.
        size
            Size of the sample relative to the mean of its step.
        shares_prompt
            Whether a sample of its group runs at the engine.
        """
        cost = self.base(engine, usual_pace, min(size, MAX_SIZE))
        return cost - (GROUP_BONUS if shares_prompt else 0.0)

    def base(self, engine: Engine, usual_pace: float, size: float = 1.0) -> float:
        """Return the cost of a slot for a sample of a size, without its group."""
        cost = _filling(engine)
        cost += SLOWNESS_COST * max(0.0, _relative_pace(engine, usual_pace) - 1.0) * size
        distance = self._topology.distance(self._zone, engine.entry.zone)
        return cost + (REGION_COST if distance is Distance.OTHER_REGION else 0.0)


def _filling(engine: Engine) -> float:
    return (engine.running + 1) / engine.entry.slots


def _relative_pace(engine: Engine, pace: float) -> float:
    return engine.event_seconds / pace if engine.event_seconds and pace else 1.0
