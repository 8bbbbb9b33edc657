"""Checks that docs/DECISIONS.md names files, tests and constants that exist.

A row that names what is gone sends the engineer on call nowhere. Looked up are: paths that end in
`.py`, below src/pondtiller or the repository's root; names of tests; names in capitals, in the
sources. Figures are not compared.
"""

import re
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SOURCE = ROOT / "src" / "pondtiller"
PAGE = ROOT / "docs" / "DECISIONS.md"
QUOTED = re.compile(r"`([^`]+)`")
FILE = re.compile(r"(?<![\w/])[a-z_][\w/]*\.py\b")
TEST = re.compile(r"\btest_[a-z0-9_]+(?!\w|\.py)")
CONSTANT = re.compile(r"\b[A-Z][A-Z0-9]*(?:_[A-Z0-9]+)+\b")


def missing(page: str, sources: str, has_file: set[str]) -> list[str]:
    """Return what a page quotes and nothing has.

    Parameters
    ----------
    sources
        Texts of all modules.
    has_file
        Paths that the page may name.
    """
    found = []
    for quoted in QUOTED.findall(page):
        found += [name for name in FILE.findall(quoted) if name not in has_file]
        names = [*TEST.findall(quoted), *CONSTANT.findall(quoted)]
        found += [name for name in names if not re.search(rf"\b{name}\b", sources)]
    return sorted(set(found))


def main() -> int:
    """Print what is missing and return 1 where anything is."""
    paths = [*SOURCE.rglob("*.py"), *(ROOT / "tools").rglob("*.py")]
    sources = "\n".join(path.read_text(encoding="utf-8") for path in paths)
    places = {str(path.relative_to(ROOT)) for path in paths}
    places |= {str(path.relative_to(SOURCE)) for path in paths if SOURCE in path.parents}
    gone = missing(PAGE.read_text(encoding="utf-8"), sources, places)
    print("\n".join(f"docs/DECISIONS.md names {name}" for name in gone) or "decisions: ok")
    return 1 if gone else 0


if __name__ == "__main__":
    sys.exit(main())
