"""Which replicas hold which shard: a chain of configurations, one link an epoch."""

from pydantic import BaseModel, ConfigDict, Field
from result import Err, Ok, Result

from pondtiller import wire
from pondtiller.hashing import score

DOCUMENT_NAME = "replicas"
REPLICAS_A_SHARD = 3


class Replica(BaseModel):
    """One replica: a member together with the storage that makes it trustworthy."""

    model_config = ConfigDict(frozen=True, extra="forbid")

    name: str
    storage: int


class ShardConfiguration(BaseModel):
    """The replicas of one shard in one epoch."""

    model_config = ConfigDict(frozen=True, extra="forbid")

    shard: int
    epoch: int
    nonce: str
    replicas: tuple[Replica, ...]

    def to_wire(self) -> wire.ReplicaEpoch:
        """Return what register messages carry to name this configuration."""
        return wire.ReplicaEpoch(shard=self.shard, epoch=self.epoch, nonce=self.nonce)

    def names(self) -> list[str]:
        """Return the members that hold the shard."""
        return [replica.name for replica in self.replicas]

    def majority(self) -> int:
        """Return how many replicas make a majority."""
        return len(self.replicas) // 2 + 1


class ReplicaConfiguration(BaseModel):
    """All shards, as the object service holds them."""

    model_config = ConfigDict(frozen=True, extra="forbid")

    shards: tuple[ShardConfiguration, ...] = Field(default=())

    def shard_of(self, key: str) -> ShardConfiguration | None:
        """Return the configuration that holds `key`, or None where there is none yet."""
        if not self.shards:
            return None
        return self.shards[score("shard", key) % len(self.shards)]

    def with_shard(self, changed: ShardConfiguration) -> "ReplicaConfiguration":
        """Return a copy in which one shard is replaced."""
        shards = tuple(changed if shard.shard == changed.shard else shard for shard in self.shards)
        return ReplicaConfiguration(shards=shards)


def parse(body: bytes) -> Result[ReplicaConfiguration, str]:
    """Read a configuration from the document's JSON; the error says what is wrong."""
    try:
        return Ok(ReplicaConfiguration.model_validate_json(body))
    except ValueError as error:
        return Err(str(error))
