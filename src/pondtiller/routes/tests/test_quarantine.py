"""Contents under which engines ended: what counts, what is held back, what is forgotten."""

import math

import pytest

from pondtiller.hashing import DIGEST_SHOWN
from pondtiller.routes.quarantine import (
    ANSWERED_SECONDS,
    MOST_ANSWERED,
    MOST_ENDS,
    MOST_SAMPLE_ENDS,
    MOST_SUSPECTS,
    QUARANTINE_SECONDS,
    SAMPLE_PREFIX,
    SHARED_TRIAL_PAUSE_SECONDS,
    TRIAL_PAUSES_SECONDS,
    Quarantine,
    Suspect,
    sample_content,
    shown_content,
)

WALL = 1_700_000_000.0


def end_engines(quarantine: Quarantine, count: int, content: str = "c", now: float = 0.0) -> None:
    for number in range(count):
        quarantine.note_end(content, f"e{number}@1", now, WALL + now)


def test_a_content_is_held_back_after_the_last_end_that_is_allowed() -> None:
    quarantine = Quarantine()
    end_engines(quarantine, MOST_ENDS - 1)
    assert not quarantine.is_held("c", WALL)
    end_engines(quarantine, MOST_ENDS)
    assert quarantine.is_held("c", WALL)
    assert quarantine.seconds_left("c", WALL) == QUARANTINE_SECONDS
    assert not quarantine.is_held("another", WALL)


def test_a_sample_bears_more_ends() -> None:
    quarantine, sample = Quarantine(), sample_content("s-1")
    end_engines(quarantine, MOST_ENDS, sample)
    assert not quarantine.is_held(sample, WALL)
    end_engines(quarantine, MOST_SAMPLE_ENDS, sample)
    assert quarantine.is_held(sample, WALL)


def test_one_start_of_an_engine_ends_once() -> None:
    quarantine = Quarantine()
    for _ in range(MOST_ENDS):
        quarantine.note_end("c", "e@1", 0.0, WALL)
    assert quarantine.ends("c") == 1


def test_an_engine_that_started_again_under_its_name_ends_again() -> None:
    quarantine = Quarantine()
    for start in range(MOST_ENDS):
        quarantine.note_end("c", f"e@{start}", 0.0, WALL)
    assert quarantine.is_held("c", WALL)


def test_an_answer_forgets_the_ends() -> None:
    quarantine = Quarantine()
    end_engines(quarantine, MOST_ENDS)
    assert quarantine.note_answer("c", 1.0)
    assert not quarantine.is_held("c", WALL)
    assert not quarantine.note_answer("c", 2.0)


def test_a_content_that_is_answered_all_the_time_is_not_suspected() -> None:
    # Three engines end at once under another content; this one was at work at each of them.
    quarantine = Quarantine()
    quarantine.note_answer("hot", 10.0)
    end_engines(quarantine, MOST_ENDS, "hot", now=10.1)
    assert quarantine.suspects == {}


def test_a_content_that_was_answered_long_ago_is_suspected() -> None:
    # A new version of the engines may end under what an older one bore.
    quarantine = Quarantine()
    quarantine.note_answer("c", 0.0)
    end_engines(quarantine, MOST_ENDS, now=ANSWERED_SECONDS)
    assert quarantine.is_held("c", WALL)


def test_ends_told_by_others_count_together_with_own_ones() -> None:
    quarantine = Quarantine()
    quarantine.note_end("c", "e0@1", 0.0, WALL)
    assert quarantine.take(Suspect("c", frozenset({"e1@1", "e2@1"}), WALL + 60.0))
    assert quarantine.is_held("c", WALL)
    assert not quarantine.take(Suspect("c", frozenset({"e1@1"}), WALL + 60.0))


def test_told_without_ends_a_content_is_let_through() -> None:
    quarantine = Quarantine()
    end_engines(quarantine, MOST_ENDS)
    assert quarantine.take(Suspect("c", frozenset(), WALL + 60.0))
    assert not quarantine.is_held("c", WALL)


def test_ends_count_for_a_time() -> None:
    quarantine = Quarantine()
    end_engines(quarantine, MOST_ENDS)
    late = WALL + QUARANTINE_SECONDS
    assert not quarantine.is_held("c", late)
    quarantine.note_end("c", "e9@1", 0.0, late)
    assert quarantine.ends("c") == 1
    quarantine.keep_house(late + QUARANTINE_SECONDS)
    assert quarantine.suspects == {}


@pytest.mark.parametrize("count", [MOST_SUSPECTS + 10])
def test_what_is_kept_is_bounded(count: int) -> None:
    quarantine = Quarantine()
    for number in range(count):
        quarantine.note_end(f"c{number}", "e@1", 0.0, WALL)
    assert len(quarantine.suspects) == MOST_SUSPECTS
    assert "c0" not in quarantine.suspects
    for number in range(MOST_ANSWERED + 10):
        quarantine.note_answer(f"a{number}", 0.0)
    assert len(quarantine._answered) == MOST_ANSWERED


def test_log_lines_tell_samples_apart_as_they_do_requests() -> None:
    first, second = sample_content("s1"), sample_content("s2")
    assert shown_content(first) != shown_content(second)
    assert shown_content(first) == first[: len(SAMPLE_PREFIX) + DIGEST_SHOWN]
    assert shown_content("9c41d07be2a35f68") == "9c41d07b"


def test_ends_that_another_held_content_shares_are_not_a_contents_own() -> None:
    quarantine = Quarantine()
    end_engines(quarantine, MOST_ENDS, "ends engines")
    end_engines(quarantine, MOST_ENDS, "ran beside it")
    quarantine.note_end("ends engines", "e2@1", 0.0, WALL)
    assert quarantine.own_ends("ran beside it") == 0
    assert quarantine.own_ends("ends engines") == 1
    assert quarantine.own_ends("unknown") == 0
    # Its answer leaves the other one alone with its ends.
    quarantine.note_answer("ran beside it", 1.0)
    assert quarantine.own_ends("ends engines") == MOST_ENDS + 1


def test_ends_that_are_shared_with_a_content_that_is_not_held_are_a_contents_own() -> None:
    quarantine = Quarantine()
    end_engines(quarantine, MOST_ENDS)
    end_engines(quarantine, MOST_ENDS - 1, "another")
    assert quarantine.own_ends("c") == MOST_ENDS


def test_a_trial_is_due_soon_while_ends_are_shared_and_an_engine_is_spare() -> None:
    quarantine = Quarantine()
    end_engines(quarantine, MOST_ENDS, "ends engines")
    end_engines(quarantine, MOST_ENDS, "ran beside it")
    soon, late = WALL + SHARED_TRIAL_PAUSE_SECONDS, WALL + TRIAL_PAUSES_SECONDS[0]
    assert not quarantine.is_trial_due("ran beside it", soon - 0.1, has_spare=True)
    assert quarantine.is_trial_due("ran beside it", soon, has_spare=True)
    assert not quarantine.is_trial_due("ran beside it", late - 0.1, has_spare=False)
    assert quarantine.is_trial_due("ran beside it", late, has_spare=False)


def test_contents_that_share_their_ends_are_tried_one_after_the_other() -> None:
    quarantine = Quarantine()
    end_engines(quarantine, MOST_ENDS, "ends engines")
    end_engines(quarantine, MOST_ENDS, "ran beside it")
    soon = WALL + SHARED_TRIAL_PAUSE_SECONDS
    quarantine.take(quarantine.suspects["ran beside it"].tried(soon))
    assert not quarantine.is_trial_due("ends engines", soon, has_spare=True)
    # It did no harm, so the other one is tried late.
    quarantine.note_answer("ran beside it", 1.0)
    assert not quarantine.is_trial_due("ends engines", soon + 10.0, has_spare=True)
    assert quarantine.is_trial_due("ends engines", WALL + TRIAL_PAUSES_SECONDS[0], has_spare=True)


def test_a_content_is_tried_soon_after_the_trial_of_another_that_shares_its_ends() -> None:
    quarantine = Quarantine()
    end_engines(quarantine, MOST_ENDS, "ends engines")
    end_engines(quarantine, MOST_ENDS, "ran beside it")
    soon = WALL + SHARED_TRIAL_PAUSE_SECONDS
    quarantine.take(quarantine.suspects["ends engines"].tried(soon))
    due = soon + SHARED_TRIAL_PAUSE_SECONDS
    assert not quarantine.is_trial_due("ran beside it", due - 0.1, has_spare=True)
    assert quarantine.is_trial_due("ran beside it", due, has_spare=True)


def trial_times(own_ends: list[int]) -> list[float]:
    """Return after which pauses trials are due, with so many own ends before each."""
    suspect = Suspect("c", frozenset({"e0@1", "e1@1"}), WALL + QUARANTINE_SECONDS)
    now, pauses = WALL, []
    for count in own_ends:
        due = suspect.next_trial_at(count, has_spare=True)
        pauses.append(due - now)
        now = due
        suspect = suspect.tried(now)
    return pauses


def test_each_trial_under_which_an_engine_ends_makes_the_next_one_come_later() -> None:
    first, second, third = TRIAL_PAUSES_SECONDS
    assert trial_times([2, 3, 4, 5]) == [first, second, third, math.inf]


def test_trials_that_met_ends_of_other_causes_do_not_make_the_next_one_come_later() -> None:
    soon = SHARED_TRIAL_PAUSE_SECONDS
    assert trial_times([0, 0, 0, 0]) == [soon, soon, soon, math.inf]
    assert trial_times([0, 1, 2, 3]) == [soon, soon, TRIAL_PAUSES_SECONDS[0], math.inf]


def test_an_inconclusive_trial_is_not_used_up() -> None:
    suspect = Suspect("c", frozenset({"e0@1", "e1@1"}), WALL + QUARANTINE_SECONDS)
    most = len(TRIAL_PAUSES_SECONDS)
    for _ in range(most + 1):
        suspect = suspect.tried(WALL).tried_in_vain()
    assert suspect.next_trial_at(MOST_ENDS, has_spare=True) == WALL + TRIAL_PAUSES_SECONDS[0]
    for _ in range(most):
        suspect = suspect.tried(WALL)
    assert suspect.next_trial_at(MOST_ENDS, has_spare=True) == math.inf
    # One that was told of earlier changes nothing.
    assert suspect.joined(Suspect("c", suspect.ends, suspect.until)) == suspect


def test_more_trials_are_not_given_back_than_were_made() -> None:
    suspect = Suspect("c", frozenset({"e0@1", "e1@1"}), WALL + QUARANTINE_SECONDS)
    assert suspect.tried_in_vain() == suspect


@pytest.mark.parametrize(
    ("other_ends", "other_trials", "broke_off", "is_explained"),
    [
        # Nobody else was there.
        (0, 0, False, False),
        (0, 0, True, False),
        # The trial's request had ended before its engine did.
        (MOST_ENDS - 1, 0, False, False),
        (MOST_ENDS, 0, False, True),
        (MOST_ENDS, 1, False, True),
        # It broke off with its engine.
        (MOST_ENDS - 1, 0, True, False),
        (MOST_ENDS, 0, True, True),
        (MOST_ENDS, 1, True, False),
    ],
)
def test_which_ends_of_engines_that_got_a_trial_are_explained_by_another_content(
    other_ends: int, other_trials: int, broke_off: bool, is_explained: bool
) -> None:
    quarantine = Quarantine()
    quarantine.note_end("c", "e9@1", 0.0, WALL)
    end_engines(quarantine, other_ends, "another")
    for _ in range(other_trials):
        quarantine.take(quarantine.suspects["another"].tried(WALL))
    if broke_off:
        quarantine.note_end("c", "e0@1", 0.0, WALL)
    assert quarantine.is_explained("c", "e0@1") is is_explained
