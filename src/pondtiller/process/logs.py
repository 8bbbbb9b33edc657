"""Logs: one line of key=value pairs per event, by logbook.

Gateways and replicas write decisions to standard output by `decision`, bounded and without ever
waiting for a reader; the daemons of `serve` write by `write` to standard error. Holds the lines
that the reader has not accepted yet. Keys and bodies are never passed to it.
"""

import logging
import os
import re
import sys
import time
from collections.abc import Sequence
from typing import Protocol

import logbook

LOGGER = logbook.Logger("pondtiller")
QUOTED = re.compile(r'[ "=\n\r\t]')
"""Characters in a value that require quotes."""
FORMAT = "{record.time:%Y-%m-%dT%H:%M:%S.%f}Z level={record.level_name} {record.message}"


class LogField(Protocol):
    """One key with its value in a line."""

    @property
    def key(self) -> str:
        """Key of the pair."""

    @property
    def value(self) -> object:
        """Value, written as text and quoted if necessary."""


def set_up(level: str) -> None:
    """Send log lines to standard error."""
    # curio warns of each timeout that ended late, which is normal under load.
    logging.getLogger("curio").setLevel(logging.ERROR)
    logbook.set_datetime_format("utc")
    handler = logbook.StreamHandler(sys.stderr, level=level.upper(), format_string=FORMAT)
    handler.push_application()


def write(daemon: str, event: str, fields: Sequence[LogField] = ()) -> None:
    """Write one event."""
    pairs = [f"event={event}", f"daemon={daemon}"]
    pairs += [f"{field.key}={_quote(str(field.value))}" for field in fields]
    LOGGER.info(" ".join(pairs))


def _quote(value: str) -> str:
    if value and not QUOTED.search(value):
        return value
    escaped = value.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + escaped.replace("\n", "\\n").replace("\r", "\\r") + '"'


LINES_PER_SECOND = 200
"""Lines of one event that are written per second; the rest is counted (`lines_left_out`). A line
takes 27 us of a core, so one event takes half a percent of it at most."""
MAX_UNWRITTEN_BYTES = 262_144
"""Bytes that may wait for a reader; further lines are dropped and counted. Some thousand lines, as
a bound on a process's memory."""
WINDOW_SECONDS = 1.0
"""Interval over which lines are counted for `LINES_PER_SECOND`."""


class BoundedHandler(logbook.Handler):  # type: ignore[misc]
    """Writes lines to a descriptor without ever waiting for its reader.

    Each event has a budget of lines per second, so that one frequent event cannot displace the
    others; dropped lines are counted and logged once a second.
    """

    def __init__(self, descriptor: int, level: str) -> None:
        super().__init__(level=level.upper())
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._unwritten = bytearray()
        self._window = 0.0
        self._lines: dict[str, int] = {}
        self.left_out = 0
        self._left_out_in_window = 0

    def emit(self, record: logbook.LogRecord) -> None:
        """Write one line, or count it as dropped."""
        now = time.monotonic()
        if now >= self._window + WINDOW_SECONDS:
            self._start_window(now)
        event = record.message.partition(" ")[0]
        count = self._lines.get(event, 0) + 1
        self._lines[event] = count
        if count > LINES_PER_SECOND or len(self._unwritten) > MAX_UNWRITTEN_BYTES:
            self.left_out += 1
            self._left_out_in_window += 1
            return
        self._write(record.message)

    def _start_window(self, now: float) -> None:
        self._window = now
        self._lines.clear()
        if self._left_out_in_window:
            count, self._left_out_in_window = self._left_out_in_window, 0
            self._write(f"event=lines_left_out count={count}")

    def _write(self, message: str) -> None:
        wall = time.time()
        self._unwritten += f"t={wall:.3f} {message}\n".encode()
        try:
            written = os.write(self._descriptor, self._unwritten)
        except BlockingIOError:
            return
        except OSError:
            self._unwritten.clear()
            return
        del self._unwritten[:written]


def set_up_decisions(level: str) -> BoundedHandler:
    """Send decisions to standard output, bounded."""
    logging.getLogger("curio").setLevel(logging.ERROR)
    handler = BoundedHandler(sys.stdout.fileno(), level)
    handler.push_application()
    return handler


def decision(event: str, **fields: object) -> None:
    """Log one decision with its inputs."""
    pairs = [f"event={event}"]
    pairs += [f"{key}={_quote(_short(value))}" for key, value in fields.items()]
    LOGGER.info(" ".join(pairs))


def _short(value: object) -> str:
    return f"{value:.3f}" if isinstance(value, float) else str(value)
