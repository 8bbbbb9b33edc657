"""When a leader may send an order, and for whose orders it waits."""

import pytest

from pondtiller.gateway.leader import run_offers
from pondtiller.gateway.leader.order_waits import (
    OrderRight,
    engine_waits,
    free_from,
    may_leave,
    pause_after_others,
)
from pondtiller.gateway.leader.run_offers import OfferWait, are_offers_awaited
from pondtiller.links.link import CONNECT_SECONDS
from pondtiller.steplog.order_notes import LastOrder

STARTED, BEGAN = 0.0, 100.0
NO_OFFER = OfferWait(STARTED, BEGAN, BEGAN, is_connecting=False, will_reoffer=False)


def test_the_pause_covers_the_lease_the_note_the_way_and_the_clocks() -> None:
    assert pause_after_others(lease_seconds=3.0, call_seconds=0.7) == pytest.approx(4.3)


def test_only_orders_of_others_are_waited_for() -> None:
    last = {"a": LastOrder("me", 10.0), "b": LastOrder("other", 20.0)}
    assert engine_waits(last, "me", 4.0) == {"b": 24.0}
    assert free_from(last["b"], "me", 4.0) == 24.0
    assert free_from(last["a"], "me", 4.0) == free_from(None, "me", 4.0) == float("-inf")


@pytest.mark.parametrize(
    ("good_until", "holds_lease", "may"),
    [(10.5, True, True), (10.0, True, False), (10.5, False, False), (float("-inf"), True, False)],
)
def test_an_order_leaves_under_a_young_note_and_a_lease(
    good_until: float, holds_lease: bool, may: bool
) -> None:
    assert may_leave(OrderRight(good_until, holds_lease), 10.0) is may


def test_a_new_leader_waits_a_moment_for_offers() -> None:
    assert are_offers_awaited(NO_OFFER, BEGAN + run_offers.OFFER_WAIT_SECONDS - 0.01)
    assert not are_offers_awaited(NO_OFFER, BEGAN + run_offers.OFFER_WAIT_SECONDS + 0.01)


def test_a_leader_that_has_just_started_waits_for_no_offer() -> None:
    fresh = NO_OFFER._replace(started_at=BEGAN - run_offers.FRESH_START_SECONDS + 0.1)
    assert not are_offers_awaited(fresh, BEGAN)


def test_offers_are_awaited_while_connecting_or_after_a_request_to_offer_again() -> None:
    connecting = NO_OFFER._replace(is_connecting=True)
    assert are_offers_awaited(connecting, BEGAN + CONNECT_SECONDS - 0.01)
    assert not are_offers_awaited(connecting, BEGAN + CONNECT_SECONDS + 0.01)
    asked = NO_OFFER._replace(texts_read=BEGAN + 5.0, will_reoffer=True)
    assert are_offers_awaited(asked, BEGAN + 5.0 + run_offers.REOFFER_SECONDS - 0.01)
    assert not are_offers_awaited(asked, BEGAN + 5.0 + run_offers.REOFFER_SECONDS + 0.01)
