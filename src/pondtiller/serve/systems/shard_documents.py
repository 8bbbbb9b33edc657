"""Configurations of register shards as documents that spread by gossip.

A shard's document is its newest configuration by epoch; the documents keep the newest, so an older
one that arrives late changes nothing. Who decides a new one: `replica_repair`.
"""

from result import Err, Ok

from pondtiller.coordination.documents import Document
from pondtiller.coordination.registers.configuration import ReplicaConfiguration, parse_shard
from pondtiller.serve.core.world import World


def adopt_shard(world: World, document: Document, now: float) -> None:
    """Put a shard's newest configuration in force."""
    match parse_shard(document.body):
        case Ok(shard):
            configuration = world.proposer.configuration.with_shard(shard)
            world.acceptor.adopt_configuration(configuration)
            world.proposer.adopt_configuration(configuration, now)
            world.reconfigurer.note_configuration(configuration)
            world.log("replicas_in_force", shard=shard.shard, epoch=shard.epoch)
        case Err(problem):
            world.log("document_invalid", document=document.name, problem=problem)


def spread_configuration(world: World, configuration: ReplicaConfiguration, now: float) -> None:
    """Offer each shard's configuration to this daemon's documents, which keep the newest."""
    for shard in configuration.shards:
        body = shard.model_dump_json().encode()
        world.documents.adopt(shard.document_name, shard.epoch, body, now)
