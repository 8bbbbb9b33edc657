"""Runs that this gateway keeps after their leader was lost, and offers to the next leader.

Holds them in memory until a leader takes them or they must end. What happens to them is decided in
`rollouts/run_holding.py`; this module checks, asks, offers and ends. Their engines continue
meanwhile, and their events are kept in each run (`executed_run.py`).
"""

from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass

import curio

from pondtiller.gateway.runs.executed_run import ExecutedRun
from pondtiller.process import clock, logs
from pondtiller.process.spawner import Spawner
from pondtiller.process.stalls import StallWatch
from pondtiller.rollouts.run_holding import (
    MAX_SECONDS,
    NEXT_LEADER_SECONDS,
    RETURNED_LEADER_SECONDS,
    SAME_LEADER_SECONDS,
    TAKE_OVER_START_SECONDS,
    HoldChoice,
    HoldReason,
    HoldStep,
    KeepEnd,
    LeaveReason,
    LostLeader,
    after_asking,
    may_have_returned,
    next_step,
)
from pondtiller.wire.steplog import OfferRuns, RunsTaken, Subscribe

CHECK_SECONDS = 0.05
"""Interval of the check for a new leader, which waits 0.2 s for offers (`OFFER_WAIT_SECONDS`)."""
OFFER_PAUSE_SECONDS = 0.05
"""Pause between two offers that were refused at once: nothing listens there yet, or the leader is
still reading texts."""

AskLeader = Callable[[OfferRuns, float], Awaitable[RunsTaken | None]]


@dataclass
class LeaderlessRun:
    """A run whose leader is lost.

    Attributes
    ----------
    run, lost
        The run, and the leader that started it.
    start_due_at
        Until when the leader that took the run over must start it, in running time of this process;
        None if no leader has taken it.
    """

    run: ExecutedRun
    lost: LostLeader
    start_due_at: float | None = None


class LeaderlessRuns:
    """Keeps runs until a leader takes them or they must end.

    Parameters
    ----------
    subscription
        Returns this daemon's identity and the address at which a leader can reach it.
    leader_epoch
        Returns the epoch of the leader that replicas name; None if they name none.
    has_quorum_contact
        Returns whether messages of a quorum of the replica group arrived recently.
    leader_age
        Returns how long ago replicas received the last message of an epoch's leader; None if
        unknown.
    ask_leader
        Calls the leader that replicas name; returns None without an answer.
    stalls
        Measures pauses of this process. Messages that arrive during one wait in the sockets, so
        waits for answers count running time only.

    Attributes
    ----------
    runs
        Runs by the name under which the sample's text is stored.
    """

    def __init__(
        self,
        subscription: Callable[[], Subscribe],
        leader_epoch: Callable[[], int | None],
        has_quorum_contact: Callable[[], bool],
        leader_age: Callable[[int], Awaitable[float | None]],
        ask_leader: AskLeader,
        stalls: StallWatch | None = None,
    ) -> None:
        self.runs: dict[str, LeaderlessRun] = {}
        self._subscription = subscription
        self._leader_epoch = leader_epoch
        self._has_quorum_contact = has_quorum_contact
        self._leader_age = leader_age
        self._ask_leader = ask_leader
        self.stalls = stalls or StallWatch(lambda: bool(self.runs))
        self._group = Spawner()
        self._is_watching = False
        self._offering: set[LostLeader] = set()
        self._lost_by_replicas: set[LostLeader] = set()

    async def hold(
        self, runs: Iterable[ExecutedRun], lost: LostLeader, reason: LeaveReason
    ) -> None:
        """Take over runs whose leader is lost."""
        held = 0
        for run in runs:
            run.listener = None
            replaced = self.runs.pop(run.order.sample, None)
            if replaced is not None:
                await replaced.run.drop()
            if run.order.sample:
                self.runs[run.order.sample] = LeaderlessRun(run, lost)
                held += 1
            else:
                # Leaders of earlier versions do not send the name, so nobody could ask for it.
                await run.drop()
        if not held:
            return
        logs.decision("runs_held", runs=held, epoch=lost.epoch, reason=reason)
        await self.stalls.begin()
        if not self._is_watching:
            self._is_watching = True
            await self._group.spawn(self._watch)

    def pop(self, sample: str) -> ExecutedRun | None:
        """Return a run that a leader wants; it is no longer held."""
        held = self.runs.pop(sample, None)
        return held.run if held is not None else None

    async def end(self, reason: str) -> None:
        """End all runs."""
        await self._end(list(self.runs.values()), reason)

    async def close(self) -> None:
        """End all tasks, since the process ends."""
        await self._group.__aexit__()

    async def _watch(self) -> None:
        try:
            while self.runs:
                await self.stalls.read_first()
                await self._end_unstarted(self.stalls.running_seconds())
                for lost in {each.lost for each in self.runs.values() if not each.start_due_at}:
                    await self._decide(lost)
                await curio.sleep(CHECK_SECONDS)
        except Exception as error:
            await self.end(f"{type(error).__name__}: {error}")
        finally:
            self._is_watching = False
            self._lost_by_replicas.clear()

    async def _end_unstarted(self, now: float) -> None:
        late = [
            each for each in self.runs.values() if each.start_due_at and now > each.start_due_at
        ]
        await self._end(late, KeepEnd.NOT_BEGUN)

    async def _decide(self, lost: LostLeader) -> None:
        choice = self._next_step(lost)
        if choice.step is HoldStep.ASK:
            stalled_before = self.stalls.stalled_seconds()
            age = await self._leader_age(lost.epoch)
            if age is None and self.stalls.stalled_seconds() > stalled_before:
                # The answers still wait to be read; the next check asks again.
                return
            running = self.stalls.running_seconds()
            choice = after_asking(
                age, may_have_returned(lost, lost in self._lost_by_replicas, running)
            )
        if choice.step is HoldStep.KEEP:
            self._lost_by_replicas.add(lost)
        elif choice.step is HoldStep.END:
            await self._end(self._of(lost), choice.reason)
        elif choice.step is HoldStep.OFFER and lost not in self._offering:
            self._offering.add(lost)
            await self._group.spawn(self._offer, lost, choice.reason)

    def _next_step(self, lost: LostLeader) -> HoldChoice:
        return next_step(lost, self._leader_epoch(), self._has_quorum_contact(), clock.monotonic())

    def _of(self, lost: LostLeader) -> list[LeaderlessRun]:
        return [each for each in self.runs.values() if each.lost == lost and not each.start_due_at]

    async def _offer(self, lost: LostLeader, reason: str) -> None:
        """Offer the runs of one lost leader; nothing else waits for the answer."""
        try:
            await self._offer_once(lost, reason)
        except Exception as error:
            await self._end(self._of(lost), f"{type(error).__name__}: {error}")
        finally:
            self._offering.discard(lost)

    async def _offer_once(self, lost: LostLeader, reason: str) -> None:
        held, epoch = self._of(lost), self._leader_epoch()
        limit = NEXT_LEADER_SECONDS
        if epoch == lost.epoch:
            has_returned = reason == HoldReason.LEADER_RETURNED
            limit = RETURNED_LEADER_SECONDS if has_returned else SAME_LEADER_SECONDS
        late_at = self.stalls.running_seconds() + limit
        answer = await self.stalls.call(limit, self._ask_leader, self._message(held), MAX_SECONDS)
        if answer is not None and len(answer.taken) == len(held):
            await self._answered(held, answer, reason)
        elif self.stalls.running_seconds() >= late_at:
            await self._end(held, KeepEnd.NO_ANSWER)
        else:
            await curio.sleep(OFFER_PAUSE_SECONDS)

    async def _answered(self, held: list[LeaderlessRun], answer: RunsTaken, reason: str) -> None:
        until = self.stalls.running_seconds() + TAKE_OVER_START_SECONDS
        left = []
        for each, is_taken in zip(held, answer.taken, strict=True):
            if is_taken:
                each.start_due_at = until
            else:
                left.append(each)
        logs.decision(
            "held_runs_offered",
            runs=len(held),
            taken=len(held) - len(left),
            epoch=self._leader_epoch(),
            reason=reason,
        )
        await self._end(left, KeepEnd.NOT_TAKEN)

    def _message(self, held: list[LeaderlessRun]) -> OfferRuns:
        who = self._subscription()
        earlier = [name for each in held for name in each.run.earlier_names]
        return OfferRuns(
            daemon=who.daemon,
            zone=who.zone,
            host=who.host,
            port=who.port,
            cores=who.cores,
            samples=[each.run.order.sample for each in held],
            engines=[each.run.order.engine for each in held],
            after_events=[each.run.began_after for each in held],
            epochs=[each.run.epoch for each in held],
            runs=[each.run.order.run for each in held],
            text_epochs=[each.run.text_by.epoch for each in held],
            text_runs=[each.run.text_by.run for each in held],
            earlier_counts=[len(each.run.earlier_names) for each in held],
            earlier_epochs=[name.epoch for name in earlier],
            earlier_runs=[name.run for name in earlier],
        )

    async def _end(self, held: list[LeaderlessRun], reason: str) -> None:
        ended = 0
        for each in held:
            if self.runs.get(each.run.order.sample) is each:
                del self.runs[each.run.order.sample]
                await each.run.drop()
                ended += 1
        if ended:
            logs.decision("held_runs_ended", runs=ended, reason=reason)
