"""`pondtiller table evacuate`: no new work to a zone's engines on the platform, until ended.

Writes or removes one object in the platform's store and does not wait until gateways follow it
(`store.evacuation_bounds` has the longest delay). Repeating it changes nothing.
"""

import curio
from cleo.commands.command import Command
from cleo.helpers import argument, option
from result import Err

from pondtiller.address import Address
from pondtiller.cli.common import (
    EXIT_OK,
    EXIT_UNAVAILABLE,
    bad_option,
    print_problems,
    read_address,
)
from pondtiller.httpio.client import HttpClient
from pondtiller.platform import names
from pondtiller.platform.object_client import ObjectClient, PutOutcome, StoreCallError
from pondtiller.process.problems import Problem

AS_WANTED = {True: PutOutcome.MISSING, False: PutOutcome.CONFLICT}
"""Outcome of a call that changes nothing, by whether it ends an evacuation."""


class TableEvacuateCommand(Command):
    """Evacuate a zone, or take that back."""

    name = "table evacuate"
    description = "Have nothing new sent to the engines of a zone, or take that back."
    arguments = [argument("zone", "Name of the zone, as the settings have it.")]
    options = [
        option("store", "s", "The platform's object store, HOST:PORT.", flag=False),
        option("end", None, "Take the evacuation back."),
    ]

    def handle(self) -> int:
        """Write or remove the zone's object; repeating it is not an error."""
        address = read_address(self.option("store") or "")
        if isinstance(address, Err):
            return bad_option(self, "store", address.err_value)
        zone, is_end = self.argument("zone"), bool(self.option("end"))
        if not zone.strip() or "/" in zone:
            problem = Problem("command line", "zone", "give the name of one zone")
            return print_problems(self, [problem])
        try:
            outcome = curio.run(change, address.ok_value, zone, is_end)
        except StoreCallError as error:
            self.line_error(
                f"object store: {error}; it may have taken effect, give it again", style="error"
            )
            return EXIT_UNAVAILABLE
        if outcome is AS_WANTED[is_end]:
            self.line(f"no difference: zone {zone}")
        else:
            self.line(f"{'taken back' if is_end else 'evacuated'}: zone {zone}")
        return EXIT_OK


async def change(store: Address, zone: str, is_end: bool) -> PutOutcome:
    """Write or remove a zone's evacuation; raises `StoreCallError`."""
    client = ObjectClient(store, HttpClient())
    if is_end:
        return await client.remove(names.EVACUATIONS, zone)
    return await client.create(names.EVACUATIONS, zone, {})
