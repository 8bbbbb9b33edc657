import random

from pondtiller import wire
from pondtiller.coordination.registers.acceptor import Acceptor, merge
from pondtiller.coordination.registers.configuration import (
    SUCCESSOR_KEY,
    Replica,
    ReplicaConfiguration,
    parse_shard,
)
from pondtiller.coordination.registers.proposer import Proposer
from pondtiller.coordination.registers.reconfigurer import Candidate, Reconfigurer
from pondtiller.coordination.registers.tests.test_registers import first_configuration

CANDIDATES = [Candidate(name, f"zone-{name}", 1) for name in ("b", "c", "d")]


class Shards:
    """Acceptors of four members, in a configuration on three of them."""

    def __init__(self):
        self.configuration = first_configuration()
        self.proposer = Proposer("p", random.Random(1))
        self.acceptors = {name: Acceptor(Replica(name=name, storage=1)) for name in "abcd"}
        for acceptor in self.acceptors.values():
            acceptor.adopt_configuration(self.configuration)

    def change(self, change, configuration=None, key="key", without=(), fixed=None):
        proposer = self.proposer
        proposer.adopt_configuration(configuration or self.configuration, 0.0)
        proposer.start(key, change, 0.0, 1.0, fixed)
        while outputs := proposer.take_outputs():
            for output in outputs:
                if output.target not in without:
                    reply = self.acceptors[output.target].receive(output.message, 0.0)
                    proposer.receive(output.target, reply, 0.0)
        proposer.run(5.0)
        return proposer.take_outcomes()[0].value

    def replace(self, name, lost):
        reconfigurer = Reconfigurer(name, 1, 3, random.Random(name))
        reconfigurer.repair(self.configuration, CANDIDATES, set(), set(), 0.0)
        while outputs := reconfigurer.take_outputs():
            for output in outputs:
                if output.target != lost:
                    reply = self.acceptors[output.target].receive(output.message, 0.0)
                    if isinstance(reply, wire.Sealed | wire.Installed):
                        reconfigurer.receive(output.target, reply, 0.0)
        (proposal,) = reconfigurer.take_proposals()
        return proposal

    def decide(self, proposal, lost):
        wanted = proposal.new.model_dump_json().encode()
        value = self.change(
            lambda current: current or wanted,
            key=SUCCESSOR_KEY,
            without=(lost,),
            fixed=proposal.old,
        )
        return ReplicaConfiguration(shards=(parse_shard(value).unwrap(),))


def test_committed_value_survives_the_replacement_of_a_replica():
    shards = Shards()
    shards.change(lambda current: b"kept", without=("a",))
    successor = shards.decide(shards.replace("r", "a"), "a")
    for acceptor in shards.acceptors.values():
        acceptor.adopt_configuration(successor)
    assert shards.change(lambda current: current, successor, without=("b",)) == b"kept"


def test_sealed_configuration_commits_nothing_more():
    shards = Shards()
    shards.replace("r", "a")
    assert shards.change(lambda current: b"late") == b""


def test_two_reconfigurers_agree_on_one_successor():
    shards = Shards()
    first, second = shards.replace("r1", "a"), shards.replace("r2", "a")
    decided = [shards.decide(proposal, "a") for proposal in (first, second)]
    assert decided[0] == decided[1]
    assert decided[0].shards[0].nonce == first.new.nonce


def test_state_for_a_later_epoch_survives_an_earlier_configuration():
    """Found by `simulate crash`: re-reading an old configuration dropped pending state."""
    acceptor = Acceptor(Replica(name="d", storage=1))
    shard = first_configuration(("b", "c", "d")).shards[0]
    second = shard.model_copy(update={"epoch": 2, "nonce": "next", "starts_empty": False})
    ballot = wire.Ballot(counter=1, proposer="p")
    record = wire.RegisterRecord(key="k", promised=ballot, accepted=ballot, value=b"v")
    acceptor.receive(wire.Install(epoch=second.to_wire(), records=[record]), 0.0)
    acceptor.adopt_configuration(first_configuration())
    acceptor.adopt_configuration(ReplicaConfiguration(shards=(second,)))
    prepare = wire.Prepare(configuration=second.label, key="k", counter=2)
    assert acceptor.receive(prepare, 0.0).value == b"v"


def test_merge_takes_the_highest_accepted_ballot_of_each_key():
    def record(counter, value):
        ballot = wire.Ballot(counter=counter, proposer="p")
        return wire.RegisterRecord(key="k", promised=ballot, accepted=ballot, value=value)

    (merged,) = merge([[record(1, b"old")], [record(3, b"new")], [record(2, b"mid")]])
    assert (merged.value, merged.promised.counter) == (b"new", 3)
