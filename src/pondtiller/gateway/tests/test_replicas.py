"""Replicas to which a daemon keeps a link."""

import time
from typing import Any

import curio
import pytest

from pondtiller.address import Address
from pondtiller.links.link import LinkLostError
from pondtiller.peers import replicas
from pondtiller.peers.replicas import (
    DISCONNECTED_SECONDS,
    STALE_VIEW_SECONDS,
    ReplicaDirectory,
    ReplicaLink,
)
from pondtiller.process import clock
from pondtiller.wire.steplog import Group, GroupMember, ReplicaView


async def nothing(*_: object) -> None:
    """Ignore what the directory reports."""


def directory(replicas: int) -> ReplicaDirectory:
    made = ReplicaDirectory("d", nothing, nothing, nothing)
    now = clock.monotonic()
    for number in range(replicas):
        address = Address("10.0.0.1", number)
        made.replicas[address] = ReplicaLink(address, number, last_message_at=now)
    return made


def needed(made: ReplicaDirectory) -> list[int]:
    return [replica.address.port for replica in made.replicas.values() if made.is_needed(replica)]


def test_only_members_are_followed_once_the_group_is_known() -> None:
    made = directory(6)
    assert needed(made) == [0, 1, 2, 3, 4, 5]
    members = [GroupMember(name=f"r{port}", host="10.0.0.1", port=port) for port in (1, 4)]
    made.group = Group(generation=3, members=members)
    assert needed(made) == [1, 4]


def test_a_leader_and_a_daemon_without_contact_follow_all() -> None:
    made = directory(3)
    made.group = Group(generation=1, members=[GroupMember(host="10.0.0.1", port=1)])
    made.keeps_all = True
    assert needed(made) == [0, 1, 2]
    made.keeps_all = False
    for replica in made.replicas.values():
        replica.last_message_at -= DISCONNECTED_SECONDS + 0.1
    assert needed(made) == [0, 1, 2]


def test_an_unresponsive_replica_names_no_leader() -> None:
    made = directory(2)
    silent, heard = made.replicas.values()
    for replica in (silent, heard):
        replica.link = object()  # type: ignore[assignment]
    silent.view = ReplicaView(leader="g0", leader_host="10.0.0.9", leader_port=9, epoch=5)
    heard.view = ReplicaView(epoch=5)
    leader = made.leader()
    assert leader is not None and leader.name == "g0"
    assert made.disagree()
    silent.last_message_at -= STALE_VIEW_SECONDS + 0.1
    assert made.leader() is None
    heard.view = silent.view
    assert made.leader() == leader
    assert not made.disagree()


class LateReplica:
    """A replica that starts only after a while; links to it may end at once."""

    def __init__(self, seconds: float, link_seconds: float) -> None:
        self.there_at = clock.monotonic() + seconds
        self.link_seconds = link_seconds
        self.tries: list[float] = []
        self.used: list[float] = []

    async def connect(self, _address: Address) -> object:
        self.tries.append(clock.monotonic())
        if clock.monotonic() < self.there_at:
            raise LinkLostError("refused")
        return object()

    async def use(self, _directory: object, _place: ReplicaLink, _link: object) -> None:
        self.used.append(clock.monotonic())
        await curio.sleep(self.link_seconds)


def follow(
    monkeypatch: pytest.MonkeyPatch, seconds: float, link_seconds: float, watched: float
) -> LateReplica:
    async def main() -> LateReplica:
        late = LateReplica(seconds, link_seconds)
        monkeypatch.setattr(replicas, "connect", late.connect)
        monkeypatch.setattr(ReplicaDirectory, "_use", lambda *given: late.use(*given))
        made = ReplicaDirectory("d", nothing, nothing, nothing)
        await made.add(Address("10.0.0.1", 1))
        await curio.sleep(watched)
        await made.close()
        return late

    return curio.run(main)


class NotedLink:
    """Records when it is dropped."""

    def __init__(self) -> None:
        self.dropped_at = float("inf")

    async def drop(self) -> None:
        self.dropped_at = clock.monotonic()


def test_a_pause_of_this_process_is_no_silence_of_its_replicas() -> None:
    async def main() -> None:
        replica = ReplicaLink(Address("10.0.0.1", 1), 1, last_message_at=clock.monotonic())
        link: Any = NotedLink()
        await curio.spawn(directory(1)._drop_silent, replica, link, daemon=True)
        await curio.sleep(0.1)
        time.sleep(replicas.SILENT_SECONDS + 0.5)
        await curio.sleep(0.1)
        replica.note_data()
        last_message_at = clock.monotonic()
        await curio.sleep(replicas.SILENT_SECONDS - 0.2)
        assert link.dropped_at == float("inf")
        await curio.sleep(replicas.SILENT_SECONDS / replicas.SILENT_LOOKS + 0.5)
        assert link.dropped_at - last_message_at >= replicas.SILENT_SECONDS

    curio.run(main)


@pytest.mark.parametrize("is_on", [True, False])
def test_replicas_that_start_after_a_gateway_are_found_soon(
    is_on: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """After a power loss no leader exists before; with constant pauses it takes longer."""
    if not is_on:
        monkeypatch.setattr(replicas, "FIRST_RETRY_SECONDS", replicas.RETRY_SECONDS)
    late = follow(monkeypatch, seconds=0.1, link_seconds=1000.0, watched=0.7)
    found_after = late.used[0] - late.there_at
    assert found_after < 0.2 if is_on else found_after > 0.2


def test_a_replica_that_closes_each_link_at_once_is_retried_rarely(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    late = follow(monkeypatch, seconds=0.0, link_seconds=0.0, watched=2.0)
    assert len(late.tries) <= 8
