"""Reading steps at a daemon that has read them before."""

import curio

from pondtiller.address import Address
from pondtiller.peers.leader_client import LeaderClient
from pondtiller.peers.replicas import KnownLeader
from pondtiller.peers.result_cache import ResultCache
from pondtiller.rollouts.steps import MAX_PAGE_BYTES, StepStatus
from pondtiller.wire.steplog import ReadResults, ResultsPage, SampleResult


def results(first: int, count: int, text: str = "t") -> list[bytes]:
    return [
        bytes(SampleResult(id=f"s{n}", succeeded=True, text=text))
        for n in range(first, first + count)
    ]


def listed(page: ResultsPage) -> list[str]:
    return [SampleResult().parse(each).id for each in page.results]


class Leader:
    """A leader in the same process: its results, and the positions that were requested."""

    def __init__(self, listed: int, total: int, text: str = "t") -> None:
        self.results = results(0, listed, text)
        self.total = total
        self.status = StepStatus.OK
        self.asked: list[int] = []

    async def answer(self, message: ReadResults) -> ResultsPage:
        self.asked.append(message.position)
        if self.status is not StepStatus.OK:
            return ResultsPage(status=self.status)
        found = self.results[message.position :]
        after = message.position + len(found)
        return ResultsPage(
            status=StepStatus.OK, total=self.total, next_position=after, results=found
        )


def client(leader: Leader) -> LeaderClient:
    place = KnownLeader("me", Address("h", 1), 1)
    return LeaderClient("me", lambda: place, leader)


def read(reader: LeaderClient, position: int) -> ResultsPage:
    return curio.run(reader.read, "step", position, 0.0)


def test_only_unread_results_are_requested_and_the_page_is_complete() -> None:
    leader = Leader(listed=3, total=6)
    reader = client(leader)
    assert len(read(reader, 0).results) == 3
    leader.results += results(3, 2)
    page = read(reader, 1)
    assert leader.asked == [0, 3]
    assert listed(page) == ["s1", "s2", "s3", "s4"]
    assert (page.next_position, page.total) == (5, 6)


def test_a_fully_cached_step_is_answered_without_a_call() -> None:
    leader = Leader(listed=4, total=4)
    reader = client(leader)
    read(reader, 0)
    assert listed(read(reader, 2)) == ["s2", "s3"]
    assert leader.asked == [0]


def test_cached_results_are_answered_without_a_leader() -> None:
    leader = Leader(listed=3, total=6)
    reader = client(leader)
    read(reader, 0)
    leader.status = StepStatus.UNAVAILABLE
    page = read(reader, 0)
    assert (page.status, len(page.results), page.next_position) == (StepStatus.OK, 3, 3)


def test_a_position_that_was_never_read_is_unavailable_without_a_leader() -> None:
    leader = Leader(listed=3, total=6)
    reader = client(leader)
    read(reader, 0)
    leader.status = StepStatus.UNAVAILABLE
    assert read(reader, 3).status == StepStatus.UNAVAILABLE


def test_a_step_that_the_leader_does_not_know_is_unknown_here_too() -> None:
    leader = Leader(listed=3, total=6)
    reader = client(leader)
    read(reader, 0)
    leader.status = StepStatus.UNKNOWN
    assert read(reader, 0).status == StepStatus.UNKNOWN
    assert (reader.cache.steps, reader.cache.size) == ({}, 0)


def test_a_page_of_old_and_new_is_not_longer_than_a_page_may_be() -> None:
    leader = Leader(listed=3, total=20, text="x" * 100_000)
    reader = client(leader)
    read(reader, 0)
    leader.results += results(3, 9, "x" * 100_000)
    page = read(reader, 0)
    assert sum(map(len, page.results)) <= MAX_PAGE_BYTES
    assert page.next_position == len(page.results)


def test_steps_not_read_for_longest_give_way() -> None:
    cache = ResultCache(most_bytes=1_000)
    for step in ("a", "b", "c"):
        page = ResultsPage(total=9, results=results(0, 1, "x" * 300))
        cache.add(step, 0, page)
    assert list(cache.steps) == ["b", "c"]
    assert cache.size <= 1_000
