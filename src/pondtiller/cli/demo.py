"""`pondtiller demo`: everything in one process, a burst of requests, and a verdict.

Prints the report of `serve.demo.run`; fails if a property is violated or a request remains
unanswered.
"""

import curio
from cleo.commands.command import Command
from cleo.helpers import option
from result import Err, Ok

from pondtiller.address import Address
from pondtiller.cli.common import (
    EXIT_OK,
    EXIT_VIOLATION,
    bad_option,
    print_problems,
    read_number,
)
from pondtiller.cli.table_view import read_view, render_view
from pondtiller.httpio.client import HttpClient
from pondtiller.process import logs
from pondtiller.serve.demo.run import Demo, DemoReport, DemoSettings
from pondtiller.serve.deployment import load_deployment
from pondtiller.serve.simulation.checks import Property


class DemoCommand(Command):
    """Run a deployment on loopback and judge it."""

    name = "demo"
    description = "Daemons of three zones and stand-ins on real sockets: a burst and a verdict."
    options = [
        option("deployment", "d", "Shipped name or TOML file.", flag=False, default="kyushu"),
        option("seconds", None, "Length of the burst.", flag=False, default="30"),
        option("keep", None, "Stay up afterwards and print the callers' URL."),
        option("logs", None, "Show the daemons' log lines."),
    ]

    def handle(self) -> int:
        """Run the demo; exit 0 only if every property holds."""
        seconds = read_number(self.option("seconds"), 2, 86_400)
        if isinstance(seconds, Err):
            return bad_option(self, "seconds", seconds.err_value)
        logs.set_up("info" if self.option("logs") else "error")
        match load_deployment(self.option("deployment")):
            case Err(problems):
                return print_problems(self, problems)
            case Ok(deployment):
                settings = DemoSettings(
                    deployment, seconds.ok_value, keep=bool(self.option("keep"))
                )
                demo = Demo(settings, self.line, self._show_table)
                report: DemoReport = curio.run(demo.run)
                return self._judge(report)

    async def _show_table(self, platform: Address) -> None:
        view = await read_view(HttpClient(), platform)
        self.line(render_view(view))

    def _judge(self, report: DemoReport) -> int:
        self.line(f"first answer after {report.first_answer_seconds:.2f} s")
        self.line(
            f"live: {report.answered} of {report.requests} answered, "
            f"median {report.median_seconds:.3f} s, 99th percentile {report.slowest_seconds:.3f} s"
        )
        for trainer in report.trainers:
            self.line(
                f"trainer {trainer.trainer}: {trainer.steps} steps, {trainer.samples} samples, "
                f"idle {trainer.idle_seconds:.1f} s"
            )
        broken = {violation.property for violation in report.violations}
        for each in Property:
            verdict = "VIOLATED" if each in broken else "holds"
            self.line(f"{each.value:24} {verdict}")
        for violation in report.violations[:20]:
            self.line_error(f"{violation.property.value}: {violation.detail}", style="error")
        is_whole = not report.violations and not report.unanswered
        return EXIT_OK if is_whole else EXIT_VIOLATION
