"""Compares two sets of played days, pair by pair: the same site, day and seed.

A day played twice on one seed differs by chance, and days differ far more among themselves, so
a change is judged by the differences of pairs. Reads entries of `journal/`; prints a line a pair,
then the mean difference of `worth` with half its 95 % interval; rules that were broken are named.
"""

import argparse
import json
import math
import statistics
import sys
from collections.abc import Iterable, Mapping
from pathlib import Path
from typing import NamedTuple

# Two-sided 95 % quantiles of Student's t by degrees of freedom; 1.96 beyond.
T_QUANTILES = (12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23, 2.20, 2.18, 2.16)
T_LIMIT = 1.96


class DayKey(NamedTuple):
    """What makes two plays a pair."""

    site: str
    day: str
    seed: int
    is_small: bool


class Play(NamedTuple):
    """One played day; `worth` is credit less prices, before it is cut to a score."""

    worth: float
    broken_rules: tuple[str, ...]


class Comparison(NamedTuple):
    """Mean difference of pairs, after less before, and half its 95 % interval."""

    pairs: int
    mean: float
    half_interval: float


def read_plays(entries: Iterable[Mapping[str, object]]) -> dict[DayKey, list[Play]]:
    """Return the whole days of journal entries; days that were cut short are left out."""
    found: dict[DayKey, list[Play]] = {}
    for entry in entries:
        arguments = [str(each) for each in entry.get("argv") or ()]  # type: ignore[attr-defined]
        if "--until" in arguments:
            continue
        for day in entry.get("days") or ():  # type: ignore[attr-defined]
            if day.get("G") is None:
                continue
            key = DayKey(str(entry["site"]), day["name"], day["seed"], "--small" in arguments)
            rules = tuple(sorted(name for name, count in (day.get("rules") or {}).items() if count))
            found.setdefault(key, []).append(Play(float(day["G"]), rules))
    return found


def compare(differences: list[float]) -> Comparison:
    """Return the mean of differences; the interval is infinite for fewer than two."""
    pairs = len(differences)
    mean = statistics.fmean(differences) if differences else math.nan
    if pairs < 2:
        return Comparison(pairs, mean, math.inf)
    freedom = pairs - 1
    quantile = T_QUANTILES[freedom - 1] if freedom <= len(T_QUANTILES) else T_LIMIT
    error = statistics.stdev(differences) / math.sqrt(pairs)
    return Comparison(pairs, mean, quantile * error)


def report(
    before: Mapping[DayKey, list[Play]], after: Mapping[DayKey, list[Play]]
) -> tuple[list[str], Comparison]:
    """Return a line for each pair, and the comparison; plays of one key are averaged."""
    lines: list[str] = []
    differences: list[float] = []
    for key in sorted(before.keys() & after.keys()):
        old = statistics.fmean(play.worth for play in before[key])
        new = statistics.fmean(play.worth for play in after[key])
        differences.append(new - old)
        rules = sorted({rule for play in after[key] for rule in play.broken_rules})
        size = " small" if key.is_small else ""
        broken = f" broken={','.join(rules)}" if rules else ""
        plays = f"{len(before[key])}/{len(after[key])}"
        lines.append(
            f"{key.site} {key.day}{size} seed={key.seed} plays={plays} "
            f"before={old:.3f} after={new:.3f} difference={new - old:+.3f}{broken}"
        )
    return lines, compare(differences)


def _load(paths: Iterable[Path]) -> list[Mapping[str, object]]:
    files = [each for path in paths for each in (path.glob("*.json") if path.is_dir() else [path])]
    return [json.loads(each.read_text(encoding="utf-8")) for each in sorted(files)]


def main(arguments: list[str] | None = None) -> int:
    """Compare and print; 1 where there is no pair."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--before", nargs="+", type=Path, required=True, metavar="ENTRY")
    parser.add_argument("--after", nargs="+", type=Path, required=True, metavar="ENTRY")
    given = parser.parse_args(arguments)
    lines, found = report(read_plays(_load(given.before)), read_plays(_load(given.after)))
    print("\n".join(lines))
    print(f"pairs={found.pairs} mean={found.mean:+.3f} interval=+-{found.half_interval:.3f}")
    return 0 if found.pairs else 1


if __name__ == "__main__":
    sys.exit(main())
