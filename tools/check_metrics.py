"""Checks that docs/OPERATIONS.md names each metric of gateways and replicas, and no others.

Metrics are written in two ways: a literal name where a family is made, and keys of the maps of
counters and gauges, to which the collector adds a prefix. Labels and values are not compared, and
the metrics of `serve` are not in that page.
"""

import ast
import re
import sys
from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).resolve().parent.parent
SOURCE = ROOT / "src" / "pondtiller"
PAGE = ROOT / "docs" / "OPERATIONS.md"
PREFIX = "pondtiller_"
COUNTER_SUFFIX = "_total"
COUNTER_FAMILY = "CounterMetricFamily"
NAME = re.compile(r"`(pondtiller_[a-z_]+)`")


class MetricMap(NamedTuple):
    """A map whose keys are metrics' names without their prefix.

    Attributes
    ----------
    path
        Source file, below `src/pondtiller`.
    name
        Variable that holds the map, or function that returns it.
    """

    path: str
    name: str
    prefix: str
    suffix: str


COLLECTORS = ("gateway/pages/metrics_text.py", "replica/metrics_text.py")
MAPS = (
    MetricMap("gateway/pages/figure_sources.py", "_counters", PREFIX, COUNTER_SUFFIX),
    MetricMap("gateway/pages/figure_sources.py", "_gauges", PREFIX, ""),
    MetricMap("gateway/pages/metrics_text.py", "ages", PREFIX, ""),
    MetricMap("replica/process.py", "counters", PREFIX + "replica_", COUNTER_SUFFIX),
    MetricMap("replica/process.py", "gauges", PREFIX + "replica_", ""),
)


def literal_names(text: str) -> set[str]:
    """Return the metrics that a collector's source names in full."""
    found: set[str] = set()
    for node in ast.walk(ast.parse(text)):
        if not isinstance(node, ast.Call) or not node.args:
            continue
        first = node.args[0]
        if not isinstance(first, ast.Constant) or not str(first.value).startswith(PREFIX):
            continue
        is_counter = isinstance(node.func, ast.Name) and node.func.id == COUNTER_FAMILY
        found.add(str(first.value) + (COUNTER_SUFFIX if is_counter else ""))
    return found


def map_keys(text: str, name: str) -> set[str]:
    """Return the keys of the map that a variable holds or a function returns.

    Raises `LookupError` where there is none: it was moved, and `MAPS` must follow.
    """
    found: set[str] = set()
    for node in ast.walk(ast.parse(text)):
        if isinstance(node, ast.FunctionDef) and node.name == name:
            for each in ast.walk(node):
                if isinstance(each, ast.Return):
                    found |= _keys(each.value)
        if isinstance(node, ast.Assign) and name in _targets(node.targets):
            found |= _keys(node.value)
    if not found:
        raise LookupError(f"no map {name}")
    return found


def _targets(targets: Iterable[ast.expr]) -> set[str]:
    return {each.id for each in targets if isinstance(each, ast.Name)}


def _keys(value: ast.expr | None) -> set[str]:
    if not isinstance(value, ast.Dict):
        return set()
    return {str(each.value) for each in value.keys if isinstance(each, ast.Constant)}


def written_metrics() -> set[str]:
    """Return the names of all metrics in the sources of gateways and replicas."""
    found: set[str] = set()
    for path in COLLECTORS:
        found |= literal_names((SOURCE / path).read_text(encoding="utf-8"))
    for each in MAPS:
        text = (SOURCE / each.path).read_text(encoding="utf-8")
        found |= {each.prefix + key + each.suffix for key in map_keys(text, each.name)}
    return found


def other_collectors() -> list[str]:
    """Return the sources that make metrics and that this check doesn't read."""
    return sorted(
        str(path.relative_to(SOURCE))
        for package in ("gateway", "replica")
        for path in (SOURCE / package).rglob("*.py")
        if "MetricFamily" in path.read_text(encoding="utf-8")
        and str(path.relative_to(SOURCE)) not in COLLECTORS
        and "tests" not in path.parts
    )


def problems(written: set[str], page: str) -> list[str]:
    """Return what is missing in the page's tables of figures, and what the page alone names."""
    tables = page.partition("### All figures")[2].partition("\n## ")[0]
    listed = set(NAME.findall(tables))
    found = [f"not on the page: {name}" for name in sorted(written - listed)]
    found += [f"written nowhere: {name}" for name in sorted(set(NAME.findall(page)) - written)]
    return found


def main() -> int:
    """Print each metric that is missing on one side and return 1 where there is one."""
    found = problems(written_metrics(), PAGE.read_text(encoding="utf-8"))
    found += [f"not read by this check: {path}" for path in other_collectors()]
    print("\n".join(found) or "metrics: ok")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
