"""Replaces lost replicas: seal the old configuration, move its state, agree on the next.

Steps for a shard, each safe to repeat and safe to abandon:

1. Seal a majority of the old replicas. Nothing can be committed there any more.
2. Merge their accepted records. Every committed value is on at least one of them.
3. Install the merged state on all replicas of the next configuration.
4. Have the old replicas agree on their successor in a register of their own. Exactly one successor
   wins; only its replicas, identified by its nonce, start to vote.
"""

import random
from dataclasses import dataclass, field

from pondtiller import wire
from pondtiller.coordination.outbound import Outbound
from pondtiller.coordination.registers.acceptor import merge
from pondtiller.coordination.registers.configuration import (
    Replica,
    ReplicaConfiguration,
    ShardConfiguration,
)
from pondtiller.hashing import rank

RESEND_SECONDS = 0.5
"""Interval of resending the open requests of a replacement. Each step is safe to repeat, so a short
interval only costs messages."""
GIVE_UP_SECONDS = 10.0
"""Time after which a replacement is abandoned. This is safe at any moment, since the old replicas
agree on one successor; it starts again with the members that are alive then."""
SHARDS_AT_A_TIME = 8
"""Shards whose replicas are replaced at a time. Bounds the state that is moved at once when a
member is lost; the others follow."""
RESET_EPOCHS = 1000
"""Increase of the epoch of an emptied shard. Far above the number of replacements that a member may
have missed, so that the empty configuration is the newer one everywhere."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """A member that can be a replica.

    Attributes
    ----------
    name
        Name of the member.
    zone
        Zone of the member; replicas of a shard are spread over zones.
    storage
        Storage for which the member votes.
    """

    name: str
    zone: str
    storage: int

    def replica(self) -> Replica:
        """Return the replica that this candidate would be."""
        return Replica(name=self.name, storage=self.storage)


@dataclass(frozen=True, slots=True)
class SuccessorProposal:
    """Ask the replicas of `old` to agree on `new` as their successor."""

    old: ShardConfiguration
    new: ShardConfiguration


@dataclass(slots=True)
class _Transfer:
    """The replacement of one shard's configuration, in progress."""

    old: ShardConfiguration
    new: ShardConfiguration
    started_at: float
    sealed: dict[str, list[wire.RegisterRecord]] = field(default_factory=dict)
    records: list[wire.RegisterRecord] | None = None
    installed: set[str] = field(default_factory=set)
    proposed: bool = False


class Reconfigurer:
    """Keeps every shard on live replicas; any member may run one, but only one at a time should.

    Parameters
    ----------
    name
        Name of this member.
    shard_count
        Number of shards of a first configuration.
    replica_count
        Replicas of each shard.
    source
        Seeded random source for nonces.
    """

    def __init__(
        self, name: str, shard_count: int, replica_count: int, source: random.Random
    ) -> None:
        self.name = name
        self.shard_count = shard_count
        self.replica_count = replica_count
        self._source = source
        self._transfers: dict[int, _Transfer] = {}
        self._resend_at: float | None = None
        self._outputs: list[Outbound] = []
        self._proposals: list[SuccessorProposal] = []

    def next_deadline(self) -> float | None:
        """Return when `run` must be called next."""
        return self._resend_at

    def take_outputs(self) -> list[Outbound]:
        """Return and clear the messages to send."""
        outputs, self._outputs = self._outputs, []
        return outputs

    def take_proposals(self) -> list[SuccessorProposal]:
        """Return and clear the successors to agree on."""
        proposals, self._proposals = self._proposals, []
        return proposals

    def first_configuration(self, candidates: list[Candidate]) -> ReplicaConfiguration | None:
        """Return a first configuration, or None if there are too few members."""
        if len(candidates) < self.replica_count:
            return None
        numbers = range(self.shard_count)
        shards = tuple(self._empty_shard(number, 1, candidates) for number in numbers)
        return ReplicaConfiguration(shards=shards)

    def reset_shard(
        self, lost: ShardConfiguration, candidates: list[Candidate]
    ) -> ShardConfiguration | None:
        """Return an empty configuration for a shard whose majority lost its state.

        The caller must have waited until the shard's previous contents no longer matter.
        """
        if len(candidates) < self.replica_count:
            return None
        return self._empty_shard(lost.shard, lost.epoch + RESET_EPOCHS, candidates)

    def _empty_shard(
        self, number: int, epoch: int, candidates: list[Candidate]
    ) -> ShardConfiguration:
        return ShardConfiguration(
            shard=number,
            shard_count=self.shard_count,
            epoch=epoch,
            nonce=self._nonce(),
            replicas=choose_replicas(number, (), candidates, self.replica_count),
            starts_empty=True,
        )

    def repair(
        self,
        configuration: ReplicaConfiguration,
        candidates: list[Candidate],
        sealed: set[int],
        lost: set[int],
        now: float,
    ) -> None:
        """Start to replace the replicas that are no longer among `candidates`.

        Shards in `sealed` remain from an abandoned replacement and get a next configuration even if
        no replica is lost. Shards in `lost` have no majority any more and are not touched.
        """
        usable = {candidate.replica() for candidate in candidates}
        for shard in configuration.shards:
            survivors = tuple(replica for replica in shard.replicas if replica in usable)
            is_whole = len(survivors) == len(shard.replicas) and shard.shard not in sealed
            if is_whole or shard.shard in lost or shard.shard in self._transfers:
                continue
            if len(self._transfers) >= SHARDS_AT_A_TIME:
                break
            self._begin(shard, survivors, candidates, now)
        self._send_missing(now)

    def _begin(
        self,
        shard: ShardConfiguration,
        survivors: tuple[Replica, ...],
        candidates: list[Candidate],
        now: float,
    ) -> None:
        replicas = choose_replicas(shard.shard, survivors, candidates, self.replica_count)
        if len(replicas) < self.replica_count:
            return
        new = ShardConfiguration(
            shard=shard.shard,
            shard_count=shard.shard_count,
            epoch=shard.epoch + 1,
            nonce=self._nonce(),
            replicas=replicas,
        )
        self._transfers[shard.shard] = _Transfer(shard, new, now)

    def receive(self, sender: str, message: wire.Sealed | wire.Installed, now: float) -> None:
        """Handle a replica's reply."""
        transfer = self._transfers.get(message.epoch.shard)
        if transfer is None:
            return
        if isinstance(message, wire.Sealed):
            self._receive_sealed(transfer, sender, message, now)
        elif message.epoch.nonce == transfer.new.nonce:
            transfer.installed.add(sender)
            self._propose_if_ready(transfer)

    def run(self, now: float) -> None:
        """Resend unanswered requests and abandon replacements that take too long."""
        if self._resend_at is None or now < self._resend_at:
            return
        for shard, transfer in list(self._transfers.items()):
            if now - transfer.started_at > GIVE_UP_SECONDS:
                del self._transfers[shard]
        self._send_missing(now)

    def note_configuration(self, configuration: ReplicaConfiguration) -> None:
        """Drop replacements of shards that have a newer configuration."""
        for shard in configuration.shards:
            transfer = self._transfers.get(shard.shard)
            if transfer is not None and transfer.old.epoch < shard.epoch:
                del self._transfers[shard.shard]

    def _receive_sealed(
        self, transfer: _Transfer, sender: str, message: wire.Sealed, now: float
    ) -> None:
        if message.epoch.nonce != transfer.old.nonce or sender not in transfer.old.names():
            return
        transfer.sealed[sender] = message.records
        if len(transfer.sealed) >= transfer.old.majority() and transfer.records is None:
            transfer.records = merge(list(transfer.sealed.values()))
            self._send_missing(now)

    def _propose_if_ready(self, transfer: _Transfer) -> None:
        if transfer.proposed or len(transfer.installed) < len(transfer.new.replicas):
            return
        transfer.proposed = True
        self._proposals.append(SuccessorProposal(transfer.old, transfer.new))

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
    shard: int, survivors: tuple[Replica, ...], candidates: list[Candidate], count: int
) -> tuple[Replica, ...]:
    """Return survivors filled up to `count`, from zones not used yet if possible."""
    by_name = {candidate.name: candidate for candidate in candidates}
    chosen = list(survivors)
    zones = {by_name[replica.name].zone for replica in chosen if replica.name in by_name}
    ranked = [by_name[name] for name in rank(f"shard/{shard}", by_name)]
    for prefer_new_zone in (True, False):
        for candidate in ranked:
            if len(chosen) >= count:
                return tuple(chosen)
            if candidate.replica() in chosen or (prefer_new_zone and candidate.zone in zones):
                continue
            chosen.append(candidate.replica())
            zones.add(candidate.zone)
    return tuple(chosen)
