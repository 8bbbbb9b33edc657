"""Which engines load a new version, and how many at a time. No I/O.

Stateless: `versions.py` keeps the orders in progress. The most outdated engines come first and slow
ones last. Only a share of all engines loads at a time, so that the others keep serving with the
previous version. How many engines a version goes to is decided in `load_shares.py`.
"""

from typing import NamedTuple

LOADS_AT_ONCE_SHARE = 0.4
"""Largest part of the engines that may load at the same time. More would slow down the weight
store; with fewer, versions come too late: of 18 engines, two at a time could not update three
models in time. With this value seven of 18 load and eleven keep serving."""
MIN_LOADS_AT_ONCE = 2
"""Lower bound of that number, for few engines: with five engines, three keep serving."""
ALTERNATING_VERSIONS = 2
"""A step may use the version before its own. Engines with the last two versions serve, and those
with the one before load the next."""


def loads_at_once(engines: int) -> int:
    """Return how many of the given number of engines with models may load at the same time."""
    return max(MIN_LOADS_AT_ONCE, int(engines * LOADS_AT_ONCE_SHARE))


class LoadPriority(NamedTuple):
    """Sort key of an engine among those that should load a version; lower ones load first.

    Attributes
    ----------
    is_slow
        Whether it is much slower than usual.
    is_spare
        Whether it is not needed: there are enough engines, and it had none of the last versions.
    has_version
        Version that it has.
    running
        Requests in flight; loading interrupts idle engines least.
    """

    is_slow: bool
    is_spare: bool
    has_version: int
    running: int
    identifier: str


def spare_below(version: int, is_enough: bool) -> int:
    """Return the version below which an engine is spare and stays as it is while others alternate.

    Parameters
    ----------
    version
        Newest version, which is to be loaded.
    is_enough
        Whether the sound engines suffice for the steps of all their models; otherwise none is
        spare.
    """
    return version - ALTERNATING_VERSIONS if is_enough else 0
