"""The dialogue by which an edit reaches the object service, without its I/O.

Read the table, apply the edit, compare-and-swap; read again after a conflict. After an
answer that was lost, the edit's identifier in the table tells whether it took effect.
"""

from dataclasses import dataclass
from enum import StrEnum

from result import Err, Ok

from pondtiller.table.edits import apply_edit
from pondtiller.table.sheet import Edit, EditRefused, RefusalReason, Sheet, parse

MAXIMUM_ROUNDS = 20


@dataclass(frozen=True, slots=True)
class ReadTable:
    """Command: read the table's object."""


@dataclass(frozen=True, slots=True)
class WriteTable:
    """Command: compare-and-swap the table's object; revision 0 creates it."""

    expected_revision: int
    body: bytes


class EditStatus(StrEnum):
    """How an edit ended.

    `NOT_MADE` is certain: the service never answered and no write was sent.
    """

    ACCEPTED = "accepted"
    REFUSED = "refused"
    NOT_MADE = "not_made"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class EditOutcome:
    """End of an edit.

    Attributes
    ----------
    revision
        Revision of the table that contains the edit, where it was accepted.
    refusal
        Why it was refused, where it was.
    """

    status: EditStatus
    revision: int = 0
    refusal: EditRefused | None = None


EditorCommand = ReadTable | WriteTable | EditOutcome


class TableEditor:
    """One edit on its way; ask `command`, carry it out, report, until an outcome comes."""

    def __init__(self, edit: Edit) -> None:
        self.edit = edit
        self.command: EditorCommand = ReadTable()
        self._rounds = 0
        self._write_is_open = False

    def note_read(self, revision: int, body: bytes) -> None:
        """Take the table as read; revision 0 where there is none yet."""
        self._rounds += 1
        sheet = Sheet()
        if revision:
            match parse(body):
                case Ok(parsed):
                    sheet = parsed
                case Err(problem):
                    refusal = EditRefused(reason=RefusalReason.INVALID, details=(problem,))
                    self.command = EditOutcome(EditStatus.REFUSED, refusal=refusal)
                    return
        if sheet.has_edit(self.edit.edit_id):
            self.command = EditOutcome(EditStatus.ACCEPTED, revision)
            return
        self._propose(revision, sheet)

    def note_written(self, revision: int) -> None:
        """The write took effect."""
        self.command = EditOutcome(EditStatus.ACCEPTED, revision)

    def note_conflict(self) -> None:
        """The table was changed meanwhile; look again."""
        self._write_is_open = False
        self.command = ReadTable()

    def note_lost(self) -> None:
        """No answer came; after a write this leaves open whether it took effect."""
        self._rounds += 1
        self._write_is_open = self._write_is_open or isinstance(self.command, WriteTable)
        self.command = ReadTable()
        if self._rounds >= MAXIMUM_ROUNDS:
            self._give_up()

    def _give_up(self) -> None:
        status = EditStatus.UNKNOWN if self._write_is_open else EditStatus.NOT_MADE
        self.command = EditOutcome(status)

    def _propose(self, revision: int, sheet: Sheet) -> None:
        if self._rounds >= MAXIMUM_ROUNDS:
            self._give_up()
            return
        match apply_edit(sheet, self.edit):
            case Ok(changed):
                self.command = WriteTable(revision, changed.model_dump_json().encode())
            case Err(refusal):
                self._refuse(refusal)

    def _refuse(self, refusal: EditRefused) -> None:
        # A lost write may still arrive after this read; only a table that holds the edit,
        # or one that a later write has moved, would settle it.
        status = EditStatus.UNKNOWN if self._write_is_open else EditStatus.REFUSED
        self.command = EditOutcome(status, refusal=refusal)
