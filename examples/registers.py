"""A compare-and-swap register on three replicas, one of which is down."""

import random

from pondtiller.coordination.registers.acceptor import Acceptor
from pondtiller.coordination.registers.configuration import (
    Replica,
    ReplicaConfiguration,
    ShardConfiguration,
)
from pondtiller.coordination.registers.proposer import Proposer

replicas = tuple(Replica(name=name, storage=1) for name in ("one", "two", "three"))
shard = ShardConfiguration(
    shard=0, shard_count=1, epoch=1, nonce="first", replicas=replicas, starts_empty=True
)
configuration = ReplicaConfiguration(shards=(shard,))
acceptors = {replica.name: Acceptor(replica) for replica in replicas}
proposer = Proposer("client", random.Random(1))
proposer.adopt_configuration(configuration, 0.0)
for acceptor in acceptors.values():
    acceptor.adopt_configuration(configuration)

proposer.start("greeting", lambda current: current or b"hello", now=0.0, timeout_seconds=1.0)
while outputs := proposer.take_outputs():
    for output in outputs:
        if output.target != "three":
            reply = acceptors[output.target].receive(output.message, 0.0)
            proposer.receive(output.target, reply, 0.0)
print(proposer.take_outcomes()[0].value)
