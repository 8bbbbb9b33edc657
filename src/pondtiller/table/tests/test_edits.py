from hypothesis import given
from hypothesis import strategies as st

from pondtiller.table.csv_format import from_csv, to_csv
from pondtiller.table.editor import EditOutcome, EditStatus, ReadTable, TableEditor, WriteTable
from pondtiller.table.edits import apply_edit, difference
from pondtiller.table.sheet import COLUMNS, CellChange, Edit, RefusalReason, Row, RowKind, Sheet

ROWS = (
    Row(kind=RowKind.CALLER, name="app", priority=3),
    Row(kind=RowKind.SERVICE, name="quote", model="m", weight=2.0),
)
SHEET = Sheet(rows=ROWS)
NAMES = st.from_regex(r"[a-z][a-z0-9]{0,6}", fullmatch=True)
ROW_VALUES = st.builds(
    Row,
    kind=st.just(RowKind.SERVICE),
    name=NAMES,
    model=NAMES,
    weight=st.floats(0.001, 1000),
    limit=st.none() | st.integers(0, 100),
    priority=st.none() | st.integers(0, 9),
)
SHEETS = st.lists(ROW_VALUES, max_size=5, unique_by=lambda row: row.name).map(
    lambda rows: Sheet(rows=tuple(sorted(rows, key=lambda row: row.name)))
)


def change(column, seen, new, name="quote", kind=RowKind.SERVICE):
    return CellChange(kind=kind, name=name, column=column, seen=seen, new=new)


def edit(*changes, edit_id="e1"):
    return Edit(edit_id=edit_id, changes=changes)


def test_edits_of_different_cells_both_hold():
    first = apply_edit(SHEET, edit(change("weight", "2.0", "3.0"))).unwrap()
    second = apply_edit(first, edit(change("limit", "", "9"), edit_id="e2")).unwrap()
    row = second.row(RowKind.SERVICE, "quote")
    assert (row.weight, row.limit) == (3.0, 9)


def test_edits_of_the_same_cell_conflict():
    first = apply_edit(SHEET, edit(change("weight", "2.0", "3.0"))).unwrap()
    refused = apply_edit(first, edit(change("weight", "2.0", "4.0"), edit_id="e2")).unwrap_err()
    assert refused.reason is RefusalReason.CONFLICT
    assert "it is now '3.0'" in refused.details[0]


def test_an_edit_takes_effect_once_however_often_it_is_applied():
    once = apply_edit(SHEET, edit(change("weight", "2.0", "3.0"))).unwrap()
    later = apply_edit(once, edit(change("weight", "3.0", "5.0"), edit_id="e2")).unwrap()
    assert apply_edit(later, edit(change("weight", "2.0", "3.0"))).unwrap() == later


def test_invalid_cells_are_refused_as_a_whole():
    changes = (change("limit", "", "5"), change("weight", "2.0", "-1"))
    refused = apply_edit(SHEET, edit(*changes)).unwrap_err()
    assert refused.reason is RefusalReason.INVALID
    assert "weight" in refused.details[0]


def test_rows_are_added_and_removed():
    added = apply_edit(SHEET, edit(change("model", "", "m2", name="new"))).unwrap()
    assert added.row(RowKind.SERVICE, "new").model == "m2"
    gone = edit(change("row", "service/quote", ""), edit_id="e2")
    assert apply_edit(added, gone).unwrap().row(RowKind.SERVICE, "quote") is None


@given(SHEETS)
def test_csv_round_trip(sheet):
    assert from_csv(to_csv(sheet)).unwrap().rows == sheet.rows


@given(SHEETS, SHEETS)
def test_applying_the_difference_reaches_the_wanted_table(old, new):
    changed = apply_edit(old, edit(*difference(old, new))).unwrap()
    assert changed.rows == new.rows


def test_csv_problems_name_their_lines():
    planet = "planet,x" + "," * len(COLUMNS)
    text = to_csv(SHEET).replace("2.0", "-2") + planet + "\n"
    problems = from_csv(text).unwrap_err()
    assert any(problem.startswith("line 3: weight") for problem in problems)
    assert any("planet" in problem for problem in problems)


def editor_after_lost_write():
    editor = TableEditor(edit(change("weight", "2.0", "3.0")))
    editor.note_read(5, SHEET.model_dump_json().encode())
    assert isinstance(editor.command, WriteTable)
    editor.note_lost()
    assert isinstance(editor.command, ReadTable)
    return editor


def test_lost_answer_is_resolved_by_finding_the_edit():
    editor = editor_after_lost_write()
    written = apply_edit(SHEET, editor.edit).unwrap()
    editor.note_read(6, written.model_dump_json().encode())
    assert editor.command == EditOutcome(EditStatus.ACCEPTED, 6)


def test_lost_write_that_did_not_take_effect_is_repeated():
    editor = editor_after_lost_write()
    editor.note_read(5, SHEET.model_dump_json().encode())
    assert isinstance(editor.command, WriteTable)
    editor.note_conflict()
    assert isinstance(editor.command, ReadTable)


def test_old_read_does_not_settle_a_lost_write():
    """An edit that is in the table is not reported as refused; found by `simulate chaos`."""
    editor = editor_after_lost_write()
    old = apply_edit(SHEET, edit(change("weight", "2.0", "9.0"), edit_id="x")).unwrap()
    editor.note_read(4, old.model_dump_json().encode())
    assert isinstance(editor.command, ReadTable)
    written = apply_edit(SHEET, editor.edit).unwrap()
    editor.note_read(6, written.model_dump_json().encode())
    assert editor.command == EditOutcome(EditStatus.ACCEPTED, 6)


def test_conflict_of_a_later_write_does_not_settle_a_lost_one():
    editor = editor_after_lost_write()
    editor.note_read(5, SHEET.model_dump_json().encode())
    editor.note_conflict()
    old = apply_edit(SHEET, edit(change("weight", "2.0", "9.0"), edit_id="x")).unwrap()
    for _ in range(30):
        if isinstance(editor.command, EditOutcome):
            break
        editor.note_read(4, old.model_dump_json().encode())
    assert editor.command.status is EditStatus.UNKNOWN


def test_later_table_without_the_edit_proves_that_a_lost_write_failed():
    editor = editor_after_lost_write()
    other = apply_edit(SHEET, edit(change("weight", "2.0", "9.0"), edit_id="x")).unwrap()
    editor.note_read(6, other.model_dump_json().encode())
    assert editor.command.status is EditStatus.REFUSED
