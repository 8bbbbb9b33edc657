"""The permission to order engines: the last claim is found by the next leader."""

from pondtiller.steplog.entry import Entry
from pondtiller.steplog.holder import holder_key, holder_of
from pondtiller.steplog.instructions import ElectionWon
from pondtiller.steplog.tests.cluster import Cluster, Daemon


def leading(cluster: Cluster) -> Daemon:
    (daemon,) = [each for each in cluster.daemons if each.log.holds_lease(cluster.now)]
    return daemon


def test_the_claim_of_the_highest_epoch_counts() -> None:
    claims = [Entry(key=holder_key(epoch), value=name) for epoch, name in ((9, b"b"), (10, b"c"))]
    assert holder_of(reversed(claims)) == "c"
    assert holder_of([Entry(key="step/x", value=b"d")]) == ""


def test_a_successor_reads_the_last_claim_from_the_replicas() -> None:
    cluster = Cluster(5)
    won: list[ElectionWon] = []
    check = cluster._check_won

    def note(daemon: Daemon, each: ElectionWon) -> None:
        won.append(each)
        check(daemon, each)

    cluster._check_won = note  # type: ignore[method-assign]
    cluster.run(3.0)
    first = leading(cluster)
    key = first.log.claim_orders()
    cluster.run(0.5)
    assert key in cluster.committed
    number = cluster.daemons.index(first)
    cluster.freeze_daemon(number, 6.0)
    cluster.run(5.0)
    assert [each.order_holder for each in won] == ["", first.name]
    second = leading(cluster)
    assert second is not first
    newer = second.log.claim_orders()
    cluster.run(0.5)
    second.log.drop_older_claims(newer)
    cluster.run(0.5)
    for node in cluster.nodes.values():
        assert node.replica is not None
        assert node.replica.view(cluster.now).order_holder == second.name
        assert [each for each in node.replica.entries if each.startswith("holder/")] == [newer]
