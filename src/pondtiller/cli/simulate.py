"""`pondtiller simulate`: a named scenario on the virtual clock, for one seed or many.

Prints measures and violations. A seed gives the same output on every machine, so a seed that shows
a fault is enough to reproduce it.
"""

from cleo.commands.command import Command
from cleo.helpers import argument, option
from result import Err, Ok, Result

from pondtiller.cli.common import (
    EXIT_OK,
    EXIT_VIOLATION,
    bad_option,
    print_problems,
    read_number,
)
from pondtiller.process.problems import Problem
from pondtiller.serve.deployment import Deployment, load_deployment
from pondtiller.serve.simulation.run import RunReport, RunSettings, run_scenario
from pondtiller.serve.simulation.scenarios import SCENARIOS

MAX_SEEDS = 100_000
"""Maximum number of seeds of one call; more is likely a mistyped range."""


class SimulateCommand(Command):
    """Run a scenario and report measures and violations."""

    name = "simulate"
    description = "Run a scenario on the virtual clock; the same seed gives the same bytes."
    arguments = [argument("scenario", "Name of the scenario: " + ", ".join(SCENARIOS) + ".")]
    options = [
        option("deployment", "d", "Shipped name or TOML file.", flag=False, default="kirjakierto"),
        option("seed", None, "One seed.", flag=False, default="1"),
        option("seeds", None, "A range of seeds, A..B, both included.", flag=False),
        option("seconds", None, "Simulated length of the load.", flag=False, default="180"),
        option("json", None, "Print one JSON object a run."),
    ]

    def handle(self) -> int:
        """Run all seeds; exit 1 on any violation."""
        scenario = self.argument("scenario")
        if scenario not in SCENARIOS:
            reason = f"unknown; there are: {', '.join(SCENARIOS)}"
            return print_problems(self, [Problem("command line", scenario, reason)])
        seconds = read_number(self.option("seconds"), 30, 86_400)
        if isinstance(seconds, Err):
            return bad_option(self, "seconds", seconds.err_value)
        seeds = read_seeds(self.option("seeds") or self.option("seed"))
        if isinstance(seeds, Err):
            return bad_option(self, "seeds", seeds.err_value)
        match load_deployment(self.option("deployment")):
            case Err(problems):
                return print_problems(self, problems)
            case Ok(deployment):
                return self._run_all(deployment, scenario, seeds.ok_value, seconds.ok_value)

    def _run_all(self, deployment: Deployment, scenario: str, seeds: range, seconds: float) -> int:
        violated = False
        for seed in seeds:
            settings = RunSettings(scenario=scenario, seed=seed, seconds=seconds)
            report = run_scenario(deployment, settings)
            violated = violated or bool(report.violations)
            if self.option("json"):
                self.line(report.model_dump_json())
            else:
                self._print(report)
        return EXIT_VIOLATION if violated else EXIT_OK

    def _print(self, report: RunReport) -> None:
        measures = report.measures
        verdict = "ok" if not report.violations else f"{len(report.violations)} violations"
        self.line(f"{report.deployment} {report.scenario} seed {report.seed}: {verdict}")
        for trainer in measures.trainers:
            self.line(
                f"  trainer {trainer.trainer}: {trainer.steps} steps, "
                f"idle {trainer.idle_seconds_a_step:.2f} s a step, "
                f"staleness {trainer.mean_staleness:.2f}, at most {trainer.largest_staleness}"
            )
        for caller in measures.callers:
            self.line(
                f"  caller {caller.caller}: {caller.answered} of {caller.requests} answered, "
                f"median {caller.median_seconds:.3f} s, 99% {caller.slowest_seconds:.3f} s"
            )
        self.line(
            f"  cost by worth {measures.cost_by_worth:.3f} s, "
            f"attempts a request {measures.attempts_a_request:.3f}, "
            f"table in force: median {measures.table_median_seconds:.2f} s, "
            f"worst {measures.table_worst_seconds:.2f} s"
        )
        for violation in report.violations[:20]:
            self.line_error(f"  {violation.property}: {violation.detail}", style="error")


def read_seeds(text: str) -> Result[range, str]:
    """Parse `A` or `A..B`."""
    first, separator, last = text.partition("..")
    last = last if separator else first
    if not first.isdecimal() or not last.isdecimal():
        return Err(f"{text!r} is not a seed or a range A..B")
    if int(last) < int(first) or int(last) - int(first) >= MAX_SEEDS:
        return Err(f"{text!r} is empty or longer than {MAX_SEEDS}")
    return Ok(range(int(first), int(last) + 1))
