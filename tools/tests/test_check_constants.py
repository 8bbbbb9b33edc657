"""The check of constants finds those that say nothing, and only those."""

import importlib.util
from pathlib import Path

SPEC = importlib.util.spec_from_file_location(
    "check_constants", Path(__file__).resolve().parent.parent / "check_constants.py"
)
assert SPEC is not None and SPEC.loader is not None
CHECK = importlib.util.module_from_spec(SPEC)
SPEC.loader.exec_module(CHECK)

TEXT = '''
BARE = 3
SAYS = 4.0
"""Seconds. Chosen, not measured."""
BESIDE = 5  # of 7
# Above.
BELOW = 6
TYPED: float = 2 * 1.5
NAME = "x"
IS_ON = True
NEGATIVE = -1
lower = 7
'''


def test_numbers_without_a_word_are_found() -> None:
    assert CHECK.bare_constants(TEXT) == [(2, "BARE"), (8, "TYPED"), (11, "NEGATIVE")]
