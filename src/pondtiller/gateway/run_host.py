"""Runs samples for a leader elsewhere: holds their streams, and tells what they make.

A run belongs to the link on which it was begun. It ends with the link, when the leader has not
been heard for `LEADER_SILENT_SECONDS`, and when another leader's epoch is known to be higher:
so it has ended before a successor begins the same sample at another engine. What a run made is
the leader's to keep; this daemon keeps nothing.
"""

from collections.abc import Callable
from typing import Any

import curio
from betterproto import Message

from pondtiller.core.entities import Address
from pondtiller.daemon import clock, logs
from pondtiller.daemon.spawner import Spawner
from pondtiller.gateway.sample_runner import RunOrder, SampleRunner
from pondtiller.links.link import Link
from pondtiller.rollouts.run_news import EndedRun, NewsGatherer, RunEvent, ScoredRun
from pondtiller.rollouts.sample_work import RunEnd
from pondtiller.steplog.replica import LEASE_SECONDS
from pondtiller.wire.steplog import (
    BeginRun,
    DropRun,
    KeepRuns,
    ScoreAnswer,
    ScoreSample,
)

LEADER_SILENT_SECONDS = LEASE_SECONDS - 0.2
"""A successor leads one lease after its predecessor's last message to the replicas at the
earliest. The last one to this daemon may have left 0.3 s (`KEEP_SECONDS`) before that, or been
on its way for longer; what is cut here a moment too late is not wrong, only made twice."""
NEWS_SECONDS = 0.25
"""How long events are gathered; texts are saved every 0.5 s, so no more often than that helps."""
RUN_MESSAGES = (BeginRun, DropRun, KeepRuns)


class HostedRuns:
    """The runs that one leader's link has begun here."""

    def __init__(self, host: "RunHost", link: Link) -> None:
        self.tasks: dict[int, Any] = {}
        self.heard_at = clock.monotonic()
        self._host = host
        self._link = link
        self._news = NewsGatherer()
        self._group = Spawner()
        self._scoring = 0
        self._teller: Any = None
        self._has_news = curio.Event()

    async def begin(self, message: BeginRun) -> None:
        """Begin a run; its outcome follows with the news."""
        order = RunOrder(
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
        )
        self.tasks[order.run] = await self._group.spawn(self._run, order)
        if self._teller is None:
            self._teller = await self._group.spawn(self._tell)

    async def drop(self, run: int) -> None:
        """End a run whose outcome nobody waits for."""
        task = self.tasks.pop(run, None)
        self._news.drop(run)
        if task is not None:
            await task.cancel(blocking=False)

    async def tell_now(self) -> None:
        """Send what was gathered, before the link is ended here."""
        await self._link.send(self._news.take(clock.monotonic()))

    async def end(self, reason: str) -> None:
        """End all runs."""
        if self.tasks:
            logs.decision("hosted_runs_ended", runs=len(self.tasks), reason=reason)
        self.tasks.clear()
        self._teller = None
        await self._group.__aexit__()

    async def _run(self, order: RunOrder) -> None:
        outcome = await self._host.runner.run(order, self._take)
        if self.tasks.pop(order.run, None) is None:
            return
        self._news.ended.append(EndedRun(order.run, outcome.end, outcome.detail))
        await self._has_news.set()
        if outcome.end is RunEnd.WHOLE:
            await self._score(order)

    async def _score(self, order: RunOrder) -> None:
        """Have a text judged at once that was made whole here, and tell what became of it."""
        self._scoring += 1
        try:
            outcome = await self._host.runner.score(order.run, order.content)
        finally:
            self._scoring -= 1
        self._news.scored.append(
            ScoredRun(
                order.run,
                outcome.end,
                outcome.score,
                outcome.detail,
                outcome.attempts,
                outcome.request,
            )
        )
        await self._has_news.set()

    def _take(self, run: int, number: int, data: str, version: int, now: float) -> bool:
        if run not in self.tasks:
            return False
        self._news.events.append(RunEvent(run, number, data, version, now))
        return True

    async def _tell(self) -> None:
        """Send news while there are runs or scores are made; ends and scores are told at once."""
        while self.tasks or self._scoring or self._news.ended or self._news.scored:
            await curio.ignore_after(NEWS_SECONDS, self._has_news.wait)
            self._has_news.clear()
            now = clock.monotonic()
            if now > self.heard_at + LEADER_SILENT_SECONDS:
                await self._leave_leader()
                return
            await self._link.send(self._news.take(now))
        self._teller = None

    async def _leave_leader(self) -> None:
        """End all runs of a leader that is silent; ends the link, so that it hears of it."""
        await self.tell_now()
        tasks, self.tasks = list(self.tasks.values()), {}
        logs.decision("hosted_runs_ended", runs=len(tasks), reason="the leader is silent")
        for task in tasks:
            await task.cancel(blocking=False)
        self._teller = None
        await self._link.drop()


class RunHost:
    """Takes the messages of leaders to this daemon as a runner.

    Parameters
    ----------
    highest_epoch
        Returns the highest epoch that this daemon has heard of from replicas.
    """

    def __init__(self, runner: SampleRunner, highest_epoch: Callable[[], int]) -> None:
        self.runner = runner
        self.hosted: dict[Link, HostedRuns] = {}
        self.is_stopping = False
        self._highest_epoch = highest_epoch

    @property
    def runs(self) -> int:
        """Runs that go on here."""
        return sum(len(each.tasks) for each in self.hosted.values())

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
            await hosted.end("the link ended")

    async def stop(self) -> None:
        """End all runs, since this daemon stops; their leaders go on elsewhere."""
        self.is_stopping = True
        for link, hosted in list(self.hosted.items()):
            await hosted.tell_now()
            await link.drop()

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
