"""A short soak of real processes; seeds that failed once stay here with their cause."""

from pathlib import Path

import pytest

from pondtiller.soak.run import play


@pytest.mark.parametrize("seed", [1])
def test_promises_hold_under_drawn_faults(tmp_path: Path, seed: int) -> None:
    report = play(seed, 6.0, tmp_path)
    assert report.breaches == []
    assert report.own_ends == []
    assert report.results >= 8
