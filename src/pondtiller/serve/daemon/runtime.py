"""Runs the systems on real time: one task ticks the world and carries out its instructions.

Owns the queues of those who wait for an answer and the tasks of attempts; both end with the
process. A journal entry is written before the instructions that follow it, so a promise is on disk
before its reply leaves. Decides nothing: `systems.tick` does.
"""

import curio

from pondtiller.process import clock, logs
from pondtiller.process.curio_types import Queue, Task
from pondtiller.process.spawner import Spawner
from pondtiller.serve.core.events import Event, LetterArrived
from pondtiller.serve.core.instructions import (
    AnswerSamples,
    AnswerTrainer,
    CancelAttempt,
    Drained,
    FailAnswer,
    FailTrainer,
    FinishAnswer,
    Instruction,
    ListStore,
    LogEvent,
    OrderEngine,
    PollEngine,
    RedirectTrainer,
    ScoreSample,
    SendPeer,
    SendText,
    StartAttempt,
    WatchStore,
    WriteJournal,
    WriteStore,
)
from pondtiller.serve.core.world import World
from pondtiller.serve.daemon.engine_client import EngineClient
from pondtiller.serve.daemon.journal import Journal
from pondtiller.serve.daemon.peer_transport import PeerTransport
from pondtiller.serve.daemon.platform_client import PlatformClient
from pondtiller.serve.systems.tick import next_wakeup, tick
from pondtiller.wire.envelope import Letter

MAX_SLEEP_SECONDS = 5.0
"""Longest pause between two ticks where no timer is due. Chosen, not measured: a guard, since what
arrives wakes the tick."""

Answer = (
    SendText
    | FinishAnswer
    | FailAnswer
    | AnswerSamples
    | AnswerTrainer
    | FailTrainer
    | RedirectTrainer
)


class Runtime:
    """The daemon's loop.

    Attributes
    ----------
    answers
        Queue for each caller's request and trainer's call that waits for an answer.
    busy_seconds
        Time spent in ticks and in carrying out, for `/metrics`.
    """

    def __init__(self, world: World, peers: PeerTransport, journal: Journal | None) -> None:
        self.world = world
        self.answers: dict[str, Queue[Answer]] = {}
        self.drained = curio.Event()
        self.busy_seconds = 0.0
        self.ticks = 0
        self._peers = peers
        self._journal = journal
        self._arrived = curio.Event()
        self._attempts: dict[str, Task] = {}
        self._engines: EngineClient | None = None
        self._platform: PlatformClient | None = None
        self._group = Spawner()

    def connect(self, engines: EngineClient, platform: PlatformClient) -> None:
        """Set the clients that carry out calls; they post back into this runtime."""
        self._engines = engines
        self._platform = platform

    async def post(self, event: Event) -> None:
        """Hand an event to the world; the loop ticks soon after."""
        self.world.inbox.append(event)
        await self._arrived.set()

    async def receive_letter(self, letter: Letter) -> None:
        """Hand a peer's letter to the world."""
        await self.post(LetterArrived(letter))

    async def run(self) -> None:
        """Tick when something arrived or is due, until cancelled."""
        async with self._group:
            while True:
                await self._tick()
                await self._sleep()

    async def _sleep(self) -> None:
        if self.world.inbox:
            # Other tasks run between ticks, so what arrives together is taken together.
            await curio.sleep(0)
            return
        due = next_wakeup(self.world)
        seconds = MAX_SLEEP_SECONDS
        if due is not None:
            seconds = min(seconds, max(0.0, due - clock.monotonic()))
        self._arrived.clear()
        await curio.ignore_after(seconds, self._arrived.wait)

    async def _tick(self) -> None:
        started = clock.monotonic()
        tick(self.world, started)
        for instruction in self.world.take_outbox():
            await self._carry_out(instruction)
        self.ticks += 1
        self.busy_seconds += clock.monotonic() - started

    async def _carry_out(self, instruction: Instruction) -> None:
        match instruction:
            case SendText() | FinishAnswer() | FailAnswer():
                await self._answer(instruction.request_id, instruction)
            case AnswerSamples() | AnswerTrainer() | FailTrainer() | RedirectTrainer():
                await self._answer(instruction.call_id, instruction)
            case SendPeer():
                await self._peers.send(instruction.address, instruction.letter, self._group)
            case LogEvent():
                logs.write(self.world.name, instruction.event, instruction.fields)
            case WriteJournal():
                if self._journal is not None:
                    self._journal.write(instruction.entries)
            case Drained():
                await self.drained.set()
            case CancelAttempt():
                task = self._attempts.pop(instruction.attempt_id, None)
                if task is not None:
                    await task.cancel(blocking=False)
            case _:
                await self._start_call(instruction)

    async def _start_call(self, instruction: Instruction) -> None:
        engines, platform = self._engines, self._platform
        if engines is None or platform is None:
            return
        match instruction:
            case StartAttempt():
                task = await self._group.spawn(self._attempt, engines, instruction)
                self._attempts[instruction.attempt_id] = task
            case PollEngine():
                await self._group.spawn(engines.poll, instruction)
            case OrderEngine():
                await self._group.spawn(engines.order, instruction)
            case ListStore():
                await self._group.spawn(platform.list_all)
            case WatchStore():
                await self._group.spawn(platform.watch, instruction)
            case WriteStore():
                await self._group.spawn(platform.write, instruction)
            case ScoreSample():
                await self._group.spawn(platform.score, instruction)

    async def _attempt(self, engines: EngineClient, start: StartAttempt) -> None:
        try:
            await engines.attempt(start)
        finally:
            self._attempts.pop(start.attempt_id, None)

    async def _answer(self, identifier: str, answer: Answer) -> None:
        queue = self.answers.get(identifier)
        if queue is not None:
            await queue.put(answer)

    def expect(self, identifier: str) -> Queue[Answer]:
        """Return the queue on which the answers to a request or call will come."""
        queue: Queue[Answer] = curio.Queue()
        self.answers[identifier] = queue
        return queue

    def forget(self, identifier: str) -> None:
        """Stop waiting for answers."""
        self.answers.pop(identifier, None)
