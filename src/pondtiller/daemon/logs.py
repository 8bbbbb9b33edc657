"""Logs: one line of key=value pairs an event, by logbook."""

import logging
import sys

import logbook

from pondtiller.core.instructions import LogField

LOGGER = logbook.Logger("pondtiller")
FORMAT = "{record.time:%Y-%m-%dT%H:%M:%S.%f}Z level={record.level_name} {record.message}"


def set_up(level: str) -> None:
    """Send log lines to standard error."""
    # curio warns of each timeout that ended late; under load that is ordinary.
    logging.getLogger("curio").setLevel(logging.ERROR)
    logbook.set_datetime_format("utc")
    handler = logbook.StreamHandler(sys.stderr, level=level.upper(), format_string=FORMAT)
    handler.push_application()


def write(daemon: str, event: str, fields: tuple[LogField, ...] = ()) -> None:
    """Write one event."""
    pairs = [f"event={event}", f"daemon={daemon}"]
    pairs += [f"{field.key}={_quote(str(field.value))}" for field in fields]
    LOGGER.info(" ".join(pairs))


def _quote(value: str) -> str:
    if value and not any(character in value for character in ' "=\n\r\t'):
        return value
    escaped = value.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + escaped.replace("\n", "\\n").replace("\r", "\\r") + '"'
