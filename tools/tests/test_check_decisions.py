"""The check of the page of decisions finds names that lead nowhere."""

import importlib.util
from pathlib import Path

SPEC = importlib.util.spec_from_file_location(
    "check_decisions", Path(__file__).resolve().parent.parent / "check_decisions.py"
)
assert SPEC is not None and SPEC.loader is not None
CHECK = importlib.util.module_from_spec(SPEC)
SPEC.loader.exec_module(CHECK)

PAGE = "`a/b.py`: `Rule.of`, `gone.py` `MOST_TRIES` 2, `LOST_NAME`, `test_it_holds`, `test_no_more`"
SOURCES = "MOST_TRIES = 2\ndef test_it_holds(): ..."


def test_names_that_nothing_has_are_found() -> None:
    found = CHECK.missing(PAGE, SOURCES, {"a/b.py"})
    assert found == ["LOST_NAME", "gone.py", "test_no_more"]
