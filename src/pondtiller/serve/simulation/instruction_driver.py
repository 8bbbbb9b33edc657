"""Carries out what a simulated daemon's systems ask of peers, engines, platform and scorer.

Owns no state but the counts of what was sent. The answers to callers and trainers are not given
here: their connections are `daemon.DaemonNode`'s.
"""

from collections.abc import Callable
from typing import NamedTuple

from pondtiller.serve.core.events import LetterArrived, ScoreArrived
from pondtiller.serve.core.instructions import (
    CancelAttempt,
    ListStore,
    LogEvent,
    OrderEngine,
    PollEngine,
    ScoreSample,
    SendPeer,
    StartAttempt,
    WatchStore,
    WriteJournal,
    WriteStore,
)
from pondtiller.serve.emulator.scorer import score_sample
from pondtiller.serve.simulation.network import Deliver
from pondtiller.serve.simulation.shared_parts import ControlCosts, PeerNode, SharedParts
from pondtiller.wire.envelope import Letter, decode, encode

SCORE_SECONDS = 0.05
"""Of a scorer. Modelled."""

OutsideInstruction = (
    SendPeer
    | StartAttempt
    | CancelAttempt
    | PollEngine
    | OrderEngine
    | ListStore
    | WatchStore
    | WriteStore
    | ScoreSample
    | LogEvent
    | WriteJournal
)
"""Instructions that this module carries out."""


class ProcessLife(NamedTuple):
    """One life of a daemon's process, from its start to its crash or stop.

    Attributes
    ----------
    deliver
        Hands an event to the daemon; does nothing once this life has ended.
    is_open
        Whether an attempt, by its identifier, is still in progress in this life.
    """

    deliver: Deliver
    is_open: Callable[[str], bool]


class InstructionDriver:
    """Carries out the instructions of one daemon."""

    def __init__(self, name: str, zone: str, shared: SharedParts, costs: ControlCosts) -> None:
        self._name = name
        self._zone = zone
        self._shared = shared
        self._costs = costs

    def carry_out(self, instruction: OutsideInstruction, life: ProcessLife) -> None:
        """Carry out one instruction; its answer is delivered to the life that asked."""
        match instruction:
            case SendPeer():
                self._send_peer(instruction)
            case StartAttempt() | CancelAttempt() | PollEngine() | OrderEngine():
                self._use_engine(instruction, life)
            case ListStore() | WatchStore() | WriteStore():
                self._use_platform(instruction, life.deliver)
            case ScoreSample():
                value = score_sample(instruction.prompt, instruction.text)
                event = ScoreArrived(instruction.score_id, value)
                self._shared.scheduler.after(SCORE_SECONDS, lambda: life.deliver(event))
            case LogEvent():
                if self._shared.on_log is not None:
                    self._shared.on_log(self._name, instruction)
            case WriteJournal():
                pass

    def _send_peer(self, instruction: SendPeer) -> None:
        self._costs.messages += 1
        target = self._shared.daemons.get(instruction.target)
        if target is None:
            return
        if self._shared.count_bytes:
            self._count_bytes(target, instruction.letter)
        event = LetterArrived(instruction.letter)
        self._shared.network.datagram(self._zone, target.zone, lambda: target.deliver(event))

    def _count_bytes(self, target: PeerNode, letter: Letter) -> None:
        """Encode a letter and decode it again, as the daemon's driver would."""
        started = self._shared.processor_seconds()
        data = encode(letter)
        encoded = self._shared.processor_seconds()
        decode(data)
        self._costs.bytes_sent += len(data)
        self._costs.busy_seconds += encoded - started
        target.costs.busy_seconds += self._shared.processor_seconds() - encoded

    def _use_engine(
        self,
        instruction: StartAttempt | CancelAttempt | PollEngine | OrderEngine,
        life: ProcessLife,
    ) -> None:
        if isinstance(instruction, CancelAttempt):
            for engine in self._shared.engines.values():
                engine.cancel(instruction.attempt_id, self._zone)
            return
        node = self._shared.engines[instruction.engine]
        if isinstance(instruction, PollEngine):
            node.poll(self._zone, life.deliver)
        elif isinstance(instruction, OrderEngine):
            node.order(instruction.order, self._name, self._zone, life.deliver)
        else:
            attempt_id = instruction.attempt_id

            def is_open() -> bool:
                return life.is_open(attempt_id)

            node.attempt(attempt_id, instruction.request, self._zone, life.deliver, is_open)

    def _use_platform(
        self, instruction: ListStore | WatchStore | WriteStore, deliver: Deliver
    ) -> None:
        if isinstance(instruction, ListStore):
            self._shared.platform.list_all(deliver)
        elif isinstance(instruction, WatchStore):
            self._shared.platform.watch(instruction.revision, deliver)
        else:
            self._shared.platform.put(
                instruction.name, instruction.expected_revision, instruction.body, deliver
            )
