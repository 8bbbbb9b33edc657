"""Changes registers: prepare on a majority, apply the change, accept on a majority.

A change may be applied more than once, on a value that already contains it, because the outcome of
an earlier round can be unknown. Every change must therefore be idempotent.
"""

import random
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from pondtiller import wire
from pondtiller.coordination.deadlines import DeadlineIndex
from pondtiller.coordination.outbound import Outbound
from pondtiller.coordination.registers.ballot import ZERO, Ballot
from pondtiller.coordination.registers.configuration import (
    ReplicaConfiguration,
    ShardConfiguration,
)
from pondtiller.coordination.retries import Backoff

FIRST_RESEND_SECONDS = 0.25
"""Time after which a phase with too few replies is sent again the first time, doubled each time:
three times the 80 ms that a reply between regions takes at least."""
MAX_RESEND_SECONDS = 1.0
"""Maximum of these waits: operations on a shard that cannot reply send one message a second to each
replica at most."""
KEPT_BALLOTS = 4096
"""Registers whose next ballot is kept, the ones written last. Bounds memory; a repeated change of a
kept register takes one round trip (6 messages on three replicas), of another one two (12)."""
CONFLICT_BACKOFF = Backoff(first=0.01, maximum=0.5)

Change = Callable[[bytes], bytes]


class OutcomeStatus(Enum):
    """How an operation ended."""

    COMMITTED = "committed"
    UNAVAILABLE = "unavailable"


@dataclass(frozen=True, slots=True)
class RegisterOutcome:
    """Result of one operation.

    Attributes
    ----------
    operation
        Number that `Proposer.start` returned.
    key
        Key of the register.
    status
        `UNAVAILABLE` leaves open whether the change took effect.
    value
        The register's value after the operation; empty if unavailable.
    """

    operation: int
    key: str
    status: OutcomeStatus
    value: bytes


class _Phase(Enum):
    PREPARE = 1
    ACCEPT = 2


@dataclass(slots=True)
class _Operation:
    number: int
    key: str
    change: Change
    deadline: float
    fixed: ShardConfiguration | None = None
    ballot: Ballot = ZERO
    phase: _Phase = _Phase.PREPARE
    configuration: ShardConfiguration | None = None
    promises: dict[str, wire.Promise] = field(default_factory=dict)
    accepted_by: set[str] = field(default_factory=set)
    value: bytes = b""
    conflicts: int = 0
    sends: int = 0
    next_ballot: Ballot = ZERO


@dataclass(frozen=True, slots=True)
class _KeptBallot:
    """A ballot that a majority promised to this proposer with its last acceptance.

    While nobody has prepared a higher one, the value is still the newest, so a change may start
    with the acceptance. Otherwise the acceptance is rejected.
    """

    configuration: ShardConfiguration
    ballot: Ballot
    value: bytes


class Proposer:
    """Runs any number of register operations at a time for one member.

    Parameters
    ----------
    name
        Unique name of this proposer; it must differ between incarnations of a member.
    source
        Seeded random source for the backoff.
    """

    def __init__(self, name: str, source: random.Random) -> None:
        self.name = name
        self.configuration = ReplicaConfiguration()
        self._source = source
        self._counter = 0
        self._next_number = 0
        self._operations: dict[int, _Operation] = {}
        self._deadlines: DeadlineIndex[tuple[str, int]] = DeadlineIndex()
        self._outputs: list[Outbound] = []
        self._outcomes: list[RegisterOutcome] = []
        self._kept: OrderedDict[str, _KeptBallot] = OrderedDict()

    def start(
        self,
        key: str,
        change: Change,
        now: float,
        timeout_seconds: float,
        fixed: ShardConfiguration | None = None,
    ) -> int:
        """Start to change `key` and return the operation's number.

        Uses the newest configuration of the key's shard, or `fixed` if given.
        """
        self._next_number += 1
        operation = _Operation(self._next_number, key, change, now + timeout_seconds, fixed)
        self._operations[operation.number] = operation
        self._deadlines.set(("expire", operation.number), operation.deadline)
        self._begin_round(operation, now)
        return operation.number

    def adopt_configuration(self, configuration: ReplicaConfiguration, now: float) -> None:
        """Use a newer configuration; operations in a changed shard start again."""
        self.configuration = configuration
        for operation in list(self._operations.values()):
            newest = operation.fixed or configuration.shard_of(operation.key)
            if operation.configuration != newest:
                self._begin_round(operation, now)

    def receive(
        self, sender: str, message: wire.Promise | wire.Accepted | wire.Reject, now: float
    ) -> None:
        """Handle one reply of a replica; replies to earlier rounds are ignored."""
        operation = self._operations.get(message.operation)
        if operation is None or operation.configuration is None:
            return
        if Ballot(message.counter, message.proposer) != operation.ballot:
            return
        if isinstance(message, wire.Promise):
            self._receive_promise(operation, sender, message)
        elif isinstance(message, wire.Accepted):
            self._receive_accepted(operation, sender)
        else:
            self._receive_reject(operation, message, now)

    def run(self, now: float) -> None:
        """Resend unanswered phases, and end operations past their deadline."""
        for kind, number in self._deadlines.take_due(now):
            operation = self._operations.get(number)
            if operation is None:
                continue
            if kind == "expire":
                self._finish(operation, OutcomeStatus.UNAVAILABLE, b"")
            elif kind == "again":
                self._begin_round(operation, now)
            else:
                self._send_phase(operation, now)

    def next_deadline(self) -> float | None:
        """Return when `run` must be called next."""
        return self._deadlines.next_due()

    def take_outputs(self) -> list[Outbound]:
        """Return and clear the messages to send."""
        outputs, self._outputs = self._outputs, []
        return outputs

    def take_outcomes(self) -> list[RegisterOutcome]:
        """Return and clear the outcomes of ended operations."""
        outcomes, self._outcomes = self._outcomes, []
        return outcomes

    def _begin_round(self, operation: _Operation, now: float) -> None:
        self._deadlines.clear(("again", operation.number))
        operation.phase = _Phase.PREPARE
        operation.sends = 0
        operation.promises.clear()
        operation.accepted_by.clear()
        operation.configuration = operation.fixed or self.configuration.shard_of(operation.key)
        held = self._kept.pop(operation.key, None)
        if held is not None and held.configuration == operation.configuration:
            operation.ballot = held.ballot
            self._begin_accept(operation, held.value)
        else:
            operation.ballot = self._new_ballot()
        self._send_phase(operation, now)

    def _new_ballot(self) -> Ballot:
        self._counter += 1
        return Ballot(self._counter, self.name)

    def _begin_accept(self, operation: _Operation, current: bytes) -> None:
        operation.value = operation.change(current)
        operation.next_ballot = self._new_ballot()
        operation.phase = _Phase.ACCEPT

    def _send_phase(self, operation: _Operation, now: float) -> None:
        wait = min(MAX_RESEND_SECONDS, FIRST_RESEND_SECONDS * 2**operation.sends)
        operation.sends += 1
        self._deadlines.set(("resend", operation.number), now + wait)
        configuration = operation.configuration
        if configuration is None:
            return
        for target in configuration.names():
            answered = operation.promises if operation.phase is _Phase.PREPARE else ()
            if target not in answered and target not in operation.accepted_by:
                self._outputs.append(Outbound(target, _message(operation, configuration)))

    def _receive_promise(self, operation: _Operation, sender: str, message: wire.Promise) -> None:
        if operation.phase is not _Phase.PREPARE or operation.configuration is None:
            return
        operation.promises[sender] = message
        if len(operation.promises) < operation.configuration.majority():
            return
        newest = max(
            operation.promises.values(),
            key=lambda promise: Ballot(promise.accepted_counter, promise.accepted_proposer),
        )
        self._begin_accept(operation, newest.value)
        for target in operation.configuration.names():
            self._outputs.append(Outbound(target, _message(operation, operation.configuration)))

    def _receive_accepted(self, operation: _Operation, sender: str) -> None:
        if operation.phase is not _Phase.ACCEPT or operation.configuration is None:
            return
        operation.accepted_by.add(sender)
        if len(operation.accepted_by) >= operation.configuration.majority():
            self._keep_ballot(operation, operation.configuration)
            self._finish(operation, OutcomeStatus.COMMITTED, operation.value)

    def _keep_ballot(self, operation: _Operation, configuration: ShardConfiguration) -> None:
        held = _KeptBallot(configuration, operation.next_ballot, operation.value)
        self._kept[operation.key] = held
        if len(self._kept) > KEPT_BALLOTS:
            self._kept.popitem(last=False)

    def _receive_reject(self, operation: _Operation, message: wire.Reject, now: float) -> None:
        if message.reason is not wire.RejectReason.HIGHER_BALLOT:
            return
        self._counter = max(self._counter, message.promised_counter)
        operation.conflicts += 1
        # The round has failed: clear its ballot so that its other replies are ignored.
        operation.ballot = ZERO
        operation.configuration = None
        delay = CONFLICT_BACKOFF.delay(operation.conflicts, self._source)
        self._deadlines.clear(("resend", operation.number))
        self._deadlines.set(("again", operation.number), now + delay)

    def _finish(self, operation: _Operation, status: OutcomeStatus, value: bytes) -> None:
        del self._operations[operation.number]
        for kind in ("expire", "again", "resend"):
            self._deadlines.clear((kind, operation.number))
        self._outcomes.append(RegisterOutcome(operation.number, operation.key, status, value))


def _message(
    operation: _Operation, configuration: ShardConfiguration
) -> wire.Prepare | wire.Accept:
    if operation.phase is _Phase.PREPARE:
        return wire.Prepare(
            configuration=configuration.label,
            operation=operation.number,
            key=operation.key,
            counter=operation.ballot.counter,
            proposer=operation.ballot.proposer,
        )
    return wire.Accept(
        configuration=configuration.label,
        operation=operation.number,
        key=operation.key,
        counter=operation.ballot.counter,
        proposer=operation.ballot.proposer,
        value=operation.value,
        next_counter=operation.next_ballot.counter,
    )
