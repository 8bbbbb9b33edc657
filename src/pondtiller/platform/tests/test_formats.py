"""The platform's formats, parsed and written; invalid input gives a clear answer."""

import json

import pytest
from result import Err, Ok

from pondtiller.httpio.client_errors import BrokenError
from pondtiller.platform import (
    engine_answers,
    engine_entries,
    engine_orders,
    headers,
    step_format,
)
from pondtiller.platform.configuration import route_table
from pondtiller.platform.events import MAX_EVENT_BYTES, EventReader
from pondtiller.platform.operator_api import scale_body
from pondtiller.rollouts.scaling import ScaleOrder
from pondtiller.rollouts.step_record import sample_heads
from pondtiller.routes.engines import EngineState
from pondtiller.routes.table import RequestKind
from pondtiller.wire.steplog import Header, ResultsPage, Sample, SampleResult

ENTRY = {
    "service": "llm",
    "address": "10.0.0.1:80",
    "zone": "z",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_left_ms": 0,
    "sequence": 9,
}
ROUTE = {
    "name": "r",
    "host": "H.example",
    "path_prefix": "/p/",
    "kind": "rollout",
    "timeout_ms": 1500,
    "slo_ms": 200,
    "priority": 2,
    "traffic_split": [{"service": "s", "weight": 90}, {"service": "t", "weight": 10}],
    "max_attempts": 4,
    "run_deadline_ms": 7500,
    "queue_ttl_s": 40,
    "single_version": True,
}


def test_a_configuration_becomes_rows() -> None:
    read = route_table({"version": 7, "routes": [ROUTE], "services": [{"name": "s"}]})
    assert isinstance(read, Ok)
    (row,) = read.ok_value.routes
    assert (row.host, row.kind, row.attempts, row.priority) == (
        "h.example",
        RequestKind.STEP,
        4,
        2,
    )
    assert (row.time_limit_seconds, row.step_seconds, row.queue_seconds) == (1.5, 7.5, 40.0)
    assert row.services() == {"s", "t"}
    assert row.single_version


def test_an_invalid_configuration_is_rejected_with_a_reason() -> None:
    for spec in (None, [], {}, {"version": 1}, {"version": 1, "routes": [{}], "services": []}):
        assert isinstance(route_table(spec), Err)


def test_invalid_engine_entries_are_left_out() -> None:
    good = {**ENTRY, "state": "draining"}
    entry = engine_entries.engine_entry("e", good)
    assert entry is not None and entry.state is EngineState.LEAVING
    for bad in (None, 3, {}, {"service": "s"}, {"service": "s", "address": "x"}):
        assert engine_entries.engine_entry("e", bad) is None
    assert engine_orders.engine_report(b"{]") is None


def test_an_engine_entry_says_whether_it_is_spot_and_when_it_leaves() -> None:
    steady = engine_entries.engine_entry("e", ENTRY)
    assert steady is not None and not steady.is_spot and steady.leaves_seconds is None
    leaves = {**ENTRY, "state": "draining", "use_spot": True, "leaves_ms": 2500}
    spot = engine_entries.engine_entry("e", leaves)
    assert spot is not None and spot.is_spot and spot.leaves_seconds == 2.5
    for nonsense in ("soon", -1, None):
        found = engine_entries.engine_entry("e", {**leaves, "leaves_ms": nonsense})
        assert found is not None and found.leaves_seconds is None


def test_an_order_of_engines_names_its_kind_only_if_it_is_spot() -> None:
    steady = json.loads(scale_body(ScaleOrder("llm", "z", 3, False)))
    assert steady == {"service": "llm", "zone": "z", "desired": 3}
    assert json.loads(scale_body(ScaleOrder("llm", "z", 3, True)))["use_spot"] is True


def test_events_are_parsed_completely_for_any_split_of_the_stream() -> None:
    stream = b"id: 1\ndata: a\n\nweight-versions: 7\nid: 2\ndata: b\ndata: c\n\nid: 3\nda"
    whole = list(EventReader().feed(stream))
    reader = EventReader()
    in_bytes = [event for byte in stream for event in reader.feed(bytes([byte]))]
    assert whole == in_bytes
    assert [(each.number, each.data, each.version) for each in whole] == [
        (1, "a", None),
        (2, "b\nc", 7),
    ]
    assert reader.has_rest


def test_hop_headers_are_dropped_and_own_ones_are_set() -> None:
    received = (("connection", "x"), ("request-id", "q"), ("request-deadline", "9"), ("a", "b"))
    sent = headers.forwarded_headers(received, "e1", 0.25)
    assert sent == (
        ("request-id", "q"),
        ("a", "b"),
        ("request-deadline", "250"),
        ("expect-instance", "e1"),
    )


def test_tokens_are_estimated_from_the_hint_or_the_maximum() -> None:
    most = Sample(headers=[Header("Token-Count", "10,400")])
    hinted = Sample(headers=[Header("Token-Count", "10,400"), Header("Length-Hint", "50")])
    assert step_format.expected_tokens(most) == 400.0
    assert step_format.expected_tokens(hinted) == 50.0
    assert step_format.expected_tokens(Sample(tokens=7)) == 7.0


def test_a_submitted_step_is_parsed_and_invalid_ones_are_rejected() -> None:
    body = {"step": 1, "model": "m", "min_version": 6, "desired": 2}
    item = {"id": "i", "path": "/p/1", "headers": {"Model": "m"}, "body": "q83v", "tokens": 9}
    read = step_format.read_step("s", "h", "/p/", json.dumps({**body, "requests": [item]}).encode())
    assert isinstance(read, Ok)
    (head,) = sample_heads(read.ok_value)
    assert (head.id, head.group, head.expected_tokens) == ("i", "i", 9.0)
    assert Sample().parse(head.content).body == b"\xab\xcd\xef"
    twice = json.dumps({**body, "requests": [item, item]}).encode()
    for bad in (b"", b"3", b"{}", twice, json.dumps({"requests": [{"id": "i"}]}).encode()):
        assert isinstance(step_format.read_step("s", "h", "/p/", bad), Err)


def test_results_are_written_in_the_trainers_format() -> None:
    good = SampleResult(id="a", succeeded=True, text="x\ny", versions=[6, 7], score="sig")
    page = ResultsPage(total=5, next_position=3, results=[bytes(good), bytes(SampleResult(id="b"))])
    written = json.loads(step_format.write_page(page))
    assert written["total"] == 5 and written["next_token"] == 3
    assert written["results"][0] == {
        "id": "a",
        "state": "succeeded",
        "text": "x\ny",
        "versions": [6, 7],
        "score": "sig",
    }
    assert written["results"][1]["state"] == "terminated"


def test_a_stream_that_is_no_series_of_events_is_broken() -> None:
    """Guards against a buffer that grows with bytes which never end an event."""
    reader = EventReader()
    with pytest.raises(BrokenError):
        for _ in range(MAX_EVENT_BYTES // 1000 + 1):
            assert not list(reader.feed(b"x" * 1000))
    for nonsense in (b"\n\n", b"no event\n\n", b"\xff\xfe\r\n\r\n"):
        with pytest.raises(BrokenError):
            list(EventReader().feed(nonsense))
    (comment,) = EventReader().feed(b": still here\r\n\r\n")
    assert (comment.number, comment.data, comment.raw) == (-1, "", b": still here\r\n\r\n")
    long = b"data: " + b"x" * (MAX_EVENT_BYTES - 8) + b"\n\n"
    (event,) = EventReader().feed(long)
    assert event.raw == long


ODD_JSON = (
    b"[" * 100_000,
    b"[" * 100 + b"]" * 100,
    b'{"%s":1e400}',
    b'{"%s":1' + b"0" * 400 + b"}",
    b'{"%s":1' + b"0" * 5_000 + b"}",
    b'{"%s":"\\ud800"}',
)


@pytest.mark.parametrize("body", ODD_JSON, ids=range(len(ODD_JSON)))
def test_a_report_nested_too_deeply_or_with_a_number_out_of_range_is_invalid(body: bytes) -> None:
    """Guards against a faulty engine that ends the task which asks it."""
    assert engine_orders.engine_report(body.replace(b"%s", b"sequence")) is None


@pytest.mark.parametrize("field", [b"step", b"min_version", b"desired", b"model", b"tokens"])
@pytest.mark.parametrize("body", ODD_JSON, ids=range(len(ODD_JSON)))
def test_a_step_nested_too_deeply_or_with_a_number_out_of_range_is_rejected(
    body: bytes, field: bytes
) -> None:
    """Guards against an accepted step that no later reader of the log can parse."""
    given = body.replace(b"%s", field)
    if field == b"tokens":
        given = b'{"requests":[{"id":"x","path":"/",' + given.removeprefix(b"{") + b"]}"
    else:
        given = given.removesuffix(b"}") + b',"requests":[]}'
    assert isinstance(step_format.read_step("s", "h", "/p", given), Err)


@pytest.mark.parametrize("field", ["step", "min_version", "desired"])
def test_a_step_with_a_text_of_a_number_out_of_range_is_rejected(field: str) -> None:
    """Guards against an accepted step that no later reader of the log can parse."""
    body = json.dumps({field: "1" + "0" * 400, "requests": []}).encode()
    assert isinstance(step_format.read_step("s", "h", "/p", body), Err)


@pytest.mark.parametrize("digits", ["1" + "0" * 400, "1" + "0" * 5_000, str(2**63), "\u0663"])
def test_a_version_or_an_event_number_out_of_range_counts_as_missing(digits: str) -> None:
    """Guards against a faulty engine's number that is stored and that no reader can parse."""
    assert engine_answers.answer_version((("weight-versions", digits),)) == 0
    (event,) = EventReader().feed(f"id: {digits}\nweight-versions: {digits}\ndata: x\n\n".encode())
    assert (event.number, event.version) == (-1, None)


def test_the_largest_version_and_event_number_are_read() -> None:
    """Guards against a limit that leaves out sound numbers."""
    most = 2**63 - 1
    assert engine_answers.answer_version((("weight-versions", str(most)),)) == most
    (event,) = EventReader().feed(f"id: {most}\nweight-versions: 7\ndata: x\n\n".encode())
    assert (event.number, event.version) == (most, 7)
