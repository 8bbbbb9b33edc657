"""The protocol by which an edit reaches the object service, without its I/O.

Read the table, apply the edit, compare-and-swap; read again after a conflict. After a lost answer,
the edit's identifier in the table shows whether it took effect.
"""

from dataclasses import dataclass
from enum import StrEnum

from result import Err, Ok

from pondtiller.table.edits import apply_edit
from pondtiller.table.sheet import Edit, EditRefused, RefusalReason, Sheet, parse

MAXIMUM_ROUNDS = 20
"""Reads and writes of one edit, after which it ends as not made, or as unknown if a write's answer
was lost. An edit loses a round only to another operator's edit."""


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
    """Result of an edit.

    Attributes
    ----------
    revision
        Revision of the table that contains the edit, if it was accepted.
    refusal
        Why it was refused, if it was.
    """

    status: EditStatus
    revision: int = 0
    refusal: EditRefused | None = None


EditorCommand = ReadTable | WriteTable | EditOutcome


class TableEditor:
    """One edit in progress; execute `command` and report the result until an outcome comes."""

    def __init__(self, edit: Edit) -> None:
        self.edit = edit
        self.command: EditorCommand = ReadTable()
        self._rounds = 0
        self._lost_at: int | None = None

    def note_read(self, revision: int, body: bytes) -> None:
        """Process the table as read, perhaps outdated; revision 0 if there is none yet."""
        self._rounds += 1
        if self._rounds > MAXIMUM_ROUNDS:
            self._give_up()
            return
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
        if self._lost_at is not None and revision > self._lost_at:
            # A newer table without the edit, so the lost write can never take effect.
            self._lost_at = None
        self._propose(revision, sheet)

    def note_written(self, revision: int) -> None:
        """Record that the write took effect."""
        self.command = EditOutcome(EditStatus.ACCEPTED, revision)

    def note_conflict(self) -> None:
        """Record that the table was changed meanwhile, and read it again.

        This does not settle an earlier write whose answer was lost: it may have been the change.
        """
        self.command = ReadTable()

    def note_lost(self) -> None:
        """Record a missing answer; after a write, whether it took effect is unknown."""
        self._rounds += 1
        if isinstance(self.command, WriteTable):
            self._lost_at = max(self._lost_at or 0, self.command.expected_revision)
        self.command = ReadTable()
        if self._rounds >= MAXIMUM_ROUNDS:
            self._give_up()

    def _give_up(self) -> None:
        status = EditStatus.NOT_MADE if self._lost_at is None else EditStatus.UNKNOWN
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
        if self._lost_at is not None:
            # After an outdated read, the cell does not show whether the lost write took effect.
            # Only the edit itself, or a later table without it, does.
            self.command = ReadTable()
            return
        self.command = EditOutcome(EditStatus.REFUSED, refusal=refusal)
