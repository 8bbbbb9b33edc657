"""Entry point: all commands by their fixed names.

Names and options of commands are an interface to operators' scripts. What a command does is in the
module of its name.
"""

from cleo.application import Application

from pondtiller.cli.check import CheckCommand
from pondtiller.cli.demo import DemoCommand
from pondtiller.cli.deployed import GatewayCommand, ReplicaCommand
from pondtiller.cli.emulate import EmulateCommand
from pondtiller.cli.explain import ExplainCommand
from pondtiller.cli.serve import ServeCommand
from pondtiller.cli.simulate import SimulateCommand
from pondtiller.cli.soak import SoakCommand
from pondtiller.cli.table import (
    TableApplyCommand,
    TableExportCommand,
    TableHistoryCommand,
    TableSetCommand,
    TableShowCommand,
    TableWatchCommand,
)
from pondtiller.cli.table_evacuate import TableEvacuateCommand
from pondtiller.cli.table_key import TableKeyCommand
from pondtiller.cli.table_status import TableStatusCommand

VERSION = "0.1.0"


def build() -> Application:
    """Return the application with all its commands."""
    application = Application("pondtiller", VERSION)
    for command in (
        ServeCommand(),
        ExplainCommand(),
        GatewayCommand(),
        ReplicaCommand(),
        CheckCommand(),
        EmulateCommand(),
        DemoCommand(),
        SimulateCommand(),
        SoakCommand(),
        TableShowCommand(),
        TableStatusCommand(),
        TableSetCommand(),
        TableKeyCommand(),
        TableEvacuateCommand(),
        TableApplyCommand(),
        TableExportCommand(),
        TableWatchCommand(),
        TableHistoryCommand(),
    ):
        application.add(command)
    return application


def main() -> None:
    """Run the command line."""
    build().run()
