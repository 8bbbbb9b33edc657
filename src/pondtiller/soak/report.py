"""What one soak saw, as the command line and the report file show it."""

from typing import NamedTuple

from pondtiller.soak.faults import StruckFault
from pondtiller.soak.promises import Breach


class SoakReport(NamedTuple):
    """What one soak saw.

    Attributes
    ----------
    schedule
        Each fault: seconds from the start, its kind and what it struck.
    own_ends
        Programs that ended without a signal from the soak.
    overlaps
        Times that an engine began a sample while another one was at work on it.
    longest_overlap
        Seconds that the first of the two went on, also where its gateway could not act.
    rated
        Requests of a tenant with a rate that engines began.
    homed
        Times that a body with a home was on its way to an engine.
    ended
        Runs of contents that end engines.
    changed
        Answers that showed whether a gateway acts on a version of the table.
    cancelled
        Steps that were ended while their samples were made or scored.
    """

    seed: int
    breaches: list[Breach]
    schedule: list[StruckFault]
    own_ends: list[str]
    steps: int
    results: int
    answers: int
    overlaps: int
    longest_overlap: float
    rated: int
    homed: int
    ended: int
    changed: int
    cancelled: int
