"""Contents that crash engines: which crashes count, what is quarantined, what expires."""

import math

import pytest

from pondtiller.hashing import DIGEST_SHOWN, content_digest
from pondtiller.routes.quarantine import (
    ANSWERED_SECONDS,
    MAX_ANSWERED,
    MAX_CRASHES,
    MAX_SUSPECTS,
    OWED_TRIAL_PAUSE_SECONDS,
    QUARANTINE_SECONDS,
    SHARED_TRIAL_PAUSE_SECONDS,
    TRIAL_PAUSES_SECONDS,
    Quarantine,
    Suspect,
    abbreviate_content,
)

WALL = 1_700_000_000.0


def crash_engines(quarantine: Quarantine, count: int, content: str = "c", now: float = 0.0) -> None:
    for number in range(count):
        quarantine.note_crash(content, f"e{number}@1", now, WALL + now)


def test_a_content_is_quarantined_at_the_crash_limit() -> None:
    quarantine = Quarantine()
    crash_engines(quarantine, MAX_CRASHES - 1)
    assert not quarantine.is_quarantined("c", WALL)
    crash_engines(quarantine, MAX_CRASHES)
    assert quarantine.is_quarantined("c", WALL)
    assert quarantine.seconds_left("c", WALL) == QUARANTINE_SECONDS
    assert not quarantine.is_quarantined("another", WALL)


def test_an_incarnation_crashes_once() -> None:
    quarantine = Quarantine()
    for _ in range(MAX_CRASHES):
        quarantine.note_crash("c", "e@1", 0.0, WALL)
    assert quarantine.crash_count("c") == 1


def test_a_restarted_engine_counts_again() -> None:
    quarantine = Quarantine()
    for start in range(MAX_CRASHES):
        quarantine.note_crash("c", f"e@{start}", 0.0, WALL)
    assert quarantine.is_quarantined("c", WALL)


def test_an_answer_clears_the_crashes() -> None:
    quarantine = Quarantine()
    crash_engines(quarantine, MAX_CRASHES)
    assert quarantine.note_answer("c", 1.0)
    assert not quarantine.is_quarantined("c", WALL)
    assert not quarantine.note_answer("c", 2.0)


def test_a_content_that_is_answered_all_the_time_is_not_suspected() -> None:
    # Three engines crash at once because of another content; this one was in flight at each.
    quarantine = Quarantine()
    quarantine.note_answer("hot", 10.0)
    crash_engines(quarantine, MAX_CRASHES, "hot", now=10.1)
    assert quarantine.suspects == {}


def test_a_content_that_was_answered_long_ago_is_suspected() -> None:
    # A new engine version may crash on a content that an older one served.
    quarantine = Quarantine()
    quarantine.note_answer("c", 0.0)
    crash_engines(quarantine, MAX_CRASHES, now=ANSWERED_SECONDS)
    assert quarantine.is_quarantined("c", WALL)


def test_crashes_reported_by_others_count_together_with_own_ones() -> None:
    quarantine = Quarantine()
    quarantine.note_crash("c", "e0@1", 0.0, WALL)
    assert quarantine.merge_report(Suspect("c", frozenset({"e1@1", "e2@1"}), WALL + 60.0))
    assert quarantine.is_quarantined("c", WALL)
    assert not quarantine.merge_report(Suspect("c", frozenset({"e1@1"}), WALL + 60.0))


def test_a_report_without_crashes_ends_the_quarantine() -> None:
    quarantine = Quarantine()
    crash_engines(quarantine, MAX_CRASHES)
    assert quarantine.merge_report(Suspect("c", frozenset(), WALL + 60.0))
    assert not quarantine.is_quarantined("c", WALL)


def test_crashes_expire() -> None:
    quarantine = Quarantine()
    crash_engines(quarantine, MAX_CRASHES)
    late = WALL + QUARANTINE_SECONDS
    assert not quarantine.is_quarantined("c", late)
    quarantine.note_crash("c", "e9@1", 0.0, late)
    assert quarantine.crash_count("c") == 1
    quarantine.drop_expired(late + QUARANTINE_SECONDS)
    assert quarantine.suspects == {}


@pytest.mark.parametrize("count", [MAX_SUSPECTS + 10])
def test_what_is_kept_is_bounded(count: int) -> None:
    quarantine = Quarantine()
    for number in range(count):
        quarantine.note_crash(f"c{number}", "e@1", 0.0, WALL)
    assert len(quarantine.suspects) == MAX_SUSPECTS
    assert "c0" not in quarantine.suspects
    for number in range(MAX_ANSWERED + 10):
        quarantine.note_answer(f"a{number}", 0.0)
    assert len(quarantine._answered) == MAX_ANSWERED


def test_abbreviated_contents_differ() -> None:
    first, second = content_digest(b"s1"), content_digest(b"s2")
    assert abbreviate_content(first) != abbreviate_content(second)
    assert abbreviate_content(first) == first[:DIGEST_SHOWN]
    assert abbreviate_content("9c41d07be2a35f68") == "9c41d07b"


def test_crashes_shared_with_another_quarantined_content_are_not_own_crashes() -> None:
    quarantine = Quarantine()
    crash_engines(quarantine, MAX_CRASHES, "ends engines")
    crash_engines(quarantine, MAX_CRASHES, "ran beside it")
    quarantine.note_crash("ends engines", "e2@1", 0.0, WALL)
    assert quarantine.count_own_crashes("ran beside it") == 0
    assert quarantine.count_own_crashes("ends engines") == 1
    assert quarantine.count_own_crashes("unknown") == 0
    # After its answer, the crashes are no longer shared.
    quarantine.note_answer("ran beside it", 1.0)
    assert quarantine.count_own_crashes("ends engines") == MAX_CRASHES + 1


def test_crashes_shared_with_a_content_that_is_not_quarantined_are_own_crashes() -> None:
    quarantine = Quarantine()
    crash_engines(quarantine, MAX_CRASHES)
    crash_engines(quarantine, MAX_CRASHES - 1, "another")
    assert quarantine.count_own_crashes("c") == MAX_CRASHES


def test_a_trial_is_due_soon_while_crashes_are_shared_and_an_engine_is_spare() -> None:
    quarantine = Quarantine()
    crash_engines(quarantine, MAX_CRASHES, "ends engines")
    crash_engines(quarantine, MAX_CRASHES, "ran beside it")
    soon, late = WALL + SHARED_TRIAL_PAUSE_SECONDS, WALL + TRIAL_PAUSES_SECONDS[0]
    assert not quarantine.is_trial_due("ran beside it", soon - 0.1, has_spare=True)
    assert quarantine.is_trial_due("ran beside it", soon, has_spare=True)
    assert not quarantine.is_trial_due("ran beside it", late - 0.1, has_spare=False)
    assert quarantine.is_trial_due("ran beside it", late, has_spare=False)


def test_contents_that_share_crashes_are_tried_one_after_the_other() -> None:
    quarantine = Quarantine()
    crash_engines(quarantine, MAX_CRASHES, "ends engines")
    crash_engines(quarantine, MAX_CRASHES, "ran beside it")
    soon = WALL + SHARED_TRIAL_PAUSE_SECONDS
    quarantine.merge_report(quarantine.suspects["ran beside it"].with_trial(soon))
    assert not quarantine.is_trial_due("ends engines", soon, has_spare=True)
    # The content was harmless, so the other one is tried late.
    quarantine.note_answer("ran beside it", 1.0)
    assert not quarantine.is_trial_due("ends engines", soon + 10.0, has_spare=True)
    assert quarantine.is_trial_due("ends engines", WALL + TRIAL_PAUSES_SECONDS[0], has_spare=True)


def test_a_content_is_tried_soon_after_the_trial_of_another_that_shares_its_crashes() -> None:
    quarantine = Quarantine()
    crash_engines(quarantine, MAX_CRASHES, "ends engines")
    crash_engines(quarantine, MAX_CRASHES, "ran beside it")
    soon = WALL + SHARED_TRIAL_PAUSE_SECONDS
    quarantine.merge_report(quarantine.suspects["ends engines"].with_trial(soon))
    due = soon + SHARED_TRIAL_PAUSE_SECONDS
    assert not quarantine.is_trial_due("ran beside it", due - 0.1, has_spare=True)
    assert quarantine.is_trial_due("ran beside it", due, has_spare=True)


def trial_times(own_ends: list[int]) -> list[float]:
    """Return the pauses before the trials, with the given number of own crashes at each."""
    suspect = Suspect("c", frozenset({"e0@1", "e1@1"}), WALL + QUARANTINE_SECONDS)
    now, pauses = WALL, []
    for count in own_ends:
        due = suspect.next_trial_at(count, has_spare=True)
        pauses.append(due - now)
        now = due
        suspect = suspect.with_trial(now)
    return pauses


def test_each_trial_that_crashes_an_engine_delays_the_next_one() -> None:
    first, second, third = TRIAL_PAUSES_SECONDS
    assert trial_times([2, 3, 4, 5]) == [first, second, third, math.inf]


def test_trials_that_met_crashes_of_other_causes_do_not_delay_the_next_one() -> None:
    soon = SHARED_TRIAL_PAUSE_SECONDS
    assert trial_times([0, 0, 0, 0]) == [soon, soon, soon, math.inf]
    assert trial_times([0, 1, 2, 3]) == [soon, soon, TRIAL_PAUSES_SECONDS[0], math.inf]


def test_a_content_that_must_be_answered_is_tried_without_end() -> None:
    """Guards against a scorer's request that waits for a minute, or is never sent again."""
    suspect = Suspect("c", frozenset({"e0@1", "e1@1"}), WALL + QUARANTINE_SECONDS)
    for number in range(len(TRIAL_PAUSES_SECONDS) + 3):
        due_at = suspect.next_trial_at(len(suspect.ends), has_spare=False, is_owed=True)
        last = suspect.tried_at or WALL
        assert due_at == last + OWED_TRIAL_PAUSE_SECONDS
        suspect = suspect.with_trial(due_at)._replace(ends=suspect.ends | {f"t{number}@1"})
    assert suspect.next_trial_at(len(suspect.ends), has_spare=True) == math.inf


def test_an_inconclusive_trial_is_not_used_up() -> None:
    suspect = Suspect("c", frozenset({"e0@1", "e1@1"}), WALL + QUARANTINE_SECONDS)
    most = len(TRIAL_PAUSES_SECONDS)
    for _ in range(most + 1):
        suspect = suspect.with_trial(WALL).with_inconclusive_trial()
    assert suspect.next_trial_at(MAX_CRASHES, has_spare=True) == WALL + TRIAL_PAUSES_SECONDS[0]
    for _ in range(most):
        suspect = suspect.with_trial(WALL)
    assert suspect.next_trial_at(MAX_CRASHES, has_spare=True) == math.inf
    # An earlier report changes nothing.
    assert suspect.merged_with(Suspect("c", suspect.ends, suspect.until)) == suspect


def test_no_more_trials_are_returned_than_were_made() -> None:
    suspect = Suspect("c", frozenset({"e0@1", "e1@1"}), WALL + QUARANTINE_SECONDS)
    assert suspect.with_inconclusive_trial() == suspect


@pytest.mark.parametrize(
    ("other_ends", "other_trials", "broke_off", "is_explained"),
    [
        # No other content was at the engine.
        (0, 0, False, False),
        (0, 0, True, False),
        # The trial's request had finished before its engine crashed.
        (MAX_CRASHES - 1, 0, False, False),
        (MAX_CRASHES, 0, False, True),
        (MAX_CRASHES, 1, False, True),
        # The trial's request broke off with its engine.
        (MAX_CRASHES - 1, 0, True, False),
        (MAX_CRASHES, 0, True, True),
        (MAX_CRASHES, 1, True, False),
    ],
)
def test_which_crashes_during_a_trial_are_explained_by_another_content(
    other_ends: int, other_trials: int, broke_off: bool, is_explained: bool
) -> None:
    quarantine = Quarantine()
    quarantine.note_crash("c", "e9@1", 0.0, WALL)
    crash_engines(quarantine, other_ends, "another")
    for _ in range(other_trials):
        quarantine.merge_report(quarantine.suspects["another"].with_trial(WALL))
    if broke_off:
        quarantine.note_crash("c", "e0@1", 0.0, WALL)
    assert quarantine.is_crash_explained("c", "e0@1") is is_explained
