"""Checks that docs/OPERATIONS.md names each event that the deployed programs write."""

import re
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SOURCE = ROOT / "src" / "pondtiller"
PAGE = ROOT / "docs" / "OPERATIONS.md"
CALL = re.compile(r"logs\.decision\(\s*(.*?)[,)]", re.DOTALL)
NAME = re.compile(r'"([a-z_]+)"')


def written_events() -> set[str]:
    """Return the names of all events in the sources."""
    found = {"lines_left_out"}
    for path in SOURCE.rglob("*.py"):
        if "tests" in path.parts:
            continue
        for call in CALL.findall(path.read_text(encoding="utf-8")):
            found.update(NAME.findall(call))
    return found


def main() -> int:
    """Print each event that is missing on one side and return 1 where there is one."""
    table = PAGE.read_text(encoding="utf-8").partition("## Events")[2].partition("## Figures")[0]
    named = set(re.findall(r"`([a-z_]+)`", table)) - {"count"}
    written = written_events()
    problems = [f"not on the page: {name}" for name in sorted(written - named)]
    problems += [f"written nowhere: {name}" for name in sorted(named - written)]
    print("\n".join(problems) or "events: ok")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
