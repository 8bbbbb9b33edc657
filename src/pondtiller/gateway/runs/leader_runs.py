"""Runs that one leader has started at this gateway over one link, and the messages about them.

Holds these runs while the link lasts, and the events that are batched for it. If the link ends, or
nothing was received from the leader for `LEADER_SILENT_SECONDS`, the runs are passed to `RunHost`,
since a successor may start the same samples at other engines. Each run is an `executed_run.py`.
"""

from typing import Protocol

import curio

from pondtiller.address import Address
from pondtiller.gateway.runs.executed_run import ExecutedRun, RunListener
from pondtiller.gateway.runs.sample_runner import RunOrder
from pondtiller.links.link import Link
from pondtiller.process import clock
from pondtiller.process.curio_types import Task
from pondtiller.process.spawner import Spawner
from pondtiller.process.stalls import StallWatch
from pondtiller.rollouts.run_holding import LEADER_SILENT_SECONDS, LeaveReason, LostLeader
from pondtiller.rollouts.run_news import EndedRun, RunEvent, RunNewsBatch, ScoredRun
from pondtiller.rollouts.sample_work import NO_RUN, RunEnd, RunName
from pondtiller.wire.steplog import BeginRun, RunNews, ScoreAnswer, ScoreSample

NEWS_SECONDS = 0.25
"""Interval at which events are batched; texts are saved every 0.5 s, so more frequent messages do
not help."""


class RunStarter(Protocol):
    """Starts runs at this gateway, and keeps those without a leader."""

    @property
    def stalls(self) -> StallWatch:
        """Pauses of this process."""

    async def start(self, order: RunOrder, listener: RunListener, epoch: int) -> ExecutedRun:
        """Start a run at its engine."""

    def take_held_run(self, order: RunOrder) -> ExecutedRun | None:
        """Return the run of an order's sample that has no leader; the caller becomes its leader."""

    async def leave_runs(
        self, runs: list[ExecutedRun], lost: LostLeader, reason: LeaveReason
    ) -> None:
        """Keep runs whose leader is lost, or end them."""

    async def score(self, message: ScoreSample) -> ScoreAnswer:
        """Have a finished sample scored."""


class LeaderRuns:
    """Runs that one leader has started at this gateway over its link.

    Attributes
    ----------
    runs
        Runs whose engines are working, by the leader's number.
    judged
        Runs whose texts are complete and wait for their scores, by the leader's number.
    asked
        Tasks of the scores that the leader asked for, by its number. They end with the link: the
        next leader asks again.
    last_message_at
        When the last message of the leader arrived, in monotonic time.
    last_message_running
        The same in running time of this process.
    epoch
        Epoch of the leader's last message that started a run; 0 before that.
    """

    def __init__(self, host: RunStarter, link: Link) -> None:
        self.runs: dict[int, ExecutedRun] = {}
        self.judged: dict[int, ExecutedRun] = {}
        self.asked: dict[int, Task] = {}
        self.last_message_at = clock.monotonic()
        self.last_message_running = host.stalls.running_seconds()
        self.epoch = 0
        self._host = host
        self._link = link
        self._news = RunNewsBatch()
        self._group = Spawner()
        self._sender_task: object | None = None
        self._has_news = curio.Event()
        self._stalls = host.stalls.cursor()

    def note_message(self) -> None:
        """Record that a message of the leader arrived."""
        self.last_message_at = clock.monotonic()
        self.last_message_running = self._host.stalls.running_seconds()

    async def begin(self, message: BeginRun) -> None:
        """Start a run, or continue a held one; its outcome follows in a `RunNews` message."""
        self.epoch = message.epoch
        order = _order(message)
        held = self._host.take_held_run(order)
        if held is not None and held.name != order.held:
            await held.drop()
            held = None
        if order.held == NO_RUN:
            self.runs[order.run] = await self._host.start(order, self, self.epoch)
        else:
            await self._continue_held(order, held)
        await self._start_sending()

    async def _start_sending(self) -> None:
        if self._sender_task is None:
            self._sender_task = await self._group.spawn(self._send_batches)

    async def _continue_held(self, order: RunOrder, held: ExecutedRun | None) -> None:
        if held is None:
            await self.take_end(EndedRun(order.run, RunEnd.STALE, "no longer held"))
            return
        self.runs[order.run] = held
        await held.continue_under(order, self.epoch, self)

    async def begin_score(self, call: int, message: ScoreSample) -> None:
        """Begin to score a text that is not of a run here; the call is answered at its end."""
        task = await self._group.spawn(self._answer_score, call, message)
        self.asked[message.run] = task
        await self._start_sending()

    async def _answer_score(self, call: int, message: ScoreSample) -> None:
        answer = await self._host.score(message)
        self.asked.pop(message.run, None)
        await self._link.reply(call, answer)

    async def drop(self, run: int) -> None:
        """End a run or score that is no longer wanted; confirm it once its engine has been left.

        The leader starts the sample elsewhere only after that.
        """
        asked = self.asked.pop(run, None)
        if asked is not None:
            await asked.cancel(blocking=False)
            return
        dropped = self.runs.pop(run, None) or self.judged.pop(run, None)
        self._news.drop(run)
        if dropped is not None:
            await dropped.drop(waits=True)
        await self.take_end(EndedRun(run, RunEnd.STALE, "dropped"))
        await self._start_sending()

    def release(self, name: RunName) -> ExecutedRun | None:
        """Return the run of a name, which continues at another link; None if it is not here."""
        for runs in (self.runs, self.judged):
            for number, run in runs.items():
                if run.name == name:
                    self._news.drop(number)
                    return runs.pop(number)
        return None

    async def refuse(self, run: int, reason: str) -> None:
        """Report at once that a run is not started here."""
        self._news.ended.append(EndedRun(run, RunEnd.STALE, reason))
        await self.send_batch()

    async def send_ends(self, reason: str) -> None:
        """Report at once that all runs end here, before the link is closed."""
        self._news.ended += [EndedRun(run, RunEnd.STALE, reason) for run in self.runs]
        await self.send_batch()

    async def send_batch(self) -> None:
        """Send the batched events, before the link is closed here."""
        await self._link.send(self._next_batch())

    def _next_batch(self) -> RunNews:
        """Return the batch; the leader excludes this process's pauses from engines' silence."""
        news = self._news.pop_message(self._host.stalls.running_seconds())
        news.stalled_milliseconds = round(self._stalls.take() * 1000)
        return news

    async def end(self) -> None:
        """Handle the end of the link."""
        await self._leave_runs(LeaveReason.LINK_ENDED)
        await self._group.__aexit__()

    async def _leave_runs(self, reason: LeaveReason) -> None:
        for asked in list(self.asked.values()):
            await asked.cancel(blocking=False)
        self.asked = {}
        runs = [*self.runs.values(), *self.judged.values()]
        self.runs, self.judged, self._sender_task = {}, {}, None
        lost = LostLeader(self.epoch, self.last_message_at, self.last_message_running)
        await self._host.leave_runs(runs, lost, reason)

    def take_event(self, event: RunEvent) -> None:
        """Batch an event of an engine."""
        self._news.events.append(event)

    async def take_end(self, ended: EndedRun) -> None:
        """Batch the end of a run."""
        run = self.runs.pop(ended.run, None)
        if run is not None and ended.end is RunEnd.WHOLE:
            self.judged[ended.run] = run
        self._news.ended.append(ended)
        await self._has_news.set()

    async def take_score(self, scored: ScoredRun) -> None:
        """Batch the result of scoring a complete text."""
        self.judged.pop(scored.run, None)
        self._news.scored.append(scored)
        await self._has_news.set()

    async def _send_batches(self) -> None:
        """Send events while there are runs or pending scores; ends and scores are sent at once."""
        while self.runs or self.judged or self.asked or self._news.ended or self._news.scored:
            silent_at = self.last_message_at + LEADER_SILENT_SECONDS
            wait = min(NEWS_SECONDS, max(0.0, silent_at - clock.monotonic()))
            await curio.ignore_after(wait, self._has_news.wait)
            self._has_news.clear()
            if self._is_leader_silent():
                # Messages that arrived while this process was paused wait to be read.
                await self._host.stalls.read_first()
            if self._is_leader_silent():
                await self._leave_leader()
                return
            await self._link.send(self._next_batch())
        self._sender_task = None

    def _is_leader_silent(self) -> bool:
        return clock.monotonic() >= self.last_message_at + LEADER_SILENT_SECONDS

    async def _leave_leader(self) -> None:
        """Give up a silent leader; closes the link, so that the leader notices."""
        await self.send_batch()
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
