"""Applies an edit to a sheet: rebased if other cells changed, refused if the same cells did.

No I/O. An edit that the sheet already contains changes nothing, so it may be applied again after a
lost answer. Reading and writing the sheet is up to `table.editor`.
"""

from result import Err, Ok, Result

from pondtiller.table.sheet import (
    COLUMNS,
    KEPT_EDITS,
    CellChange,
    Edit,
    EditRefused,
    RefusalReason,
    Row,
    RowKind,
    Sheet,
    cell_text,
    make_row,
)

WHOLE_ROW = "row"


def apply_edit(sheet: Sheet, edit: Edit) -> Result[Sheet, EditRefused]:
    """Return the sheet after `edit`, or why it is refused.

    An edit that the sheet already contains changes nothing, so a caller that lost the object
    service's answer may apply it again.
    """
    if sheet.has_edit(edit.edit_id):
        return Ok(sheet)
    conflicts = [text for change in edit.changes if (text := _conflict(sheet, change))]
    if conflicts:
        return Err(EditRefused(reason=RefusalReason.CONFLICT, details=tuple(conflicts)))
    return _apply_changes(sheet, edit)


def _conflict(sheet: Sheet, change: CellChange) -> str | None:
    current = cell_text(sheet.row(change.kind, change.name), _known_column(change.column))
    if current in (change.seen, change.new):
        return None
    return (
        f"{change.kind.value}/{change.name} {change.column}: "
        f"you saw '{change.seen}', it is now '{current}'"
    )


def _known_column(column: str) -> str:
    return column if column in COLUMNS else WHOLE_ROW


def _apply_changes(sheet: Sheet, edit: Edit) -> Result[Sheet, EditRefused]:
    cells = {
        (row.kind, row.name): {column: cell_text(row, column) for column in COLUMNS}
        for row in sheet.rows
    }
    for change in edit.changes:
        key = (change.kind, change.name)
        if change.column == WHOLE_ROW and not change.new:
            cells.pop(key, None)
        elif change.column != WHOLE_ROW:
            cells.setdefault(key, {})[change.column] = change.new
    return _build(sheet, edit, cells)


def _build(
    sheet: Sheet, edit: Edit, cells: dict[tuple[RowKind, str], dict[str, str]]
) -> Result[Sheet, EditRefused]:
    rows: list[Row] = []
    problems: list[str] = []
    for (kind, name), row_cells in sorted(cells.items()):
        match make_row(kind, name, row_cells):
            case Ok(row):
                rows.append(row)
            case Err(problem):
                problems.append(f"{kind.value}/{name}: {problem}")
    if problems:
        return Err(EditRefused(reason=RefusalReason.INVALID, details=tuple(problems)))
    edits = (*sheet.edits, edit)[-KEPT_EDITS:]
    return Ok(Sheet(rows=tuple(rows), edits=edits))


def difference(old: Sheet, new: Sheet) -> tuple[CellChange, ...]:
    """Return the changes from `old` to `new`, cell by cell."""
    changes: list[CellChange] = []
    old_rows = {row.key: row for row in old.rows}
    new_rows = {row.key: row for row in new.rows}
    for key in sorted(old_rows.keys() | new_rows.keys()):
        before, after = old_rows.get(key), new_rows.get(key)
        if after is None and before is not None:
            changes.append(_change(before, WHOLE_ROW, key, ""))
        elif after is not None:
            changes.extend(_changed_cells(before, after))
    return tuple(changes)


def _changed_cells(before: Row | None, after: Row) -> list[CellChange]:
    changes: list[CellChange] = []
    for column in COLUMNS:
        seen, new = cell_text(before, column), cell_text(after, column)
        if seen != new:
            changes.append(_change(after, column, seen, new))
    return changes


def _change(row: Row, column: str, seen: str, new: str) -> CellChange:
    return CellChange(kind=row.kind, name=row.name, column=column, seen=seen, new=new)
