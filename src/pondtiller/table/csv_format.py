"""The table as CSV, in and out.

For spreadsheets and review; the stored form is the sheet's JSON. All problems of a file are
reported together, each with its line.
"""

import csv
import io

from result import Err, Ok, Result

from pondtiller.table.sheet import COLUMNS, Row, RowKind, Sheet, cell_text, make_row

KEY_COLUMNS = ("kind", "name")


def to_csv(sheet: Sheet) -> str:
    """Return the table as CSV with a header line."""
    stream = io.StringIO()
    writer = csv.writer(stream, lineterminator="\n")
    writer.writerow([*KEY_COLUMNS, *COLUMNS])
    for row in sheet.rows:
        writer.writerow([row.kind.value, row.name, *(cell_text(row, each) for each in COLUMNS)])
    return stream.getvalue()


def from_csv(text: str) -> Result[Sheet, list[str]]:
    """Parse a table from CSV; the error lists every problem with its line number."""
    reader = csv.DictReader(io.StringIO(text))
    header = reader.fieldnames or []
    problems = [f"line 1: column {name!r} is missing" for name in KEY_COLUMNS if name not in header]
    unknown = [name for name in header if name not in (*KEY_COLUMNS, *COLUMNS)]
    problems += [f"line 1: unknown column {name!r}" for name in unknown]
    missing = [name for name in COLUMNS if name not in header]
    problems += [f"line 1: column {name!r} is missing" for name in missing]
    if problems:
        return Err(problems)
    return _read_rows(reader)


def _read_rows(reader: "csv.DictReader[str]") -> Result[Sheet, list[str]]:
    rows: dict[str, Row] = {}
    problems: list[str] = []
    for record in reader:
        place = f"line {reader.line_num}"
        match _read_row(record):
            case Ok(row) if row.key in rows:
                problems.append(f"{place}: row {row.key} stands twice")
            case Ok(row):
                rows[row.key] = row
            case Err(problem):
                problems.append(f"{place}: {problem}")
    if problems:
        return Err(problems)
    return Ok(Sheet(rows=tuple(sorted(rows.values(), key=lambda row: (row.kind, row.name)))))


def _read_row(record: dict[str, str]) -> Result[Row, str]:
    if None in record or None in record.values():
        return Err("the number of cells differs from the header's")
    kind = record["kind"]
    if kind not in {each.value for each in RowKind}:
        return Err(f"kind: {kind!r} is not one of {', '.join(RowKind)}")
    cells = {column: record[column].strip() for column in COLUMNS}
    return make_row(RowKind(kind), record["name"], cells)
