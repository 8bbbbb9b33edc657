"""The runs that one leader has begun here over one link, and the news of them to it.

Owns these runs while the link lasts, and the news that are gathered for it. When the link ends, or
the leader has not been heard for `LEADER_SILENT_SECONDS`, the runs are left to `RunHost`: a
successor may begin the same samples at other engines. Relies on `executed_run.py` for each run.
"""

from typing import Protocol

import curio

from pondtiller.address import Address
from pondtiller.gateway.runs.executed_run import ExecutedRun, RunListener
from pondtiller.gateway.runs.sample_runner import RunOrder
from pondtiller.links.link import Link
from pondtiller.process import clock
from pondtiller.process.spawner import Spawner
from pondtiller.process.stalls import StallWatch
from pondtiller.rollouts.run_holding import LEADER_SILENT_SECONDS, LeaveReason, LostLeader
from pondtiller.rollouts.run_news import EndedRun, NewsGatherer, RunEvent, ScoredRun
from pondtiller.rollouts.sample_work import NO_RUN, RunEnd, RunName
from pondtiller.wire.steplog import BeginRun, RunNews

NEWS_SECONDS = 0.25
"""How long events are gathered, in seconds; texts are saved every 0.5 s, so no more often than that
helps."""


class RunStarter(Protocol):
    """What starts runs here, and has those that no leader has."""

    @property
    def stalls(self) -> StallWatch:
        """How long this process stood still."""

    async def start(self, order: RunOrder, listener: RunListener, epoch: int) -> ExecutedRun:
        """Begin a run at its engine."""

    def take_held(self, order: RunOrder) -> ExecutedRun | None:
        """Return the run of an order's sample that no leader has; it has one now."""

    async def leave(self, runs: list[ExecutedRun], lost: LostLeader, reason: LeaveReason) -> None:
        """Keep runs whose leader is lost, or end them."""


class LeaderRuns:
    """The runs that one leader's link has begun here.

    Attributes
    ----------
    runs
        By the leader's number, those whose engines work.
    judged
        The same of those whose texts are whole and wait for their scorers.
    heard_at
        When the leader was last heard on the link, in seconds of the steady clock.
    heard_running
        The same in seconds in which this process ran.
    epoch
        Of the leader's last message that began a run; 0 before.
    """

    def __init__(self, host: RunStarter, link: Link) -> None:
        self.runs: dict[int, ExecutedRun] = {}
        self.judged: dict[int, ExecutedRun] = {}
        self.heard_at = clock.monotonic()
        self.heard_running = host.stalls.running_seconds()
        self.epoch = 0
        self._host = host
        self._link = link
        self._news = NewsGatherer()
        self._group = Spawner()
        self._teller: object | None = None
        self._has_news = curio.Event()
        self._stalls = host.stalls.untaken()

    def note_heard(self) -> None:
        """Take that the leader said something."""
        self.heard_at = clock.monotonic()
        self.heard_running = self._host.stalls.running_seconds()

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

    async def _go_on(self, order: RunOrder, held: ExecutedRun | None) -> None:
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

    def hand_over(self, name: RunName) -> ExecutedRun | None:
        """Return the run of a name, which goes on at another link; None where it is not here."""
        for runs in (self.runs, self.judged):
            for number, run in runs.items():
                if run.name == name:
                    self._news.drop(number)
                    return runs.pop(number)
        return None

    async def refuse(self, run: int, reason: str) -> None:
        """Tell at once that a run is not begun here."""
        self._news.ended.append(EndedRun(run, RunEnd.STALE, reason))
        await self.tell_now()

    async def tell_ends(self, reason: str) -> None:
        """Tell at once that all runs end here, before the link is ended."""
        self._news.ended += [EndedRun(run, RunEnd.STALE, reason) for run in self.runs]
        await self.tell_now()

    async def tell_now(self) -> None:
        """Send what was gathered, before the link is ended here."""
        await self._link.send(self._take_news())

    def _take_news(self) -> RunNews:
        """Return the news; the leader counts no silence of an engine while this process stood."""
        news = self._news.take(self._host.stalls.running_seconds())
        news.stalled_milliseconds = round(self._stalls.take() * 1000)
        return news

    async def end(self) -> None:
        """Take the end of the link."""
        await self._leave_runs(LeaveReason.LINK_ENDED)
        await self._group.__aexit__()

    async def _leave_runs(self, reason: LeaveReason) -> None:
        runs = [*self.runs.values(), *self.judged.values()]
        self.runs, self.judged, self._teller = {}, {}, None
        lost = LostLeader(self.epoch, self.heard_at, self.heard_running)
        await self._host.leave(runs, lost, reason)

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
        """Send news while there are runs or scores are made; ends and scores are sent at once."""
        while self.runs or self.judged or self._news.ended or self._news.scored:
            silent_at = self.heard_at + LEADER_SILENT_SECONDS
            wait = min(NEWS_SECONDS, max(0.0, silent_at - clock.monotonic()))
            await curio.ignore_after(wait, self._has_news.wait)
            self._has_news.clear()
            if self._is_leader_silent():
                # What the leader said while this process stood still waits to be read.
                await self._host.stalls.read_first()
            if self._is_leader_silent():
                await self._leave_leader()
                return
            await self._link.send(self._take_news())
        self._teller = None

    def _is_leader_silent(self) -> bool:
        return clock.monotonic() >= self.heard_at + LEADER_SILENT_SECONDS

    async def _leave_leader(self) -> None:
        """Leave a leader that is silent; ends the link, so that it hears of it."""
        await self.tell_now()
        await self._leave_runs(LeaveReason.LEADER_SILENT)
        await self._link.drop()


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
        table_version=message.table_version,
        step_path=message.step_path,
    )
