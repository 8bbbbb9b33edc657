"""`pondtiller explain`: what the logs of many machines contain about one identifier.

Reads log files only, even compressed or damaged ones, and contacts no process. Lines are ordered by
the wall clock of the machine that wrote each, so lines of different machines may be out of order by
as much as their clocks differ.
"""

import gzip
import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import argument

from pondtiller.cli.common import EXIT_BAD_INPUT, EXIT_OK, EXIT_VIOLATION, print_problems
from pondtiller.process.problems import Problem

FIELD = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|\S*)')
TIME = re.compile(r"(?:^|\s)t=(\d+\.\d+)\s")
IDENTIFIERS = ("request", "sample", "step", "content")
GZIP_SUFFIX = ".gz"
LOG_NAME = re.compile(r"\.log(\.gz)?$")

DECIDING_EVENTS = (
    "sample_listed",
    "request_failed",
    "request_answered",
    "no_route",
    "caller_left",
    "stream_ended",
    "step_refused",
    "step_submitted",
    "scorer_failed",
    "sample_run_ended",
)
"""Events that may decide how a request, a sample or a step ended, the strongest first."""


@dataclass(frozen=True, slots=True)
class LogLine:
    """One decision line.

    Attributes
    ----------
    at
        Seconds since 1970 on the clock of the machine that wrote it.
    fields
        Values by key, unquoted.
    """

    at: float
    place: str
    fields: dict[str, str]
    text: str

    @property
    def event(self) -> str:
        """Name of the event."""
        return self.fields.get("event", "")


@dataclass(frozen=True, slots=True)
class History:
    """The log lines about an identifier, ordered by time.

    Attributes
    ----------
    deciding
        The line that shows how it ended; None if there are no lines.
    """

    lines: tuple[LogLine, ...]
    deciding: LogLine | None


def parse_line(text: str, place: str) -> LogLine | None:
    """Parse one line; None if it is not a decision line."""
    time = TIME.search(text)
    if time is None or "event=" not in text:
        return None
    start = text.index("event=")
    fields = {key: _unquote(value) for key, value in FIELD.findall(text[start:])}
    return LogLine(float(time.group(1)), place, fields, text[start:].strip())


def _unquote(value: str) -> str:
    if not value.startswith('"'):
        return value
    return re.sub(r"\\(.)", r"\1", value[1:-1])


def collect(identifier: str, lines: Iterable[LogLine]) -> History:
    """Return the lines about an identifier, ordered by time, and the deciding one."""
    found = [line for line in lines if _concerns(line, identifier)]
    found.sort(key=lambda line: line.at)
    return History(tuple(found), _deciding(found))


def _concerns(line: LogLine, identifier: str) -> bool:
    return any(line.fields.get(name) == identifier for name in IDENTIFIERS)


def _deciding(lines: list[LogLine]) -> LogLine | None:
    for event in DECIDING_EVENTS:
        of_event = [line for line in lines if line.event == event]
        if of_event:
            return of_event[-1]
    return lines[-1] if lines else None


def read_lines(path: Path) -> Iterator[LogLine]:
    """Read a log, even if it is compressed or has damaged lines."""
    opener = gzip.open if path.suffix == GZIP_SUFFIX else open
    with opener(path, "rb") as stream:
        for data in stream:
            line = parse_line(data.decode(errors="replace"), path.name)
            if line is not None:
                yield line


def find_logs(path: Path) -> list[Path]:
    """Return the file itself, or all logs in a folder, such as one left by `pondtiller soak`."""
    if not path.is_dir():
        return [path]
    return sorted(each for each in path.iterdir() if LOG_NAME.search(each.name))


class ExplainCommand(Command):
    """Tell from logs what became of a request, a sample or a step."""

    name = "explain"
    description = "Tell from logs what became of a request, a sample or a step, and why."
    arguments = [
        argument("id", "Identifier of a request, a sample or a step, or digits of a content."),
        argument(
            "files", "Logs of any machines, also packed by gzip; folders of logs.", multiple=True
        ),
    ]

    def handle(self) -> int:
        """Print the lines in order and the deciding one."""
        identifier = self.argument("id")
        lines: list[LogLine] = []
        for name in self.argument("files"):
            try:
                for path in find_logs(Path(name)):
                    lines += read_lines(path)
            except (OSError, EOFError) as error:
                print_problems(self, [Problem(name, "file", str(error))])
                return EXIT_BAD_INPUT
        history = collect(identifier, lines)
        if history.deciding is None:
            self.line_error(f"{identifier} stands in none of these logs", style="error")
            return EXIT_VIOLATION
        for line in history.lines:
            self.line(f"{line.at:.3f} {line.place} {line.text}")
        self.line(f"decided by: {history.deciding.text}")
        return EXIT_OK
