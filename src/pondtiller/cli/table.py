"""`pondtiller table ...`: operators see and edit the table."""

import getpass
import uuid
from collections.abc import Callable
from pathlib import Path

import curio
from cleo.commands.command import Command
from cleo.helpers import argument, option
from cleo.io.inputs.option import Option
from pydantic import ValidationError
from result import Err, Ok

from pondtiller.address import Address
from pondtiller.cli.common import (
    EXIT_BAD_INPUT,
    EXIT_OK,
    EXIT_UNAVAILABLE,
    EXIT_VIOLATION,
    bad_option,
    print_problems,
    read_address,
    read_number,
)
from pondtiller.cli.table_view import (
    PlatformUnavailableError,
    align,
    read_objects,
    read_sheet,
    read_view,
    render_view,
)
from pondtiller.httpio.client import HttpClient
from pondtiller.process import clock
from pondtiller.process.problems import Problem
from pondtiller.serve.core.events import StoreWriteResult
from pondtiller.serve.daemon.platform_client import put_object
from pondtiller.table.csv_format import from_csv, to_csv
from pondtiller.table.editor import EditOutcome, EditStatus, ReadTable, TableEditor
from pondtiller.table.edits import difference
from pondtiller.table.sheet import (
    COLUMNS,
    DOCUMENT_NAME,
    CellChange,
    Edit,
    RefusalReason,
    RowKind,
    Sheet,
    cell_text,
    explain,
)

RETRY_SECONDS = 1.0
"""Pause before the object service is asked again. Chosen, not measured."""

Say = Callable[[str], None]


def platform_option() -> Option:
    """Return the option that names the object service."""
    return option("platform", "p", "Object service, HOST:PORT.", flag=False)


class TableCommand(Command):
    """Base of the commands on the table."""

    def handle(self) -> int:
        """Find the object service and run the command."""
        address = read_address(self.option("platform") or "")
        if isinstance(address, Err):
            return bad_option(self, "platform", address.err_value)
        try:
            result: int = curio.run(self.run_on, address.ok_value)
            return result
        except PlatformUnavailableError as error:
            self.line_error(f"object service: {error}", style="error")
            return EXIT_UNAVAILABLE

    async def run_on(self, platform: Address) -> int:
        """Do the command's work."""
        raise NotImplementedError

    async def read_table(self, platform: Address) -> Sheet:
        """Return the table as the object service holds it now."""
        for stored in await read_objects(HttpClient(), platform):
            if stored.name == DOCUMENT_NAME:
                return read_sheet(stored.body)
        return Sheet()

    async def submit(self, platform: Address, changes: tuple[CellChange, ...]) -> int:
        """Carry an edit to its end and say how it ended."""
        edit = Edit(
            edit_id=uuid.uuid4().hex,
            author=getpass.getuser(),
            at=float(clock.wall_seconds()),
            changes=changes,
        )
        outcome = await edit_table(platform, edit, self.line)
        if outcome.status is EditStatus.ACCEPTED:
            self.line(f"accepted as revision {outcome.revision}")
            return EXIT_OK
        if outcome.status is EditStatus.UNKNOWN:
            self.line_error(
                "the object service does not answer; whether the edit took effect is not known "
                f"(look for edit {edit.edit_id} in `table history`)",
                style="error",
            )
            return EXIT_UNAVAILABLE
        if outcome.status is EditStatus.NOT_MADE:
            said = "the object service does not answer; the edit was not made"
            self.line_error(said, style="error")
            return EXIT_UNAVAILABLE
        refusal = outcome.refusal
        for detail in refusal.details if refusal is not None else ():
            self.line_error(detail, style="error")
        is_conflict = refusal is not None and refusal.reason is RefusalReason.CONFLICT
        return EXIT_VIOLATION if is_conflict else EXIT_BAD_INPUT


async def edit_table(platform: Address, edit: Edit, say: Say) -> EditOutcome:
    """Carry out the editor's dialogue with the object service."""
    client = HttpClient()
    editor = TableEditor(edit)
    while True:
        command = editor.command
        if isinstance(command, EditOutcome):
            return command
        if isinstance(command, ReadTable):
            await _read(client, platform, editor, say)
            continue
        ended = await put_object(
            client, platform, DOCUMENT_NAME, command.expected_revision, command.body
        )
        if ended.result == StoreWriteResult.WRITTEN:
            editor.note_written(ended.revision)
        elif ended.result == StoreWriteResult.CONFLICT:
            editor.note_conflict()
        else:
            say("no answer to the write; looking whether it took effect ...")
            editor.note_lost()
            await curio.sleep(RETRY_SECONDS)


async def _read(client: HttpClient, platform: Address, editor: TableEditor, say: Say) -> None:
    try:
        objects = await read_objects(client, platform)
    except PlatformUnavailableError:
        say("the object service does not answer; trying again ...")
        editor.note_lost()
        await curio.sleep(RETRY_SECONDS)
        return
    stored = next((each for each in objects if each.name == DOCUMENT_NAME), None)
    if stored is None:
        editor.note_read(0, b"")
    else:
        editor.note_read(stored.revision, stored.body)


class TableShowCommand(TableCommand):
    """Show table and status once."""

    name = "table show"
    description = "Show the table with its status."
    options = [platform_option()]

    async def run_on(self, platform: Address) -> int:
        """Print the view."""
        self.line(render_view(await read_view(HttpClient(), platform)))
        return EXIT_OK


class TableWatchCommand(TableCommand):
    """Show table and status again and again."""

    name = "table watch"
    description = "Show the table with its status until interrupted."
    options = [
        platform_option(),
        option("every", None, "Seconds between two views.", flag=False, default="5"),
        option("times", None, "Number of views; 0 is without an end.", flag=False, default="0"),
    ]

    async def run_on(self, platform: Address) -> int:
        """Print the view at each interval."""
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


class TableSetCommand(TableCommand):
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

    async def run_on(self, platform: Address) -> int:
        """Submit the edit."""
        kind, separator, name = self.argument("row").partition("/")
        column = self.argument("column")
        if not separator or kind not in {each.value for each in RowKind}:
            return self._bad("row", f"give KIND/NAME, KIND being one of {', '.join(RowKind)}")
        if column not in (*COLUMNS, "row"):
            return self._bad("column", f"unknown; there are: {', '.join(COLUMNS)}")
        seen = self.option("seen")
        if seen is None:
            sheet = await self.read_table(platform)
            seen = cell_text(sheet.row(RowKind(kind), name), column)
        try:
            change = CellChange(
                kind=RowKind(kind), name=name, column=column, seen=seen, new=self.argument("value")
            )
        except ValidationError as error:
            return self._bad("row", explain(error))
        return await self.submit(platform, (change,))

    def _bad(self, key: str, reason: str) -> int:
        return print_problems(self, [Problem("command line", key, reason)])


class TableApplyCommand(TableCommand):
    """Make the table equal to a CSV file."""

    name = "table apply"
    description = "Apply a CSV file; shows the difference first."
    arguments = [argument("file", "CSV file with all columns.")]
    options = [platform_option(), option("dry-run", None, "Only show the difference.")]

    async def run_on(self, platform: Address) -> int:
        """Show the difference and submit it."""
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
        changes = difference(await self.read_table(platform), wanted)
        for change in changes:
            place = f"{change.kind.value}/{change.name} {change.column}"
            self.line(f"{place}: '{change.seen}' -> '{change.new}'")
        if not changes:
            self.line("no difference")
            return EXIT_OK
        if self.option("dry-run"):
            return EXIT_OK
        return await self.submit(platform, changes)


class TableExportCommand(TableCommand):
    """Print the table as CSV."""

    name = "table export"
    description = "Print the table as CSV."
    options = [platform_option()]

    async def run_on(self, platform: Address) -> int:
        """Print the CSV."""
        self.line(to_csv(await self.read_table(platform)).rstrip("\n"))
        return EXIT_OK


class TableHistoryCommand(TableCommand):
    """Print the latest edits."""

    name = "table history"
    description = "Print the latest accepted edits, newest last."
    options = [platform_option()]

    async def run_on(self, platform: Address) -> int:
        """Print one line for each changed cell."""
        sheet = await self.read_table(platform)
        lines = [["at", "author", "edit", "cell", "seen", "new"]]
        for edit in sheet.edits:
            for change in edit.changes:
                cell = f"{change.kind.value}/{change.name} {change.column}"
                at = clock.format_wall(edit.at)
                lines.append([at, edit.author, edit.edit_id, cell, change.seen, change.new])
        self.line(align(lines))
        return EXIT_OK
