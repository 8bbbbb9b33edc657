"""Leader's duty to report usage: collects counts, closes windows, retries each report until taken.

Holds the counts of open windows for one term; they are written to the step log every
`TALLY_SECONDS`. When a window is closed, and when a report is too late, is decided in
`usage/reports.py`.

Permission to send is the same as for ordering engines: a note in the log before each call, and a
pause after another gateway's last note, see `order_rights`.
"""

import random
from functools import partial
from typing import NamedTuple

import curio

from pondtiller.coordination.agreed_clock import AgreedClock
from pondtiller.gateway.callers.table_in_force import TableInForce
from pondtiller.gateway.leader.leadership import Leadership
from pondtiller.gateway.leader.order_rights import OrderRights
from pondtiller.gateway.leader.order_waits import pause_after_others
from pondtiller.gateway.metrics import GatewayMetrics
from pondtiller.platform.operator_api import OperatorClient, usage_body
from pondtiller.process import clock, logs
from pondtiller.rollouts.steps import StepStatus
from pondtiller.steplog.entry import Entry
from pondtiller.usage.ledger import LedgerRow, UseLedger
from pondtiller.usage.meter import UseRow, unpack_rows
from pondtiller.usage.reports import (
    DONE_PREFIX,
    Report,
    UsageReports,
    pack_tally,
    report_key,
    tally_key,
)
from pondtiller.wire.steplog import UseTaken, UseTold

CHECK_SECONDS = 0.2
"""Interval of the check for windows to close and reports to send; a report is accepted for seconds
after its window."""
TALLY_SECONDS = 0.5
"""How long counts are collected before they are written to the log: the part of the open window
that is lost if all machines lose power."""
CALL_SECONDS = 1.5
"""Time limit of one call; the platform answers in milliseconds, and 50 times slower at worst."""
SUBJECT = "usage"
"""All windows share one subject: a successor waits after the last report of any of them."""


class UsageSettings(NamedTuple):
    """What usage is reported, and when.

    Attributes
    ----------
    window_seconds
        Length of a window.
    late_seconds
        How long after its window a report is accepted.
    lease_seconds
        Minimum time between calls of two gateways.
    """

    window_seconds: float
    late_seconds: float
    lease_seconds: float


class UsageParts(NamedTuple):
    """Dependencies of the duty.

    Attributes
    ----------
    operator
        API client to which usage is reported.
    agreed
        Wall-clock time agreed between the machines.
    orders
        Permission of this term's leader to act.
    """

    settings: UsageSettings
    operator: OperatorClient
    agreed: AgreedClock
    leadership: Leadership
    in_force: TableInForce
    orders: OrderRights
    metrics: GatewayMetrics


class UsageDuty:
    """Reports usage during one term.

    Parameters
    ----------
    entries
        Usage entries of the log.
    """

    def __init__(self, parts: UsageParts, epoch: int, entries: list[Entry]) -> None:
        settings = parts.settings
        self.ledger = UseLedger()
        self.reports = UsageReports(
            settings.window_seconds, settings.late_seconds, clock.monotonic()
        )
        self.reports.restore(entries, self.ledger)
        self._settings = settings
        self._operator = parts.operator
        self._agreed = parts.agreed
        self._leadership = parts.leadership
        self._in_force = parts.in_force
        self._orders = parts.orders
        self._metrics = parts.metrics
        self._epoch = epoch
        self._news: list[LedgerRow] = []
        self._tally_number = 0
        self._next_tally = 0.0
        self._agreed.forget_machines()

    def record(self, message: UseTold) -> UseTaken:
        """Record the usage that a gateway has counted."""
        now = clock.monotonic()
        self._agreed.note_report(message.daemon, message.wall_seconds, now)
        rows = unpack_rows(message.rows)
        self._note_late(message.daemon, rows)
        self._news += self.ledger.report(
            message.daemon, message.incarnation, message.complete_until, rows, now
        )
        return UseTaken(
            status=StepStatus.OK, epoch=self._epoch, agreed_seconds=self._agreed.now(now) or 0.0
        )

    def _note_late(self, gateway: str, rows: list[UseRow]) -> None:
        """Log counts that arrive after their window was closed; they are not reported."""
        first = self.reports.next_window
        late = [row for row in rows if first is not None and row.window < first]
        if late:
            logs.decision(
                "use_late", told_by=gateway, windows=",".join(str(row.window) for row in late)
            )

    def committed(self, key: str) -> None:
        """Handle a write of this duty that is on a quorum of disks."""
        self.reports.note_written(key)
        if key.startswith(DONE_PREFIX):
            for each in self.reports.obsolete(key):
                self._leadership.log.drop(each)

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            now = clock.monotonic()
            table = self._in_force.table
            if table is not None and table.tenants and self._leadership.log.holds_lease(now):
                await self._work(now)
            await curio.sleep(CHECK_SECONDS)

    async def _work(self, now: float) -> None:
        self._write_tally(now)
        agreed_now = self._agreed.now(now)
        if agreed_now is not None:
            self._close_due(agreed_now, now)
        await self._leadership.flush()
        report = self.reports.next_send(now)
        if report is None or agreed_now is None:
            return
        if self.reports.is_too_late(report, agreed_now):
            self._finish(report, "too late")
        elif now >= self._orders.free_from(SUBJECT, self._pause):
            await self._send(report)

    @property
    def _pause(self) -> float:
        """How long after another gateway's note its call may still conflict with one from here."""
        return pause_after_others(self._settings.lease_seconds, CALL_SECONDS)

    def _write_tally(self, now: float) -> None:
        if not self._news or now < self._next_tally:
            return
        self._next_tally = now + TALLY_SECONDS
        self._tally_number += 1
        key = tally_key(self._epoch, self._tally_number)
        self._leadership.log.put(key, pack_tally(self._news))
        self.reports.tallies[key] = max(row.window for row in self._news)
        self._news = []

    def _close_due(self, agreed_now: float, now: float) -> None:
        self.reports.begin(agreed_now, self.ledger, now)
        skipped = self.reports.skip_late(agreed_now)
        if skipped:
            logs.decision("use_windows_skipped", windows=skipped, next=self.reports.next_window)
        while (window := self.reports.due(agreed_now, self.ledger, now)) is not None:
            end = self.reports.end_of(window)
            counts = self.ledger.totals(window)
            report = self.reports.close(window, usage_body(window, counts))
            self._leadership.log.put(report_key(window), report.content)
            logs.decision(
                "use_window_closed",
                window=window,
                epoch=self._epoch,
                tenants=len(counts),
                requests=sum(counts.values()),
                daemons=len(self.ledger.daemons),
                complete=self.ledger.is_complete(end, now),
                after=agreed_now - end,
                clock_spread=self._agreed.spread_seconds(now),
            )

    async def _send(self, report: Report) -> None:
        if not await self._orders.note_subject(SUBJECT):
            return
        outcome = await self._operator.report_use(
            report.content, self._epoch, CALL_SECONDS, partial(self._orders.may_act, SUBJECT)
        )
        logs.decision(
            "use_reported",
            window=report.window,
            fence=self._epoch,
            tries=report.tries + 1,
            outcome=outcome.detail,
        )
        if outcome.is_done:
            self._metrics.use_reports += 1
            self._finish(report, "taken")
        else:
            self._metrics.use_reports_failed += 1
            self.reports.note_failure(report, clock.monotonic(), random.random())

    def _finish(self, report: Report, outcome: str) -> None:
        if outcome != "taken":
            logs.decision("use_report_dropped", window=report.window, reason=outcome)
        self._leadership.log.put(self.reports.finish(report), outcome.encode())
        self.ledger.forget(report.window)
