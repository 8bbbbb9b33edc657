"""By what right a leader gives orders, and how long it waits for orders of others. No I/O.

Owns nothing. An order is a call that must not meet one of another gateway: to an engine (load a
version), to the operator (start engines, take a report of use). A leader writes a note into the
step log before each, so that a successor knows of it; `order_rights.py` keeps these notes.
"""

from collections.abc import Mapping
from typing import NamedTuple

from pondtiller.steplog.order_notes import LastOrder

NOTE_SECONDS = 0.5
"""An order that is not given this soon after its note was written is not given at all.

Chosen, not measured: a first note took 54 ms over two regions; longer lengthens each successor's
wait."""

CLOCK_MARGIN_SECONDS = 0.1
"""What steady clocks of two machines may differ by over such a wait of 4.3 s.

Chosen, not measured: two parts in a hundred of it, far more than clocks drift."""


def pause_after_others(lease_seconds: float, call_seconds: float) -> float:
    """Return how long after another gateway's note an own order may follow, in seconds.

    Parameters
    ----------
    lease_seconds
        Least time between orders of two gateways at the one who takes them.
    call_seconds
        How long an order may be on its way.
    """
    return lease_seconds + NOTE_SECONDS + call_seconds + CLOCK_MARGIN_SECONDS


def engine_waits(
    last_orders: Mapping[str, LastOrder], own_name: str, pause: float
) -> dict[str, float]:
    """Return until when engines wait, by place; in seconds of the steady clock.

    Only those wait that another gateway ordered: own orders are in order by themselves.
    """
    return {
        place: last.at + pause for place, last in last_orders.items() if last.gateway != own_name
    }


def free_from(last: LastOrder | None, own_name: str, pause: float) -> float:
    """Return when a gateway may act on a subject, given the last order of it in the log."""
    if last is None or last.gateway == own_name:
        return float("-inf")
    return last.at + pause


class OrderRight(NamedTuple):
    """What decides whether an order may leave at a moment; times as of the steady clock.

    Attributes
    ----------
    good_until
        Until when the committed note covers the order; minus infinity without one.
    holds_lease
        Whether no other gateway can lead at this moment.
    """

    good_until: float
    holds_lease: bool


def may_leave(right: OrderRight, now: float) -> bool:
    """Return whether an order may leave: under a committed note that is young, and a lease."""
    return now < right.good_until and right.holds_lease
