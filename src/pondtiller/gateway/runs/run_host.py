"""Runs samples for a leader elsewhere: holds their streams, and tells what they make.

A run belongs to the link on which it was begun. When the link ends, or the leader has not been
heard for `LEADER_SILENT_SECONDS`, the run is held for the leader that follows (`held_runs.py`), or
ends where that is not known in time: a successor may begin the same sample at another engine.
What a run made is the leader's to keep; this daemon keeps what was made in the runs that it has.

`HostedRun` is one run, `HostedRuns` are those of one leader's link, `HeldRuns` those whose leader
is lost.
"""

from collections.abc import Callable
from typing import Any

import curio
from betterproto import Message

from pondtiller.address import Address
from pondtiller.gateway.runs.held_runs import HeldRuns
from pondtiller.gateway.runs.hosted_run import HostedRun
from pondtiller.gateway.runs.sample_runner import RunOrder, RunOutcome, SampleRunner, ScoreOutcome
from pondtiller.links.link import Link
from pondtiller.process import clock, logs
from pondtiller.process.spawner import Spawner
from pondtiller.rollouts.run_holding import LEADER_SILENT_SECONDS, LostLeader
from pondtiller.rollouts.run_news import EndedRun, NewsGatherer, RunEvent, ScoredRun
from pondtiller.rollouts.sample_work import NO_RUN, RunEnd, RunName, ScoreEnd
from pondtiller.wire.steplog import (
    BeginRun,
    DropRun,
    KeepRuns,
    ScoreAnswer,
    ScoreSample,
)

NEWS_SECONDS = 0.25
"""How long events are gathered; texts are saved every 0.5 s, so no more often than that helps."""
RUN_MESSAGES = (BeginRun, DropRun, KeepRuns)


class HostedRuns:
    """The runs that one leader's link has begun here.

    Attributes
    ----------
    runs
        By the leader's number, those whose engines work.
    judged
        The same of those whose texts are whole and wait for their scorers.
    """

    def __init__(self, host: "RunHost", link: Link) -> None:
        self.runs: dict[int, HostedRun] = {}
        self.judged: dict[int, HostedRun] = {}
        self.heard_at = clock.monotonic()
        self.epoch = 0
        self._host = host
        self._link = link
        self._news = NewsGatherer()
        self._group = Spawner()
        self._teller: Any = None
        self._has_news = curio.Event()

    async def begin(self, message: BeginRun) -> None:
        """Begin a run, or go on with a held one; its outcome follows with the news."""
        self.epoch = message.epoch
        order = _order(message)
        held = self._host.take_held(order)
        if held is not None and held.name != order.held:
            await held.drop()
            held = None
        if order.held == NO_RUN:
            self.runs[order.run] = await self._host.start(order, self, self.epoch)
        else:
            await self._go_on(order, held)
        await self._tell_on()

    async def _tell_on(self) -> None:
        if self._teller is None:
            self._teller = await self._group.spawn(self._tell)

    async def _go_on(self, order: RunOrder, held: HostedRun | None) -> None:
        if held is None:
            await self.take_end(EndedRun(order.run, RunEnd.STALE, "no longer held"))
            return
        self.runs[order.run] = held
        await held.go_on(order, self.epoch, self)

    async def drop(self, run: int) -> None:
        """End a run that is wanted no more, and say so once its engine has been left.

        The leader begins the sample elsewhere only then.
        """
        dropped = self.runs.pop(run, None) or self.judged.pop(run, None)
        self._news.drop(run)
        if dropped is not None:
            await dropped.drop(waits=True)
        await self.take_end(EndedRun(run, RunEnd.STALE, "dropped"))
        await self._tell_on()

    async def tell_now(self) -> None:
        """Send what was gathered, before the link is ended here."""
        await self._link.send(self._news.take(clock.monotonic()))

    async def end(self) -> None:
        """Take the end of the link."""
        await self._leave_runs("the link ended")
        await self._group.__aexit__()

    async def _leave_runs(self, reason: str) -> None:
        runs = [*self.runs.values(), *self.judged.values()]
        self.runs, self.judged, self._teller = {}, {}, None
        await self._host.leave(runs, LostLeader(self.epoch, self.heard_at), reason)

    def take_event(self, event: RunEvent) -> None:
        """Take an event of an engine."""
        self._news.events.append(event)

    async def take_end(self, ended: EndedRun) -> None:
        """Take that an engine ended a run."""
        run = self.runs.pop(ended.run, None)
        if run is not None and ended.end is RunEnd.WHOLE:
            self.judged[ended.run] = run
        self._news.ended.append(ended)
        await self._has_news.set()

    async def take_score(self, scored: ScoredRun) -> None:
        """Take what became of scoring a whole text."""
        self.judged.pop(scored.run, None)
        self._news.scored.append(scored)
        await self._has_news.set()

    async def _tell(self) -> None:
        """Send news while there are runs or scores are made; ends and scores are told at once."""
        while self.runs or self.judged or self._news.ended or self._news.scored:
            silent_at = self.heard_at + LEADER_SILENT_SECONDS
            wait = min(NEWS_SECONDS, max(0.0, silent_at - clock.monotonic()))
            await curio.ignore_after(wait, self._has_news.wait)
            self._has_news.clear()
            now = clock.monotonic()
            if now >= self.heard_at + LEADER_SILENT_SECONDS:
                await self._leave_leader()
                return
            await self._link.send(self._news.take(now))
        self._teller = None

    async def _leave_leader(self) -> None:
        """Leave a leader that is silent; ends the link, so that it hears of it."""
        await self.tell_now()
        await self._leave_runs("the leader is silent")
        await self._link.drop()


class RunHost:
    """Takes the messages of leaders to this daemon as a runner.

    Parameters
    ----------
    highest_epoch
        Returns the highest epoch that this daemon has heard of from replicas.
    held
        Keeps runs whose leader is lost; None where they end with it.
    """

    def __init__(
        self,
        runner: SampleRunner,
        highest_epoch: Callable[[], int],
        held: HeldRuns | None = None,
    ) -> None:
        self.runner = runner
        self.hosted: dict[Link, HostedRuns] = {}
        self.is_stopping = False
        self.held = held
        self._highest_epoch = highest_epoch
        self._group = Spawner()

    @property
    def runs(self) -> int:
        """Runs that go on here."""
        held = len(self.held.runs) if self.held is not None else 0
        return held + sum(len(each.runs) for each in self.hosted.values())

    async def take(self, link: Link, message: Message) -> None:
        """Take a message that begins, drops or keeps runs."""
        hosted = self.hosted.get(link)
        if hosted is None:
            hosted = self.hosted[link] = HostedRuns(self, link)
        hosted.heard_at = clock.monotonic()
        match message:
            case BeginRun():
                if await self._may_begin(link, message):
                    await hosted.begin(message)
            case DropRun():
                await hosted.drop(message.run)

    async def start(self, order: RunOrder, hosted: HostedRuns, epoch: int) -> HostedRun:
        """Begin a run at its engine."""
        run = HostedRun(order, epoch, hosted, order.last_event, order.text_by)
        run.task = await self._group.spawn(self._run, run)
        return run

    async def _run(self, run: HostedRun) -> None:
        """Run a sample; a text that is made whole here is judged at once."""
        try:
            outcome = await self.runner.run(run.order, run.take)
        except Exception as error:
            outcome = RunOutcome(RunEnd.BROKEN, self._note_error(run, error))
        if run.is_dropped:
            return
        await run.ended(outcome)
        if outcome.end is not RunEnd.WHOLE:
            return
        try:
            score = await self.runner.score(run.order.run, run.order.content)
        except Exception as error:
            score = ScoreOutcome(ScoreEnd.LOST, "", self._note_error(run, error))
        await run.scored(score)

    def _note_error(self, run: HostedRun, error: Exception) -> str:
        """Log a fault of this program; the leader goes on with the sample elsewhere."""
        reason = f"{type(error).__name__}: {error}"
        logs.decision(
            "hosted_run_failed", run=run.order.run, engine=run.order.engine, reason=reason
        )
        return reason

    def take_held(self, order: RunOrder) -> HostedRun | None:
        """Return the held run of an order's sample; it is no longer held."""
        return self.held.take(order.sample) if self.held is not None else None

    async def leave(self, runs: list[HostedRun], lost: LostLeader, reason: str) -> None:
        """Hold runs whose leader is lost, or end them."""
        if self.held is not None and not self.is_stopping:
            await self.held.hold(runs, lost, reason)
            return
        if runs:
            logs.decision("hosted_runs_ended", runs=len(runs), reason=reason)
        for run in runs:
            await run.drop()

    async def _may_begin(self, link: Link, message: BeginRun) -> bool:
        """Return whether a run may begin; the link of a leader that is deposed is ended."""
        highest = self._highest_epoch()
        if message.epoch >= highest and not self.is_stopping:
            return True
        reason = "this daemon stops" if self.is_stopping else "an older leader"
        logs.decision(
            "hosted_run_refused",
            run=message.run,
            engine=message.engine,
            epoch=message.epoch,
            highest_epoch=highest,
            reason=reason,
        )
        await link.drop()
        return False

    async def lost(self, link: Link) -> None:
        """Take the end of a link."""
        hosted = self.hosted.pop(link, None)
        if hosted is not None:
            await hosted.end()

    async def stop(self) -> None:
        """End all runs, since this daemon stops; their leaders go on elsewhere."""
        self.is_stopping = True
        if self.held is not None:
            await self.held.end("this daemon stops")
        for link, hosted in list(self.hosted.items()):
            await hosted.tell_now()
            await link.drop()

    async def close(self) -> None:
        """End all tasks, since the process ends."""
        await self._group.__aexit__()
        if self.held is not None:
            await self.held.close()

    async def score(self, message: ScoreSample) -> ScoreAnswer:
        """Have a finished sample judged."""
        outcome = await self.runner.score(0, message.content)
        return ScoreAnswer(
            end=outcome.end.value,
            score=outcome.score,
            detail=outcome.detail,
            attempts=outcome.attempts,
            request=outcome.request,
        )


def _order(message: BeginRun) -> RunOrder:
    return RunOrder(
        message.run,
        message.engine,
        Address(message.engine_host, message.engine_port),
        message.host,
        message.priority,
        message.last_event,
        message.expected_version or None,
        message.content,
        message.tenant,
        message.is_cold,
        message.sample,
        RunName(message.held_epoch, message.held_run),
        RunName(message.text_epoch, message.text_run),
    )
