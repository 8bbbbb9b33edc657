"""Replaces lost replicas: seal the old configuration, move its state, link the next one.

Order of steps for a shard, each safe to repeat and safe to abandon:

1. Seal a majority of the old replicas. Nothing can be committed there any more.
2. Merge what they accepted. Every committed value is on at least one of them.
3. Install the merged state on all replicas of the next configuration.
4. Write the next configuration with compare-and-swap. Exactly one successor wins, and
   only its replicas, known by its nonce, begin to vote.
"""

import random
from dataclasses import dataclass, field

from pondtiller import wire
from pondtiller.coordination.outbound import Outbound
from pondtiller.coordination.registers.acceptor import merge
from pondtiller.coordination.registers.configuration import (
    REPLICAS_A_SHARD,
    Replica,
    ReplicaConfiguration,
    ShardConfiguration,
)
from pondtiller.hashing import rank

RESEND_SECONDS = 0.5
GIVE_UP_SECONDS = 10.0
SHARDS_AT_A_TIME = 8


@dataclass(frozen=True, slots=True)
class Candidate:
    """A member that can hold replicas.

    Attributes
    ----------
    name
        Name of the member.
    zone
        Zone of the member; replicas of a shard are spread over zones.
    storage
        Storage that the member speaks for.
    """

    name: str
    zone: str
    storage: int

    def replica(self) -> Replica:
        """Return the replica that this candidate would be."""
        return Replica(name=self.name, storage=self.storage)


@dataclass(frozen=True, slots=True)
class ConfigurationWrite:
    """Ask for a compare-and-swap of the configuration document.

    Attributes
    ----------
    expected_revision
        Revision that the document must still have; 0 creates it.
    configuration
        What to write.
    """

    expected_revision: int
    configuration: ReplicaConfiguration


@dataclass(slots=True)
class _Transfer:
    """The replacement of one shard's configuration, in progress."""

    old: ShardConfiguration
    new: ShardConfiguration
    started_at: float
    sealed: dict[str, list[wire.RegisterRecord]] = field(default_factory=dict)
    records: list[wire.RegisterRecord] | None = None
    installed: set[str] = field(default_factory=set)

    def is_ready(self) -> bool:
        return len(self.installed) == len(self.new.replicas)


class Reconfigurer:
    """Keeps every shard on live replicas; any member may run one, one at a time should.

    Parameters
    ----------
    name
        Name of this member.
    shard_count
        Number of shards that a first configuration gets.
    source
        Seeded random source for nonces.
    """

    def __init__(self, name: str, shard_count: int, source: random.Random) -> None:
        self.name = name
        self.shard_count = shard_count
        self._source = source
        self._transfers: dict[int, _Transfer] = {}
        self._write_revision: int | None = None
        self._resend_at: float | None = None
        self._outputs: list[Outbound] = []
        self._writes: list[ConfigurationWrite] = []

    def is_busy(self) -> bool:
        """Return whether a replacement or a write is in progress."""
        return bool(self._transfers) or self._write_revision is not None

    def is_writing(self) -> bool:
        """Return whether the outcome of a write is open."""
        return self._write_revision is not None

    def next_deadline(self) -> float | None:
        """Return when `run` wants to be called next."""
        return self._resend_at

    def take_outputs(self) -> list[Outbound]:
        """Return and forget the messages to send."""
        outputs, self._outputs = self._outputs, []
        return outputs

    def take_writes(self) -> list[ConfigurationWrite]:
        """Return and forget the writes to make."""
        writes, self._writes = self._writes, []
        return writes

    def bootstrap(self, candidates: list[Candidate]) -> None:
        """Write the first configuration; for use where the document does not exist."""
        if self.is_busy() or len(candidates) < REPLICAS_A_SHARD:
            return
        nonce = self._nonce()
        shards = tuple(
            ShardConfiguration(
                shard=shard,
                epoch=1,
                nonce=nonce,
                replicas=choose_replicas(shard, (), candidates),
            )
            for shard in range(self.shard_count)
        )
        self._write(0, ReplicaConfiguration(shards=shards))

    def repair(
        self,
        configuration: ReplicaConfiguration,
        candidates: list[Candidate],
        sealed: set[int],
        now: float,
    ) -> None:
        """Begin to replace the replicas that are not among `candidates` any more.

        Shards in `sealed` were left behind by a replacement that was abandoned; they get
        a next configuration even where no replica is lost.
        """
        if self.is_busy():
            return
        usable = {candidate.replica() for candidate in candidates}
        for shard in configuration.shards:
            survivors = tuple(replica for replica in shard.replicas if replica in usable)
            is_whole = len(survivors) == len(shard.replicas) and shard.shard not in sealed
            if is_whole or len(self._transfers) >= SHARDS_AT_A_TIME:
                continue
            replicas = choose_replicas(shard.shard, survivors, candidates)
            if len(replicas) < REPLICAS_A_SHARD or len(survivors) < shard.majority():
                continue
            new = ShardConfiguration(
                shard=shard.shard, epoch=shard.epoch + 1, nonce=self._nonce(), replicas=replicas
            )
            self._transfers[shard.shard] = _Transfer(shard, new, now)
        if self._transfers:
            self._send_missing(now)

    def receive(self, sender: str, message: wire.Sealed | wire.Installed, now: float) -> None:
        """Handle a replica's answer."""
        transfer = self._transfers.get(message.epoch.shard)
        if transfer is None:
            return
        if isinstance(message, wire.Sealed):
            self._receive_sealed(transfer, sender, message, now)
        elif message.epoch.nonce == transfer.new.nonce:
            transfer.installed.add(sender)

    def run(self, now: float, configuration: ReplicaConfiguration, revision: int) -> None:
        """Send again, give up what takes too long, and write what is ready."""
        if self._transfers and all(each.is_ready() for each in self._transfers.values()):
            if self._write_revision is None:
                changed = configuration
                for transfer in self._transfers.values():
                    changed = changed.with_shard(transfer.new)
                self._write(revision, changed)
            return
        if self._resend_at is None or now < self._resend_at:
            return
        for shard, transfer in list(self._transfers.items()):
            if now - transfer.started_at > GIVE_UP_SECONDS:
                del self._transfers[shard]
        self._send_missing(now)

    def note_write_settled(self) -> None:
        """The write took effect or lost to another; begin again from the newest document."""
        self._transfers.clear()
        self._write_revision = None
        self._resend_at = None

    def _write(self, revision: int, configuration: ReplicaConfiguration) -> None:
        self._write_revision = revision
        self._resend_at = None
        self._writes.append(ConfigurationWrite(revision, configuration))

    def _receive_sealed(
        self, transfer: _Transfer, sender: str, message: wire.Sealed, now: float
    ) -> None:
        if message.epoch.nonce != transfer.old.nonce or sender not in transfer.old.names():
            return
        transfer.sealed[sender] = message.records
        if len(transfer.sealed) >= transfer.old.majority() and transfer.records is None:
            transfer.records = merge(list(transfer.sealed.values()))
            self._send_missing(now)

    def _send_missing(self, now: float) -> None:
        self._resend_at = now + RESEND_SECONDS if self._transfers else None
        for transfer in self._transfers.values():
            if transfer.records is None:
                self._send_seals(transfer)
            else:
                self._send_installs(transfer, transfer.records)

    def _send_seals(self, transfer: _Transfer) -> None:
        for target in transfer.old.names():
            if target not in transfer.sealed:
                self._outputs.append(Outbound(target, wire.Seal(epoch=transfer.old.to_wire())))

    def _send_installs(self, transfer: _Transfer, records: list[wire.RegisterRecord]) -> None:
        for target in transfer.new.names():
            if target not in transfer.installed:
                message = wire.Install(epoch=transfer.new.to_wire(), records=records)
                self._outputs.append(Outbound(target, message))

    def _nonce(self) -> str:
        return f"{self.name}-{self._source.getrandbits(64):016x}"


def choose_replicas(
    shard: int, survivors: tuple[Replica, ...], candidates: list[Candidate]
) -> tuple[Replica, ...]:
    """Return survivors filled up to a full set, from zones not used yet where possible."""
    by_name = {candidate.name: candidate for candidate in candidates}
    chosen = list(survivors)
    zones = {by_name[replica.name].zone for replica in chosen if replica.name in by_name}
    ranked = [by_name[name] for name in rank(f"shard/{shard}", by_name)]
    for prefer_new_zone in (True, False):
        for candidate in ranked:
            if len(chosen) >= REPLICAS_A_SHARD:
                return tuple(chosen)
            if candidate.replica() in chosen or (prefer_new_zone and candidate.zone in zones):
                continue
            chosen.append(candidate.replica())
            zones.add(candidate.zone)
    return tuple(chosen)
