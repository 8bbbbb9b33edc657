"""`pondtiller experiment`: policies against baselines over paired seeds, with a report."""

import csv
from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import argument, option
from result import Err, Ok

from pondtiller.cli.common import EXIT_OK, EXIT_VIOLATION, print_problems
from pondtiller.cli.experiment_plot import plot_policies
from pondtiller.config.deployment import Deployment, load_deployment
from pondtiller.config.problems import load_toml
from pondtiller.simulation.experiment import (
    BOUNDS,
    FIGURES,
    ExperimentRun,
    ExperimentSettings,
    Summary,
    run_experiment,
    summarize,
)


class ExperimentCommand(Command):
    """Compare policies."""

    name = "experiment"
    description = "Policies against baselines over paired seeds: CSV, report and plot."
    arguments = [argument("file", "Experiment (TOML).")]
    options = [option("output", "o", "Folder of the results.", flag=False, default="out")]

    def handle(self) -> int:
        """Run everything and write the results; exit 1 on any violation."""
        match load_toml(Path(self.argument("file")), ExperimentSettings):
            case Err(problems):
                return print_problems(self, problems)
            case Ok(settings):
                match load_deployment(settings.deployment):
                    case Err(problems):
                        return print_problems(self, problems)
                    case Ok(deployment):
                        return self._run(deployment, settings)
        return EXIT_OK

    def _run(self, deployment: Deployment, settings: ExperimentSettings) -> int:
        runs = run_experiment(deployment, settings, self._show)
        folder = Path(self.option("output"))
        folder.mkdir(parents=True, exist_ok=True)
        write_csv(folder / "runs.csv", runs)
        summaries = summarize(runs)
        text = report_text(settings, summaries)
        (folder / "report.md").write_text(text, encoding="utf-8")
        if not plot_policies(folder / "report.png", summaries):
            self.line("no plot: matplotlib is not installed")
        self.line(text)
        return EXIT_VIOLATION if any(run.violations for run in runs) else EXIT_OK

    def _show(self, run: ExperimentRun) -> None:
        self.line(
            f"{run.scenario} {run.policy.value} seed {run.seed}: idle {run.idle_seconds:.2f} s, "
            f"cost {run.live_cost:.3f} s, violations {run.violations}"
        )


def write_csv(path: Path, runs: list[ExperimentRun]) -> None:
    """Write one line a run."""
    with path.open("w", encoding="utf-8", newline="") as stream:
        writer = csv.DictWriter(stream, fieldnames=list(ExperimentRun.model_fields))
        writer.writeheader()
        writer.writerows(run.model_dump(mode="json") for run in runs)


def report_text(settings: ExperimentSettings, summaries: list[Summary]) -> str:
    """Return the report as Markdown."""
    by_key = {(each.scenario, each.policy, each.figure): each for each in summaries}
    lines = [
        f"# {settings.deployment}: {', '.join(policy.value for policy in settings.policies)}",
        "",
        f"{settings.seeds} seeds from {settings.first_seed}, {settings.seconds:g} s of load, "
        f"traffic x {settings.traffic_factor:g}, engine slots x {settings.slots_factor:g}; means "
        "with half the 95% interval; the bound is what no policy can beat.",
        "",
        "| scenario | policy | idle s a step | bound | live cost s | bound | unanswered | "
        "staleness |",
        "|---|---|---|---|---|---|---|---|",
    ]
    for scenario in settings.scenarios:
        for policy in settings.policies:
            cells = [scenario, policy.value]
            for figure in FIGURES:
                summary = by_key[(scenario, policy, figure)]
                cells.append(f"{summary.mean:.3f} ± {summary.half_interval:.3f}")
                if figure in BOUNDS:
                    cells.append(f"{by_key[(scenario, policy, BOUNDS[figure])].mean:.3f}")
            lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines) + "\n"
