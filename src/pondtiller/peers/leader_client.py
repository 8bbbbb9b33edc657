"""Calls to the leader: answered in this process if it is the leader, otherwise over a link.

Holds the link to the leader, and results that were read before; both are lost with the process.
Relies on the replicas for who the leader is. A call that may have been executed without an answer
is uncertain; it is not sent twice.
"""

from collections.abc import Callable
from typing import Protocol, TypeVar

import curio
from betterproto import Message

from pondtiller.address import Address
from pondtiller.links.link import Link, LinkLostError, connect
from pondtiller.peers.replicas import KnownLeader
from pondtiller.peers.result_cache import ResultCache, page_size
from pondtiller.process import clock, logs
from pondtiller.rollouts.steps import MAX_PAGE_BYTES, StepStatus, result_size
from pondtiller.wire.steplog import (
    AskShares,
    EndStep,
    OfferRuns,
    OpenStep,
    ReadResults,
    ReadSample,
    ResultsPage,
    RunsTaken,
    SampleBody,
    SharesGranted,
    Step,
    StepAnswer,
    UseTaken,
    UseTold,
)

ANSWER_SECONDS = 3.0
"""Time limit of the leader's answer to a write; half of it for a read. Longer than the leader waits
for a write quorum (2.5 s, `COMMIT_SECONDS` of its term), so that its answer arrives."""
NO_LEADER_SECONDS = 4.0
"""How long a write waits for a leader, if its caller allows as much: twice as long as most
takeovers, which take 1.3 s to 1.9 s from a leader's loss to the next one."""
READ_NO_LEADER_SECONDS = 1.0
"""How long a read waits for a leader. A reader retries by itself, and loses nothing by a
refusal."""
POLL_SECONDS = 0.05
"""Interval of the check for a leader; an election takes many times that."""

AnswerType = TypeVar("AnswerType", bound=Message)


class LeaderService(Protocol):
    """Answers calls if this gateway is the leader."""

    async def answer(self, message: Message) -> Message:
        """Answer one call."""


class LeaderClient:
    """Finds the leader and calls it.

    Parameters
    ----------
    find_leader
        Returns the leader, if known.

    Attributes
    ----------
    cache
        Results that were read before.
    """

    def __init__(
        self, name: str, find_leader: Callable[[], KnownLeader | None], local: LeaderService
    ) -> None:
        self._name = name
        self._find_leader = find_leader
        self._local = local
        self._link: Link | None = None
        self._link_address: Address | None = None
        self.cache = ResultCache()

    async def open(self, step: Step, seconds: float) -> StepStatus:
        """Submit a step; waits a moment for a leader."""
        wait = min(NO_LEADER_SECONDS, seconds / 2)
        answer = await self._call(OpenStep(step=step), StepAnswer, wait, ANSWER_SECONDS)
        return StepStatus(answer.status) if isinstance(answer, StepAnswer) else answer

    async def end(self, step: str) -> StepStatus:
        """End a step."""
        answer = await self._call(EndStep(id=step), StepAnswer, NO_LEADER_SECONDS, ANSWER_SECONDS)
        if isinstance(answer, StepAnswer):
            return StepStatus(answer.status)
        return answer

    async def read(self, step: str, position: int, wait: float) -> ResultsPage:
        """Read results from a position on; may wait until there is one.

        Cached results are not requested again, and are returned even without a leader.
        """
        kept = self.cache.page(step, position, StepStatus.OK, MAX_PAGE_BYTES)
        if kept.results and self._is_enough(kept):
            return kept
        fresh = await self._read_leader(step, kept.next_position, 0.0 if kept.results else wait)
        if fresh.status == StepStatus.OK:
            self.cache.add(step, kept.next_position, fresh)
            return _joined(kept, fresh)
        if fresh.status == StepStatus.UNKNOWN:
            self.cache.forget(step)
            return fresh
        return kept if kept.results else fresh

    def _is_enough(self, kept: ResultsPage) -> bool:
        """Return whether a page has all results, or as many as one page may have."""
        return kept.next_position >= kept.total or page_size(kept) > MAX_PAGE_BYTES // 2

    async def _read_leader(self, step: str, position: int, wait: float) -> ResultsPage:
        message = ReadResults(id=step, position=position, wait_milliseconds=int(wait * 1000))
        seconds = wait + ANSWER_SECONDS / 2
        answer = await self._call(message, ResultsPage, READ_NO_LEADER_SECONDS, seconds)
        if isinstance(answer, ResultsPage):
            return answer
        return ResultsPage(status=StepStatus.UNAVAILABLE)

    async def sample_body(self, step: str, sample: str) -> SampleBody:
        """Read the body of a sample."""
        message = ReadSample(step=step, id=sample)
        seconds = ANSWER_SECONDS / 2
        answer = await self._call(message, SampleBody, READ_NO_LEADER_SECONDS, seconds)
        if isinstance(answer, SampleBody):
            return answer
        return SampleBody(status=StepStatus.UNAVAILABLE)

    async def send_usage(self, message: UseTold, seconds: float) -> UseTaken | None:
        """Send the leader this gateway's usage counts; None if no leader accepted them."""
        answer = await self._call(message, UseTaken, 0.0, seconds)
        return answer if isinstance(answer, UseTaken) else None

    async def ask_shares(self, message: AskShares, seconds: float) -> SharesGranted | None:
        """Ask the leader for shares of rates; None if no leader accepted the call."""
        answer = await self._call(message, SharesGranted, 0.0, seconds)
        return answer if isinstance(answer, SharesGranted) else None

    async def offer_runs(self, message: OfferRuns, seconds: float) -> RunsTaken | None:
        """Offer the leader runs that continue here; None if no leader answered."""
        answer = await self._call(message, RunsTaken, 0.0, seconds)
        return answer if isinstance(answer, RunsTaken) else None

    async def _call(
        self, message: Message, expected: type[AnswerType], leader_wait: float, seconds: float
    ) -> AnswerType | StepStatus:
        """Call the leader; `UNCERTAIN` if it may have acted and its answer is lost."""
        give_up = clock.monotonic() + leader_wait
        while True:
            leader = self._find_leader()
            if leader is not None:
                answer = await self._call_once(leader, message, seconds)
                if isinstance(answer, expected):
                    if getattr(answer, "status", None) != StepStatus.UNAVAILABLE:
                        return answer
                elif answer is StepStatus.UNCERTAIN:
                    logs.decision("leader_silent", leader=leader.name, epoch=leader.epoch)
                    return StepStatus.UNCERTAIN
            if clock.monotonic() >= give_up:
                return StepStatus.UNAVAILABLE
            await curio.sleep(POLL_SECONDS)

    async def _call_once(
        self, leader: KnownLeader, message: Message, seconds: float
    ) -> Message | StepStatus:
        if leader.name == self._name:
            return await self._local.answer(message)
        try:
            link = await self._link_to(leader.address)
        except LinkLostError:
            return StepStatus.UNAVAILABLE
        try:
            return await link.call(message, seconds)
        except LinkLostError:
            return StepStatus.UNCERTAIN

    async def _link_to(self, address: Address) -> Link:
        link = self._link
        if link is not None and not link.is_lost and self._link_address == address:
            return link
        if link is not None:
            await link.drop()
        fresh = await connect(address)
        self._link, self._link_address = fresh, address
        await curio.spawn(fresh.run, _ignore, daemon=True)
        return fresh


def _joined(kept: ResultsPage, fresh: ResultsPage) -> ResultsPage:
    """Return two consecutive pages as one, not longer than a page may be."""
    size = page_size(kept)
    results = list(kept.results)
    for result in fresh.results:
        size += result_size(result)
        if results and size > MAX_PAGE_BYTES:
            break
        results.append(result)
    return ResultsPage(
        status=fresh.status,
        total=fresh.total,
        next_position=kept.next_position + len(results) - len(kept.results),
        results=results,
    )


async def _ignore(_link: Link, _call: int, _message: Message) -> None:
    """Ignore unsolicited messages of a leader; there are none."""
