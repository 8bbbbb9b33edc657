"""The replicas of each shard: for each shard a chain of configurations, one per epoch.

A link of the chain is decided by the replicas of the previous link, so that replacing a replica
needs no other service. The platform's object service holds the first link, and later a copy of the
newest ones for daemons that start.
"""

from pydantic import BaseModel, ConfigDict, Field
from result import Err, Ok, Result

from pondtiller import wire
from pondtiller.hashing import score

STORED_OBJECT = "replicas"
DOCUMENT_PREFIX = "replicas/"
SUCCESSOR_KEY = "!successor"
CONTROL_PREFIX = "control/"
CONTROL_SHARD = 0
"""Shard of the keys under `CONTROL_PREFIX`; an identifier."""


def epoch_label(shard: int, epoch: int, nonce: str) -> str:
    """Return the label of one configuration of one shard."""
    return f"{shard}/{epoch}/{nonce}"


class Replica(BaseModel):
    """One replica: a member together with the storage that its votes rely on."""

    model_config = ConfigDict(frozen=True, extra="forbid")

    name: str
    storage: int


class ShardConfiguration(BaseModel):
    """The replicas of one shard in one epoch."""

    model_config = ConfigDict(frozen=True, extra="forbid")

    shard: int
    shard_count: int
    epoch: int
    nonce: str
    replicas: tuple[Replica, ...]
    starts_empty: bool = False

    @property
    def document_name(self) -> str:
        """Name of the document that distributes this shard's newest configuration."""
        return f"{DOCUMENT_PREFIX}{self.shard}"

    @property
    def label(self) -> str:
        """Name of this configuration in the messages of a register change."""
        return epoch_label(self.shard, self.epoch, self.nonce)

    def to_wire(self) -> wire.ReplicaEpoch:
        """Return the name of this configuration in the messages of a replacement."""
        return wire.ReplicaEpoch(shard=self.shard, epoch=self.epoch, nonce=self.nonce)

    def names(self) -> list[str]:
        """Return the members that store the shard."""
        return [replica.name for replica in self.replicas]

    def majority(self) -> int:
        """Return how many replicas make a majority."""
        return len(self.replicas) // 2 + 1


class ReplicaConfiguration(BaseModel):
    """The newest known configuration of each shard."""

    model_config = ConfigDict(frozen=True, extra="forbid")

    shards: tuple[ShardConfiguration, ...] = Field(default=())

    def shard_of(self, key: str) -> ShardConfiguration | None:
        """Return the configuration that stores `key`, or None if it is unknown."""
        if not self.shards:
            return None
        number = shard_number(key, self.shards[0].shard_count)
        return next((shard for shard in self.shards if shard.shard == number), None)

    def with_shard(self, changed: ShardConfiguration) -> "ReplicaConfiguration":
        """Return a copy with one shard added or replaced, unless the given one is older."""
        by_number = {shard.shard: shard for shard in self.shards}
        known = by_number.get(changed.shard)
        if known is not None and known.epoch >= changed.epoch:
            return self
        by_number[changed.shard] = changed
        shards = tuple(by_number[number] for number in sorted(by_number))
        return ReplicaConfiguration(shards=shards)


def shard_number(key: str, shard_count: int) -> int:
    """Return the shard of a key.

    Keys under `CONTROL_PREFIX` have their own shard: their values soon become outdated, so the
    shard can be emptied early if all its replicas were lost.
    """
    if key.startswith(CONTROL_PREFIX) or shard_count == 1:
        return CONTROL_SHARD
    return 1 + score("shard", key) % (shard_count - 1)


def parse(body: bytes) -> Result[ReplicaConfiguration, str]:
    """Read all shards from the stored object's JSON; the error says what is wrong."""
    try:
        return Ok(ReplicaConfiguration.model_validate_json(body))
    except ValueError as error:
        return Err(str(error))


def parse_shard(body: bytes) -> Result[ShardConfiguration, str]:
    """Read one shard from a document's JSON; the error says what is wrong."""
    try:
        return Ok(ShardConfiguration.model_validate_json(body))
    except ValueError as error:
        return Err(str(error))
