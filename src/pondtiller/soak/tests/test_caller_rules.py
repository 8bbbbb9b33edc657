"""The soak sees a rate that is exceeded and a body that leaves its home region."""

from pondtiller.soak.caller_rules import MAX_PER_WINDOW, RATE, RATE_EXCESS, HomeRule, RateRule
from pondtiller.soak.caller_rules import home_mark as mark
from pondtiller.soak.promises import Promises

RATE_PROMISE = "a tenant's rate holds over all gateways"
HOME_PROMISE = "a body stays in its home region"


def test_one_request_more_than_the_rate_within_any_second_breaks_the_promise() -> None:
    assert int(RATE * (1 + RATE_EXCESS)) == MAX_PER_WINDOW
    seen = Promises()
    rule = RateRule(seen)
    for number in range(MAX_PER_WINDOW + 1):
        rule.sent(f"t{number}", 10.5 + number * 0.1)
    for number in range(MAX_PER_WINDOW):
        rule.began(f"t{number}", 10.6 + number * 0.1)
        rule.began(f"t{number}", 10.6 + number * 0.1)
        rule.began(f"of another tenant {number}", 10.6 + number * 0.1)
    assert seen.breaches == []
    rule.began(f"t{MAX_PER_WINDOW}", 11.4)
    assert [each.promise for each in seen.breaches] == [RATE_PROMISE]
    assert rule.begun == MAX_PER_WINDOW + 1


def test_what_waited_may_arrive_together_with_others() -> None:
    seen = Promises()
    rule = RateRule(seen)
    for number in range(3 * MAX_PER_WINDOW):
        rule.sent(f"t{number}", 10.0 + number * 1.01 / MAX_PER_WINDOW)
    for number in range(3 * MAX_PER_WINDOW):
        rule.began(f"t{number}", 13.5)
    assert seen.breaches == []


def test_a_body_on_its_way_to_another_region_breaks_the_promise() -> None:
    seen = Promises()
    rule = HomeRule({"z0": "south", "z2": "north"}, seen)
    rule.passed(b"POST / HTTP/1.1\r\n\r\n" + mark("south") + b"x", "z0", "a0")
    rule.passed(b"no home", "z2", "g2")
    assert seen.breaches == []
    rule.passed(b"frame " + mark("south"), "z2", "g2")
    assert [each.promise for each in seen.breaches] == [HOME_PROMISE]
    assert rule.seen == 2
