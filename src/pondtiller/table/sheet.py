"""The table as a value: rows of cells, validated on input.

Defines rows, edits and the stored JSON. A sheet is immutable: an edit returns a new one. The
meaning of cells for requests is in `routes.sheet_rows` and in `serve.systems`.
"""

from collections.abc import Iterator
from enum import StrEnum
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator
from result import Err, Ok, Result

from pondtiller.hashing import DIGEST_SHOWN

DOCUMENT_NAME = "table"
KEPT_EDITS = 200
"""Number of latest edits whose identifiers the sheet stores, so that an editor with a lost answer
can find out whether its edit took effect: some seven hours at 710 edits a day."""

Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")]


class RowKind(StrEnum):
    """What a row describes."""

    SERVICE = "service"
    TRAINER = "trainer"
    CALLER = "caller"
    TENANT = "tenant"


class Row(BaseModel):
    """One row of the table.

    Attributes
    ----------
    kind, name
        Together they identify the row.
    model
        Model that serves the row; services and trainers only.
    weight
        Share of engine time relative to other waiting rows.
    limit
        Requests that may be in progress at a time everywhere together; None for no limit.
    priority
        Priority passed to engines, 0 (least) to 9.
        Value of one answered request, for the weighted cost.
        Worth of one answered request, for the weighted cost.
        Trainers: versions by which weights may be older than the step's version.
        Trainers: versions by which weights may be older than the step's version.
    retry_ratio
        Allowed retries per first attempt.
    deadline_seconds
        Longest time to an answer; None for the default of the row's kind.
    host, path
        Callers: requests to this host whose path has this prefix belong to this row.
    request
        Callers: how a failed request may be treated.
    split
        Callers: services with weights, as `service:weight`, separated by blanks.
    objective_seconds
        Callers: time within which an answer has its full value.
    attempts
        Callers: largest number of engines to which one request may be sent.
    resumes, sticky, single_version
        Callers: whether streams may be resumed, stay on an engine, or on one version.
    step_seconds, queue_seconds
        Callers of steps: when results are due, and after how long a sample may be abandoned.
    public
        Callers: whether no key is required.
    keys
        Tenants: SHA-256 digests of their keys, separated by blanks; never a key itself.
    rate
        Tenants: total number of requests per second; None for no limit.
    """

    model_config = ConfigDict(frozen=True, extra="forbid")

    kind: RowKind
    name: Name
    model: Name | None = None
    weight: float = Field(default=1.0, gt=0, le=1e6, allow_inf_nan=False)
    limit: int | None = Field(default=None, ge=0, le=1_000_000)
    priority: int | None = Field(default=None, ge=0, le=9)
    worth: float = Field(default=1.0, ge=0, le=1e9, allow_inf_nan=False)
    staleness_bound: int | None = Field(default=None, ge=0, le=1000)
    retry_ratio: float = Field(default=0.1, ge=0, le=1, allow_inf_nan=False)
    deadline_seconds: float | None = Field(default=None, gt=0, le=86_400, allow_inf_nan=False)
    host: str | None = None
    path: str | None = Field(default=None, pattern=r"^/([^ ]*/)?$")
    request: Literal["safe", "unsafe", "stream", "step"] | None = None
    split: str | None = Field(default=None, pattern=r"^[^ :]+:[0-9.]+( [^ :]+:[0-9.]+)*$")
    objective_seconds: float | None = Field(default=None, gt=0, le=86_400, allow_inf_nan=False)
    attempts: int | None = Field(default=None, ge=1, le=100)
    resumes: bool | None = None
    sticky: bool | None = None
    single_version: bool | None = None
    step_seconds: float | None = Field(default=None, gt=0, le=86_400, allow_inf_nan=False)
    queue_seconds: float | None = Field(default=None, gt=0, le=86_400, allow_inf_nan=False)
    public: bool | None = None
    keys: str | None = Field(default=None, pattern=r"^[0-9a-f]{64}( [0-9a-f]{64})*$")
    rate: float | None = Field(default=None, gt=0, le=1e6, allow_inf_nan=False)

    @property
    def key(self) -> str:
        """Name of the row within the table, for example `service/quote-api`."""
        return f"{self.kind.value}/{self.name}"

    @model_validator(mode="after")
    def _check_kind(self) -> "Row":
        has_model = self.kind in (RowKind.SERVICE, RowKind.TRAINER)
        if not has_model and self.model is not None:
            raise ValueError(f"a {self.kind.value} row has no model")
        if has_model and self.model is None:
            raise ValueError(f"a {self.kind.value} row needs a model")
        routing = [name for name in ROUTING_COLUMNS if getattr(self, name) is not None]
        if self.kind is not RowKind.CALLER and routing:
            raise ValueError(f"only a caller row has {', '.join(routing)}")
        if routing and None in (self.host, self.path, self.request, self.split):
            raise ValueError("a row that routes needs host, path, request and split")
        if self.kind is not RowKind.TRAINER and self.staleness_bound is not None:
            raise ValueError("only a trainer row has a staleness_bound")
        owned = [name for name in TENANT_COLUMNS if getattr(self, name) is not None]
        if self.kind is not RowKind.TENANT and owned:
            raise ValueError(f"only a tenant row has {', '.join(owned)}")
        return self


ROUTING_COLUMNS = (
    "host",
    "path",
    "request",
    "split",
    "objective_seconds",
    "attempts",
    "resumes",
    "sticky",
    "single_version",
    "step_seconds",
    "queue_seconds",
    "public",
)
TENANT_COLUMNS = ("keys", "rate")
COLUMNS: tuple[str, ...] = tuple(name for name in Row.model_fields if name not in ("kind", "name"))


class CellChange(BaseModel):
    """One cell of an edit.

    Attributes
    ----------
    kind, name
        Row of the cell.
    column
        Column of the cell, or `row` to remove (`new` empty) the whole row.
    seen
        Value that the operator saw, as text; empty for an empty cell or a missing row.
    new
        Value to set, as text; empty to clear the cell.
    """

    model_config = ConfigDict(frozen=True, extra="forbid")

    kind: RowKind
    name: Name
    column: str
    seen: str
    new: str


class Edit(BaseModel):
    """A set of cell changes that is accepted or refused as a whole."""

    model_config = ConfigDict(frozen=True, extra="forbid")

    edit_id: str
    author: str = ""
    at: float = 0.0
    changes: tuple[CellChange, ...]


class Sheet(BaseModel):
    """The whole table with the latest edits.

    Attributes
    ----------
    rows
        All rows, sorted by kind and name.
    edits
        Accepted edits, oldest first, at most `KEPT_EDITS`.
    """

    model_config = ConfigDict(frozen=True, extra="forbid")

    rows: tuple[Row, ...] = ()
    edits: tuple[Edit, ...] = ()

    @model_validator(mode="after")
    def _check_unique(self) -> "Sheet":
        keys = [row.key for row in self.rows]
        doubled = sorted({key for key in keys if keys.count(key) > 1})
        if doubled:
            raise ValueError(f"rows stand twice: {', '.join(doubled)}")
        return self

    def row(self, kind: RowKind, name: str) -> Row | None:
        """Return one row, or None if there is none."""
        for row in self.rows:
            if row.kind is kind and row.name == name:
                return row
        return None

    def rows_of(self, kind: RowKind) -> Iterator[Row]:
        """Return the rows of one kind."""
        return (row for row in self.rows if row.kind is kind)

    def has_edit(self, edit_id: str) -> bool:
        """Return whether an edit is among the accepted ones."""
        return any(edit.edit_id == edit_id for edit in self.edits)


class RefusalReason(StrEnum):
    """Why an edit is refused."""

    CONFLICT = "conflict"
    INVALID = "invalid"


class EditRefused(BaseModel):
    """An edit that was refused as a whole, with one sentence per cause."""

    model_config = ConfigDict(frozen=True)

    reason: RefusalReason
    details: tuple[str, ...]


def cell_text(row: Row | None, column: str) -> str:
    """Return a cell as text; empty for an empty cell or a missing row."""
    if row is None:
        return ""
    if column == "row":
        return row.key
    value = getattr(row, column)
    return "" if value is None else str(value)


def shown_text(row: Row, column: str) -> str:
    """Return a cell for display: digests by their first digits, `-` if empty."""
    text = cell_text(row, column)
    if column == "keys":
        text = " ".join(digest[:DIGEST_SHOWN] for digest in text.split())
    return text or "-"


def parse(body: bytes) -> Result[Sheet, str]:
    """Parse a sheet from the document's JSON; the error says what is wrong."""
    try:
        return Ok(Sheet.model_validate_json(body))
    except ValidationError as error:
        return Err(explain(error))


def explain(error: ValidationError) -> str:
    """Return a validation error as one line with each field and reason."""
    parts: list[str] = []
    for item in error.errors():
        place = ".".join(str(step) for step in item["loc"]) or "value"
        parts.append(f"{place}: {item['msg']}")
    return "; ".join(parts)


def make_row(
    kind: RowKind | Literal["service", "trainer", "caller", "tenant"],
    name: str,
    cells: dict[str, str],
) -> Result[Row, str]:
    """Return a row from cells given as text; empty text leaves the default."""
    given = {column: text for column, text in cells.items() if text != ""}
    unknown = sorted(set(given) - set(COLUMNS))
    if unknown:
        return Err(f"unknown column: {', '.join(unknown)}")
    try:
        return Ok(Row.model_validate({"kind": kind, "name": name, **given}))
    except ValidationError as error:
        return Err(explain(error))
