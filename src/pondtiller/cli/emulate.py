"""`pondtiller emulate`: the stand-ins of a deployment on loopback, in one process.

For daemons started by hand with `pondtiller serve`; `demo` starts both. All state is lost when it
ends.
"""

import sys

import curio
from cleo.commands.command import Command
from cleo.helpers import option
from result import Err, Ok

from pondtiller.cli.common import EXIT_OK, bad_option, print_problems, read_number
from pondtiller.process import logs
from pondtiller.process.signals import wait_for_stop
from pondtiller.serve.deployment import load_deployment
from pondtiller.serve.emulator.server import Emulator, build_emulator

HOST = "127.0.0.1"


class EmulateCommand(Command):
    """Serve engines, object service and scorer."""

    name = "emulate"
    description = "Serve stand-ins for engines, platform and scorer on loopback."
    options = [
        option("deployment", "d", "Shipped name or TOML file.", flag=False, default="kyushu"),
        option("platform-port", None, "Port of the platform; 0 is any.", flag=False, default="0"),
        option("seed", None, "Seed of everything drawn.", flag=False, default="1"),
    ]

    def handle(self) -> int:
        """Serve until interrupted."""
        port = read_number(self.option("platform-port"), 0, 65_535)
        if isinstance(port, Err):
            return bad_option(self, "platform-port", port.err_value)
        seed = read_number(self.option("seed"), 0, 2**53)
        if isinstance(seed, Err):
            return bad_option(self, "seed", seed.err_value)
        match load_deployment(self.option("deployment")):
            case Err(problems):
                return print_problems(self, problems)
            case Ok(deployment):
                emulator = build_emulator(deployment, int(seed.ok_value), HOST, int(port.ok_value))
                address = emulator.platform.address
                self.line(f"platform and scorer: {address.host}:{address.port}")
                for name, server in emulator.engines.items():
                    self.line(f"engine {name}: {server.address.host}:{server.address.port}")
                sys.stdout.flush()
                logs.set_up("error")
                curio.run(_run, emulator)
        return EXIT_OK


async def _run(emulator: Emulator) -> None:
    serving = await curio.spawn(emulator.run)
    await wait_for_stop()
    await serving.cancel()
