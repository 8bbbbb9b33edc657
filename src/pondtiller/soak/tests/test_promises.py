"""Each check of the soak sees a planted fault, and sound answers break nothing."""

import pytest

from pondtiller.soak.promises import ListedResult, Promises

EVENTS = 2


def result(sample: str = "s-0", version: int = 3, **changes: object) -> ListedResult:
    sound: ListedResult = {
        "id": sample,
        "state": "succeeded",
        "text": f"{sample}/1@{version}\n{sample}/2@{version}",
        "versions": [version],
        "score": f"sig-{sample}-score",
    }
    return {**sound, **changes}  # type: ignore[typeddict-item]


def promises() -> Promises:
    made = Promises()
    made.step_accepted("s", ["s-0", "s-1"], oldest=2)
    return made


def test_sound_results_and_answers_break_nothing() -> None:
    seen = promises()
    seen.page_read("s", 0, [result(), result("s-1")], EVENTS)
    seen.page_read("s", 1, [result("s-1")], EVENTS)
    seen.began("q", is_once=True, refused=False)
    seen.answered("q", 200, b"answer x", b"x")
    seen.answered("r", 503, b"", b"x")
    seen.ended()
    assert seen.breaches == []


@pytest.mark.parametrize(
    ("page", "promise"),
    [
        ([result(text="s-0/1@3")], "a text is whole"),
        ([result(text="s-1/1@3\ns-1/2@3")], "a text is whole"),
        ([result(versions=[4])], "versions are named"),
        ([result(version=1)], "no version is too old"),
        ([result(score="sig-other")], "a score is its own"),
        ([result("x-0")], "results belong to their step"),
        ([result(), result()], "each sample is listed once"),
    ],
)
def test_a_wrong_result_is_seen(page: list[ListedResult], promise: str) -> None:
    seen = promises()
    seen.page_read("s", 0, page, EVENTS)
    assert promise in {breach.promise for breach in seen.breaches}


def test_a_result_that_changes_is_seen() -> None:
    seen = promises()
    seen.page_read("s", 0, [result()], EVENTS)
    seen.page_read("s", 0, [result("s-1")], EVENTS)
    assert seen.breaches[0].promise == "a result never changes"


def test_a_second_run_a_false_refusal_and_a_foreign_answer_are_seen() -> None:
    seen = promises()
    seen.began("q", is_once=True, refused=False)
    seen.began("q", is_once=True, refused=False)
    seen.answered("q", 503, b"", b"x")
    seen.answered("r", 200, b"answer y", b"x")
    seen.began("late", is_once=False, refused=True)
    assert [breach.promise for breach in seen.breaches] == [
        "at most once",
        "not run is true",
        "each caller gets its own whole answer",
        "not run is true",
    ]


def test_a_sample_that_is_never_listed_is_seen() -> None:
    seen = promises()
    seen.page_read("s", 0, [result()], EVENTS)
    seen.ended()
    assert "s-1" in seen.breaches[0].detail


def test_a_step_that_is_lost_says_who_accepted_it_and_how_it_was_read_last() -> None:
    seen = promises()
    seen.step_reads.accepted("s", 1, oldest=2)
    seen.step_reads.engine_versions = {"m0": 1}
    seen.step_reads.read("s", 0, "503")
    seen.step_reads.read("s", 2, "1 from 0")
    seen.ended()
    (breach,) = seen.breaches
    accepted = "s: ['s-0', 's-1']; accepted by g1 at 0.0 s, oldest version 2; g0 at 0.0 s: 503"
    assert breach.detail.startswith(accepted)
    assert breach.detail.endswith("g2 at 0.0 s: 1 from 0; engines hold m0 v1")
