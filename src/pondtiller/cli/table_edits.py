"""Shared parts of the commands on the operators' table: the object service, and submitting an edit.

Uses `table/editor.py`, which decides each next step of an edit; the calls are made here.
"""

import getpass
import uuid
from collections.abc import Awaitable, Callable

import curio
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.option import Option
from result import Err

from pondtiller.address import Address
from pondtiller.cli.common import (
    EXIT_BAD_INPUT,
    EXIT_OK,
    EXIT_UNAVAILABLE,
    EXIT_VIOLATION,
    bad_option,
    read_address,
)
from pondtiller.cli.table_view import PlatformUnavailableError, read_objects, read_sheet
from pondtiller.httpio.client import HttpClient
from pondtiller.process import clock
from pondtiller.serve.core.events import StoreWriteResult
from pondtiller.serve.daemon.platform_client import put_object
from pondtiller.table.editor import EditOutcome, EditStatus, ReadTable, TableEditor
from pondtiller.table.sheet import DOCUMENT_NAME, CellChange, Edit, RefusalReason, Sheet

RETRY_SECONDS = 1.0
"""Pause before the object service is called again."""

Say = Callable[[str], None]


def platform_option() -> Option:
    """Return the option that names the object service."""
    return option("platform", "p", "Object service, HOST:PORT.", flag=False)


def run_on_platform(command: Command, run: Callable[[Address], Awaitable[int]]) -> int:
    """Find the object service, run a command's work on it and return the exit code."""
    address = read_address(command.option("platform") or "")
    if isinstance(address, Err):
        return bad_option(command, "platform", address.err_value)
    try:
        result: int = curio.run(run, address.ok_value)
        return result
    except PlatformUnavailableError as error:
        command.line_error(f"object service: {error}", style="error")
        return EXIT_UNAVAILABLE


async def read_table(platform: Address) -> Sheet:
    """Return the table as the object service has it now."""
    for stored in await read_objects(HttpClient(), platform):
        if stored.name == DOCUMENT_NAME:
            return read_sheet(stored.body)
    return Sheet()


async def submit(command: Command, platform: Address, changes: tuple[CellChange, ...]) -> int:
    """Execute an edit to its end, print how it ended and return the exit code."""
    edit = Edit(
        edit_id=uuid.uuid4().hex,
        author=getpass.getuser(),
        at=float(clock.wall_seconds()),
        changes=changes,
    )
    outcome = await edit_table(platform, edit, command.line)
    if outcome.status is EditStatus.ACCEPTED:
        command.line(f"accepted as revision {outcome.revision}")
        return EXIT_OK
    if outcome.status is EditStatus.UNKNOWN:
        command.line_error(
            "the object service does not answer; whether the edit took effect is not known "
            f"(look for edit {edit.edit_id} in `table history`)",
            style="error",
        )
        return EXIT_UNAVAILABLE
    if outcome.status is EditStatus.NOT_MADE:
        said = "the object service does not answer; the edit was not made"
        command.line_error(said, style="error")
        return EXIT_UNAVAILABLE
    refusal = outcome.refusal
    for detail in refusal.details if refusal is not None else ():
        command.line_error(detail, style="error")
    is_conflict = refusal is not None and refusal.reason is RefusalReason.CONFLICT
    return EXIT_VIOLATION if is_conflict else EXIT_BAD_INPUT


async def edit_table(platform: Address, edit: Edit, say: Say) -> EditOutcome:
    """Execute the editor's protocol with the object service."""
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
