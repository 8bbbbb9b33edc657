"""One replica of the registers: promises, accepted values, sealing and state transfer.

Invariants: a replica never accepts below a promise; it votes only in a configuration that
names its own storage; and once sealed in an epoch it never votes in that epoch again.
"""

from dataclasses import dataclass, field

from pondtiller import wire
from pondtiller.coordination.registers.ballot import ZERO, Ballot
from pondtiller.coordination.registers.configuration import (
    Replica,
    ReplicaConfiguration,
    ShardConfiguration,
)


@dataclass(slots=True)
class Record:
    """What a replica knows of one register."""

    promised: Ballot = ZERO
    accepted: Ballot = ZERO
    value: bytes = b""
    changed_at: float = 0.0


@dataclass(slots=True)
class _Shard:
    """One shard's active configuration and its records by key."""

    epoch: int = 0
    nonce: str = ""
    sealed_at: float | None = None
    records: dict[str, Record] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class _Pending:
    """State received for a configuration that is not in force yet."""

    epoch: int
    nonce: str
    records: dict[str, Record]


Reply = wire.Promise | wire.Accepted | wire.Reject | wire.Sealed | wire.Installed
Request = wire.Prepare | wire.Accept | wire.Seal | wire.Install


@dataclass(frozen=True, slots=True)
class RecordChanged:
    """A record to write to the journal before any reply leaves.

    Attributes
    ----------
    shard
        Number of the shard.
    key
        Key of the register.
    record
        The record as it stands now.
    """

    shard: int
    key: str
    record: Record


class Acceptor:
    """The registers that one member holds for all shards it is a replica of.

    Parameters
    ----------
    identity
        This member's name with the storage that it speaks for.
    """

    def __init__(self, identity: Replica) -> None:
        self.identity = identity
        self._shards: dict[int, _Shard] = {}
        self._pending: dict[int, list[_Pending]] = {}
        self._changed: list[RecordChanged] = []

    def record_count(self) -> int:
        """Return how many registers this replica holds."""
        return sum(len(shard.records) for shard in self._shards.values())

    def sealed_since(self, before: float) -> set[int]:
        """Return the shards sealed here before a time whose next configuration is missing."""
        return {
            number
            for number, shard in self._shards.items()
            if shard.sealed_at is not None and shard.sealed_at < before
        }

    def adopt_configuration(self, configuration: ReplicaConfiguration) -> None:
        """Activate what the newest configuration gives this replica."""
        for shard in configuration.shards:
            self._adopt_shard(shard)

    def _adopt_shard(self, configuration: ShardConfiguration) -> None:
        active = self._shards.get(configuration.shard)
        if active is not None and active.epoch >= configuration.epoch:
            return
        waiting = self._pending.pop(configuration.shard, [])
        if self.identity not in configuration.replicas:
            self._shards.pop(configuration.shard, None)
            return
        records = _state_for(configuration, waiting)
        if records is None:
            # Named without having received the state: no vote until it is transferred.
            self._pending[configuration.shard] = waiting
            return
        self._shards[configuration.shard] = _Shard(
            configuration.epoch, configuration.nonce, None, records
        )

    def receive(self, message: Request, now: float) -> Reply:
        """Handle one request and return the reply; never blocks, never waits."""
        if isinstance(message, wire.Prepare):
            return self._prepare(message, now)
        if isinstance(message, wire.Accept):
            return self._accept(message, now)
        if isinstance(message, wire.Seal):
            return self._seal(message, now)
        return self._install(message, now)

    def take_changed(self) -> list[RecordChanged]:
        """Return and forget the records that changed since the last call."""
        changed, self._changed = self._changed, []
        return changed

    def forget(self, prefix: str, before: float) -> int:
        """Drop registers under `prefix` not changed since `before`; return how many."""
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

    def _active(self, epoch: wire.ReplicaEpoch) -> _Shard | None:
        shard = self._shards.get(epoch.shard)
        if shard is None or shard.sealed_at is not None:
            return None
        if (shard.epoch, shard.nonce) != (epoch.epoch, epoch.nonce):
            return None
        return shard

    def _prepare(self, message: wire.Prepare, now: float) -> wire.Promise | wire.Reject:
        shard = self._active(message.epoch)
        if shard is None:
            return _reject(message, wire.RejectReason.NOT_ACTIVE, ZERO)
        record = shard.records.setdefault(message.key, Record())
        ballot = Ballot.from_wire(message.ballot)
        if ballot < record.promised:
            return _reject(message, wire.RejectReason.HIGHER_BALLOT, record.promised)
        record.promised = ballot
        record.changed_at = now
        self._changed.append(RecordChanged(message.epoch.shard, message.key, record))
        return wire.Promise(
            epoch=message.epoch,
            operation=message.operation,
            ballot=message.ballot,
            accepted=record.accepted.to_wire(),
            value=record.value,
        )

    def _accept(self, message: wire.Accept, now: float) -> wire.Accepted | wire.Reject:
        shard = self._active(message.epoch)
        if shard is None:
            return _reject(message, wire.RejectReason.NOT_ACTIVE, ZERO)
        record = shard.records.setdefault(message.key, Record())
        ballot = Ballot.from_wire(message.ballot)
        if ballot < record.promised:
            return _reject(message, wire.RejectReason.HIGHER_BALLOT, record.promised)
        record.promised = ballot
        record.accepted = ballot
        record.value = message.value
        record.changed_at = now
        self._changed.append(RecordChanged(message.epoch.shard, message.key, record))
        return wire.Accepted(
            epoch=message.epoch, operation=message.operation, ballot=message.ballot
        )

    def _seal(self, message: wire.Seal, now: float) -> wire.Sealed | wire.Reject:
        shard = self._shards.get(message.epoch.shard)
        wanted = (message.epoch.epoch, message.epoch.nonce)
        if shard is None or (shard.epoch, shard.nonce) != wanted:
            return wire.Reject(
                epoch=message.epoch, reason=wire.RejectReason(wire.RejectReason.NOT_ACTIVE)
            )
        if shard.sealed_at is None:
            shard.sealed_at = now
        records = [_to_wire(key, record) for key, record in shard.records.items()]
        return wire.Sealed(epoch=message.epoch, records=records)

    def _install(self, message: wire.Install, now: float) -> wire.Installed:
        epoch = message.epoch
        records = {record.key: _from_wire(record, now) for record in message.records}
        waiting = self._pending.setdefault(epoch.shard, [])
        waiting[:] = [pending for pending in waiting if pending.nonce != epoch.nonce]
        waiting.append(_Pending(epoch.epoch, epoch.nonce, records))
        return wire.Installed(epoch=epoch)


def _state_for(
    configuration: ShardConfiguration, waiting: list[_Pending]
) -> dict[str, Record] | None:
    if configuration.epoch == 1:
        return {}
    for pending in waiting:
        if (pending.epoch, pending.nonce) == (configuration.epoch, configuration.nonce):
            return pending.records
    return None


def _reject(message: wire.Prepare | wire.Accept, reason: int, promised: Ballot) -> wire.Reject:
    return wire.Reject(
        epoch=message.epoch,
        operation=message.operation,
        ballot=message.ballot,
        reason=wire.RejectReason(reason),
        promised=promised.to_wire(),
    )


def _to_wire(key: str, record: Record) -> wire.RegisterRecord:
    return wire.RegisterRecord(
        key=key,
        promised=record.promised.to_wire(),
        accepted=record.accepted.to_wire(),
        value=record.value,
    )


def _from_wire(record: wire.RegisterRecord, now: float) -> Record:
    return Record(
        Ballot.from_wire(record.promised),
        Ballot.from_wire(record.accepted),
        record.value,
        now,
    )


def merge(snapshots: list[list[wire.RegisterRecord]]) -> list[wire.RegisterRecord]:
    """Return, for each key, the record with the highest accepted ballot and promise."""
    merged: dict[str, Record] = {}
    for snapshot in snapshots:
        for entry in snapshot:
            record = _from_wire(entry, 0.0)
            known = merged.setdefault(entry.key, Record())
            known.promised = max(known.promised, record.promised)
            if record.accepted > known.accepted:
                known.accepted = record.accepted
                known.value = record.value
    return [_to_wire(key, record) for key, record in merged.items()]
