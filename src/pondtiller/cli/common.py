"""Shared parts of the commands: exit codes, numbers from options, the platform's address.

Has no state and makes no calls.
"""

from cleo.commands.command import Command
from result import Err, Ok, Result

from pondtiller.address import Address
from pondtiller.process.problems import Problem

EXIT_OK = 0
"""Everything requested was done, and all properties held."""
EXIT_VIOLATION = 1
"""A property did not hold, or an edit conflicted with another one."""
EXIT_BAD_INPUT = 2
"""Options, settings or files were invalid."""
EXIT_UNAVAILABLE = 3
"""The object service, store or gateway did not answer."""


def print_problems(command: Command, problems: list[Problem]) -> int:
    """Print one problem per line and return the exit code for bad input."""
    for problem in problems:
        command.line_error(problem.describe(), style="error")
    return EXIT_BAD_INPUT


def bad_option(command: Command, name: str, reason: str) -> int:
    """Print the problem of an option and return the exit code for bad input."""
    return print_problems(command, [Problem("command line", f"--{name}", reason)])


def read_number(text: str, smallest: float, largest: float) -> Result[float, str]:
    """Parse a number from an option; the error says what is allowed."""
    allowed = f"give a number from {smallest:g} to {largest:g}"
    try:
        value = float(text)
    except ValueError:
        return Err(f"{text!r} is no number; {allowed}")
    if not smallest <= value <= largest:
        return Err(f"{text} is out of range; {allowed}")
    return Ok(value)


def read_address(text: str) -> Result[Address, str]:
    """Parse HOST:PORT, optionally with `http://` before it and a path after it."""
    place = text.removeprefix("http://").split("/", 1)[0]
    host, separator, port = place.rpartition(":")
    if not separator or not port.isdecimal() or not 0 < int(port) < 65_536 or not host:
        return Err(f"{text!r} is not HOST:PORT")
    return Ok(Address(host, int(port)))
