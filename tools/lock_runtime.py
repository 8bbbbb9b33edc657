"""Writes requirements/deploy.txt: the part of the pinned lock that the deployed programs need."""

import re
import sys
from importlib.metadata import PackageNotFoundError, requires
from pathlib import Path

from packaging.requirements import Requirement

ROOT = Path(__file__).resolve().parent.parent / "requirements"
DEPLOYED = ROOT / "deploy.in"


def canonical(name: str) -> str:
    """Return a package's name as the lock spells it."""
    return re.sub(r"[-_.]+", "-", name).lower()


def closure(names: list[str]) -> set[str]:
    """Return the packages with everything that they need here."""
    found: set[str] = set()
    waiting = [canonical(name) for name in names]
    while waiting:
        name = waiting.pop()
        if name in found:
            continue
        found.add(name)
        try:
            needed = requires(name) or []
        except PackageNotFoundError:
            continue
        for text in needed:
            requirement = Requirement(text)
            if requirement.marker is None or requirement.marker.evaluate({"extra": ""}):
                waiting.append(canonical(requirement.name))
    return found


def main() -> int:
    """Copy the blocks of the needed packages out of the full lock."""
    lines = DEPLOYED.read_text(encoding="utf-8").split()
    wanted = closure([re.split(r"[=<>\[]", line)[0] for line in lines])
    lock = (ROOT / "dev.txt").read_text(encoding="utf-8")
    kept = [
        match.group(0)
        for match in re.finditer(r"^([A-Za-z0-9_.-]+)==(?:.*\\\n)*.*\n", lock, flags=re.M)
        if canonical(match.group(1)) in wanted
    ]
    text = "# Made by tools/lock_runtime.py from dev.txt; do not edit.\n" + "".join(kept)
    (ROOT / "deploy.txt").write_text(text, encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
