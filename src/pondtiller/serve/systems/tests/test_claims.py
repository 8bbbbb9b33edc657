"""Claims of one daemon whose two fellow replicas answer when the test lets them."""

import random

import pytest

from pondtiller import wire
from pondtiller.coordination.member import Member
from pondtiller.coordination.registers.acceptor import Acceptor
from pondtiller.coordination.registers.configuration import (
    Replica,
    ReplicaConfiguration,
    ShardConfiguration,
)
from pondtiller.errors import ErrorKind
from pondtiller.serve.core.entities import RequestSpec
from pondtiller.serve.core.events import CallerLeft, LetterArrived, RequestArrived
from pondtiller.serve.core.instructions import FailAnswer, SendPeer, StartAttempt
from pondtiller.serve.core.world import World
from pondtiller.serve.core.world_settings import WorldSettings
from pondtiller.serve.systems.shard_documents import spread_configuration
from pondtiller.serve.systems.tick import tick
from pondtiller.table.sheet import DOCUMENT_NAME, Row, RowKind, Sheet
from pondtiller.wire.envelope import Letter

NAMES = ("one", "two", "three")
REPLICAS = tuple(Replica(name=name, storage=1) for name in NAMES)
SHARD = ShardConfiguration(
    shard=0, shard_count=1, epoch=1, nonce="n", replicas=REPLICAS, starts_empty=True
)
SHEET = Sheet(rows=(Row(kind=RowKind.SERVICE, name="s", model="m"),))


class Bench:
    def __init__(self):
        members = [Member(name=name, zone=name, incarnation=1, storage=1) for name in NAMES]
        settings = WorldSettings(members[0], tuple(members[1:]), replica_count=3)
        self.world = World(settings, random.Random(1))
        configuration = ReplicaConfiguration(shards=(SHARD,))
        self.peers = {name: Acceptor(Replica(name=name, storage=1)) for name in NAMES[1:]}
        for acceptor in self.peers.values():
            acceptor.adopt_configuration(configuration)
        spread_configuration(self.world, configuration, 0.0)
        self.world.documents.adopt(DOCUMENT_NAME, 1, SHEET.model_dump_json().encode(), 0.0)
        self.world.store.listed = True
        self.world.heard_peers.add("two")
        self.held = []
        self.answers = []
        self.now = 0.0
        self.run()
        assert self.world.ready

    def run(self, *events):
        self.now += 0.001
        self.world.inbox.extend(events)
        tick(self.world, self.now)
        for instruction in self.world.take_outbox():
            if isinstance(instruction, SendPeer):
                message = instruction.letter.message
                if isinstance(message, wire.Prepare | wire.Accept):
                    self.held.append((instruction.target, message))
            elif isinstance(instruction, FailAnswer | StartAttempt):
                self.answers.append(instruction)

    def let_answer(self):
        while self.held:
            name, message = self.held.pop(0)
            reply = self.peers[name].receive(message, self.now)
            self.run(LetterArrived(Letter(name, 1, reply, None)))

    def claim(self):
        world = self.world
        done = []
        world.outcome_handlers[world.proposer.start("once/service/s//key", bytes, 0.0, 9.0)] = (
            lambda _world, outcome, _now: done.append(wire.Claim().parse(outcome.value))
        )
        self.now += 1.0
        self.run()
        self.let_answer()
        return done[0]


def request(identifier, prompt="p"):
    return RequestArrived(
        RequestSpec(
            request_id=identifier,
            row="service/s",
            caller="",
            model="m",
            prompt=prompt,
            maximum_tokens=4,
            stream=False,
            once=True,
            idempotency_key="key",
            fingerprint=prompt,
        )
    )


@pytest.mark.parametrize("leaves_early", [True, False])
def test_claim_of_a_caller_that_left_is_released_whenever_it_is_committed(leaves_early):
    bench = Bench()
    bench.run(request("r1"))
    if not leaves_early:
        bench.let_answer()
    bench.run(CallerLeft("r1"))
    bench.let_answer()
    for _ in range(20):
        bench.now += 0.1
        bench.run()
        bench.let_answer()
    assert bench.claim().state is wire.ClaimState.CLAIM_RELEASED
    assert not any(isinstance(each, StartAttempt) for each in bench.answers)


def test_key_of_another_request_is_refused_and_leaves_the_claim_alone():
    bench = Bench()
    bench.run(request("r1"))
    bench.let_answer()
    bench.run(request("r2", prompt="other"))
    bench.let_answer()
    (refused,) = bench.answers
    assert (refused.request_id, refused.failure.kind) == ("r2", ErrorKind.KEY_REUSED)
    assert bench.claim().request_id == "r1"


def test_claim_without_a_majority_in_sight_is_refused_at_once():
    bench = Bench()
    for name in NAMES[1:]:
        restarted = Member(name=name, zone=name, incarnation=2, storage=2)
        bench.world.membership.receive_updates("two", [restarted.encode()], 0.0)
    bench.run(request("r1"))
    (refused,) = bench.answers
    assert refused.failure.kind is ErrorKind.CLAIMS_UNAVAILABLE
    assert not refused.reached_engine
