"""`pondtiller gateway` and `pondtiller replica`: the two programs of a deployment."""

import os
from pathlib import Path
from typing import Protocol, TypeVar

import curio
from cleo.commands.command import Command
from cleo.helpers import option
from result import Err, Ok

from pondtiller.cli.common import EXIT_BAD_INPUT, EXIT_OK, print_problems
from pondtiller.config.problems import Problem, load_toml
from pondtiller.daemon import logs
from pondtiller.daemon.signals import Request, requests
from pondtiller.gateway.settings import GatewaySettings, ReplicaSettings

SETTINGS_VARIABLE = "PONDTILLER_SETTINGS"

Settings = TypeVar("Settings", GatewaySettings, ReplicaSettings)


Given = TypeVar("Given", GatewaySettings, ReplicaSettings, contravariant=True)


class Process(Protocol[Given]):
    """What runs until it is stopped."""

    async def run(self) -> None:
        """Serve until stopped."""

    async def stop(self) -> None:
        """Stop as planned."""

    def reload(self, settings: Given) -> None:
        """Take changed settings."""


SETTINGS_OPTION = option(
    "settings", "s", f"Settings file (TOML); default: ${SETTINGS_VARIABLE}.", flag=False
)


def settings_path(command: Command) -> Path | None:
    """Return the settings file from the option or the environment."""
    text = command.option("settings") or os.environ.get(SETTINGS_VARIABLE)
    return Path(text) if text else None


class GatewayCommand(Command):
    """Run one gateway until it is asked to stop."""

    name = "gateway"
    description = "Run one gateway on the platform; SIGTERM stops it, SIGHUP reloads its settings."
    options = [SETTINGS_OPTION]

    def handle(self) -> int:
        """Check the settings and serve."""
        from pondtiller.gateway.process import GatewayProcess

        return _run(self, GatewaySettings, GatewayProcess)


class ReplicaCommand(Command):
    """Run one replica until it is asked to stop."""

    name = "replica"
    description = "Run one replica of the step log on a machine with a disk."
    options = [SETTINGS_OPTION]

    def handle(self) -> int:
        """Check the settings and serve."""
        from pondtiller.replica.process import ReplicaProcess

        return _run(self, ReplicaSettings, ReplicaProcess)


def _run(command: Command, model: type[Settings], make: type) -> int:
    path = settings_path(command)
    if path is None:
        problem = Problem("command line", "--settings", "give a settings file")
        return print_problems(command, [problem])
    match load_toml(path, model):
        case Err(problems):
            return print_problems(command, problems)
        case Ok(settings):
            logs.set_up_decisions(settings.log_level)
            try:
                process: Process[Settings] = make(settings)
            except OSError as error:
                command.line_error(f"cannot start: {error}", style="error")
                return EXIT_BAD_INPUT
            curio.run(_serve, process, path, model)
    return EXIT_OK


async def _serve(process: Process[Settings], path: Path, model: type[Settings]) -> None:
    signals = await curio.spawn(_obey, process, path, model, daemon=True)
    await process.run()
    await signals.cancel()


async def _obey(process: Process[Settings], path: Path, model: type[Settings]) -> None:
    async for request in requests():
        if request is Request.STOP:
            await process.stop()
            continue
        match load_toml(path, model):
            case Err(problems):
                for problem in problems:
                    logs.decision("settings_refused", reason=problem.describe())
            case Ok(settings):
                process.reload(settings)
