import pytest

from pondtiller.cli.scale import read_sizes
from pondtiller.scale.simulated import run_size
from pondtiller.scale.slopes import fit

LARGEST_GROWTH = 1.25


def test_line_through_exact_values_has_no_error():
    slope = fit("figure", "member", [1.0, 2.0, 3.0], [5.0, 7.0, 9.0])
    assert (slope.intercept, slope.slope) == pytest.approx((3.0, 2.0))
    assert slope.error == pytest.approx(0.0, abs=1e-9)
    assert slope.at(10.0) == pytest.approx(23.0)


def test_control_messages_and_ticks_of_a_daemon_do_not_grow_with_the_group():
    small, large = (run_size(members, members * 2, 10, 10.0, 1) for members in (10, 40))
    assert large.messages_a_second <= small.messages_a_second * LARGEST_GROWTH
    assert large.bytes_a_second <= small.bytes_a_second * LARGEST_GROWTH
    assert large.ticks_a_second <= small.ticks_a_second * LARGEST_GROWTH
    assert large.version_worst_seconds is not None


def test_sizes_are_checked():
    assert read_sizes("10, 20").unwrap() == [10, 20]
    assert read_sizes("10,x").is_err()
    assert read_sizes("4").is_err()
