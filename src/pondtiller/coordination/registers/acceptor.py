"""One replica of the registers: promises, accepted values, sealing and state transfer.

Invariants: a replica never accepts below a promise; it votes only in a configuration that names its
own storage; and once sealed in an epoch it never votes in that epoch again.
"""

from dataclasses import dataclass, field, replace
from typing import NamedTuple

from pondtiller import wire
from pondtiller.coordination.registers.ballot import ZERO, Ballot
from pondtiller.coordination.registers.configuration import (
    SUCCESSOR_KEY,
    Replica,
    ReplicaConfiguration,
    ShardConfiguration,
    epoch_label,
)


@dataclass(slots=True)
class Record:
    """A replica's state of one register."""

    promised: Ballot = ZERO
    accepted: Ballot = ZERO
    value: bytes = b""
    changed_at: float = 0.0

    def to_wire(self, key: str) -> wire.RegisterRecord:
        """Return the message for this record under its key."""
        return wire.RegisterRecord(
            key=key,
            promised=self.promised.to_wire(),
            accepted=self.accepted.to_wire(),
            value=self.value,
        )

    @classmethod
    def from_wire(cls, message: wire.RegisterRecord, now: float) -> "Record":
        """Return the record in a message, counted as changed at `now`."""
        return cls(
            Ballot.from_wire(message.promised),
            Ballot.from_wire(message.accepted),
            message.value,
            now,
        )


@dataclass(slots=True)
class _Shard:
    """One shard's active configuration and its records by key."""

    epoch: int = 0
    nonce: str = ""
    sealed_at: float | None = None
    records: dict[str, Record] = field(default_factory=dict)


class _Admitted(NamedTuple):
    """What a replica may vote on: the shard's number, the record, and the ballot of the message."""

    number: int
    record: Record
    ballot: Ballot


@dataclass(frozen=True, slots=True)
class _Pending:
    """State received for a configuration that is not active yet."""

    epoch: int
    nonce: str
    records: dict[str, Record]


@dataclass(frozen=True, slots=True)
class RecordChanged:
    """A record to write to the journal before any reply is sent.

    Attributes
    ----------
    shard
        Number of the shard.
    key
        Key of the register.
    record
        The current record.
    """

    shard: int
    key: str
    record: Record


@dataclass(frozen=True, slots=True)
class ShardChanged:
    """A shard to write to the journal: activated, sealed, or dropped with epoch 0.

    Attributes
    ----------
    records
        All records of the shard if they were replaced, None if they are unchanged.
    """

    shard: int
    epoch: int
    nonce: str
    sealed: bool
    records: tuple[wire.RegisterRecord, ...] | None


@dataclass(frozen=True, slots=True)
class InstallKept:
    """State for a configuration that may become active, to write to the journal."""

    install: wire.Install


JournalEntry = RecordChanged | ShardChanged | InstallKept

Reply = wire.Promise | wire.Accepted | wire.Reject | wire.Sealed | wire.Installed
Request = wire.Prepare | wire.Accept | wire.Seal | wire.Install


class Acceptor:
    """The registers that one member stores for all shards it is a replica of.

    Parameters
    ----------
    identity
        This member's name and the storage for which it votes.
    """

    def __init__(self, identity: Replica) -> None:
        self.identity = identity
        self._shards: dict[int, _Shard] = {}
        self._numbers: dict[str, int] = {}
        self._pending: dict[int, list[_Pending]] = {}
        self._changed: list[JournalEntry] = []

    def record_count(self) -> int:
        """Return how many registers this replica stores."""
        return sum(len(shard.records) for shard in self._shards.values())

    def sealed_since(self, before: float) -> set[int]:
        """Return the shards sealed here before a time that have no next configuration."""
        return {
            number
            for number, shard in self._shards.items()
            if shard.sealed_at is not None and shard.sealed_at < before
        }

    def adopt_configuration(self, configuration: ReplicaConfiguration) -> None:
        """Activate this replica's shards of the newest configuration."""
        for shard in configuration.shards:
            self._adopt_shard(shard)

    def _adopt_shard(self, configuration: ShardConfiguration) -> None:
        active = self._shards.get(configuration.shard)
        if active is not None and active.epoch >= configuration.epoch:
            return
        waiting = self._pending.get(configuration.shard, [])
        records = _state_for(configuration, waiting)
        # State for a later configuration may already be here; it is kept.
        self._pending[configuration.shard] = [
            pending for pending in waiting if pending.epoch > configuration.epoch
        ]
        if self.identity not in configuration.replicas:
            if active is not None:
                self._put(configuration.shard, None)
                self._changed.append(ShardChanged(configuration.shard, 0, "", False, ()))
            return
        if records is None:
            # Named without having received the state: no vote in this epoch.
            return
        activated = _Shard(configuration.epoch, configuration.nonce, None, records)
        self._put(configuration.shard, activated)
        self._note_shard(configuration.shard, with_records=True)

    def _note_record(self, number: int, key: str, record: Record) -> None:
        # A copy of the current state; only a member with a journal encodes it.
        self._changed.append(RecordChanged(number, key, replace(record)))

    def _note_shard(self, number: int, with_records: bool) -> None:
        shard = self._shards[number]
        records: tuple[wire.RegisterRecord, ...] | None = None
        if with_records:
            records = tuple(record.to_wire(key) for key, record in shard.records.items())
        is_sealed = shard.sealed_at is not None
        self._changed.append(ShardChanged(number, shard.epoch, shard.nonce, is_sealed, records))

    def restore(self, entry: JournalEntry, now: float) -> None:
        """Restore one entry of the journal; entries must come in the order of writing."""
        if isinstance(entry, InstallKept):
            self._keep_install(entry.install, now)
        elif isinstance(entry, RecordChanged):
            shard = self._shards.setdefault(entry.shard, _Shard())
            shard.records[entry.key] = replace(entry.record, changed_at=now)
        elif entry.epoch:
            sealed_at = now if entry.sealed else None
            self._put(entry.shard, _Shard(entry.epoch, entry.nonce, sealed_at))

    def receive(self, message: Request, now: float) -> Reply:
        """Handle one request and return the reply; never blocks."""
        if isinstance(message, wire.Prepare):
            return self._prepare(message, now)
        if isinstance(message, wire.Accept):
            return self._accept(message, now)
        if isinstance(message, wire.Seal):
            return self._seal(message, now)
        return self._install(message, now)

    def take_changed(self) -> list[JournalEntry]:
        """Return and clear the entries to be journalled since the last call."""
        changed, self._changed = self._changed, []
        return changed

    def forget(self, prefix: str, before: float) -> int:
        """Drop registers under `prefix` unchanged since `before`; return how many."""
        dropped = 0
        for shard in self._shards.values():
            old = [
                key
                for key, record in shard.records.items()
                if key.startswith(prefix) and record.changed_at < before
            ]
            for key in old:
                del shard.records[key]
            dropped += len(old)
        return dropped

    def _active(self, label: str, key: str) -> int | None:
        """Return the number of the shard in which this replica votes on `key`, else None.

        A sealed replica still votes on the successor of its configuration.
        """
        number = self._numbers.get(label)
        if number is None:
            return None
        is_open = self._shards[number].sealed_at is None or key == SUCCESSOR_KEY
        return number if is_open else None

    def _put(self, number: int, shard: _Shard | None) -> None:
        """Replace this replica's state of a shard; None drops it."""
        known = self._shards.pop(number, None)
        if known is not None:
            self._numbers.pop(epoch_label(number, known.epoch, known.nonce), None)
        if shard is not None:
            self._shards[number] = shard
            self._numbers[epoch_label(number, shard.epoch, shard.nonce)] = number

    def _admit(self, message: wire.Prepare | wire.Accept) -> _Admitted | wire.Reject:
        """Return the record that a message is about, or why this replica does not vote on it."""
        number = self._active(message.configuration, message.key)
        if number is None:
            return _reject(message, wire.RejectReason.NOT_ACTIVE, ZERO)
        record = self._shards[number].records.setdefault(message.key, Record())
        ballot = Ballot(message.counter, message.proposer)
        if ballot < record.promised:
            return _reject(message, wire.RejectReason.HIGHER_BALLOT, record.promised)
        return _Admitted(number, record, ballot)

    def _prepare(self, message: wire.Prepare, now: float) -> wire.Promise | wire.Reject:
        found = self._admit(message)
        if isinstance(found, wire.Reject):
            return found
        number, record, ballot = found
        record.promised = ballot
        record.changed_at = now
        self._note_record(number, message.key, record)
        return wire.Promise(
            operation=message.operation,
            counter=message.counter,
            proposer=message.proposer,
            accepted_counter=record.accepted.counter,
            accepted_proposer=record.accepted.proposer,
            value=record.value,
        )

    def _accept(self, message: wire.Accept, now: float) -> wire.Accepted | wire.Reject:
        found = self._admit(message)
        if isinstance(found, wire.Reject):
            return found
        number, record, ballot = found
        record.promised = max(ballot, Ballot(message.next_counter, message.proposer))
        record.accepted = ballot
        record.value = message.value
        record.changed_at = now
        self._note_record(number, message.key, record)
        return wire.Accepted(
            operation=message.operation, counter=message.counter, proposer=message.proposer
        )

    def _seal(self, message: wire.Seal, now: float) -> wire.Sealed | wire.Reject:
        shard = self._shards.get(message.epoch.shard)
        wanted = (message.epoch.epoch, message.epoch.nonce)
        if shard is None or (shard.epoch, shard.nonce) != wanted:
            return wire.Reject(reason=wire.RejectReason(wire.RejectReason.NOT_ACTIVE))
        if shard.sealed_at is None:
            shard.sealed_at = now
            self._note_shard(message.epoch.shard, with_records=False)
        records = [
            record.to_wire(key) for key, record in shard.records.items() if key != SUCCESSOR_KEY
        ]
        return wire.Sealed(epoch=message.epoch, records=records)

    def _install(self, message: wire.Install, now: float) -> wire.Installed:
        self._keep_install(message, now)
        self._changed.append(InstallKept(message))
        return wire.Installed(epoch=message.epoch)

    def _keep_install(self, message: wire.Install, now: float) -> None:
        epoch = message.epoch
        records = {each.key: Record.from_wire(each, now) for each in message.records}
        waiting = self._pending.setdefault(epoch.shard, [])
        waiting[:] = [pending for pending in waiting if pending.nonce != epoch.nonce]
        waiting.append(_Pending(epoch.epoch, epoch.nonce, records))


def _state_for(
    configuration: ShardConfiguration, waiting: list[_Pending]
) -> dict[str, Record] | None:
    if configuration.starts_empty:
        return {}
    for pending in waiting:
        if (pending.epoch, pending.nonce) == (configuration.epoch, configuration.nonce):
            return pending.records
    return None


def _reject(message: wire.Prepare | wire.Accept, reason: int, promised: Ballot) -> wire.Reject:
    return wire.Reject(
        operation=message.operation,
        counter=message.counter,
        proposer=message.proposer,
        reason=wire.RejectReason(reason),
        promised_counter=promised.counter,
    )


def merge(snapshots: list[list[wire.RegisterRecord]]) -> list[wire.RegisterRecord]:
    """Return, for each key, the record with the highest accepted ballot and promise."""
    merged: dict[str, Record] = {}
    for snapshot in snapshots:
        for entry in snapshot:
            record = Record.from_wire(entry, 0.0)
            known = merged.setdefault(entry.key, Record())
            known.promised = max(known.promised, record.promised)
            if record.accepted > known.accepted:
                known.accepted = record.accepted
                known.value = record.value
    return [record.to_wire(key) for key, record in merged.items()]
