"""`pondtiller table status`: the table in force at one gateway, with status.

Calls that gateway's readiness address and prints its answer, without the counts of other gateways.
For the daemons of `serve` there is `table show`.
"""

import curio
from cleo.commands.command import Command
from cleo.helpers import option
from result import Err

from pondtiller.cli.common import EXIT_OK, EXIT_UNAVAILABLE, bad_option, read_address
from pondtiller.cli.table_view import align
from pondtiller.httpio.client import HttpClient
from pondtiller.httpio.client_errors import BrokenError, NotSentError

GATEWAY_TABLE_PATH = "/table"


class TableStatusCommand(Command):
    """Show the table in force at one gateway, filled with status."""

    name = "table status"
    description = "Show the table in force at a gateway on the platform, filled with status."
    options = [option("gateway", "g", "Readiness address of a gateway, HOST:PORT.", flag=False)]

    def handle(self) -> int:
        """Call the gateway and print its answer, aligned."""
        address = read_address(self.option("gateway") or "")
        if isinstance(address, Err):
            return bad_option(self, "gateway", address.err_value)
        try:
            answer = curio.run(HttpClient().request, address.ok_value, "GET", GATEWAY_TABLE_PATH)
        except (NotSentError, BrokenError) as error:
            self.line_error(f"gateway: {error}", style="error")
            return EXIT_UNAVAILABLE
        head, *lines = answer.body.decode().splitlines()
        self.line(head)
        if lines:
            self.line(align([line.split("\t") for line in lines]))
        return EXIT_OK
