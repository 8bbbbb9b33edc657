"""`pondtiller gateway` and `pondtiller replica`: the two programs of a deployment.

Finds the settings file by option or environment; `programs` validates it and runs the process until
it is stopped.
"""

import os
from collections.abc import Callable
from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import option

from pondtiller.cli.common import EXIT_OK, print_problems
from pondtiller.platform.names import SETTINGS_VARIABLE
from pondtiller.process.problems import Problem
from pondtiller.programs import run_gateway, run_replica

SETTINGS_OPTION = option(
    "settings", "s", f"Settings file (TOML); default: ${SETTINGS_VARIABLE}.", flag=False
)


class GatewayCommand(Command):
    """Run one gateway until it is asked to stop."""

    name = "gateway"
    description = "Run one gateway on the platform; SIGTERM stops it, SIGHUP reloads its settings."
    options = [SETTINGS_OPTION]

    def handle(self) -> int:
        """Check the settings and serve."""
        return _run(self, run_gateway)


class ReplicaCommand(Command):
    """Run one replica until it is asked to stop."""

    name = "replica"
    description = "Run one replica of the step log on a machine with a disk."
    options = [SETTINGS_OPTION]

    def handle(self) -> int:
        """Check the settings and serve."""
        return _run(self, run_replica)


def _run(command: Command, run: Callable[[Path], list[Problem]]) -> int:
    text = command.option("settings") or os.environ.get(SETTINGS_VARIABLE)
    if not text:
        problem = Problem("command line", "--settings", "give a settings file")
        return print_problems(command, [problem])
    problems = run(Path(text))
    return print_problems(command, problems) if problems else EXIT_OK
