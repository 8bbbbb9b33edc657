"""The check of metrics sees each way in which they are named, and both sides of a difference."""

import importlib.util
from pathlib import Path

import pytest

SPEC = importlib.util.spec_from_file_location(
    "check_metrics", Path(__file__).resolve().parent.parent / "check_metrics.py"
)
assert SPEC is not None and SPEC.loader is not None
CHECK = importlib.util.module_from_spec(SPEC)
SPEC.loader.exec_module(CHECK)

COLLECTOR = """
yield CounterMetricFamily("pondtiller_calls", "calls", labels=["call"])
yield _histogram("pondtiller_seconds", seconds)
yield GaugeMetricFamily(f"pondtiller_{name}", name, value=value)
"""
FIGURES = """
class Figures:
    def _counters(self):
        metrics = self.metrics
        return {"sends": metrics.sends, "ends": 2}

def figures(self):
    gauges = {"open": 1.0}
    return gauges
"""
PAGE = """
Look at `pondtiller_sends_total` and `pondtiller_gone`.
### All figures
| `pondtiller_sends_total`, `pondtiller_open` | sends; open ones |
## Next
| `pondtiller_seconds` | not in the tables of figures |
"""


def test_literal_names_are_found_and_counters_get_their_suffix() -> None:
    assert CHECK.literal_names(COLLECTOR) == {"pondtiller_calls_total", "pondtiller_seconds"}


def test_keys_are_found_in_returned_and_in_assigned_maps() -> None:
    assert CHECK.map_keys(FIGURES, "_counters") == {"sends", "ends"}
    assert CHECK.map_keys(FIGURES, "gauges") == {"open"}


def test_a_map_that_was_moved_is_an_error() -> None:
    with pytest.raises(LookupError):
        CHECK.map_keys(FIGURES, "_gauges")


def test_both_sides_of_a_difference_are_found() -> None:
    written = {"pondtiller_sends_total", "pondtiller_open", "pondtiller_seconds"}
    assert CHECK.problems(written, PAGE) == [
        "not on the page: pondtiller_seconds",
        "written nowhere: pondtiller_gone",
    ]


def test_all_metrics_of_this_source_are_read() -> None:
    written = CHECK.written_metrics()
    assert {
        "pondtiller_requests_total",
        "pondtiller_link_sent_bytes_total",
        "pondtiller_request_seconds",
        "pondtiller_attempts_total",
        "pondtiller_leads",
        "pondtiller_engines_age_seconds",
        "pondtiller_replica_syncs_total",
        "pondtiller_replica_generation",
    } <= written
    assert CHECK.other_collectors() == []
