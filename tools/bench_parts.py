"""Measures what one use of each coordination part costs, codec included, in microseconds.

Each figure is the best of several rounds of processor time, so that a busy machine shows
as little as possible; the capacity page multiplies them by rates.

Sets `MEMBERS_AT_FULL_PACE` (`coordination/shares.py`: dividing a limit among 340 holders took 15 %
of a core with rounds of a second, 1.9 % stretched). It gives the table "Costs of one use" of
docs/CAPACITY.md, the cost of a choice in docs/design/27-engine-subsets.md, and that of a tell of
use, by which a leader draws the agreed time a few times a second and not at each tell.
"""

import random
import time
from collections.abc import Callable

from pondtiller import wire
from pondtiller.coordination.agreed_clock import AgreedClock
from pondtiller.coordination.member import Member
from pondtiller.coordination.membership import Membership, MembershipSettings
from pondtiller.coordination.registers.acceptor import Acceptor
from pondtiller.coordination.registers.configuration import (
    Replica,
    ReplicaConfiguration,
    ShardConfiguration,
)
from pondtiller.coordination.registers.proposer import Proposer
from pondtiller.coordination.shares import ROUND_SECONDS, Allocator, HeldShare, HolderKey, pace
from pondtiller.hashing import rank
from pondtiller.serve.core.reports import DaemonReport
from pondtiller.serve.core.world import World
from pondtiller.serve.core.world_settings import WorldSettings
from pondtiller.serve.systems.status import build_report
from pondtiller.table.sheet import Row, RowKind, Sheet, parse
from pondtiller.usage.ledger import UseLedger
from pondtiller.usage.meter import UseRow, pack_rows, unpack_rows
from pondtiller.wire.envelope import Letter, PeerMessage, decode, encode
from pondtiller.wire.steplog import UseTaken, UseTold

ROUNDS = 5
NAMES = ("a", "b", "c", "d", "e")


def best(action: Callable[[], None], times: int) -> float:
    """Return microseconds of one call, the best of several rounds."""
    found = []
    for _ in range(ROUNDS):
        started = time.process_time()
        for _ in range(times):
            action()
        found.append((time.process_time() - started) / times * 1e6)
    return min(found)


def over_the_wire(message: PeerMessage, gossip: wire.Gossip | None = None) -> Letter:
    """Encode a message and decode it again."""
    letter = decode(encode(Letter("sender", 1, message, gossip)))
    assert letter is not None
    return letter


class Registers:
    """Five replicas and a proposer, every message encoded and decoded."""

    def __init__(self) -> None:
        replicas = tuple(Replica(name=name, storage=1) for name in NAMES)
        shard = ShardConfiguration(
            shard=0, shard_count=1, epoch=1, nonce="n", replicas=replicas, starts_empty=True
        )
        configuration = ReplicaConfiguration(shards=(shard,))
        self.acceptors = {name: Acceptor(Replica(name=name, storage=1)) for name in NAMES}
        for acceptor in self.acceptors.values():
            acceptor.adopt_configuration(configuration)
        self.proposer = Proposer("p", random.Random(1))
        self.proposer.adopt_configuration(configuration, 0.0)
        self.number = 0
        self.messages = 0

    def change(self, key: str) -> None:
        """Change one register."""
        self.proposer.start(key, lambda _current: b"x" * 200, 0.0, 9.0)
        while outputs := self.proposer.take_outputs():
            for output in outputs:
                request = over_the_wire(output.message).message
                reply = self.acceptors[output.target].receive(request, 0.0)
                self.proposer.receive(output.target, over_the_wire(reply).message, 0.0)
                self.messages += 2
        self.proposer.take_outcomes()
        for acceptor in self.acceptors.values():
            acceptor.take_changed()

    def change_new(self) -> None:
        """Change a register for the first time."""
        self.number += 1
        self.change(f"key-{self.number}")


def share_round(holders: int) -> None:
    """Let an allocator take demands of all holders, divide and grant."""
    allocator = Allocator("row", "writer", 30.0)
    for number in range(holders):
        demand = HeldShare().ask("row", 3, 1, 0.0)
        message = over_the_wire(demand).message
        assert isinstance(message, wire.ShareDemand)
        allocator.receive(HolderKey(f"member-{number}", 1), message, 0.0)
    allocator.plan(holders * 2, 0.0)
    for grant in allocator.settle(allocator.change(b""), 0.0):
        over_the_wire(grant.message)


def probe(members: int) -> Callable[[], None]:
    """Return one probe with its answer in a group at rest."""
    names = [f"member-{number}" for number in range(members)]
    group = Membership(
        Member(name="self", zone="a", incarnation=1),
        [Member(name=name, zone="a", incarnation=1) for name in names],
        MembershipSettings(),
        random.Random(1),
    )
    for name in names:
        group.updates_for(name)
    gossip = wire.Gossip(members=[], facts=b"f" * 200, view_digest=0)

    def action() -> None:
        letter = over_the_wire(wire.Ping(sequence=1), gossip)
        assert isinstance(letter.message, wire.Ping)
        group.receive(names[0], letter.message, 0.0)
        for output in group.take_outputs():
            over_the_wire(output.message, gossip)

    return action


def use_told(daemons: int) -> float:
    """Return what a leader spends on one tell of use of a tenant among so many daemons."""
    agreed, ledger = AgreedClock(), UseLedger()
    for number in range(daemons):
        agreed.heard(f"d{number}", 1000.0, 0.0)
    body = bytes(UseTold(daemon="d1", incarnation=1, rows=pack_rows([UseRow(7, "t", 3)])))
    now = 10.0

    def take() -> None:
        nonlocal now
        now += 0.5 / daemons
        message = UseTold().parse(body)
        agreed.heard(message.daemon, 1000.0 + now, now)
        rows = unpack_rows(message.rows)
        ledger.told(message.daemon, message.incarnation, message.complete_until, rows, now)
        bytes(UseTaken(epoch=3, agreed_seconds=agreed.now(now) or 0.0))

    return best(take, 300)


def main() -> None:
    """Print all figures."""
    registers = Registers()
    first = best(registers.change_new, 200)
    print(f"register, first change of a key, five replicas together: {first:.0f} us")
    registers.change("hot")
    again = best(lambda: registers.change("hot"), 200)
    print(f"register, further change by the same proposer: {again:.0f} us")
    for members in (10, 340):
        print(f"probe and answer among {members}: {best(probe(members), 500):.0f} us")
    for holders in (10, 340):
        spent = best(lambda holders=holders: share_round(holders), 5)
        share = spent / 1e6 / (ROUND_SECONDS * pace(holders))
        print(f"division of a limit among {holders} holders: {spent:.0f} us, {share:.2%} of a core")
    for rows in (10, 100, 1000):
        body = Sheet(
            rows=tuple(Row(kind=RowKind.CALLER, name=f"c{n}") for n in range(rows))
        ).model_dump_json()
        spent = best(lambda body=body: parse(body.encode()), 5)
        print(f"adopting a table of {rows} rows, {len(body)} bytes: {spent:.0f} us")
    for daemons in (30, 300, 3000):
        print(f"a tell of use to a leader of {daemons}: {use_told(daemons):.0f} us")
    world = World(WorldSettings(Member(name="d", zone="a"), ()), random.Random(1))
    for number in range(40):
        world.row_counts(f"service/row-{number}").answered = number
    size = len(encode(Letter("sender", 1, build_report(world, 0.0), None)))

    def report() -> None:
        message = over_the_wire(build_report(world, 0.0)).message
        assert isinstance(message, wire.StatusReport)
        DaemonReport.model_validate_json(message.body)

    print(f"status report of 40 rows, {size} bytes: {best(report, 20):.0f} us")
    names = [f"member-{number}" for number in range(68)]
    print(f"rendezvous rank of 68 members: {best(lambda: rank('key', names), 200):.0f} us")


if __name__ == "__main__":
    main()
