"""Which engines load a new version, and how many at a time. No I/O.

Owns nothing: `versions.py` keeps the orders under way and asks. The most outdated engines come
first and slow ones last, at most a share of all at a time, so that the others serve on with the
version before. How many engines a version goes to is said by `load_shares.py`.
"""

from typing import NamedTuple

LOADS_AT_ONCE_SHARE = 0.4
"""Part of the engines that may load at the same time. Answers a store of weights that slows down
when more load, and versions that come too late with fewer: of 18 engines two at a time could not
bring the versions of three models in time. The figure between the two was chosen, not measured:
seven of 18 load, eleven serve on."""
FEWEST_LOADS_AT_ONCE = 2
"""The same where the engines are few, in engines. Chosen, not measured: of five engines, which the
share gives two as well, three serve on."""
VERSIONS_IN_TURN = 2
"""A step may use the version before its own: the engines of the last two versions serve, those of
the one before that load the next."""


def loads_at_once(engines: int) -> int:
    """Return how many of so many engines with models may load together."""
    return max(FEWEST_LOADS_AT_ONCE, int(engines * LOADS_AT_ONCE_SHARE))


class LoadOrder(NamedTuple):
    """Where an engine stands among those that are to load a version; lower ones load first.

    Attributes
    ----------
    is_slow
        Whether it is much slower than the usual one.
    is_spare
        Whether it is left over: engines are enough, and it had none of the last versions.
    has_version
        The version that it has.
    running
        Requests that it works on: the idle ones cost least.
    """

    is_slow: bool
    is_spare: bool
    has_version: int
    running: int
    identifier: str


def spare_below(version: int, is_enough: bool) -> int:
    """Return the version below which an engine is spare: it stays as it is while others take turns.

    Parameters
    ----------
    version
        The newest one, which is to be loaded.
    is_enough
        Whether the sound engines are as many as all their models' steps need; else none is spare.
    """
    return version - VERSIONS_IN_TURN if is_enough else 0
