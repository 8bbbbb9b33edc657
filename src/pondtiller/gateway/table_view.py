"""The table in force at one gateway, filled with status; loaded when somebody looks."""

from typing import TYPE_CHECKING

from pondtiller.daemon import clock
from pondtiller.platform import names
from pondtiller.routes.sheet_rows import sheet_of
from pondtiller.table.sheet import COLUMNS, Row, RowKind, cell_text

if TYPE_CHECKING:
    from pondtiller.gateway.process import GatewayProcess

STATUS_COLUMNS = ("answered", "refused", "failed", "engines_ready", "engines_leaving")
SHOWN_COLUMNS = tuple(name for name in COLUMNS if name not in ("worth", "retry_ratio", "weight"))


def render(gateway: "GatewayProcess") -> bytes:
    """Return the table as tab-separated lines, with a line about this gateway first."""
    table = gateway.front.table
    if table is None:
        return b"no table is known yet\n"
    leader = gateway.leadership.leader()
    now = clock.monotonic()
    watches, reader = gateway.watches, gateway.mirrored_store.reader
    head = (
        f"gateway {gateway.settings.name}, table version {table.version}, "
        f"leader {leader.name if leader is not None else 'none'}, "
        f"table heard {now - watches.configuration.heard_at:.1f} s ago "
        f"from {reader.get(names.CONFIGURATIONS, 'nobody')}, "
        f"engines {now - watches.engines.heard_at:.1f} s ago "
        f"from {reader.get(names.ENGINES, 'nobody')}"
    )
    lines = [head, "\t".join(["row", *SHOWN_COLUMNS, "|", *STATUS_COLUMNS])]
    lines += [_line(gateway, row) for row in sheet_of(table).rows]
    return ("\n".join(lines) + "\n").encode()


def _line(gateway: "GatewayProcess", row: Row) -> str:
    cells = [row.key, *(cell_text(row, column) or "-" for column in SHOWN_COLUMNS), "|"]
    is_caller = row.kind is RowKind.CALLER
    status = _requests(gateway, row.name) if is_caller else _engines(gateway, row.name)
    return "\t".join([*cells, *status])


def _requests(gateway: "GatewayProcess", route: str) -> list[str]:
    counts = {"answered": 0, "refused": 0, "failed": 0}
    for (name, outcome), count in gateway.metrics.answered.items():
        if name != route:
            continue
        if outcome.startswith("2"):
            counts["answered"] += count
        elif outcome in REFUSED_OUTCOMES:
            counts["refused"] += count
        else:
            counts["failed"] += count
    return [*map(str, counts.values()), "-", "-"]


def _engines(gateway: "GatewayProcess", service: str) -> list[str]:
    states = [
        engine.entry.state.value
        for engine in gateway.engines.engines.values()
        if engine.entry.service == service and engine.gone_at is None
    ]
    return ["-", "-", "-", str(states.count("ready")), str(states.count("leaving"))]


REFUSED_OUTCOMES = ("no_engine", "not_ready", "expired_in_queue")
