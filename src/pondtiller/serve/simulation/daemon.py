"""A daemon of a simulated cluster: the real systems, driven by the virtual clock.

Owns the process (its world, its life, what waits while it is paused) and the connections of callers
and trainers; a crash loses all of these. What the systems ask of others, `instruction_driver`
carries out. Each draw is from the node's seeded source, so a seed gives the same run.
"""

import random
from collections.abc import Callable

from pondtiller.coordination.member import Member
from pondtiller.serve.core.events import (
    CallerLeft,
    DrainRequested,
    Event,
    RequestArrived,
    TrainerCalled,
)
from pondtiller.serve.core.instructions import (
    AnswerSamples,
    AnswerTrainer,
    Drained,
    FailAnswer,
    FailTrainer,
    FinishAnswer,
    Instruction,
    RedirectTrainer,
    SendText,
)
from pondtiller.serve.core.world import World
from pondtiller.serve.core.world_settings import WorldSettings
from pondtiller.serve.simulation.cluster_settings import ClusterSettings
from pondtiller.serve.simulation.instruction_driver import InstructionDriver, ProcessLife
from pondtiller.serve.simulation.shared_parts import ControlCosts, SharedParts
from pondtiller.serve.systems.tick import next_wakeup, tick
from pondtiller.table.sheet import DOCUMENT_NAME

CallerAnswer = SendText | FinishAnswer | FailAnswer
TrainerAnswer = AnswerSamples | AnswerTrainer | FailTrainer | RedirectTrainer


class DaemonNode:
    """One daemon process: it can crash, pause, restart and stop as planned."""

    def __init__(
        self,
        name: str,
        zone: str,
        seeds: list[Member],
        shared: SharedParts,
        source: random.Random,
        settings: ClusterSettings,
    ) -> None:
        self.name = name
        self.zone = zone
        self.shared = shared
        self.alive = False
        self.stopping = False
        self.costs = ControlCosts()
        self.caller_answers: dict[str, Callable[[CallerAnswer], None]] = {}
        self.trainer_answers: dict[str, Callable[[TrainerAnswer], None]] = {}
        self.on_connections_broken: Callable[[str, bool], None] | None = None
        self._driver = InstructionDriver(name, zone, shared, self.costs)
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
        self._wake_at(self.shared.scheduler.now)

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
        for engine in self.shared.engines.values():
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
        delay = due - self.shared.scheduler.now
        self.shared.scheduler.after(delay, lambda: self._wake(due, life))

    def _wake(self, due: float, life: int) -> None:
        if life != self._life or self._wakeup != due or not self.alive:
            return
        self._wakeup = None
        if not self._paused:
            self._run()

    def _run(self) -> None:
        now = self.shared.scheduler.now
        self._wakeup = None
        self.costs.ticks += 1
        started = self.shared.processor_seconds()
        tick(self.world, now)
        self.costs.busy_seconds += self.shared.processor_seconds() - started
        for instruction in self.world.take_outbox():
            self._carry_out(instruction)
        self._note_table()
        due = next_wakeup(self.world)
        if self.alive and due is not None:
            self._wake_at(max(now, due))

    def _note_table(self) -> None:
        revision = self.world.documents.revision(DOCUMENT_NAME)
        if revision != self._table_revision and self.shared.on_table is not None:
            self._table_revision = revision
            self.shared.on_table(self.name, revision)

    def _carry_out(self, instruction: Instruction) -> None:
        match instruction:
            case SendText() | FinishAnswer() | FailAnswer():
                self._answer_caller(instruction)
            case AnswerSamples() | AnswerTrainer() | FailTrainer() | RedirectTrainer():
                self._answer_trainer(instruction)
            case Drained():
                self._end(planned=True)
            case _:
                self._driver.carry_out(instruction, self._this_life())

    def _this_life(self) -> ProcessLife:
        world, life = self.world, self._life

        def is_open(attempt_id: str) -> bool:
            return life == self._life and attempt_id in world.attempts

        return ProcessLife(self.deliver_to(life), is_open)

    def _answer_caller(self, instruction: CallerAnswer) -> None:
        answer = self.caller_answers.get(instruction.request_id)
        if answer is None:
            return
        if not isinstance(instruction, SendText):
            del self.caller_answers[instruction.request_id]
        delay = self.shared.network.latencies.clients_seconds
        self.shared.scheduler.after(delay, lambda: answer(instruction))

    def _answer_trainer(self, instruction: TrainerAnswer) -> None:
        answer = self.trainer_answers.pop(instruction.call_id, None)
        if answer is not None and not self.shared.network.loses():
            delay = self.shared.network.latencies.clients_seconds
            self.shared.scheduler.after(delay, lambda: answer(instruction))
