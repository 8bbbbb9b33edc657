"""Plots policies against each other, where matplotlib is installed."""

import importlib.util
from collections.abc import Sequence
from pathlib import Path

from pondtiller.simulation.experiment import Summary


def plot_policies(path: Path, summaries: Sequence[Summary]) -> bool:
    """Draw idle time and live cost by policy; False where matplotlib is missing."""
    if importlib.util.find_spec("matplotlib") is None:
        return False
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figures = ("idle_seconds", "live_cost")
    plane, panels = pyplot.subplots(1, len(figures), figsize=(6 * len(figures), 4))
    for panel, figure in zip(panels, figures, strict=True):
        chosen = [each for each in summaries if each.figure == figure]
        names = [f"{each.scenario}\n{each.policy.value}" for each in chosen]
        errors = [each.half_interval for each in chosen]
        panel.bar(names, [each.mean for each in chosen], yerr=errors, capsize=4)
        panel.set_title(figure)
        panel.tick_params(axis="x", labelsize=7)
    plane.tight_layout()
    plane.savefig(path, dpi=110)
    pyplot.close(plane)
    return True
