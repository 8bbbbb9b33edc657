"""Which replicas a daemon keeps a link to."""

from pondtiller.core.entities import Address
from pondtiller.daemon import clock
from pondtiller.gateway.replicas import LONELY_SECONDS, ReplicaDirectory, ReplicaLink
from pondtiller.wire.steplog import Group, GroupMember


async def nothing(*_: object) -> None:
    """Take what the directory tells."""


def directory(replicas: int) -> ReplicaDirectory:
    made = ReplicaDirectory("d", nothing, nothing, nothing)
    now = clock.monotonic()
    for number in range(replicas):
        address = Address("10.0.0.1", number)
        made.places[address] = ReplicaLink(address, number, heard_at=now)
    return made


def needed(made: ReplicaDirectory) -> list[int]:
    return [place.address.port for place in made.places.values() if made.is_needed(place)]


def test_only_members_are_followed_once_the_group_is_known() -> None:
    made = directory(6)
    assert needed(made) == [0, 1, 2, 3, 4, 5]
    members = [GroupMember(name=f"r{port}", host="10.0.0.1", port=port) for port in (1, 4)]
    made.group = Group(generation=3, members=members)
    assert needed(made) == [1, 4]


def test_a_leader_and_a_daemon_that_hears_nobody_follow_all() -> None:
    made = directory(3)
    made.group = Group(generation=1, members=[GroupMember(host="10.0.0.1", port=1)])
    made.keeps_all = True
    assert needed(made) == [0, 1, 2]
    made.keeps_all = False
    for place in made.places.values():
        place.heard_at -= LONELY_SECONDS + 0.1
    assert needed(made) == [0, 1, 2]
