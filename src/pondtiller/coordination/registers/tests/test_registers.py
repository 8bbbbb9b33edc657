"""Registers under lost, duplicated and reordered messages, and in every order for small cases."""

import random
from itertools import count, pairwise

from hypothesis import given, settings
from hypothesis import strategies as st

from pondtiller import wire
from pondtiller.coordination.outbound import Outbound
from pondtiller.coordination.registers.acceptor import Acceptor
from pondtiller.coordination.registers.configuration import (
    Replica,
    ReplicaConfiguration,
    ShardConfiguration,
)
from pondtiller.coordination.registers.proposer import OutcomeStatus, Proposer

NAMES = ("a", "b", "c")


def first_configuration(names=NAMES):
    replicas = tuple(Replica(name=name, storage=1) for name in names)
    shard = ShardConfiguration(
        shard=0, shard_count=1, epoch=1, nonce="first", replicas=replicas, starts_empty=True
    )
    return ReplicaConfiguration(shards=(shard,))


def add_unless_there(token):
    """Return a change that appends a token once; applying it again changes nothing."""

    def change(current):
        tokens = current.split()
        return current if token in tokens else b" ".join([*tokens, token])

    return change


class Bench:
    """Replicas and proposers joined by a list of messages in flight."""

    def __init__(self, proposers=2):
        self.configuration = first_configuration()
        self.acceptors = {name: Acceptor(Replica(name=name, storage=1)) for name in NAMES}
        self.proposers = {f"p{n}": Proposer(f"p{n}", random.Random(n)) for n in range(proposers)}
        self.flight = []
        for acceptor in self.acceptors.values():
            acceptor.adopt_configuration(self.configuration)
        for proposer in self.proposers.values():
            proposer.adopt_configuration(self.configuration, 0.0)

    def collect(self):
        for name, proposer in self.proposers.items():
            self.flight.extend((name, output) for output in proposer.take_outputs())

    def deliver(self, position, now):
        sender, output = self.flight[position]
        if output.target in self.acceptors:
            reply = self.acceptors[output.target].receive(output.message, now)
            self.flight.append((output.target, Outbound(sender, reply)))
        else:
            self.proposers[output.target].receive(sender, output.message, now)
        self.collect()


@settings(derandomize=True, max_examples=80, deadline=None)
@given(st.integers(0, 2**32))
def test_committed_values_form_one_growing_history(seed):
    source, bench, clock, tokens = random.Random(seed), Bench(3), 0.0, count()
    history = []
    for _ in range(400):
        clock += 0.01
        for proposer in bench.proposers.values():
            if source.random() < 0.05:
                token = b"t%d" % next(tokens)
                proposer.start("key", add_unless_there(token), clock, 2.0)
            proposer.run(clock)
        bench.collect()
        for _ in range(3):
            if not bench.flight:
                break
            position = source.randrange(len(bench.flight))
            fate = source.random()
            if fate > 0.1:
                bench.deliver(position, clock)
            if fate < 0.85:
                del bench.flight[position]
        for proposer in bench.proposers.values():
            for outcome in proposer.take_outcomes():
                if outcome.status is OutcomeStatus.COMMITTED:
                    history.append(outcome.value.split())
    for earlier, later in pairwise(history):
        short, long = sorted((earlier, later), key=len)
        assert long[: len(short)] == short


def explore(bench_steps, steps_left, seen_values):
    """Deliver the messages in flight in every order, to a bounded depth."""
    bench = replay(bench_steps)
    outcomes = [
        outcome.value
        for proposer in bench.proposers.values()
        for outcome in proposer.take_outcomes()
        if outcome.status is OutcomeStatus.COMMITTED
    ]
    if len(outcomes) == 2:
        seen_values.add(tuple(sorted(outcomes)))
    if steps_left == 0:
        return 1
    kinds = {}
    for position, (sender, output) in enumerate(bench.flight):
        kinds.setdefault((sender, output.target), position)
    return 1 + sum(
        explore([*bench_steps, position], steps_left - 1, seen_values)
        for position in kinds.values()
    )


def replay(positions):
    bench = Bench(2)
    bench.proposers["p0"].start("key", lambda current: current or b"x", 0.0, 9.0)
    bench.proposers["p1"].start("key", lambda current: current or b"y", 0.0, 9.0)
    bench.collect()
    for position in positions:
        bench.deliver(position, 0.0)
        del bench.flight[position]
    return bench


def test_two_proposers_agree_in_every_short_order_of_delivery():
    values = set()
    visited = explore([], 4, values)
    assert visited > 500
    assert all(first == second for first, second in values)


def test_a_majority_suffices_and_a_minority_does_not():
    for lost, status in ((1, OutcomeStatus.COMMITTED), (2, OutcomeStatus.UNAVAILABLE)):
        bench = Bench(1)
        for name in NAMES[:lost]:
            bench.acceptors[name] = Acceptor(Replica(name=name, storage=99))
        bench.proposers["p0"].start("key", lambda current: b"v", 0.0, 1.0)
        for tick in range(30):
            bench.proposers["p0"].run(tick * 0.1)
            bench.collect()
            while bench.flight:
                bench.deliver(0, tick * 0.1)
                del bench.flight[0]
        (outcome,) = bench.proposers["p0"].take_outcomes()
        assert outcome.status is status


def test_restarted_replica_without_memory_has_no_vote():
    amnesiac = Acceptor(Replica(name="a", storage=2))
    amnesiac.adopt_configuration(first_configuration())
    label = first_configuration().shards[0].label
    reply = amnesiac.receive(wire.Prepare(configuration=label, key="k", counter=1), 0.0)
    assert isinstance(reply, wire.Reject)
    assert reply.reason is wire.RejectReason.NOT_ACTIVE


def count_messages(bench):
    """Run until nothing is in flight and return the number of messages."""
    bench.collect()
    delivered = 0
    while bench.flight:
        bench.deliver(0, 0.0)
        del bench.flight[0]
        delivered += 1
    return delivered


def test_second_change_by_the_same_proposer_needs_one_round_trip():
    bench = Bench(2)
    first, second = bench.proposers["p0"], bench.proposers["p1"]
    first.start("key", add_unless_there(b"1"), 0.0, 9.0)
    assert count_messages(bench) == 12
    first.start("key", add_unless_there(b"2"), 0.0, 9.0)
    assert count_messages(bench) == 6
    assert [each.value for each in first.take_outcomes()] == [b"1", b"1 2"]
    second.start("key", add_unless_there(b"3"), 0.0, 9.0)
    for tick in range(20):
        second.run(tick * 0.1)
        count_messages(bench)
    assert second.take_outcomes()[0].value == b"1 2 3"
    first.start("key", add_unless_there(b"4"), 2.0, 9.0)
    for tick in range(20):
        first.run(2.0 + tick * 0.1)
        count_messages(bench)
    assert first.take_outcomes()[0].value == b"1 2 3 4"
