"""Settings of the programs of a soak, each behind a proxy of its links."""

from pathlib import Path

from pondtiller.address import to_address
from pondtiller.soak.caller_rules import RATE_EXCESS
from pondtiller.soak.engine_rules import COLD_EXCESS, COLD_SLACK, WITHIN_SECONDS
from pondtiller.soak.owners import Owners
from pondtiller.soak.places import REGIONS
from pondtiller.soak.ports import ReservedPorts
from pondtiller.soak.programs import ProgramSpec
from pondtiller.soak.proxy import Proxy

REGION_LINES = "\n".join(f'{zone} = "{region}"' for zone, region in REGIONS.items())
PLACES_SETTINGS = f"""
[regions]
{REGION_LINES}
[evacuation]
within = {WITHIN_SECONDS}
"""


class SettingsFiles:
    """Writes settings, and makes the proxies that they name.

    Parameters
    ----------
    store
        Where programs reach the store, as HOST:PORT.

    Attributes
    ----------
    links
        Proxy before each program's links, by its name.
    """

    def __init__(self, store: str, reserved: ReservedPorts, owners: Owners) -> None:
        self.links: dict[str, Proxy] = {}
        self._store = store
        self._reserved = reserved
        self._owners = owners

    def replica(self, number: int, folder: Path) -> ProgramSpec:
        """Return how a replica is started that keeps its data in the folder."""
        settings = f"""
name = "r{number}"
zone = "z{number}"
{self._link_lines(f"r{number}")}
store = "{self._store}"
data_folder = "{folder / f"disk{number}"}"
first_start = true
{PLACES_SETTINGS}"""
        return ProgramSpec(f"r{number}", "replica", settings, f"z{number}")

    def gateway(self, number: int, port: int) -> ProgramSpec:
        """Return how a gateway is started that listens for callers at a port."""
        settings = f"""
name = "g{number}"
zone = "z{number}"
callers = "127.0.0.1:{port}"
readiness = "127.0.0.1:{self._reserved.port()}"
{self._link_lines(f"g{number}")}
store = "{self._store}"
rate_excess = {RATE_EXCESS}
{PLACES_SETTINGS}
[cold]
excess = {COLD_EXCESS}
slack = {COLD_SLACK}
"""
        return ProgramSpec(f"g{number}", "gateway", settings, f"z{number}")

    def _link_lines(self, name: str) -> str:
        """Return settings of a program's links, with a proxy before them."""
        listens = f"127.0.0.1:{self._reserved.port()}"
        proxy = self.links[name] = Proxy(to_address(listens), self._owners)
        return f'links = "{listens}"\nannounced_links = "{proxy.address}"'
