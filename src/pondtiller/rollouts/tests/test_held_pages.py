"""Pages held for trainers: what a trainer that pauses between its reads knows, and when."""

from collections.abc import Callable

from pondtiller.rollouts.steps import StepBook, StepRecord, add_sample, keys_of_ended_steps
from pondtiller.steplog.entry import Entry
from pondtiller.wire.steplog import Sample, SampleResult, Step

WAIT_SECONDS = 1.0
PAUSE_SECONDS = 0.5
TICK_SECONDS = 0.01
GROUPS = 2
DESIRED = 2
SIZE = 4


def open_step(book: StepBook, identifier: str, desired: int = DESIRED) -> StepRecord:
    step = Step(id=identifier, host="h", path="/p/", accepted_at=100.0, desired_groups=desired)
    for number in range(GROUPS * SIZE):
        group = f"g{number % GROUPS}"
        add_sample(step, Sample(id=f"{identifier}-{number}", group=group), 1.0)
    record = book.open(step)
    commit(book)
    return record


def commit(book: StepBook) -> list[Entry]:
    entries = [Entry(each.key, 1, each.value) for each in book.take_writes()]
    for entry in entries:
        book.committed(entry.key)
    return entries


def list_sample(book: StepBook, step: str, number: int) -> list[Entry]:
    book.list_result(step, SampleResult(id=f"{step}-{number}", succeeded=True))
    return commit(book)


def known_at(ends: list[float], is_worth: Callable[[StepRecord, int], bool]) -> float:
    """Return when a trainer knows that its step is whole, where samples end at these times."""
    book = StepBook()
    record = open_step(book, "s")
    now = position = asked_at = 0.0
    left = list(enumerate(ends))
    while True:
        for number, at in [each for each in left if each[1] <= now]:
            list_sample(book, "s", number)
            left.remove((number, at))
        is_held = now < asked_at + WAIT_SECONDS and not is_worth(record, int(position))
        if now >= asked_at and not is_held:
            position = book.read("s", int(position)).next_position
            asked_at = now + PAUSE_SECONDS
            if position == record.total:
                return now
        now += TICK_SECONDS


def enough_groups(record: StepRecord, position: int) -> bool:
    return record.is_worth_reading(position)


def any_result(record: StepRecord, position: int) -> bool:
    """Let a page go at its first result: what held pages were before."""
    return record.visible > position


def course(behind: float, number: int) -> list[float]:
    """Return ends of a step's samples: short ones at once, the two long ones close together."""
    last = behind + 3.0 + 0.037 * number
    return [0.3, 0.4, 0.6, 0.9, 1.3, 1.9, last - 0.3, last]


def test_trainers_behind_learn_sooner_that_their_steps_are_whole() -> None:
    courses = [course(behind, each) for behind in (0.0, 0.7, 2.2) for each in range(20)]
    late = [known_at(each, enough_groups) - each[-1] for each in courses]
    before = [known_at(each, any_result) - each[-1] for each in courses]
    assert sum(late) < 0.75 * sum(before)
    # A page may come before the group and its trainer pause then, but never for longer.
    assert max(late) <= PAUSE_SECONDS + 2 * TICK_SECONDS


def test_a_page_is_let_go_when_enough_groups_are_whole_or_the_step_has_ended() -> None:
    book = StepBook()
    record = open_step(book, "s", desired=1)
    for number in (0, 2, 4, 1):
        list_sample(book, "s", number)
    assert not record.is_worth_reading(0)
    list_sample(book, "s", 6)
    assert record.is_worth_reading(0)
    assert record.is_worth_reading(4)
    assert not record.is_worth_reading(5)
    list_sample(book, "s", 3)
    assert not record.is_worth_reading(5)
    book.end("s")
    commit(book)
    assert record.is_worth_reading(5)


def test_a_step_that_is_complete_holds_no_page() -> None:
    book = StepBook()
    record = open_step(book, "s", desired=0)
    for number in range(GROUPS * SIZE):
        assert not record.is_worth_reading(0)
        list_sample(book, "s", number)
    assert record.is_worth_reading(0)
    assert record.is_worth_reading(record.total)


def test_a_new_leader_knows_which_groups_are_whole() -> None:
    book = StepBook()
    open_step(book, "s", desired=1)
    entries = [Entry(f"step/{each}", 1, bytes(book.steps[each].step)) for each in book.steps]
    for number in (0, 1, 2, 4, 6, 3):
        entries += list_sample(book, "s", number)
    other = StepBook()
    assert other.restore(entries) == []
    assert other.steps["s"].is_worth_reading(4)
    assert not other.steps["s"].is_worth_reading(5)


def test_an_ended_step_that_is_not_read_yet_holds_no_page() -> None:
    book = StepBook()
    record = open_step(book, "s")
    entries = [Entry("step/s", 1, bytes(record.step)), *list_sample(book, "s", 0)]
    book.end("s")
    entries += commit(book)
    later = keys_of_ended_steps([each.key for each in entries])
    other = StepBook()
    other.restore([each for each in entries if each.key not in later], later)
    assert other.steps["s"].is_worth_reading(0)
