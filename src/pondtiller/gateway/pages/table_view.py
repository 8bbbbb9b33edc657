"""The table in force at one gateway, with status columns; imported when it is first requested.

The counts are those of this gateway only. Uses `routes.sheet_rows` to convert rows back into the
operators' table.
"""

from pondtiller.gateway.pages.figures import GatewayFigures
from pondtiller.platform import names
from pondtiller.routes.sheet_rows import sheet_of
from pondtiller.table.sheet import COLUMNS, Row, RowKind, shown_text

STATUS_COLUMNS = ("answered", "refused", "failed", "engines_ready", "engines_leaving")
SHOWN_COLUMNS = tuple(name for name in COLUMNS if name not in ("worth", "retry_ratio", "weight"))


def render(figures: GatewayFigures) -> bytes:
    """Return the table as tab-separated lines, after a line about this gateway."""
    table = figures.table
    if table is None:
        return b"no table is known yet\n"
    head = (
        f"gateway {figures.name}, table version {table.version}, "
        f"leader {figures.leader or 'none'}, "
        f"table heard {figures.configuration_age_seconds:.1f} s ago "
        f"from {figures.readers.get(names.CONFIGURATIONS, 'nobody')}, "
        f"engines {figures.engines_age_seconds:.1f} s ago "
        f"from {figures.readers.get(names.ENGINES, 'nobody')}"
        f"{_evacuated(figures)}"
    )
    lines = [head, "\t".join(["row", *SHOWN_COLUMNS, "|", *STATUS_COLUMNS])]
    lines += [_line(figures, row) for row in sheet_of(table).rows]
    return ("\n".join(lines) + "\n").encode()


def _evacuated(figures: GatewayFigures) -> str:
    """Return the evacuated zones, with the requests that this gateway still has there."""
    found = []
    for zone in figures.evacuated:
        running = sum(each.running for each in figures.engines if each.entry.zone == zone)
        found.append(f"{zone} ({running} still running)")
    return f", evacuated {', '.join(found)}" if found else ""


def _line(figures: GatewayFigures, row: Row) -> str:
    cells = [row.key, *(shown_text(row, column) for column in SHOWN_COLUMNS), "|"]
    is_caller = row.kind is RowKind.CALLER
    status = _requests(figures, row.name) if is_caller else _engines(figures, row.name)
    return "\t".join([*cells, *status])


def _requests(figures: GatewayFigures, route: str) -> list[str]:
    counts = {"answered": 0, "refused": 0, "failed": 0}
    for (name, outcome), count in figures.metrics.answered.items():
        if name != route:
            continue
        if outcome.startswith("2"):
            counts["answered"] += count
        elif outcome in REFUSED_OUTCOMES:
            counts["refused"] += count
        else:
            counts["failed"] += count
    return [*map(str, counts.values()), "-", "-"]


def _engines(figures: GatewayFigures, service: str) -> list[str]:
    states = [
        engine.entry.state.value
        for engine in figures.engines
        if engine.entry.service == service and engine.gone_at is None
    ]
    return ["-", "-", "-", str(states.count("ready")), str(states.count("leaving"))]


REFUSED_OUTCOMES = ("no_engine", "not_ready", "expired_in_queue", "limit_reached")
