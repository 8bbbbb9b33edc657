"""Checks that the platform's words stand nowhere in the product but in its own folder.

Stand-ins play the platform, so they speak its words too.
"""

import re
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SOURCE = ROOT / "src" / "pondtiller"
OWN = {SOURCE / "platform", SOURCE / "standins"}
WORDS = (
    "Request-Deadline",
    "Expect-Instance",
    "Response-Signature",
    "Not-Executed",
    "Token-Count",
    "Prompt-Prefix",
    "Weight-Versions",
    "Instance-Id",
    "Last-Event-Id",
    "Length-Hint",
    "/pondtiller/lots",
    "/pondtiller/items",
    "/pondtiller/objects",
    "/pondtiller/order",
    "/pondtiller/report",
    "traffic_split",
    "max_attempts",
    "fencing_token",
    "since_rev",
    "run_deadline_ms",
    "queue_ttl_s",
    'path_prefix"',
)
PATTERN = re.compile("|".join(re.escape(word) for word in WORDS), re.IGNORECASE)


def problems_of(path: Path) -> list[str]:
    """Return each line of a module that holds one of the platform's words."""
    lines = path.read_text(encoding="utf-8").splitlines()
    return [
        f"{path.relative_to(ROOT)}:{number}: {found.group(0)}"
        for number, line in enumerate(lines, start=1)
        if (found := PATTERN.search(line))
    ]


def main() -> int:
    """Print all problems and return 1 where there is one."""
    files = [
        path
        for path in sorted(SOURCE.rglob("*.py"))
        if OWN.isdisjoint(path.parents) and "tests" not in path.parts
    ]
    problems = [problem for path in files for problem in problems_of(path)]
    print("\n".join(problems) or "platform words: ok")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
