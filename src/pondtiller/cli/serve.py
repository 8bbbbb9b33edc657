"""`pondtiller serve`: one daemon process.

Reads the settings file and flags, and converts the operating system's stop signal to a graceful
stop. The daemon is `serve.daemon.process`.
"""

import tomllib
from pathlib import Path

import curio
from cleo.commands.command import Command
from cleo.helpers import option
from pydantic import ValidationError
from pydantic_core import ErrorDetails
from result import Err, Ok, Result

from pondtiller.cli.common import EXIT_BAD_INPUT, EXIT_OK, print_problems
from pondtiller.process import logs
from pondtiller.process.problems import Problem
from pondtiller.process.signals import wait_for_stop
from pondtiller.serve.daemon.process import DaemonProcess
from pondtiller.serve.daemon.settings import DaemonSettings

OVERRIDES = ("name", "zone", "host", "peer-port", "http-port", "data-folder", "log-level")


class ServeCommand(Command):
    """Run one daemon until it is asked to stop."""

    name = "serve"
    description = "Run one daemon; SIGTERM stops it once its work is done."
    options = [
        option("settings", "s", "Settings file (TOML).", flag=False),
        *(option(name, None, f"Overrides `{name}` of the file.", flag=False) for name in OVERRIDES),
    ]

    def handle(self) -> int:
        """Check the settings and serve."""
        path = self.option("settings")
        if path is None:
            problem = Problem("command line", "--settings", "give a settings file")
            return print_problems(self, [problem])
        overrides = {
            name.replace("-", "_"): self.option(name)
            for name in OVERRIDES
            if self.option(name) is not None
        }
        match load_settings(Path(path), overrides):
            case Err(problems):
                return print_problems(self, problems)
            case Ok(settings):
                return self._serve(settings)

    def _serve(self, settings: DaemonSettings) -> int:
        logs.set_up(settings.log_level)
        try:
            process = DaemonProcess(settings)
        except OSError as error:
            self.line_error(f"cannot start: {error}", style="error")
            return EXIT_BAD_INPUT
        curio.run(_run, process)
        return EXIT_OK


def load_settings(path: Path, overrides: dict[str, str]) -> Result[DaemonSettings, list[Problem]]:
    """Read a settings file; flags override it."""
    try:
        given: dict[str, object] = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        return Err([Problem(str(path), "file", str(error))])
    try:
        return Ok(DaemonSettings.model_validate({**given, **overrides}))
    except ValidationError as error:
        return Err([_problem(path, overrides, item) for item in error.errors()])


def _problem(path: Path, overrides: dict[str, str], item: ErrorDetails) -> Problem:
    key = ".".join(map(str, item["loc"])) or "settings"
    is_flag = bool(item["loc"]) and item["loc"][0] in overrides
    return Problem("command line" if is_flag else str(path), key, item["msg"])


async def _run(process: DaemonProcess) -> None:
    stop = await curio.spawn(_stop_on_signal, process, daemon=True)
    await process.run()
    await stop.cancel()


async def _stop_on_signal(process: DaemonProcess) -> None:
    await wait_for_stop()
    await process.stop()
