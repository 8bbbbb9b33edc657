"""`pondtiller check`: reports problems of settings, tables and deployments.

Only reads files: contacts no daemon and changes nothing.
"""

import tomllib
from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import argument
from result import Err, Ok

from pondtiller.cli.common import EXIT_BAD_INPUT, EXIT_OK
from pondtiller.cli.serve import load_settings
from pondtiller.process.problems import Problem, load_toml
from pondtiller.serve.deployment import Deployment
from pondtiller.table.csv_format import from_csv


class CheckCommand(Command):
    """Check files without running anything."""

    name = "check"
    description = "Check settings (TOML), deployments (TOML) and tables (CSV)."
    arguments = [argument("files", "Files to check.", multiple=True)]

    def handle(self) -> int:
        """Print each problem; exit 2 if there are any."""
        problems = [problem for name in self.argument("files") for problem in check_file(name)]
        for problem in problems:
            self.line_error(problem.describe(), style="error")
        if problems:
            return EXIT_BAD_INPUT
        self.line("ok")
        return EXIT_OK


def check_file(name: str) -> list[Problem]:
    """Return the problems of one file, by its suffix and content."""
    path = Path(name)
    if path.suffix == ".csv":
        return _check_table(path)
    if path.suffix != ".toml":
        return [Problem(name, "file", "the name must end in .toml or .csv")]
    if _is_deployment(path):
        return load_toml(path, Deployment).err() or []
    return load_settings(path, {}).err() or []


def _is_deployment(path: Path) -> bool:
    try:
        return "zones" in tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError):
        return False


def _check_table(path: Path) -> list[Problem]:
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return [Problem(str(path), "file", str(error))]
    match from_csv(text):
        case Err(reasons):
            return [Problem(str(path), "table", reason) for reason in reasons]
        case Ok(_):
            return []
