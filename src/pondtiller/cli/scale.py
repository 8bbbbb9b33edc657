"""`pondtiller scale`: control costs at growing sizes, with slopes, as JSON and plot."""

import json
from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import option
from pydantic import BaseModel
from result import Err, Ok, Result

from pondtiller.cli.common import EXIT_BAD_INPUT, EXIT_OK, bad_option, read_number
from pondtiller.cli.table_view import align
from pondtiller.daemon import logs
from pondtiller.scale.memory import machine_bytes, resident_bytes
from pondtiller.scale.plot import plot_runs
from pondtiller.scale.simulated import ScaleRun, run_size
from pondtiller.scale.slopes import Slope, fit
from pondtiller.scale.sockets import SocketRun, SocketSettings, run_sockets

MOST_MEMBERS = 400
MEMORY_SHARE = 0.5
FIGURES = (
    "processor_share",
    "memory_bytes",
    "messages_a_second",
    "bytes_a_second",
    "ticks_a_second",
)


class ScaleCommand(Command):
    """Sweep sizes and fit slopes."""

    name = "scale"
    description = "Measure control costs a daemon at growing sizes, on sockets or simulated."
    options = [
        option("simulated", None, "On the virtual clock instead of sockets."),
        option("members", None, "Sizes, separated by commas.", flag=False, default="10,20,40"),
        option("engines-a-member", None, "Engines a member.", flag=False, default="2"),
        option("real", None, "Daemons that also serve HTTP.", flag=False, default="2"),
        option("rows", None, "Rows of the table.", flag=False, default="20"),
        option("seconds", None, "Length of each measurement.", flag=False, default="20"),
        option("output", "o", "Folder for scale.json and scale.png.", flag=False),
    ]

    def handle(self) -> int:
        """Measure all sizes."""
        sizes = read_sizes(self.option("members"))
        if isinstance(sizes, Err):
            return bad_option(self, "members", sizes.err_value)
        numbers: dict[str, float] = {}
        bounds = {
            "engines-a-member": (0.1, 10),
            "real": (0, 100),
            "rows": (2, 10_000),
            "seconds": (1, 3_600),
        }
        for name, (smallest, largest) in bounds.items():
            value = read_number(self.option(name), smallest, largest)
            if isinstance(value, Err):
                return bad_option(self, name, value.err_value)
            numbers[name] = value.ok_value
        logs.set_up("error")
        return self._sweep(sizes.ok_value, numbers)

    def _sweep(self, sizes: list[int], numbers: dict[str, float]) -> int:
        runs: list[ScaleRun | SocketRun] = []
        for members in sizes:
            if resident_bytes() > MEMORY_SHARE * machine_bytes():
                self.line_error("stopped: half of the machine's memory is used", style="error")
                return EXIT_BAD_INPUT
            run = self._run(members, numbers)
            self.line(run.model_dump_json())
            runs.append(run)
        slopes = fit_all(runs)
        lines = [["figure", "per", "at 0", "slope", "error"]]
        for slope in slopes:
            numbers_shown = (slope.intercept, slope.slope, slope.error)
            lines.append([slope.figure, slope.per, *(f"{each:.6g}" for each in numbers_shown)])
        self.line(align(lines))
        folder = self.option("output")
        if folder is not None:
            self._write(Path(folder), runs, slopes)
        return EXIT_OK

    def _run(self, members: int, numbers: dict[str, float]) -> ScaleRun | SocketRun:
        engines = max(1, round(members * numbers["engines-a-member"]))
        rows, seconds = int(numbers["rows"]), numbers["seconds"]
        if self.option("simulated"):
            return run_size(members, engines, rows, seconds, seed=1)
        real = min(members, int(numbers["real"]))
        return run_sockets(SocketSettings(members, real, engines, rows, seconds))

    def _write(self, folder: Path, runs: list[ScaleRun | SocketRun], slopes: list[Slope]) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        report = {"runs": dump(runs), "slopes": dump(slopes)}
        (folder / "scale.json").write_text(json.dumps(report, indent=1) + "\n", encoding="utf-8")
        if not plot_runs(folder / "scale.png", runs, FIGURES):
            self.line("no plot: matplotlib is not installed")


def dump(models: list[BaseModel] | list[ScaleRun | SocketRun] | list[Slope]) -> list[object]:
    """Return models as plain values for JSON."""
    return [model.model_dump() for model in models]


def fit_all(runs: list[ScaleRun | SocketRun]) -> list[Slope]:
    """Fit each figure against the members; needs two sizes."""
    sizes = [float(run.members) for run in runs]
    if len(set(sizes)) < 2:
        return []
    return [
        fit(figure, "member", sizes, [float(getattr(run, figure)) for run in runs])
        for figure in FIGURES
    ]


def read_sizes(text: str) -> Result[list[int], str]:
    """Read sizes separated by commas."""
    parts = [part.strip() for part in text.split(",")]
    if not all(part.isdecimal() and 5 <= int(part) <= MOST_MEMBERS for part in parts):
        return Err(f"{text!r}: give sizes from 5 to {MOST_MEMBERS}, separated by commas")
    return Ok([int(part) for part in parts])
