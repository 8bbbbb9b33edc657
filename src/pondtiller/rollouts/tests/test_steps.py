"""Steps: accepted once, positions final, visible only when written, restored unchanged."""

import pytest

from pondtiller.links.frames import FrameReader, encode, encode_message
from pondtiller.rollouts.step_keys import keys_of_ended_steps, result_key, step_key
from pondtiller.rollouts.step_record import add_sample
from pondtiller.rollouts.steps import StepBook, StepStatus
from pondtiller.steplog.entry import Entry
from pondtiller.wire.steplog import OpenStep, ResultsPage, Sample, SampleResult, Step


def make_step(identifier: str = "s1", samples: int = 3) -> Step:
    step = Step(id=identifier, host="h", path="/p/", accepted_at=100.0)
    for number in range(samples):
        add_sample(step, Sample(id=f"{identifier}-{number}", body=b"b", group="g"), 1.0)
    return step


def listed(page: ResultsPage) -> list[str]:
    return [SampleResult().parse(each).id for each in page.results]


def commit_all(book: StepBook) -> list[Entry]:
    entries = [Entry(key=write.key, epoch=1, value=write.value) for write in book.take_writes()]
    for entry in entries:
        book.committed(entry.key)
    return entries


def result(number: int, text: str = "t") -> SampleResult:
    return SampleResult(id=f"s1-{number}", succeeded=True, text=text, versions=[2], score="x")


def test_a_step_is_unavailable_until_its_acceptance_is_written() -> None:
    book = StepBook()
    book.open(make_step())
    assert book.read("s1", 0).status == StepStatus.UNAVAILABLE
    commit_all(book)
    page = book.read("s1", 0)
    assert (page.status, page.total, page.next_position) == (StepStatus.OK, 3, 0)


@pytest.mark.parametrize("identifier", ["a/b", "a/", "/", "a/000001"])
def test_a_step_may_have_slashes_in_its_identifier(identifier: str) -> None:
    book = StepBook()
    book.open(make_step(identifier))
    entries = commit_all(book)
    assert book.read(identifier, 0).status == StepStatus.OK
    done = SampleResult(id=f"{identifier}-0", succeeded=True, text="t", versions=[2], score="x")
    book.list_result(identifier, done)
    entries += commit_all(book)
    assert listed(book.read(identifier, 0)) == [f"{identifier}-0"]
    successor = StepBook()
    assert successor.restore(entries) == []
    assert listed(successor.read(identifier, 0)) == [f"{identifier}-0"]
    book.end(identifier)
    entries += commit_all(book)
    keys = {entry.key for entry in entries}
    assert keys_of_ended_steps(keys) == {step_key(identifier), result_key(identifier, 0)}


def test_a_step_that_comes_again_is_taken_once() -> None:
    book = StepBook()
    first = book.open(make_step())
    assert book.open(make_step()) is first
    assert len(book.take_writes()) == 1


def test_results_are_shown_without_gaps_in_the_order_written() -> None:
    book = StepBook()
    book.open(make_step())
    commit_all(book)
    assert book.list_result("s1", result(2))
    assert book.list_result("s1", result(0))
    writes = book.take_writes()
    book.committed(writes[1].key)
    assert book.read("s1", 0).results == []
    book.committed(writes[0].key)
    assert listed(book.read("s1", 0)) == ["s1-2", "s1-0"]
    assert listed(book.read("s1", 1)) == ["s1-0"]


def test_a_sample_has_one_position() -> None:
    book = StepBook()
    book.open(make_step())
    commit_all(book)
    assert book.list_result("s1", result(1))
    assert not book.list_result("s1", result(1, "another"))


def test_nothing_is_listed_after_the_end() -> None:
    book = StepBook()
    book.open(make_step())
    commit_all(book)
    book.end("s1")
    assert not book.list_result("s1", result(0))
    assert book.end("other") is None


def test_a_new_leader_fills_the_gap_that_an_old_one_left() -> None:
    book = StepBook()
    book.open(make_step())
    entries = commit_all(book)
    book.list_result("s1", result(0))
    book.list_result("s1", result(1))
    lost, kept = book.take_writes()
    entries.append(Entry(key=kept.key, epoch=1, value=kept.value))
    successor = StepBook()
    assert successor.restore(tuple(entries)) == []
    assert successor.read("s1", 0).results == []
    assert successor.list_result("s1", result(0))
    write = successor.take_writes()[0]
    assert write.key == lost.key == result_key("s1", 0)
    successor.committed(write.key)
    assert listed(successor.read("s1", 0)) == ["s1-0", "s1-1"]


def test_results_without_their_step_are_named_for_removal() -> None:
    key = result_key("gone", 0)
    assert StepBook().restore((Entry(key=key, epoch=1, value=bytes(result(0))),)) == [key]


def test_a_closed_step_is_forgotten_only_when_it_is_old() -> None:
    book = StepBook()
    book.open(make_step())
    commit_all(book)
    assert book.expired(1000.0, 120.0) == []
    book.end("s1")
    commit_all(book)
    assert book.expired(150.0, 120.0) == []
    assert book.expired(221.0, 120.0) == ["s1"]
    assert set(book.forget("s1")) == {step_key("s1"), "end/s1"}
    assert book.read("s1", 0).status == StepStatus.UNKNOWN


def test_pages_are_bounded_and_never_empty_where_there_is_a_result() -> None:
    book = StepBook()
    book.open(make_step())
    commit_all(book)
    for number in range(3):
        book.list_result("s1", result(number, "x" * 600_000))
    commit_all(book)
    page = book.read("s1", 0)
    assert page.next_position == 1
    assert book.read("s1", 2).next_position == 3


def test_a_leader_takes_a_large_step_without_reading_its_samples(monkeypatch) -> None:
    """A message for each sample blocked a leader for longer than its lease."""

    def parse(*_given: object) -> None:
        raise AssertionError("a sample was read")

    sent = encode(encode_message(OpenStep(step=make_step(samples=200))), 1, False)
    monkeypatch.setattr(Sample, "parse", parse)
    (frame,) = FrameReader().feed(sent)
    book = StepBook()
    record = book.open(frame.message.step)
    commit_all(book)
    assert (record.total, record.is_accepted) == (200, True)
    successor = StepBook()
    successor.restore((Entry(key=step_key("s1"), epoch=1, value=record.encoded),))
    assert len(successor.open_samples()) == 200


def test_a_result_is_returned_as_it_is_in_the_log(monkeypatch) -> None:
    book = StepBook()
    book.open(make_step())
    book.list_result("s1", result(0))
    commit_all(book)
    monkeypatch.setattr(SampleResult, "parse", None)
    assert book.read("s1", 0).results == [bytes(result(0))]


def test_an_ended_step_is_answered_once_its_values_are_loaded() -> None:
    book = StepBook()
    book.open(make_step())
    entries = commit_all(book)
    for number in range(3):
        book.list_result("s1", result(number))
    book.end("s1")
    entries += commit_all(book)
    later = keys_of_ended_steps([entry.key for entry in entries])
    assert later == {step_key("s1"), *(result_key("s1", place) for place in range(3))}
    successor = StepBook()
    needed = [entry for entry in entries if entry.key not in later]
    assert successor.restore(needed, later) == []
    assert successor.read("s1", 0).status == StepStatus.UNAVAILABLE
    assert successor.sample_body("s1", "s1-0").status == StepStatus.UNAVAILABLE
    assert successor.expired(1e9, 0.0) == []
    assert successor.end("s1") is not None and successor.open_samples() == []
    waiting = [entry for entry in entries if entry.key in later]
    successor.load(waiting[:2])
    assert successor.read("s1", 0).status == StepStatus.UNAVAILABLE
    successor.load(waiting[2:])
    assert listed(successor.read("s1", 0)) == ["s1-0", "s1-1", "s1-2"]
    assert successor.expired(1e9, 0.0) == ["s1"]
    assert set(successor.forget("s1")) == {entry.key for entry in entries}


def test_an_open_step_never_waits() -> None:
    book = StepBook()
    book.open(make_step())
    book.list_result("s1", result(0))
    assert keys_of_ended_steps([write.key for write in book.take_writes()]) == set()
