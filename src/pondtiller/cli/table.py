"""`pondtiller table ...`: commands for operators to view and edit the table.

Commands only: `table.editor` decides each step of an edit, `cli.table_edits` makes the calls.
"""

from pathlib import Path

import curio
from cleo.commands.command import Command
from cleo.helpers import argument, option
from pydantic import ValidationError
from result import Err, Ok

from pondtiller.address import Address
from pondtiller.cli.common import EXIT_OK, bad_option, print_problems, read_number
from pondtiller.cli.table_edits import platform_option, read_table, run_on_platform, submit
from pondtiller.cli.table_view import align, read_view, render_view
from pondtiller.httpio.client import HttpClient
from pondtiller.process import clock
from pondtiller.process.problems import Problem
from pondtiller.table.csv_format import from_csv, to_csv
from pondtiller.table.edits import difference
from pondtiller.table.sheet import COLUMNS, CellChange, RowKind, Sheet, cell_text, explain


class TableShowCommand(Command):
    """Show table and status once."""

    name = "table show"
    description = "Show the table with its status."
    options = [platform_option()]

    def handle(self) -> int:
        """Print the view."""
        return run_on_platform(self, self._run)

    async def _run(self, platform: Address) -> int:
        self.line(render_view(await read_view(HttpClient(), platform)))
        return EXIT_OK


class TableWatchCommand(Command):
    """Show table and status again and again."""

    name = "table watch"
    description = "Show the table with its status until interrupted."
    options = [
        platform_option(),
        option("every", None, "Seconds between two views.", flag=False, default="5"),
        option("times", None, "Number of views; 0 is without an end.", flag=False, default="0"),
    ]

    def handle(self) -> int:
        """Print the view at each interval."""
        return run_on_platform(self, self._run)

    async def _run(self, platform: Address) -> int:
        every = read_number(self.option("every"), 0.5, 3_600)
        if isinstance(every, Err):
            return bad_option(self, "every", every.err_value)
        times = read_number(self.option("times"), 0, 1_000_000)
        if isinstance(times, Err):
            return bad_option(self, "times", times.err_value)
        shown = 0
        while True:
            self.line(render_view(await read_view(HttpClient(), platform)))
            shown += 1
            if shown == int(times.ok_value):
                return EXIT_OK
            await curio.sleep(every.ok_value)


class TableSetCommand(Command):
    """Set one cell."""

    name = "table set"
    description = "Set one cell; an empty value clears it."
    arguments = [
        argument("row", "KIND/NAME, for example service/quote."),
        argument("column", "Column; `row` with an empty value removes the row."),
        argument("value", "New value."),
    ]
    options = [
        platform_option(),
        option("seen", None, "Value that you saw; the present one where left out.", flag=False),
    ]

    def handle(self) -> int:
        """Submit the edit."""
        return run_on_platform(self, self._run)

    async def _run(self, platform: Address) -> int:
        kind, separator, name = self.argument("row").partition("/")
        column = self.argument("column")
        if not separator or kind not in {each.value for each in RowKind}:
            return self._bad("row", f"give KIND/NAME, KIND being one of {', '.join(RowKind)}")
        if column not in (*COLUMNS, "row"):
            return self._bad("column", f"unknown; there are: {', '.join(COLUMNS)}")
        seen = self.option("seen")
        if seen is None:
            sheet = await read_table(platform)
            seen = cell_text(sheet.row(RowKind(kind), name), column)
        try:
            change = CellChange(
                kind=RowKind(kind), name=name, column=column, seen=seen, new=self.argument("value")
            )
        except ValidationError as error:
            return self._bad("row", explain(error))
        return await submit(self, platform, (change,))

    def _bad(self, key: str, reason: str) -> int:
        return print_problems(self, [Problem("command line", key, reason)])


class TableApplyCommand(Command):
    """Make the table equal to a CSV file."""

    name = "table apply"
    description = "Apply a CSV file; shows the difference first."
    arguments = [argument("file", "CSV file with all columns.")]
    options = [platform_option(), option("dry-run", None, "Only show the difference.")]

    def handle(self) -> int:
        """Show the difference and submit it."""
        return run_on_platform(self, self._run)

    async def _run(self, platform: Address) -> int:
        path = Path(self.argument("file"))
        try:
            text = path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            return print_problems(self, [Problem(str(path), "file", str(error))])
        match from_csv(text):
            case Err(reasons):
                problems = [Problem(str(path), "table", reason) for reason in reasons]
                return print_problems(self, problems)
            case Ok(wanted):
                return await self._apply(platform, wanted)

    async def _apply(self, platform: Address, wanted: Sheet) -> int:
        changes = difference(await read_table(platform), wanted)
        for change in changes:
            place = f"{change.kind.value}/{change.name} {change.column}"
            self.line(f"{place}: '{change.seen}' -> '{change.new}'")
        if not changes:
            self.line("no difference")
            return EXIT_OK
        if self.option("dry-run"):
            return EXIT_OK
        return await submit(self, platform, changes)


class TableExportCommand(Command):
    """Print the table as CSV."""

    name = "table export"
    description = "Print the table as CSV."
    options = [platform_option()]

    def handle(self) -> int:
        """Print the CSV."""
        return run_on_platform(self, self._run)

    async def _run(self, platform: Address) -> int:
        self.line(to_csv(await read_table(platform)).rstrip("\n"))
        return EXIT_OK


class TableHistoryCommand(Command):
    """Print the latest edits."""

    name = "table history"
    description = "Print the latest accepted edits, newest last."
    options = [platform_option()]

    def handle(self) -> int:
        """Print one line per changed cell."""
        return run_on_platform(self, self._run)

    async def _run(self, platform: Address) -> int:
        sheet = await read_table(platform)
        lines = [["at", "author", "edit", "cell", "seen", "new"]]
        for edit in sheet.edits:
            for change in edit.changes:
                cell = f"{change.kind.value}/{change.name} {change.column}"
                at = clock.format_wall(edit.at)
                lines.append([at, edit.author, edit.edit_id, cell, change.seen, change.new])
        self.line(align(lines))
        return EXIT_OK
