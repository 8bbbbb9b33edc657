"""Conditions for a leader's orders, and how long it waits for orders of other leaders. No I/O.

An order is a call that must not overlap with one of another gateway: to an engine (load a version)
or to the operator (start engines, accept a usage report). A leader writes a note into the step log
before each order, so that a successor knows of it; `order_rights.py` keeps these notes.
"""

from collections.abc import Mapping
from typing import NamedTuple

from pondtiller.steplog.order_notes import LastOrder

NOTE_SECONDS = 0.5
"""How long after its note an order may still be sent. A first note takes 54 ms over two regions; a
higher value lengthens the wait of each successor."""

CLOCK_MARGIN_SECONDS = 0.1
"""Allowed difference between the monotonic clocks of two machines over such a wait of 4.3 s: 2%,
far more than clocks drift."""


def pause_after_others(lease_seconds: float, call_seconds: float) -> float:
    """Return how long after another gateway's note an own order may follow, in seconds.

    Parameters
    ----------
    lease_seconds
        Minimum time between orders of two gateways at their receiver.
    call_seconds
        How long an order may be in transit.
    """
    return lease_seconds + NOTE_SECONDS + call_seconds + CLOCK_MARGIN_SECONDS


def engine_waits(
    last_orders: Mapping[str, LastOrder], own_name: str, pause: float
) -> dict[str, float]:
    """Return until when engines must wait, by address, in monotonic time.

    Only engines that another gateway ordered have to wait: own orders are sequential.
    """
    return {
        place: last.at + pause for place, last in last_orders.items() if last.gateway != own_name
    }


def free_from(last: LastOrder | None, own_name: str, pause: float) -> float:
    """Return when a gateway may act on a subject, given its last order in the log."""
    if last is None or last.gateway == own_name:
        return float("-inf")
    return last.at + pause


class OrderRight(NamedTuple):
    """Inputs of the decision whether an order may be sent; times are monotonic.

    Attributes
    ----------
    good_until
        End of the committed note's validity; minus infinity without a note.
    holds_lease
        Whether no other gateway can be the leader at this moment.
    """

    good_until: float
    holds_lease: bool


def may_leave(right: OrderRight, now: float) -> bool:
    """Return whether an order may be sent: under a valid committed note and a lease."""
    return now < right.good_until and right.holds_lease
