"""A daemon of a simulated cluster: the real systems, driven by the virtual clock."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from pondtiller.coordination.member import Member
from pondtiller.serve.core.events import (
    CallerLeft,
    DrainRequested,
    Event,
    LetterArrived,
    RequestArrived,
    ScoreArrived,
    TrainerCalled,
)
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
from pondtiller.serve.core.world_settings import WorldSettings
from pondtiller.serve.emulator.scorer import score_sample
from pondtiller.serve.simulation.cluster_settings import ClusterSettings
from pondtiller.serve.simulation.engines import EngineNode
from pondtiller.serve.simulation.network import Network
from pondtiller.serve.simulation.platform import PlatformNode
from pondtiller.serve.simulation.scheduler import Scheduler
from pondtiller.serve.systems.tick import next_wakeup, tick
from pondtiller.table.sheet import DOCUMENT_NAME
from pondtiller.wire.envelope import Letter, decode, encode

SCORE_SECONDS = 0.05
"""Of a scorer. Modelled."""

CallerAnswer = SendText | FinishAnswer | FailAnswer
TrainerAnswer = AnswerSamples | AnswerTrainer | FailTrainer | RedirectTrainer


@dataclass(slots=True)
class ControlCosts:
    """What a daemon spent on control messages.

    Attributes
    ----------
    messages, bytes_sent
        Letters sent to peers; bytes are counted only where the run asks for it.
    ticks
        Times that the systems ran.
    busy_seconds
        Processor time of ticks, encoding and decoding, where the run asks for it.
    """

    messages: int = 0
    bytes_sent: int = 0
    ticks: int = 0
    busy_seconds: float = 0.0


@dataclass(slots=True)
class Surroundings:
    """What all daemons of a cluster share."""

    scheduler: Scheduler
    network: Network
    platform: PlatformNode
    engines: dict[str, EngineNode]
    daemons: dict[str, "DaemonNode"] = field(default_factory=dict)
    on_table: Callable[[str, int], None] | None = None
    on_log: Callable[[str, LogEvent], None] | None = None
    count_bytes: bool = False
    processor_clock: Callable[[], float] | None = None


class DaemonNode:
    """One daemon process: it can crash, pause, restart and stop as planned."""

    def __init__(
        self,
        name: str,
        zone: str,
        seeds: list[Member],
        surroundings: Surroundings,
        source: random.Random,
        settings: ClusterSettings,
    ) -> None:
        self.name = name
        self.zone = zone
        self.around = surroundings
        self.alive = False
        self.stopping = False
        self.costs = ControlCosts()
        self.caller_answers: dict[str, Callable[[CallerAnswer], None]] = {}
        self.trainer_answers: dict[str, Callable[[TrainerAnswer], None]] = {}
        self.on_connections_broken: Callable[[str, bool], None] | None = None
        self._seeds = seeds
        self._source = source
        self._settings = settings
        self._incarnation = 0
        self._life = 0
        self._paused = False
        self._held: list[Event] = []
        self._wakeup: float | None = None
        self._table_revision = 0
        self.world: World

    def start(self) -> None:
        """Start the process with empty memory."""
        self._incarnation += 1
        self._life += 1
        self.alive, self.stopping, self._paused = True, False, False
        self._held, self._wakeup, self._table_revision = [], None, 0
        member = Member(
            name=self.name,
            zone=self.zone,
            host=self.name,
            peer_port=1,
            http_port=1,
            incarnation=self._incarnation,
            storage=self._incarnation,
        )
        settings = WorldSettings(
            member=member,
            seeds=tuple(self._seeds),
            shard_count=self._settings.shard_count,
            mechanisms=self._settings.mechanisms,
        )
        self.world = World(settings, random.Random(self._source.getrandbits(64)))
        self._run()

    def crash(self) -> None:
        """End the process at once: connections break, memory is lost."""
        self._end(planned=False)

    def stop(self) -> None:
        """Ask for a planned stop."""
        if self.alive and not self.stopping:
            self.stopping = True
            self.deliver(DrainRequested())

    def pause(self) -> None:
        """Freeze the process; what arrives waits."""
        self._paused = True

    def resume(self) -> None:
        """Let a frozen process go on, unaware of the time that passed."""
        if not self.alive or not self._paused:
            return
        self._paused = False
        held, self._held = self._held, []
        self.world.inbox.extend(held)
        self._run()

    def accepts_connections(self) -> bool:
        """Return whether a new connection gets an answer."""
        return self.alive

    def deliver(self, event: Event) -> None:
        """Hand an event to the daemon."""
        if not self.alive:
            return
        if self._paused:
            self._held.append(event)
            return
        self.world.inbox.append(event)
        self._wake_at(self.around.scheduler.now)

    def deliver_to(self, life: int) -> Callable[[Event], None]:
        """Return a way to deliver that ends with this life of the process."""

        def deliver(event: Event) -> None:
            if life == self._life:
                self.deliver(event)

        return deliver

    def request(self, event: RequestArrived, answer: Callable[[CallerAnswer], None]) -> None:
        """A caller sends a request over a new connection."""
        self.caller_answers[event.spec.request_id] = answer
        self.deliver(event)

    def leave(self, request_id: str) -> None:
        """A caller closes its connection."""
        if self.caller_answers.pop(request_id, None) is not None:
            self.deliver(CallerLeft(request_id))

    def call(
        self, call_id: str, event: TrainerCalled, answer: Callable[[TrainerAnswer], None]
    ) -> None:
        """A trainer calls."""
        self.trainer_answers[call_id] = answer
        self.deliver(event)

    def _end(self, planned: bool) -> None:
        if not self.alive:
            return
        self.alive = False
        self._life += 1
        prefix = f"attempt-{self.name}-"
        for engine in self.around.engines.values():
            engine.drop_streams_of(lambda attempt_id: attempt_id.startswith(prefix))
        callers, self.caller_answers = self.caller_answers, {}
        self.trainer_answers = {}
        if self.on_connections_broken is not None:
            for request_id in callers:
                self.on_connections_broken(request_id, planned)

    def _wake_at(self, due: float) -> None:
        if self._wakeup is not None and self._wakeup <= due:
            return
        self._wakeup = due
        life = self._life
        delay = due - self.around.scheduler.now
        self.around.scheduler.after(delay, lambda: self._wake(due, life))

    def _wake(self, due: float, life: int) -> None:
        if life != self._life or self._wakeup != due or not self.alive:
            return
        self._wakeup = None
        if not self._paused:
            self._run()

    def _run(self) -> None:
        now = self.around.scheduler.now
        self._wakeup = None
        self.costs.ticks += 1
        started = self._processor_seconds()
        tick(self.world, now)
        self.costs.busy_seconds += self._processor_seconds() - started
        for instruction in self.world.take_outbox():
            self._carry_out(instruction)
        self._note_table()
        due = next_wakeup(self.world)
        if self.alive and due is not None:
            self._wake_at(max(now, due))

    def _note_table(self) -> None:
        revision = self.world.documents.revision(DOCUMENT_NAME)
        if revision != self._table_revision and self.around.on_table is not None:
            self._table_revision = revision
            self.around.on_table(self.name, revision)

    def _carry_out(self, instruction: Instruction) -> None:
        match instruction:
            case SendPeer():
                self._send_peer(instruction)
            case StartAttempt() | CancelAttempt() | PollEngine() | OrderEngine():
                self._use_engine(instruction)
            case ListStore() | WatchStore() | WriteStore():
                self._use_platform(instruction)
            case ScoreSample():
                value = score_sample(instruction.prompt, instruction.text)
                event = ScoreArrived(instruction.score_id, value)
                deliver = self.deliver_to(self._life)
                self.around.scheduler.after(SCORE_SECONDS, lambda: deliver(event))
            case SendText() | FinishAnswer() | FailAnswer():
                self._answer_caller(instruction)
            case AnswerSamples() | AnswerTrainer() | FailTrainer() | RedirectTrainer():
                self._answer_trainer(instruction)
            case LogEvent():
                if self.around.on_log is not None:
                    self.around.on_log(self.name, instruction)
            case Drained():
                self._end(planned=True)
            case WriteJournal():
                pass

    def _send_peer(self, instruction: SendPeer) -> None:
        self.costs.messages += 1
        target = self.around.daemons.get(instruction.target)
        if target is None:
            return
        if self.around.count_bytes:
            self._count_bytes(target, instruction.letter)
        event = LetterArrived(instruction.letter)
        self.around.network.datagram(self.zone, target.zone, lambda: target.deliver(event))

    def _count_bytes(self, target: "DaemonNode", letter: Letter) -> None:
        """Encode a letter and decode it again, as the daemon's driver would."""
        started = self._processor_seconds()
        data = encode(letter)
        encoded = self._processor_seconds()
        decode(data)
        self.costs.bytes_sent += len(data)
        self.costs.busy_seconds += encoded - started
        target.costs.busy_seconds += self._processor_seconds() - encoded

    def _processor_seconds(self) -> float:
        clock = self.around.processor_clock
        return clock() if clock is not None else 0.0

    def _use_engine(
        self, instruction: StartAttempt | CancelAttempt | PollEngine | OrderEngine
    ) -> None:
        deliver = self.deliver_to(self._life)
        if isinstance(instruction, CancelAttempt):
            for engine in self.around.engines.values():
                engine.cancel(instruction.attempt_id, self.zone)
            return
        node = self.around.engines[instruction.engine]
        if isinstance(instruction, PollEngine):
            node.poll(self.zone, deliver)
        elif isinstance(instruction, OrderEngine):
            node.order(instruction.order, self.name, self.zone, deliver)
        else:
            world, life = self.world, self._life
            attempt_id = instruction.attempt_id

            def is_open() -> bool:
                return life == self._life and attempt_id in world.attempts

            node.attempt(attempt_id, instruction.request, self.zone, deliver, is_open)

    def _use_platform(self, instruction: ListStore | WatchStore | WriteStore) -> None:
        deliver = self.deliver_to(self._life)
        if isinstance(instruction, ListStore):
            self.around.platform.list_all(deliver)
        elif isinstance(instruction, WatchStore):
            self.around.platform.watch(instruction.revision, deliver)
        else:
            self.around.platform.put(
                instruction.name, instruction.expected_revision, instruction.body, deliver
            )

    def _answer_caller(self, instruction: CallerAnswer) -> None:
        answer = self.caller_answers.get(instruction.request_id)
        if answer is None:
            return
        if not isinstance(instruction, SendText):
            del self.caller_answers[instruction.request_id]
        delay = self.around.network.latencies.clients_seconds
        self.around.scheduler.after(delay, lambda: answer(instruction))

    def _answer_trainer(self, instruction: TrainerAnswer) -> None:
        answer = self.trainer_answers.pop(instruction.call_id, None)
        if answer is not None and not self.around.network.loses():
            delay = self.around.network.latencies.clients_seconds
            self.around.scheduler.after(delay, lambda: answer(instruction))
