"""What a gateway does when it leads, and how its terms begin and end.

Owns the present term. Calls are answered only while the lease lasts; the work itself is in
`term.py`.
"""

from betterproto import Message

from pondtiller.gateway.leader.duty_parts import DutyParts
from pondtiller.gateway.leader.term import Term
from pondtiller.process import clock
from pondtiller.rollouts.steps import StepStatus
from pondtiller.steplog.entry import Entry
from pondtiller.steplog.instructions import StandDown, Won
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
    StepAnswer,
    UseTaken,
    UseTold,
)


class LeaderDuties:
    """The duties of one term; between terms there is nothing.

    Attributes
    ----------
    term
        The present term; None while this gateway does not lead.
    """

    def __init__(self, parts: DutyParts) -> None:
        self._parts = parts
        self.term: Term | None = None

    async def begin(self, won: Won) -> None:
        """Take over: read what earlier leaders left, then serve."""
        term = Term(self._parts, won)
        self.term = term
        await term.start()

    async def committed(self, key: str) -> None:
        """Take a write that is done."""
        if self.term is not None:
            await self.term.committed(key)

    def loaded(self, entries: tuple[Entry, ...]) -> None:
        """Take values of the log that were not needed to begin."""
        if self.term is not None:
            self.term.loaded(entries)

    async def end(self, reason: str) -> None:
        """Stop all runs at once.

        Parameters
        ----------
        reason
            Why: a `StandDown` where the log ended the term.
        """
        term, self.term = self.term, None
        if term is not None:
            if reason == StandDown.LEASE_ENDED:
                await term.texts.hand_over()
            await term.stop()

    def retiring(self) -> frozenset[str]:
        """Return the names of replicas that are to be emptied."""
        return self._parts.watches.retiring()

    async def answer(self, message: Message) -> Message:
        """Answer a step call; unavailable where this gateway does not lead."""
        log = self._parts.leadership.log
        if self.term is None or not log.holds_lease(clock.monotonic()):
            return _unavailable(message)
        answer = await self._answer(self.term, message, clock.monotonic())
        if isinstance(message, ReadResults | ReadSample) and not log.holds_lease(clock.monotonic()):
            # It waited for results, and the lease is over: another leader may have listed more.
            return _unavailable(message)
        return answer

    async def _answer(self, term: Term, message: Message, now: float) -> Message:
        match message:
            case OpenStep():
                return StepAnswer(status=await term.open(message.step))
            case EndStep():
                return StepAnswer(status=await term.end_step(message.id))
            case ReadResults():
                wait = message.wait_milliseconds / 1000.0
                return await term.read(message.id, message.position, wait)
            case ReadSample():
                return term.book.sample_body(message.step, message.id)
            case UseTold():
                return term.take_use(message)
            case AskShares():
                return term.rates.take(message, now)
            case OfferRuns():
                return await term.offers.take(message)
        return _unavailable(message)

    async def engines_changed(self) -> None:
        """Take a change of the engines or the table."""
        if self.term is not None:
            await self.term.wake.set()

    async def save_progress(self) -> None:
        """Leave unfinished texts at the replicas, for a successor."""
        if self.term is not None:
            await self.term.texts.save(is_last=True)


def _unavailable(message: Message) -> Message:
    match message:
        case ReadResults():
            return ResultsPage(status=StepStatus.UNAVAILABLE)
        case ReadSample():
            return SampleBody(status=StepStatus.UNAVAILABLE)
        case UseTold():
            return UseTaken(status=StepStatus.UNAVAILABLE)
        case AskShares():
            return SharesGranted(status=StepStatus.UNAVAILABLE)
        case OfferRuns():
            return RunsTaken(status=StepStatus.UNAVAILABLE)
    return StepAnswer(status=StepStatus.UNAVAILABLE)
