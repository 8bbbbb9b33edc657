"""Programs tell others the address at which they can be reached, not the one they listen on."""

from pathlib import Path

import pytest

from pondtiller.address import Address
from pondtiller.gateway.process import GatewayProcess
from pondtiller.replica.process import ReplicaProcess
from pondtiller.settings import GatewaySettings, ReplicaSettings

ANY = "127.0.0.1:0"
STORE = "127.0.0.1:9"


def gateway(announced: str) -> GatewayProcess:
    return GatewayProcess(
        GatewaySettings(
            name="g",
            zone="z",
            callers=ANY,
            readiness=ANY,
            links=ANY,
            announced_links=announced,
            store=STORE,
        )
    )


def replica(folder: Path, announced: str) -> ReplicaProcess:
    return ReplicaProcess(
        ReplicaSettings(
            name="r",
            zone="z",
            links=ANY,
            announced_links=announced,
            store=STORE,
            data_folder=folder,
            first_start=True,
        )
    )


def test_an_announced_address_is_sent(tmp_path: Path) -> None:
    told = gateway("10.1.2.3:4567")._subscription()
    assert (told.host, told.port) == ("10.1.2.3", 4567)
    member = replica(tmp_path, "10.1.2.3:4567").replica.member
    assert (member.host, member.port) == ("10.1.2.3", 4567)


def test_the_bound_address_is_sent_if_none_is_announced(tmp_path: Path) -> None:
    process = gateway("")
    told = process._subscription()
    assert process.sockets.address(process.sockets.links) == Address(told.host, told.port)
    member = replica(tmp_path, "").replica.member
    assert member.port > 0


def test_an_announced_address_without_a_port_is_refused() -> None:
    with pytest.raises(ValueError, match="IP:PORT"):
        gateway("10.1.2.3")
