"""What a place at an engine costs a sample; the cheapest one is taken. No I/O.

Owns nothing. Costs are in parts of a full engine: 1 is what the last place of an engine costs that
is as fast as usual. Takes plain numbers rather than one value of inputs: a tick of 100 starts asks
some 4,000 times. Not decided here: which engines may take the sample at all (`placement.py`).
"""

from pondtiller.routes.engines import Engine
from pondtiller.routes.topology import Distance, Topology

GROUP_BONUS = 0.4
"""By how much a place is cheaper where a sample of the same group runs, in parts of a full engine:
2.4 places of an engine with 6. Answers the reading of prompts, which a group shares. Chosen, not
measured: balanced against filling, so that a group does not wait for one engine while others are
idle."""
SLOWNESS_COST = 1.5
"""What a place costs more for each time by which an engine is slower than usual, for a sample of
its step's mean size. Answers engines of one service that differ in speed by 1.3 (38 and 50 ms
between events) while a full batch costs 6 %. Chosen, not measured by itself: an engine slower by a
third costs a mean sample half of an engine more, and the longest ones one and a half."""
REGION_COST = 0.25
"""An engine in another region than the leader's, against a full one. Load: the events of its
samples, some kilobytes each, cross to the leader; they wait 20 ms, which a sample does not feel.
So the near engines take a quarter of their places more, and all are used when there is work."""
LONGEST_SIZE = 3.0
"""Sizes of samples, against their step's mean, above which a slow engine costs no more. Chosen, not
measured: at this size a tenth of slowness is already worth 0.45 of an engine."""


class PlaceCosts:
    """Costs of places for the samples of a leader.

    Parameters
    ----------
    zone
        Of the leader, to which all events of the runs go.
    """

    def __init__(self, places: Topology, zone: str) -> None:
        self._places = places
        self._zone = zone

    def of(self, engine: Engine, usual_pace: float, size: float, shares_prompt: bool) -> float:
        """Return what a place costs one sample.

        Parameters
        ----------
        usual_pace
            Seconds between two events at the service's engines; 0 while unknown.
        size
            Of the sample, against the mean of its step's.
        shares_prompt
            Whether a sample of its group runs at the engine.
        """
        cost = self.base(engine, usual_pace, min(size, LONGEST_SIZE))
        return cost - (GROUP_BONUS if shares_prompt else 0.0)

    def base(self, engine: Engine, usual_pace: float, size: float = 1.0) -> float:
        """Return what a place costs a sample of a size whose group is nowhere."""
        cost = _filling(engine)
        cost += SLOWNESS_COST * max(0.0, _relative_pace(engine, usual_pace) - 1.0) * size
        distance = self._places.distance(self._zone, engine.entry.zone)
        return cost + (REGION_COST if distance is Distance.OTHER_REGION else 0.0)


def _filling(engine: Engine) -> float:
    return (engine.running + 1) / engine.entry.slots


def _relative_pace(engine: Engine, pace: float) -> float:
    return engine.event_seconds / pace if engine.event_seconds and pace else 1.0
