"""One replica: promises, leases, and what a deposed leader may do."""

from itertools import pairwise

from pondtiller.steplog.entry import Entry, pack_entries
from pondtiller.steplog.group import group_key
from pondtiller.steplog.replica import LEASE_SECONDS, Replica
from pondtiller.wire.steplog import Append, DiskRecord, Group, GroupMember, Prepare, Resign

ME = GroupMember(name="r", disk="d", zone="z", host="h", port=1)
GROUP = Group(generation=1, members=[ME])


def replica(may_form: bool = True) -> Replica:
    return Replica(ME, may_form, started_at=0.0)


def prepare(epoch: int, leader: str = "a", group: Group = GROUP) -> Prepare:
    return Prepare(epoch=epoch, leader=leader, first_group=group)


def test_a_lease_excludes_others_until_it_ends_or_is_released() -> None:
    one = replica()
    assert one.prepare(prepare(1), 5.0).message.granted
    refusal = one.prepare(prepare(2, "b"), 5.1).message
    assert not refusal.granted
    assert abs(refusal.wait_milliseconds - 1000 * (LEASE_SECONDS - 0.1)) <= 1
    assert one.prepare(prepare(2, "b"), 5.1 + LEASE_SECONDS).message.granted
    one.resign(Resign(epoch=2))
    assert one.prepare(prepare(3, "c"), 5.2 + LEASE_SECONDS).message.granted


def test_a_deposed_leader_is_refused_with_a_reason() -> None:
    one = replica()
    one.prepare(prepare(1), 5.0)
    one.prepare(prepare(2, "b"), 9.0)
    late = one.append(
        Append(epoch=1, puts=pack_entries([Entry(key="k", epoch=1, value=b"v")])), 9.1
    )
    assert (late.message.accepted, late.message.epoch, late.record) == (False, 2, None)
    assert "k" not in one.entries


def test_a_replica_that_starts_again_waits_for_a_lease_that_it_may_have_granted() -> None:
    one = replica()
    reply = one.prepare(prepare(5), 5.0)
    assert reply.record is not None
    again = Replica(ME, may_form=True, started_at=6.0)
    again.restore(reply.record)
    assert not again.prepare(prepare(6, "b"), 6.1).message.granted
    assert again.prepare(prepare(5), 6.1).message.granted
    other = Replica(ME, may_form=True, started_at=6.0)
    other.restore(reply.record)
    assert other.prepare(prepare(6, "b"), 6.1 + LEASE_SECONDS).message.granted


def test_a_replica_that_starts_again_grants_the_daemon_that_it_followed_at_once() -> None:
    """Guards against terms that, after a power loss, wait for a lease that nobody can hold."""
    one = replica()
    reply = one.prepare(prepare(5), 5.0)
    assert reply.record is not None
    again = Replica(ME, may_form=True, started_at=6.0)
    again.restore(reply.record)
    assert not again.prepare(prepare(6, "b"), 6.1).message.granted
    assert again.prepare(prepare(7, "a"), 6.1).message.granted


def test_a_replica_whose_file_names_no_daemon_waits_for_all() -> None:
    again = Replica(ME, may_form=True, started_at=6.0)
    again.restore(DiskRecord(promised=5))
    assert not again.prepare(prepare(6, "a"), 6.1).message.granted


def test_a_first_group_is_taken_once_and_only_by_its_members_at_the_first_start() -> None:
    one = replica()
    one.prepare(prepare(1), 5.0)
    assert [group.generation for group in one.groups] == [1]
    later = Group(generation=1, members=[ME, ME])
    one.prepare(prepare(2, "a", later), 9.0)
    assert len(one.groups[0].members) == 1
    stranger = replica()
    other = GroupMember(name="x", disk="y")
    stranger.prepare(prepare(1, "a", Group(generation=1, members=[other])), 5.0)
    assert stranger.groups == []
    wiped = replica(may_form=False)
    wiped.prepare(prepare(1), 5.0)
    assert wiped.groups == [] and not wiped.view(5.0).may_form


def test_the_view_names_a_leader_only_while_its_lease_lasts() -> None:
    one = replica()
    one.prepare(prepare(1), 5.0)
    assert one.view(5.1).leader == "a"
    assert one.view(5.1 + LEASE_SECONDS).leader == ""
    assert group_key(1) in one.entries


def test_the_view_fingerprint_changes_with_the_view_and_not_otherwise() -> None:
    """A view is built and sent only when this differs, so it must cover the whole view."""
    one = replica()
    known = [(one.view_state(4.9), one.view(4.9))]
    one.prepare(prepare(1), 5.0)
    known.append((one.view_state(5.1), one.view(5.1)))
    claim = Entry(key="holder/00000000000000000001", epoch=1, value=b"a")
    for puts in ([Entry(key="k", epoch=1, value=b"v")], [claim], []):
        one.append(Append(epoch=1, puts=pack_entries(puts)), 5.2)
        known.append((one.view_state(5.2), one.view(5.2)))
    known.append((one.view_state(9.0), one.view(9.0)))
    one.prepare(prepare(2, "b"), 9.0)
    known.append((one.view_state(9.1), one.view(9.1)))
    for (state, view), (next_state, next_view) in pairwise(known):
        assert (state == next_state) == (view == next_view)
