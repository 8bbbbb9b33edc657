"""The table for display: cells with the status that the zones report.

For the daemons of `serve`, whose status objects are read from the platform; a gateway's own view is
`cli.table_status`. Formats only.
"""

from dataclasses import dataclass

from pydantic import ValidationError
from result import Err, Ok

from pondtiller.address import Address
from pondtiller.httpio.client import HttpClient
from pondtiller.httpio.client_errors import BrokenError, NotSentError
from pondtiller.process import clock
from pondtiller.serve.core.constants import STATUS_DOCUMENT_PREFIX
from pondtiller.serve.core.events import StoredObject
from pondtiller.serve.daemon.platform_client import ListBody, to_stored
from pondtiller.serve.systems.status import ZoneRow, ZoneStatus, add_rows
from pondtiller.table.sheet import COLUMNS, DOCUMENT_NAME, Row, Sheet, parse, shown_text


class PlatformUnavailableError(Exception):
    """The object service did not answer, or not with a list."""


@dataclass(frozen=True, slots=True)
class DaemonView:
    """One daemon's line under the table."""

    daemon: str
    zone: str
    ready: bool
    table_revision: int
    age_seconds: float


@dataclass(frozen=True, slots=True)
class TableView:
    """Table and status at one moment."""

    revision: int
    sheet: Sheet
    status: dict[str, ZoneRow]
    daemons: tuple[DaemonView, ...]


async def read_objects(client: HttpClient, platform: Address) -> list[StoredObject]:
    """Return all objects of the platform."""
    return [to_stored(item) for item in (await _read_list(client, platform)).items]


async def _read_list(client: HttpClient, platform: Address) -> ListBody:
    try:
        response = await client.request(platform, "GET", "/api/v1/objects")
        return ListBody.model_validate_json(response.body)
    except (NotSentError, BrokenError, ValidationError) as error:
        raise PlatformUnavailableError(str(error).splitlines()[0]) from error


async def read_view(client: HttpClient, platform: Address) -> TableView:
    """Read table and status."""
    listed = await _read_list(client, platform)
    revision, sheet = 0, Sheet()
    zones: list[tuple[ZoneStatus, float]] = []
    for item in listed.items:
        stored = to_stored(item)
        if stored.name == DOCUMENT_NAME:
            revision, sheet = stored.revision, read_sheet(stored.body)
        elif stored.name.startswith(STATUS_DOCUMENT_PREFIX):
            age = max(0.0, clock.wall_seconds() - item.metadata.writtenAt)
            zones.append((ZoneStatus.model_validate_json(stored.body), age))
    return TableView(revision, sheet, _sum_rows(zones), _daemons(zones))


def read_sheet(body: bytes) -> Sheet:
    """Return the sheet in an object's body."""
    match parse(body):
        case Ok(sheet):
            return sheet
        case Err(problem):
            raise PlatformUnavailableError(f"the table cannot be read: {problem}")


def _sum_rows(zones: list[tuple[ZoneStatus, float]]) -> dict[str, ZoneRow]:
    aged = [
        ZoneRow(figures=row.figures, age_seconds=row.age_seconds + age)
        for zone, age in zones
        for row in zone.rows
    ]
    return {row.figures.row: row for row in add_rows(aged)}


def _daemons(zones: list[tuple[ZoneStatus, float]]) -> tuple[DaemonView, ...]:
    return tuple(
        DaemonView(
            daemon.daemon,
            zone.zone,
            daemon.ready,
            daemon.table_revision,
            age + daemon.age_seconds,
        )
        for zone, age in sorted(zones, key=lambda entry: entry[0].zone)
        for daemon in zone.daemons
    )


STATUS_COLUMNS = (
    "in_flight",
    "queued",
    "answered",
    "refused",
    "failed",
    "samples",
    "staleness",
    "median_s",
    "age_s",
)


def render_view(view: TableView) -> str:
    """Return table, status and daemons as aligned text."""
    header = ["row", *COLUMNS, "|", *STATUS_COLUMNS]
    lines = [header] + [_line(row, view.status.get(row.key)) for row in view.sheet.rows]
    parts = [f"table revision {view.revision}", align(lines)]
    if view.daemons:
        daemon_lines = [["daemon", "zone", "ready", "table_revision", "age_s"]]
        for each in view.daemons:
            ready = "yes" if each.ready else "no"
            revision, age = str(each.table_revision), f"{each.age_seconds:.0f}"
            daemon_lines.append([each.daemon, each.zone, ready, revision, age])
        parts += ["", align(daemon_lines)]
    return "\n".join(parts)


def _line(row: Row, status: ZoneRow | None) -> list[str]:
    cells = [row.key, *(shown_text(row, column) for column in COLUMNS), "|"]
    if status is None:
        return cells + ["-"] * len(STATUS_COLUMNS)
    figures = status.figures
    counts = (
        figures.in_flight,
        figures.queued,
        figures.answered,
        figures.refused,
        figures.failed,
        figures.samples,
        figures.staleness,
    )
    median, age = f"{figures.median_seconds:.3f}", f"{status.age_seconds:.0f}"
    return [*cells, *map(str, counts), median, age]


def align(lines: list[list[str]]) -> str:
    """Return lines of cells with aligned columns."""
    widths = [max(len(line[number]) for line in lines) for number in range(len(lines[0]))]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip()
        for line in lines
    )
