"""Status: each daemon reports to its zone's writer, which writes one object for the zone."""

import math

from pydantic import BaseModel, ConfigDict, ValidationError

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


class DaemonReport(BaseModel):
    """What one daemon says of itself."""

    model_config = ConfigDict(frozen=True)

    table_revision: int
    table_age_seconds: float
    ready: bool
    rows: tuple[RowFigures, ...]


class DaemonStatus(DaemonReport):
    """What one daemon reported, and how old that is."""

    daemon: str
    age_seconds: float


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
            _take_report(world, event.sender, event.message, now)
    if world.due_keys(TimerKind.STATUS):
        world.set_timer(TimerKind.STATUS, now + constants.STATUS_SECONDS)
        _report(world, now)


def _take_report(world: World, sender: str, message: wire.StatusReport, now: float) -> None:
    try:
        report = DaemonReport.model_validate_json(message.body)
    except ValidationError:
        world.log("status_report_invalid", sender=sender)
        return
    world.reports[sender] = MemberReport(report, now)


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
    report = DaemonReport(
        table_revision=document.revision if document is not None else 0,
        table_age_seconds=now - document.adopted_at if document is not None else 0.0,
        ready=world.ready and not world.draining,
        rows=tuple(_row_figures(world, row, counts, now) for row, counts in world.counts.items()),
    )
    return wire.StatusReport(body=report.model_dump_json().encode())


def _row_figures(world: World, row: str, counts: RowCounts, now: float) -> RowFigures:
    latencies = sorted(counts.latencies)
    share = world.shares.get(row)
    return RowFigures(
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
    return DaemonStatus(daemon=name, age_seconds=now - known.heard_at, **dict(known.report))
