"""Counting, summing up and reporting use, on the tests' own clocks."""

from pondtiller.steplog.entry import Entry
from pondtiller.usage.ledger import UseLedger
from pondtiller.usage.meter import UseMeter, UseRow, pack_rows, unpack_rows
from pondtiller.usage.reports import (
    MAX_RETRY_SECONDS,
    REPORT_WAIT_SECONDS,
    SEND_MARGIN_SECONDS,
    SETTLE_SECONDS,
    UsageReports,
    done_key,
    pack_tally,
    report_key,
    tally_key,
)

WINDOW, LATE = 5.0, 10.0
AGREED = 1000.0
"""Agreed wall-clock time at monotonic time 0: the start of window 200."""


def agreed(now: float) -> float:
    return AGREED + now


def served(meter: UseMeter, tenant: str, began: float, ended: float) -> None:
    beginning = meter.open(tenant, began)
    beginning.note_sent(began)
    meter.close(beginning)
    meter.count(ended, agreed(ended))


def test_a_request_counts_in_the_window_in_which_an_engine_started_it() -> None:
    meter = UseMeter(WINDOW)
    served(meter, "ann", 4.99, 5.2)
    served(meter, "ann", 5.01, 5.2)
    assert meter.unreported(1) == [UseRow(200, "ann", 1), UseRow(201, "ann", 1)]


def test_unstarted_requests_and_requests_without_a_tenant_are_not_counted() -> None:
    meter = UseMeter(WINDOW)
    refused = meter.open("ann", 1.0)
    refused.note_sent(1.0)
    refused.note_not_started()
    meter.close(refused)
    meter.close(meter.open("ann", 1.0))
    public = meter.open("", 1.0)
    public.note_sent(1.0)
    meter.close(public)
    meter.count(2.0, agreed(2.0))
    assert meter.unreported(1) == []


def test_a_second_engine_does_not_count_again() -> None:
    meter = UseMeter(WINDOW)
    hedged = meter.open("ann", 1.0)
    hedged.note_sent(1.0)
    hedged.note_sent(1.1)
    hedged.note_not_started()
    meter.close(hedged)
    meter.count(2.0, agreed(2.0))
    assert meter.unreported(1) == [UseRow(200, "ann", 1)]


def test_a_stream_counts_from_its_first_token_on() -> None:
    meter = UseMeter(WINDOW)
    stream = meter.open("ann", 4.0)
    assert meter.complete_until(6.0) == 4.0
    stream.note_first_token(6.0)
    stream.note_first_token(7.0)
    meter.count(7.0, agreed(7.0))
    assert meter.unreported(1) == [UseRow(201, "ann", 1)]
    meter.close(stream)
    meter.count(8.0, agreed(8.0))
    assert meter.unreported(1) == [UseRow(201, "ann", 1)]


def test_counts_wait_until_the_agreed_time_is_known() -> None:
    meter = UseMeter(WINDOW)
    early = meter.open("ann", 1.0)
    early.note_sent(1.0)
    meter.close(early)
    assert meter.unreported(1) == []
    meter.count(7.0, agreed(7.0))
    assert meter.unreported(1) == [UseRow(200, "ann", 1)]


def test_a_new_leader_gets_all_counts_again_and_the_same_one_none_twice() -> None:
    meter = UseMeter(WINDOW)
    served(meter, "ann", 1.0, 1.1)
    rows = meter.unreported(1)
    meter.note_reported(1, rows)
    assert meter.unreported(1) == []
    served(meter, "ann", 2.0, 2.1)
    assert meter.unreported(1) == [UseRow(200, "ann", 2)]
    assert meter.unreported(2) == [UseRow(200, "ann", 2)]
    meter.note_reported(1, rows)
    assert meter.unreported(2) == [UseRow(200, "ann", 2)]


def test_rows_survive_encoding() -> None:
    rows = [UseRow(200, "ann", 3), UseRow(201, "b/o b", 1)]
    assert unpack_rows(pack_rows(rows)) == rows
    assert unpack_rows(b"") == []


def test_a_repeated_or_late_message_adds_nothing() -> None:
    ledger = UseLedger()
    assert ledger.report("g1", 7, agreed(1.0), [UseRow(200, "ann", 3)], 1.0)
    assert not ledger.report("g1", 7, agreed(1.0), [UseRow(200, "ann", 3)], 1.0)
    assert not ledger.report("g1", 7, agreed(1.0), [UseRow(200, "ann", 2)], 1.0)
    # Another incarnation of the same daemon counts from 0 again.
    ledger.report("g1", 8, agreed(2.0), [UseRow(200, "ann", 1)], 2.0)
    ledger.report("g2", 7, agreed(2.0), [UseRow(200, "bob", 5)], 2.0)
    assert ledger.totals(200) == {"ann": 4, "bob": 5}


def closing(now: float, ledger: UseLedger, reports: UsageReports) -> int | None:
    reports.begin(agreed(now), ledger, now)
    reports.skip_late(agreed(now))
    return reports.due(agreed(now), ledger, now)


def test_a_window_is_closed_once_all_daemons_have_counted_it() -> None:
    ledger, reports = UseLedger(), UsageReports(WINDOW, LATE, began=0.0)
    assert closing(1.0, ledger, reports) is None
    ledger.report("g1", 1, agreed(5.1), [UseRow(200, "ann", 3)], 5.2)
    ledger.report("g2", 1, agreed(4.9), [], 5.2)
    assert closing(5.5, ledger, reports) is None
    ledger.report("g2", 1, agreed(5.4), [], 5.5)
    assert closing(5.0 + SETTLE_SECONDS - 0.1, ledger, reports) is None
    assert closing(5.5, ledger, reports) == 200


def test_a_lost_daemon_delays_a_window_only_while_it_can_still_be_sent() -> None:
    ledger, reports = UseLedger(), UsageReports(WINDOW, LATE, began=0.0)
    assert closing(1.0, ledger, reports) is None
    ledger.report("g1", 1, agreed(4.9), [UseRow(200, "ann", 3)], 4.9)
    latest = 5.0 + LATE - SEND_MARGIN_SECONDS
    assert closing(latest - 0.1, ledger, reports) is None
    assert closing(latest + 0.1, ledger, reports) == 200


def test_a_new_leader_waits_for_all_reports() -> None:
    ledger, reports = UseLedger(), UsageReports(WINDOW, LATE, began=5.0)
    reports.restore([Entry(done_key(199), 1, b"taken")], ledger)
    assert closing(5.0 + REPORT_WAIT_SECONDS - 0.1, ledger, reports) is None
    assert closing(5.0 + REPORT_WAIT_SECONDS + 0.1, ledger, reports) == 200


def test_reports_start_with_the_first_counts_even_before_the_agreed_time() -> None:
    ledger, reports = UseLedger(), UsageReports(WINDOW, LATE, began=7.0)
    reports.begin(agreed(11.0), ledger, 11.0)
    assert reports.next_window == 201
    early, reports = UseLedger(), UsageReports(WINDOW, LATE, began=7.0)
    early.report("g1", 1, agreed(11.0), [UseRow(200, "ann", 3)], 11.0)
    reports.begin(agreed(11.0), early, 11.0)
    assert reports.next_window == 200


def test_a_successor_repeats_the_logged_bytes() -> None:
    ledger, reports = UseLedger(), UsageReports(WINDOW, LATE, began=7.0)
    reports.restore(
        [
            Entry(done_key(198), 1, b"taken"),
            Entry(report_key(199), 1, b"as it was"),
            Entry(tally_key(1, 1), 1, pack_tally(UseLedger().take([]))),
        ],
        ledger,
    )
    assert reports.next_window == 200
    report = reports.next_send(7.0)
    assert report is not None and (report.window, report.content) == (199, b"as it was")
    key = reports.finish(report)
    assert key == done_key(199)
    assert set(reports.obsolete(key)) == {done_key(198), report_key(199), tally_key(1, 1)}
    assert reports.next_send(7.0) is None


def test_counts_of_an_earlier_term_are_restored_from_the_log_once() -> None:
    first, second = UseLedger(), UseLedger()
    news = first.report("g1", 7, agreed(1.0), [UseRow(200, "ann", 3)], 1.0)
    reports = UsageReports(WINDOW, LATE, began=2.0)
    reports.restore([Entry(tally_key(1, 1), 1, pack_tally(news))], second)
    assert second.totals(200) == {"ann": 3}
    second.report("g1", 7, agreed(2.0), [UseRow(200, "ann", 3)], 2.0)
    assert second.totals(200) == {"ann": 3}


def test_nothing_is_sent_before_it_is_written_and_reports_go_in_order() -> None:
    reports = UsageReports(WINDOW, LATE, began=0.0)
    first, second = reports.close(200, b"a"), reports.close(201, b"b")
    assert reports.next_send(1.0) is None
    reports.note_written(report_key(201))
    assert reports.next_send(1.0) is None
    reports.note_written(report_key(200))
    assert reports.next_send(1.0) is first
    reports.note_failure(first, 1.0, jitter=1.0)
    assert reports.next_send(1.0) is None
    assert reports.next_send(1.0 + MAX_RETRY_SECONDS) is first
    reports.finish(first)
    assert reports.next_send(1.0) is second


def test_windows_that_are_too_late_are_skipped() -> None:
    reports = UsageReports(WINDOW, LATE, began=100.0)
    reports.restore([Entry(done_key(200), 1, b"taken")], UseLedger())
    assert reports.skip_late(agreed(100.0)) == 16
    assert reports.next_window == 217
    assert reports.end_of(217) + LATE == agreed(100.0)
    report = reports.close(217, b"")
    assert not reports.is_too_late(report, agreed(100.0))
    assert reports.is_too_late(report, agreed(100.1))
