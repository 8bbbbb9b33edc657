"""Status: each daemon reports to its zone's writer, which writes one object for the zone.

Owns `World.reports`, the members' latest reports, in the writer's memory; another writer collects
them again. Status is for people: nothing is decided from it.
"""

import math

from pydantic import BaseModel, ConfigDict, ValidationError

from pondtiller import wire
from pondtiller.coordination.outbound import Outbound
from pondtiller.hashing import owner
from pondtiller.serve.core import constants
from pondtiller.serve.core.entities import RowCounts
from pondtiller.serve.core.events import StatusMessageArrived
from pondtiller.serve.core.instructions import WriteStore
from pondtiller.serve.core.reports import DaemonReport, RowFigures
from pondtiller.serve.core.timers import TimerKind
from pondtiller.serve.core.views import MemberReport
from pondtiller.serve.core.world import World
from pondtiller.table.sheet import DOCUMENT_NAME

FORGET_SECONDS = 60.0
"""Age of the latest report at which a daemon is left out of the zone's status. Chosen: twelve
reports."""


class DaemonStatus(BaseModel):
    """What is known of one daemon, and how old that is."""

    model_config = ConfigDict(frozen=True)

    daemon: str
    age_seconds: float
    table_revision: int
    table_age_seconds: float
    ready: bool


class ZoneRow(BaseModel):
    """Figures of one row, added up over the daemons of a zone.

    Attributes
    ----------
    median_seconds
        Mean of the daemons' medians, weighted by answered requests.
    age_seconds
        Age of the oldest figure in it.
    """

    model_config = ConfigDict(frozen=True)

    figures: RowFigures
    age_seconds: float


class ZoneStatus(BaseModel):
    """Status object of one zone; its size follows rows plus daemons, not their product."""

    model_config = ConfigDict(frozen=True)

    zone: str
    writer: str
    daemons: tuple[DaemonStatus, ...]
    rows: tuple[ZoneRow, ...]


def add_rows(rows: list[ZoneRow]) -> list[ZoneRow]:
    """Return one entry a row, added up."""
    by_name: dict[str, list[ZoneRow]] = {}
    for row in rows:
        by_name.setdefault(row.figures.row, []).append(row)
    return [_add(name, entries) for name, entries in sorted(by_name.items())]


def _add(name: str, entries: list[ZoneRow]) -> ZoneRow:
    figures = [entry.figures for entry in entries]
    answered = sum(each.answered for each in figures)
    weighted = sum(each.median_seconds * each.answered for each in figures)
    total = RowFigures(
        row=name,
        in_flight=sum(each.in_flight for each in figures),
        queued=sum(each.queued for each in figures),
        answered=answered,
        refused=sum(each.refused for each in figures),
        failed=sum(each.failed for each in figures),
        tokens=sum(each.tokens for each in figures),
        median_seconds=weighted / answered if answered else 0.0,
        slowest_seconds=max(each.slowest_seconds for each in figures),
        samples=sum(each.samples for each in figures),
        staleness=max(each.staleness for each in figures),
        limit_share=sum(each.limit_share for each in figures),
    )
    return ZoneRow(figures=total, age_seconds=max(entry.age_seconds for entry in entries))


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
        rows=tuple(add_rows(_reported_rows(world, now))),
    )
    name = constants.STATUS_DOCUMENT_PREFIX + world.zone
    world.do(WriteStore(name, None, status.model_dump_json().encode()))


def _reported_rows(world: World, now: float) -> list[ZoneRow]:
    return [
        ZoneRow(figures=row, age_seconds=now - known.heard_at)
        for known in world.reports.values()
        for row in known.report.rows
    ]


def _daemon_status(name: str, known: MemberReport, now: float) -> DaemonStatus:
    report = known.report
    return DaemonStatus(
        daemon=name,
        age_seconds=now - known.heard_at,
        table_revision=report.table_revision,
        table_age_seconds=report.table_age_seconds,
        ready=report.ready,
    )
