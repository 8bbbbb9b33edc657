"""Played days are compared pair by pair."""

import importlib.util
import math
from pathlib import Path

import pytest

SPEC = importlib.util.spec_from_file_location(
    "paired_days", Path(__file__).resolve().parent.parent / "paired_days.py"
)
assert SPEC is not None and SPEC.loader is not None
paired_days = importlib.util.module_from_spec(SPEC)
SPEC.loader.exec_module(paired_days)


def entry(*days: tuple[str, int, float], argv: tuple[str, ...] = (), rules=None) -> dict:
    made = [
        {"name": name, "seed": seed, "G": worth, "rules": rules or {}} for name, seed, worth in days
    ]
    return {"site": "s", "argv": list(argv), "days": made}


def compared(before: list[dict], after: list[dict]):
    return paired_days.report(paired_days.read_plays(before), paired_days.read_plays(after))


def test_only_days_with_the_same_seed_are_pairs() -> None:
    lines, found = compared(
        [entry(("a", 1, 0.5), ("a", 2, 0.1))], [entry(("a", 1, 0.7), ("a", 3, 0.9))]
    )
    assert len(lines) == found.pairs == 1
    assert found.mean == pytest.approx(0.2)
    assert found.half_interval == math.inf


def test_plays_of_one_pair_are_averaged_and_the_interval_is_students() -> None:
    before = [entry(("a", 1, 0.4), ("a", 2, 0.5)), entry(("a", 1, 0.6))]
    _, found = compared(before, [entry(("a", 1, 0.6), ("a", 2, 0.8))])
    assert found.mean == pytest.approx(0.2)
    assert found.half_interval == pytest.approx(12.71 * 0.1)


def test_cut_days_are_left_out_small_ones_kept_apart_and_broken_rules_named() -> None:
    small, cut = ("--small",), ("--until", "9")
    before = [
        entry(("a", 1, 0.4)),
        entry(("b", 1, 0.4), argv=cut),
        entry(("c", 1, 0.2), argv=small),
    ]
    after = [
        entry(("a", 1, 0.0), rules={"LOST": 2, "TWICE": 0}),
        entry(("b", 1, 0.4)),
        entry(("c", 1, 0.3)),
    ]
    (line,), found = compared(before, after)
    assert found.pairs == 1
    assert line.endswith("broken=LOST")
