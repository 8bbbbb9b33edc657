"""Settings of a daemon: a TOML file, overridden by flags, checked on entry.

Unknown keys are refused. Fixed from the start; what operators change at run time is the table.
"""

import ipaddress
from pathlib import Path
from typing import Annotated

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, model_validator

from pondtiller.table.sheet import Name


def _check_ip(value: str) -> str:
    ipaddress.ip_address(value)
    return value


IpAddress = Annotated[str, AfterValidator(_check_ip)]
Port = Annotated[int, Field(ge=1, le=65_535)]
PortOrAny = Annotated[int, Field(ge=0, le=65_535)]


class Section(BaseModel):
    """Base of all sections: unknown keys are refused."""

    model_config = ConfigDict(frozen=True, extra="forbid")


class PeerSettings(Section):
    """A member to contact first."""

    name: Name
    zone: Name
    host: IpAddress
    peer_port: Port
    http_port: Port


class PlatformSettings(Section):
    """Where the platform's object service and the scorer listen."""

    host: IpAddress
    port: Port
    scorer_host: IpAddress
    scorer_port: Port


class DaemonSettings(Section):
    """Settings of one daemon.

    Attributes
    ----------
    peer_port, http_port
        0 lets the kernel choose.
    data_folder
        Folder on a small disk, None where the machine keeps nothing.
    register_shards
        Register shards that a first configuration gets.
    register_replicas
        Replicas of a shard, of as many members at least: 5 bear two losses at once, 3 one;
        1 suits a single machine.
    """

    name: Name
    zone: Name
    host: IpAddress = "127.0.0.1"
    peer_port: PortOrAny = 0
    http_port: PortOrAny = 0
    platform: PlatformSettings
    peers: tuple[PeerSettings, ...] = ()
    data_folder: Path | None = None
    register_shards: int = Field(default=4, ge=1, le=256)
    register_replicas: int = Field(default=5, ge=1, le=7)
    log_level: str = Field(default="info", pattern="^(debug|info|warning|error)$")

    @model_validator(mode="after")
    def _check_peers(self) -> "DaemonSettings":
        names = [peer.name for peer in self.peers]
        if len(set(names)) != len(names):
            raise ValueError("peers: a name stands twice")
        if self.register_replicas % 2 == 0:
            raise ValueError("register_replicas: an even number adds no safety; use 1, 3, 5 or 7")
        return self
