"""Which windows are due, closed, sent and done: one report per window, always the same. No I/O.

A window's report is written to the log before it is sent for the first time. Every later send, by
this leader or a successor, repeats the logged report.

Holds the open windows of one term; the durable part is in the log, under `use/`. Uses the ledger
for the counts, and relies on its caller to write and send. Does not count (`meter.py`).
"""

import json
import math
from collections.abc import Iterable
from dataclasses import dataclass

from pondtiller.steplog.entry import Entry
from pondtiller.usage.ledger import LedgerRow, UseLedger
from pondtiller.usage.meter import window_of

USE_PREFIX = "use/"
TALLY_PREFIX = f"{USE_PREFIX}tally/"
REPORT_PREFIX = f"{USE_PREFIX}report/"
DONE_PREFIX = f"{USE_PREFIX}done/"
SETTLE_SECONDS = 0.3
"""Shortest time from the end of a window until it is closed: clocks differ by less."""
REPORT_WAIT_SECONDS = 1.5
"""How long a new leader waits for the daemons, which report everything within two rounds of
`usage_sender.SEND_INTERVAL_SECONDS` and the time to find it."""
SEND_MARGIN_SECONDS = 4.0
"""How long before the report's due time a window is closed even if gateways are missing: enough for
a pause as long as `lease` after another holder, or for a few repeats."""
RETRY_SECONDS = 0.4
"""Time after which a report that was not accepted is sent again the first time, doubled each time,
less up to a half at random: `SEND_MARGIN_SECONDS` fits three or more sends."""
MAX_RETRY_SECONDS = 2.0
"""Maximum of these waits: half of `SEND_MARGIN_SECONDS`. A report counts once, however often it is
sent."""


@dataclass
class Report:
    """A closed window's report.

    Attributes
    ----------
    content
        Bytes to send.
    is_written
        Whether the log contains it; it must not be sent before.
    retry_at
        No send before this time.
    """

    window: int
    content: bytes
    is_written: bool = False
    retry_at: float = 0.0
    tries: int = 0


def tally_key(epoch: int, number: int) -> str:
    """Return the key of a part of the counts; keys sort by epoch, then by number."""
    return f"{TALLY_PREFIX}{epoch:020d}-{number:08d}"


def report_key(window: int) -> str:
    """Return the key of a window's report."""
    return f"{REPORT_PREFIX}{window:014d}"


def done_key(window: int) -> str:
    """Return the key that marks a window as needing no more sends."""
    return f"{DONE_PREFIX}{window:014d}"


def pack_tally(rows: Iterable[LedgerRow]) -> bytes:
    """Encode counts as one value of the log."""
    return json.dumps(list(rows)).encode()


class UsageReports:
    """The reports of one term.

    Parameters
    ----------
    window_seconds
        Length of a window.
    late_seconds
        How long after its window a report still counts.
    """

    def __init__(self, window_seconds: float, late_seconds: float, began: float) -> None:
        self.window_seconds = window_seconds
        self.late_seconds = late_seconds
        self.next_window: int | None = None
        self.open: dict[int, Report] = {}
        self.tallies: dict[str, int] = {}
        self._began = began
        self._done: set[str] = set()
        self._last_done = -1

    # The log

    def restore(self, entries: Iterable[Entry], ledger: UseLedger) -> None:
        """Restore the log's entries of earlier terms."""
        for entry in entries:
            if entry.key.startswith(TALLY_PREFIX):
                rows = [LedgerRow(*row) for row in json.loads(entry.value)]
                ledger.take(rows)
                self.tallies[entry.key] = max((row.window for row in rows), default=0)
            elif entry.key.startswith(REPORT_PREFIX):
                window = int(entry.key.removeprefix(REPORT_PREFIX))
                self.open[window] = Report(window, entry.value, is_written=True)
            elif entry.key.startswith(DONE_PREFIX):
                self._done.add(entry.key)
                self._last_done = max(self._last_done, int(entry.key.removeprefix(DONE_PREFIX)))
        last = max([self._last_done, *self.open])
        self.next_window = last + 1 if last >= 0 else None
        self.open = {each: report for each, report in self.open.items() if each > self._last_done}

    def note_written(self, key: str) -> None:
        """Record that the log contains a report."""
        if key.startswith(REPORT_PREFIX):
            report = self.open.get(int(key.removeprefix(REPORT_PREFIX)))
            if report is not None:
                report.is_written = True

    # Windows

    def end_of(self, window: int) -> float:
        """Return the agreed wall-clock time at which a window ends."""
        return (window + 1) * self.window_seconds

    def begin(self, agreed_now: float, ledger: UseLedger, now: float) -> None:
        """Determine the first window, unless the log did: that of this term's start or earlier."""
        if self.next_window is None:
            began = agreed_now - (now - self._began)
            first = window_of(began, self.window_seconds)
            self.next_window = min([first, *ledger.windows()])

    def skip_late(self, agreed_now: float) -> int:
        """Skip windows whose reports would be too late; return how many."""
        if self.next_window is None:
            return 0
        counting = math.ceil((agreed_now - self.late_seconds) / self.window_seconds) - 1
        skipped = max(0, counting - self.next_window)
        self.next_window += skipped
        return skipped

    def due(self, agreed_now: float, ledger: UseLedger, now: float) -> int | None:
        """Return the next window to close now, or None."""
        if self.next_window is None:
            return None
        window, end = self.next_window, self.end_of(self.next_window)
        if agreed_now < end + SETTLE_SECONDS:
            return None
        if agreed_now > end + self.late_seconds - SEND_MARGIN_SECONDS:
            return window
        if now < self._began + REPORT_WAIT_SECONDS or not ledger.is_complete(end, now):
            return None
        return window

    def close(self, window: int, content: bytes) -> Report:
        """Fix the report of a window, which is then written to the log."""
        report = self.open[window] = Report(window, content)
        self.next_window = window + 1
        return report

    # Sends

    def next_send(self, now: float) -> Report | None:
        """Return the oldest report if it may be sent now; reports go in order."""
        if not self.open:
            return None
        report = self.open[min(self.open)]
        return report if report.is_written and now >= report.retry_at else None

    def note_failure(self, report: Report, now: float, jitter: float) -> None:
        """Record that a send was rejected or not answered.

        Parameters
        ----------
        jitter
            Random number from 0 to 1.
        """
        wait = min(MAX_RETRY_SECONDS, RETRY_SECONDS * 2**report.tries)
        report.tries += 1
        report.retry_at = now + wait * (0.5 + jitter / 2)

    def is_too_late(self, report: Report, agreed_now: float) -> bool:
        """Return whether a report is too late to count."""
        return agreed_now > self.end_of(report.window) + self.late_seconds

    def finish(self, report: Report) -> str:
        """End a window, which needs no more sends; return the key that marks it in the log."""
        del self.open[report.window]
        self._last_done = max(self._last_done, report.window)
        return done_key(report.window)

    def obsolete(self, key: str) -> list[str]:
        """Return the keys of the log that the written end of a window makes obsolete."""
        window = int(key.removeprefix(DONE_PREFIX))
        first_open = min(self.open, default=self._last_done + 1)
        tallies = [each for each, last in self.tallies.items() if last < first_open]
        for each in tallies:
            del self.tallies[each]
        older = [each for each in self._done if each < key]
        self._done -= set(older)
        self._done.add(key)
        return [*tallies, *older, report_key(window)]
