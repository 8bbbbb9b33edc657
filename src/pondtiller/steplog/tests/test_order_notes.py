"""Permission to order an engine: never for two daemons within a lease, whatever happens."""

import pytest

from pondtiller.steplog.entry import Entry, pack_entries
from pondtiller.steplog.instructions import ElectionWon
from pondtiller.steplog.order_notes import ORDER_PREFIX, LastOrder, OrderNote, last_orders
from pondtiller.steplog.replica import Replica
from pondtiller.steplog.tests.cluster import Cluster, Daemon
from pondtiller.wire.steplog import Append, GroupMember, Prepare

LEASE_SECONDS = 3.0
LATEST_ARRIVAL_SECONDS = 1.2
"""Longest time from a note to the arrival of its order; the orders here take a random part of
it."""
NOTE_SECONDS = 0.5
ENGINE = "10.0.0.1:80"


class Orders:
    """Daemons that order one engine as often as they may, and the engine's own record.

    Parameters
    ----------
    respects_notes
        Whether a new leader waits for the last order of another; if not, the check must fail.
    """

    def __init__(self, cluster: Cluster, respects_notes: bool = True) -> None:
        self.cluster = cluster
        self.respects_notes = respects_notes
        self.waits: dict[str, float] = {}
        self.under_way: dict[str, tuple[str, float]] = {}
        self.arrived: list[tuple[float, str]] = []
        self.lead, cluster._lead = cluster._lead, self._lead  # type: ignore[method-assign]
        self.won, cluster._check_won = cluster._check_won, self._won  # type: ignore[method-assign]
        self.note, cluster._note_committed = cluster._note_committed, self._noted  # type: ignore[method-assign]

    def _won(self, daemon: Daemon, won: ElectionWon) -> None:
        self.won(daemon, won)
        last = won.last_orders.get(ENGINE)
        is_other = last is not None and last.gateway != daemon.name
        pause = LEASE_SECONDS + LATEST_ARRIVAL_SECONDS
        self.waits[daemon.name] = last.at + pause if last is not None and is_other else 0.0

    def _lead(self, daemon: Daemon) -> None:
        now = self.cluster.now
        is_free = not self.respects_notes or now >= self.waits.get(daemon.name, 0.0)
        if is_free and self.cluster.random.random() < 0.3:
            key = daemon.log.note_order(ENGINE)
            self.under_way[key] = (daemon.name, now)
        self.lead(daemon)

    def _noted(self, daemon: Daemon, key: str) -> None:
        if not key.startswith(ORDER_PREFIX):
            self.note(daemon, key)
            return
        daemon.log.drop_older_notes(key)
        name, began = self.under_way.pop(key)
        now = self.cluster.now
        if now < began + NOTE_SECONDS and daemon.log.holds_lease(now):
            seconds = self.cluster.random.random() * (LATEST_ARRIVAL_SECONDS - NOTE_SECONDS)
            self.arrived.append((now + seconds, name))

    def check(self) -> None:
        """Raise if two daemons' orders arrived within a lease of each other."""
        self.arrived.sort()
        for (at, name), (next_at, next_name) in zip(self.arrived, self.arrived[1:], strict=False):
            assert name == next_name or next_at - at >= LEASE_SECONDS, (
                at,
                name,
                next_at,
                next_name,
            )


def play(seed: int, respects_notes: bool = True) -> Orders:
    """Play 60 s in which replicas and leaders lose power, links, or are paused."""
    cluster = Cluster(seed)
    orders = Orders(cluster, respects_notes)
    for _ in range(20):
        cluster.run(1.0 + cluster.random.random() * 4.0)
        leading = [n for n, each in enumerate(cluster.daemons) if each.log.is_leading]
        name = cluster.random.choice(list(cluster.nodes))
        match cluster.random.randrange(5):
            case 0:
                cluster.power_off(name, cluster.random.random())
            case 1:
                for each in list(cluster.nodes):
                    cluster.power_off(each, 0.3)
            case 2:
                cluster.break_links(name)
            case _:
                for number in leading:
                    cluster.freeze_daemon(number, 1.0 + 3.0 * cluster.random.random())
    orders.check()
    return orders


@pytest.mark.parametrize("seed", range(12))
def test_two_daemons_never_order_an_engine_within_a_lease(seed: int) -> None:
    orders = play(seed)
    assert len(orders.arrived) > 20


def test_daemons_do_take_turns_and_the_check_sees_it_without_the_notes() -> None:
    with pytest.raises(AssertionError):
        for seed in range(12):
            play(seed, respects_notes=False)
    names = {name for seed in range(4) for _, name in play(seed).arrived}
    assert len(names) > 1


def test_a_replica_measures_how_long_it_has_held_a_note() -> None:
    replica = Replica(GroupMember(name="r", disk="d"), may_form=False, started_at=0.0)
    replica.prepare(Prepare(epoch=5, leader="a"), 10.0)
    note = OrderNote(5, 1, ENGINE, "a")
    written = replica.append(
        Append(epoch=5, puts=pack_entries([Entry(key=note.key, epoch=5)])), 11.0
    )
    replica.append(Append(epoch=5, puts=pack_entries([Entry(key=note.key, epoch=6)])), 12.0)
    promise = replica.prepare(Prepare(epoch=7, leader="b"), 15.0).message
    assert [(each.key, each.milliseconds) for each in promise.orders] == [(note.key, 4000)]
    again = Replica(GroupMember(name="r", disk="d"), may_form=False, started_at=20.0)
    assert written.record is not None
    again.restore(written.record)
    promise = again.prepare(Prepare(epoch=8, leader="b"), 20.5).message
    assert [each.milliseconds for each in promise.orders] == [500]


def test_the_last_note_of_an_engine_counts_with_its_youngest_copy() -> None:
    first, second = OrderNote(5, 9, ENGINE, "a"), OrderNote(6, 1, ENGINE, "b")
    noted_at = {first.key: 9.0, second.key: 4.0}
    found = last_orders(noted_at, [second.key, first.key], latest=11.0)
    assert found == {ENGINE: LastOrder("b", 4.0)}
    assert last_orders({}, [first.key], latest=11.0) == {ENGINE: LastOrder("a", 11.0)}
