"""The agreed wall-clock time while machines' clocks differ and jump, and machines leave."""

import random

import pytest

from pondtiller.coordination import agreed_clock
from pondtiller.coordination.agreed_clock import (
    FRESH_SECONDS,
    JUMPS_TO_FOLLOW,
    MEDIAN_SECONDS,
    SETTLE_SECONDS,
    AgreedClock,
)

TRUE = 1_000_000.0
"""True wall-clock time at monotonic time 0."""


def test_no_time_is_agreed_before_all_machines_had_time_to_report() -> None:
    clock = AgreedClock()
    assert clock.now(0.0) is None
    for machine in "abc":
        clock.note_report(machine, TRUE, 0.0)
    assert clock.now(SETTLE_SECONDS - 0.1) is None
    assert clock.now(SETTLE_SECONDS) == TRUE + SETTLE_SECONDS


def test_one_machine_agrees_with_itself() -> None:
    clock = AgreedClock()
    clock.note_report("a", TRUE, 0.0)
    assert clock.now(SETTLE_SECONDS) == TRUE + SETTLE_SECONDS


def test_a_new_leader_keeps_the_known_time_if_jumped_machines_report_first() -> None:
    clock = AgreedClock()
    clock.note_agreed_time(TRUE, 0.0)
    clock.forget_machines()
    for machine in "abcd":
        clock.note_report(machine, TRUE + 3.0, 0.0)
    assert clock.now(0.1) == TRUE + 0.1
    for machine in "efghijk":
        clock.note_report(machine, TRUE + 0.5, 0.5)
    assert clock.now(SETTLE_SECONDS) == TRUE + SETTLE_SECONDS


@pytest.mark.parametrize("seed", range(20))
def test_a_third_of_the_machines_may_jump_together(seed: int) -> None:
    drawn = random.Random(seed)
    clock = AgreedClock()
    jumped = drawn.sample(range(30), 10)
    by = drawn.choice((-4.0, -1.0, 2.5, 6.0))
    for machine in range(30):
        differs = drawn.uniform(-0.02, 0.02)
        now = machine * 0.01
        wall = TRUE + now + differs + (by if machine in jumped else 0.0)
        clock.note_report(str(machine), wall, now)
    agreed = clock.now(SETTLE_SECONDS)
    assert agreed is not None and abs(agreed - (TRUE + SETTLE_SECONDS)) < 0.03
    assert clock.spread_seconds(SETTLE_SECONDS) < 0.1


def test_a_leader_with_reports_of_jumped_machines_only_keeps_the_received_time() -> None:
    clock = AgreedClock()
    clock.note_agreed_time(TRUE, 0.0)
    clock.forget_machines()
    clock.note_report("a", TRUE + 5.0, 0.0)
    assert clock.now(SETTLE_SECONDS) == TRUE + SETTLE_SECONDS


def test_a_jump_received_once_is_ignored_and_a_lasting_one_is_accepted() -> None:
    clock = AgreedClock()
    clock.note_agreed_time(TRUE, 0.0)
    clock.note_agreed_time(TRUE + 3.0, 0.0)
    assert clock.now(0.0) == TRUE
    for _ in range(JUMPS_TO_FOLLOW):
        clock.note_agreed_time(TRUE + 3.0, 0.0)
    assert clock.now(0.0) == TRUE + 3.0


def test_an_expired_report_does_not_count() -> None:
    clock = AgreedClock()
    for machine in "abc":
        clock.note_report(machine, TRUE - 9.0, 0.0)
    later = FRESH_SECONDS + 1.0
    for machine in "def":
        clock.note_report(machine, TRUE + later, later)
    assert clock.now(later) == TRUE + later


def test_the_median_is_computed_five_times_a_second_at_most(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    taken: list[int] = []

    def median(offsets: list[float]) -> float:
        taken.append(len(offsets))
        return sorted(offsets)[len(offsets) // 2]

    monkeypatch.setattr(agreed_clock, "median", median)
    clock = AgreedClock()
    for machine in range(300):
        clock.note_report(str(machine), TRUE, 0.0)
    for tell in range(600):
        now = SETTLE_SECONDS + tell / 600
        clock.note_report(str(tell % 300), TRUE + now, now)
        agreed = clock.now(now)
        assert agreed == pytest.approx(TRUE + now, abs=1e-6)
    assert len(taken) == 5


def test_new_reports_count_once_the_last_median_has_expired() -> None:
    clock = AgreedClock()
    for machine in "abc":
        clock.note_report(machine, TRUE, 0.0)
    assert clock.now(SETTLE_SECONDS) == TRUE + SETTLE_SECONDS
    for machine in "abc":
        clock.note_report(machine, TRUE + 1.0 + SETTLE_SECONDS, SETTLE_SECONDS)
    later = SETTLE_SECONDS + MEDIAN_SECONDS
    assert clock.now(later) == pytest.approx(TRUE + 1.0 + later)


def test_a_new_term_computes_its_own_median_at_once() -> None:
    clock = AgreedClock()
    for machine in "abc":
        clock.note_report(machine, TRUE, 0.0)
    assert clock.now(SETTLE_SECONDS) == TRUE + SETTLE_SECONDS
    clock.forget_machines()
    for machine in "abc":
        clock.note_report(machine, TRUE + 0.1, 0.0)
    assert clock.now(SETTLE_SECONDS) == pytest.approx(TRUE + 0.1 + SETTLE_SECONDS)
