"""Trainers of a simulated cluster: the emulator's model, calling daemons.

Owns the one call under way and the daemon that it talks to; an answer may be lost, and the call is
made again. The cursor is the model's.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass

from pondtiller.errors import ErrorKind
from pondtiller.serve.core.events import (
    SamplesAcknowledged,
    SamplesRead,
    StepOpened,
    TrainerCalled,
    TrainerLeft,
    VersionPublished,
)
from pondtiller.serve.core.instructions import (
    AnswerSamples,
    AnswerTrainer,
    FailTrainer,
    RedirectTrainer,
)
from pondtiller.serve.core.step_entities import StepKey
from pondtiller.serve.emulator.trainer import (
    Acknowledge,
    OpenStep,
    Publish,
    ReadSamples,
    TrainerCall,
    TrainerModel,
)
from pondtiller.serve.simulation.daemon import DaemonNode, TrainerAnswer
from pondtiller.serve.simulation.scheduler import Scheduler

TIMEOUT_SECONDS = 10.0
"""After which a trainer takes a call for lost. Modelled: above the wait of a read."""
MAXIMUM_REDIRECTS = 3
"""Of one call on its way to a step's home. Modelled."""


@dataclass(slots=True)
class _Call:
    call_id: str
    call: TrainerCall
    node: DaemonNode
    redirects: int


class TrainerNode:
    """One trainer process; it stays with the daemon that makes its step while that lives."""

    def __init__(
        self,
        model: TrainerModel,
        scheduler: Scheduler,
        source: random.Random,
        daemons: Callable[[], list[DaemonNode]],
    ) -> None:
        self.model = model
        self._scheduler = scheduler
        self._source = source
        self._daemons = daemons
        self._home: DaemonNode | None = None
        self._open: _Call | None = None
        self._sequence = 0

    def start(self, delay: float) -> None:
        """Begin the first step after `delay` seconds."""
        self._scheduler.after(delay, self._begin)

    def _begin(self) -> None:
        self.model.idle_since = self._scheduler.now
        self._next()

    def _next(self) -> None:
        call = self.model.next_call(self._scheduler.now)
        if call is None:
            delay = max(0.001, self.model.wait_until - self._scheduler.now)
            self._scheduler.after(delay, self._next)
            return
        node = self._home
        if node is None or not node.alive:
            node = self._source.choice(self._daemons())
        self._send(call, node, 0)

    def _send(self, call: TrainerCall, node: DaemonNode, redirects: int) -> None:
        self._sequence += 1
        call_id = f"{self.model.settings.name}-{self._sequence}"
        opened = _Call(call_id, call, node, redirects)
        self._open = opened
        if not node.alive:
            self._lost(call_id)
            return
        event = self._event(call_id, call, forwarded=redirects > 0)
        node.call(call_id, event, lambda answer: self._answer(call_id, answer))
        self._scheduler.after(TIMEOUT_SECONDS, lambda: self._lost(call_id))

    def _event(self, call_id: str, call: TrainerCall, forwarded: bool) -> TrainerCalled:
        name = self.model.settings.name
        match call:
            case OpenStep():
                key = StepKey(name, call.step)
                return StepOpened(
                    call_id,
                    key,
                    call.version,
                    call.prompts,
                    call.maximum_tokens,
                    call.cursor,
                    forwarded,
                )
            case ReadSamples():
                key = StepKey(name, call.step)
                return SamplesRead(call_id, key, call.cursor, call.wait_seconds, forwarded)
            case Acknowledge():
                key = StepKey(name, call.step)
                return SamplesAcknowledged(call_id, key, call.cursor, forwarded)
            case Publish():
                return VersionPublished(call_id, name, call.version)

    def _lost(self, call_id: str) -> None:
        if self._open is None or self._open.call_id != call_id:
            return
        self._open.node.trainer_answers.pop(call_id, None)
        self._open.node.deliver(TrainerLeft(call_id))
        self._open = None
        self._home = None
        self.model.note_failed(self._scheduler.now)
        self._next()

    def _answer(self, call_id: str, answer: TrainerAnswer) -> None:
        opened = self._open
        if opened is None or opened.call_id != call_id:
            return
        self._open = None
        now = self._scheduler.now
        match answer:
            case AnswerSamples():
                self._home = opened.node
                step, cursor = answer.key.step, answer.next_cursor - len(answer.samples)
                self.model.note_samples(step, cursor, answer.samples, now)
            case AnswerTrainer():
                self._home = opened.node
                self._note_done(opened.call)
            case RedirectTrainer():
                self._redirect(opened, answer)
                return
            case FailTrainer():
                self._note_failure(answer)
        self._next()

    def _note_done(self, call: TrainerCall) -> None:
        if isinstance(call, OpenStep):
            self.model.note_opened()
        elif isinstance(call, Acknowledge):
            self.model.note_acknowledged(self._scheduler.now)
        else:
            self.model.note_published()

    def _redirect(self, opened: _Call, answer: RedirectTrainer) -> None:
        named = [node for node in self._daemons() if node.name == answer.address.host]
        if opened.redirects >= MAXIMUM_REDIRECTS or not named:
            self.model.note_failed(self._scheduler.now)
            self._next()
            return
        self._send(opened.call, named[0], opened.redirects + 1)

    def _note_failure(self, answer: FailTrainer) -> None:
        if answer.failure.kind is ErrorKind.UNKNOWN_STEP:
            self.model.note_unknown_step(self._scheduler.now)
        else:
            self._home = None
            self.model.note_failed(self._scheduler.now)
