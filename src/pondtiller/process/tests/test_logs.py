"""Decision lines: format, rate limit, and a reader that does not read."""

import os
import time

import logbook

from pondtiller.process import logs


def pipe() -> tuple[int, int]:
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    return reader, writer


def test_a_line_has_its_event_first_and_quotes_what_needs_it() -> None:
    reader, writer = pipe()
    with logs.BoundedHandler(writer, "info"):
        logs.decision("request_failed", request="q1", left=0.25, tried="a b", reason='say "no"')
    line = os.read(reader, 4096).decode()
    assert line.startswith("t=")
    assert line.endswith(
        'event=request_failed request=q1 left=0.250 tried="a b" reason="say \\"no\\""\n'
    )


def test_a_frequent_event_is_rate_limited_and_leaves_room_for_others() -> None:
    reader, writer = pipe()
    handler = logs.BoundedHandler(writer, "info")
    with handler:
        for _ in range(logs.LINES_PER_SECOND * 3):
            logs.decision("often")
        logs.decision("seldom")
    text = os.read(reader, 1 << 20).decode()
    assert text.count("event=often") == logs.LINES_PER_SECOND
    assert text.count("event=seldom") == 1
    assert handler.left_out == logs.LINES_PER_SECOND * 2


def test_a_reader_that_does_not_read_never_blocks() -> None:
    _reader, writer = pipe()
    handler = logs.BoundedHandler(writer, "info")
    began = time.monotonic()
    with handler:
        for number in range(3000):
            logs.decision(f"event{number % 100}", text="x" * 400)
    assert time.monotonic() - began < 5.0
    assert handler.left_out > 0


def test_lower_levels_are_not_logged() -> None:
    reader, writer = pipe()
    with logs.BoundedHandler(writer, "error"):
        logs.decision("quiet")
        logbook.Logger("x").error("event=loud")
    assert os.read(reader, 4096).count(b"event=") == 1
