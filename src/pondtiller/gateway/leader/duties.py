"""Start and end of a leader's terms, and dispatch of calls to the current term.

Holds the current term. Calls are answered only while the lease is valid; the work itself is in
`term.py`.
"""

from betterproto import Message

from pondtiller.gateway.leader.duty_parts import DutyParts
from pondtiller.gateway.leader.term import Term
from pondtiller.process import clock
from pondtiller.rollouts.steps import StepStatus
from pondtiller.steplog.entry import Entry
from pondtiller.steplog.instructions import ElectionWon, StepDownReason
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
    """Duties of a leader; between terms there is none.

    Attributes
    ----------
    term
        Current term; None while this gateway is not the leader.
    """

    def __init__(self, parts: DutyParts) -> None:
        self._parts = parts
        self.term: Term | None = None

    async def begin(self, won: ElectionWon) -> None:
        """Start a term: restore the state that earlier leaders left, then serve."""
        term = Term(self._parts, won)
        self.term = term
        await term.start()

    async def committed(self, key: str) -> None:
        """Handle a committed write."""
        if self.term is not None:
            await self.term.committed(key)

    def loaded(self, entries: tuple[Entry, ...]) -> None:
        """Add values of the log whose reading was deferred at the start of the term."""
        if self.term is not None:
            self.term.loaded(entries)

    async def end(self, reason: str) -> None:
        """Stop all runs at once.

        Parameters
        ----------
        reason
            Why the term ended; a `StepDownReason` if the log ended it.
        """
        term, self.term = self.term, None
        if term is not None:
            if reason == StepDownReason.LEASE_ENDED:
                await term.texts.hand_over()
            await term.stop()

    def retiring(self) -> frozenset[str]:
        """Return the names of the replicas that are to be drained."""
        return self._parts.watches.retiring()

    async def answer(self, message: Message) -> Message:
        """Answer a call about steps; as unavailable if this gateway is not the leader."""
        log = self._parts.leadership.log
        if self.term is None or not log.holds_lease(clock.monotonic()):
            return _unavailable(message)
        answer = await self._answer(self.term, message, clock.monotonic())
        if isinstance(message, ReadResults | ReadSample) and not log.holds_lease(clock.monotonic()):
            # The call waited for results; another leader may have listed more since then.
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
                return term.record_usage(message)
            case AskShares():
                return term.rates.answer(message, now)
            case OfferRuns():
                return await term.offers.answer(message)
        return _unavailable(message)

    async def engines_changed(self) -> None:
        """Handle a change of the engines or of the table."""
        if self.term is not None:
            await self.term.wake.set()

    async def save_progress(self) -> None:
        """Save unfinished texts at the replicas for a successor."""
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
