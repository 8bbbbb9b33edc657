"""Status: each daemon reports to its zone's writer, which writes one object for the zone."""

import math

from pydantic import BaseModel, ConfigDict

from pondtiller import wire
from pondtiller.coordination.outbound import Outbound
from pondtiller.core import constants
from pondtiller.core.entities import RowCounts
from pondtiller.core.instructions import WriteStore
from pondtiller.core.world import MemberReport, TimerKind, World
from pondtiller.hashing import owner
from pondtiller.systems.peers import StatusMessageArrived
from pondtiller.table.sheet import DOCUMENT_NAME

FORGET_SECONDS = 60.0


class RowFigures(BaseModel):
    """Figures of one row on one daemon, since that daemon started."""

    model_config = ConfigDict(frozen=True)

    row: str
    in_flight: int
    queued: int
    answered: int
    refused: int
    failed: int
    tokens: int
    median_seconds: float
    slowest_seconds: float
    samples: int
    staleness: int
    limit_share: int


class DaemonStatus(BaseModel):
    """What one daemon reported, and how old that is."""

    model_config = ConfigDict(frozen=True)

    daemon: str
    age_seconds: float
    table_revision: int
    table_age_seconds: float
    ready: bool
    rows: tuple[RowFigures, ...]


class ZoneStatus(BaseModel):
    """Status object of one zone."""

    model_config = ConfigDict(frozen=True)

    zone: str
    writer: str
    daemons: tuple[DaemonStatus, ...]


def run(world: World, now: float) -> None:
    """Send this daemon's report, collect reports and write the zone's status."""
    for event in world.batch.of(StatusMessageArrived):
        if isinstance(event.message, wire.StatusReport):
            world.reports[event.sender] = MemberReport(event.message, now)
    if world.due_keys(TimerKind.STATUS):
        world.set_timer(TimerKind.STATUS, now + constants.STATUS_SECONDS)
        _report(world, now)


def _report(world: World, now: float) -> None:
    writer = owner(f"status/{world.zone}", world.membership.live_names_in(world.zone))
    if writer is None:
        return
    if writer == world.name:
        _write(world, now)
    world.send(Outbound(writer, build_report(world, now)))


def build_report(world: World, now: float) -> wire.StatusReport:
    """Return this daemon's report."""
    document = world.documents.documents.get(DOCUMENT_NAME)
    return wire.StatusReport(
        table_revision=document.revision if document is not None else 0,
        table_age_seconds=now - document.adopted_at if document is not None else 0.0,
        ready=world.ready and not world.draining,
        rows=[_row_status(world, row, counts, now) for row, counts in world.counts.items()],
    )


def _row_status(world: World, row: str, counts: RowCounts, now: float) -> wire.RowStatus:
    latencies = sorted(counts.latencies)
    share = world.shares.get(row)
    return wire.RowStatus(
        row=row,
        in_flight=counts.in_flight,
        queued=counts.queued,
        answered=counts.answered,
        refused=counts.refused,
        failed=counts.failed,
        tokens=counts.tokens,
        median_seconds=quantile(latencies, 0.5),
        slowest_seconds=quantile(latencies, 0.99),
        samples=counts.samples,
        staleness=counts.staleness,
        limit_share=share.usable(now) if share is not None else 0,
    )


def quantile(ordered: list[float], fraction: float) -> float:
    """Return a quantile of ordered values, 0 where there is none."""
    if not ordered:
        return 0.0
    position = math.ceil(fraction * len(ordered)) - 1
    return ordered[max(0, position)]


def _write(world: World, now: float) -> None:
    for name, known in list(world.reports.items()):
        if now - known.heard_at > FORGET_SECONDS:
            del world.reports[name]
    status = ZoneStatus(
        zone=world.zone,
        writer=world.name,
        daemons=tuple(
            _daemon_status(name, known, now) for name, known in sorted(world.reports.items())
        ),
    )
    name = constants.STATUS_DOCUMENT_PREFIX + world.zone
    world.do(WriteStore(name, None, status.model_dump_json().encode()))


def _daemon_status(name: str, known: MemberReport, now: float) -> DaemonStatus:
    report = known.report
    return DaemonStatus(
        daemon=name,
        age_seconds=now - known.heard_at,
        table_revision=report.table_revision,
        table_age_seconds=report.table_age_seconds,
        ready=report.ready,
        rows=tuple(
            RowFigures(
                row=row.row,
                in_flight=row.in_flight,
                queued=row.queued,
                answered=row.answered,
                refused=row.refused,
                failed=row.failed,
                tokens=row.tokens,
                median_seconds=row.median_seconds,
                slowest_seconds=row.slowest_seconds,
                samples=row.samples,
                staleness=row.staleness,
                limit_share=row.limit_share,
            )
            for row in report.rows
        ),
    )
