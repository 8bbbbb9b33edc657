"""Operators of a simulated cluster: they edit the table, sometimes at the same time.

Owns the identifiers of edits that were accepted and refused, which the run compares with the table
at the end. How an edit reaches the object service is decided by `table.editor`.
"""

import random
from dataclasses import dataclass, field

from pondtiller.serve.core.events import (
    Event,
    StoredObject,
    StoreListed,
    StoreWriteEnded,
    StoreWriteResult,
)
from pondtiller.serve.simulation.platform import PlatformNode
from pondtiller.serve.simulation.scheduler import Scheduler
from pondtiller.table.editor import EditOutcome, EditStatus, ReadTable, TableEditor
from pondtiller.table.sheet import DOCUMENT_NAME, CellChange, Edit, RowKind, Sheet

RETRY_SECONDS = 1.0
"""Pause of an editor whose write failed. Modelled."""
HIGHEST_PRIORITY = 9
"""Of the table; edits raise a priority up to it and no further."""


@dataclass(slots=True)
class Operators:
    """Edits of the `priority` cells of caller rows.

    Priorities only rise, so that a revert shows in what engines receive.
    """

    platform: PlatformNode
    scheduler: Scheduler
    source: random.Random
    accepted: list[str] = field(default_factory=list)
    refused: list[str] = field(default_factory=list)
    _sequence: int = 0

    def raise_priority(self, caller: str) -> None:
        """Raise a caller row's priority by one."""
        self._sequence += 1
        body = self.platform.store.objects[DOCUMENT_NAME].body
        row = Sheet.model_validate_json(body).row(RowKind.CALLER, caller)
        seen = row.priority if row is not None and row.priority is not None else 0
        if seen >= HIGHEST_PRIORITY:
            return
        change = CellChange(
            kind=RowKind.CALLER,
            name=caller,
            column="priority",
            seen=str(seen),
            new=str(seen + 1),
        )
        edit = Edit(
            edit_id=f"edit-{self._sequence}",
            author="operator",
            at=self.scheduler.now,
            changes=(change,),
        )
        self._continue(TableEditor(edit))

    def _continue(self, editor: TableEditor) -> None:
        command = editor.command
        if isinstance(command, EditOutcome):
            if command.status is EditStatus.ACCEPTED:
                self.accepted.append(editor.edit.edit_id)
            elif command.status is EditStatus.REFUSED:
                self.refused.append(editor.edit.edit_id)
        elif isinstance(command, ReadTable):
            self.platform.list_all(lambda event: self._take_read(editor, event))
        else:
            self.platform.put(
                DOCUMENT_NAME,
                command.expected_revision,
                command.body,
                lambda event: self._take_write(editor, event),
            )

    def _take_read(self, editor: TableEditor, event: Event) -> None:
        if not isinstance(event, StoreListed):
            editor.note_lost()
            self.scheduler.after(RETRY_SECONDS, lambda: self._continue(editor))
            return
        stored = next((each for each in event.objects if each.name == DOCUMENT_NAME), None)
        read = stored or StoredObject(DOCUMENT_NAME, 0, b"")
        editor.note_read(read.revision, read.body)
        self._continue(editor)

    def _take_write(self, editor: TableEditor, event: Event) -> None:
        assert isinstance(event, StoreWriteEnded)
        if event.result == StoreWriteResult.WRITTEN:
            editor.note_written(event.revision)
            self._continue(editor)
        elif event.result == StoreWriteResult.CONFLICT:
            editor.note_conflict()
            self._continue(editor)
        else:
            editor.note_lost()
            self.scheduler.after(RETRY_SECONDS, lambda: self._continue(editor))
