"""`pondtiller soak`: the real programs as processes under randomly drawn faults.

Reads the options and prints the report; faults, callers and checks are in `soak`. The seed draws
the faults, not the timing of processes: unlike with `simulate`, a second run may differ.
"""

import json
import tempfile
from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import option
from result import Err

from pondtiller.cli.common import EXIT_OK, EXIT_VIOLATION, bad_option, read_number
from pondtiller.soak.fault_kinds import NAMED_KINDS
from pondtiller.soak.report import SoakReport
from pondtiller.soak.run import play


class SoakCommand(Command):
    """Play faults on real processes, and check what callers and trainers see."""

    name = "soak"
    description = "Run the deployed programs as processes under drawn faults; exit 1 on a breach."
    options = [
        option("seed", None, "Seed of the faults.", flag=False, default="1"),
        option("minutes", None, "Minutes of faults; a calm of up to 25 s follows.", flag=False),
        option("faults", None, "Kinds of faults, by commas; all where it is left out.", flag=False),
        option("together", None, "Have faults come while earlier ones last."),
        option("folder", None, "Folder for logs and the schedule.", flag=False),
        option("json", None, "Print the report as a JSON object."),
    ]

    def handle(self) -> int:
        """Play one seed; exit 1 if a promise was broken."""
        minutes = read_number(self.option("minutes") or "1", 0.1, 120)
        if isinstance(minutes, Err):
            return bad_option(self, "minutes", minutes.err_value)
        seed = read_number(self.option("seed"), 0, 1_000_000_000)
        if isinstance(seed, Err):
            return bad_option(self, "seed", seed.err_value)
        folder = Path(self.option("folder") or tempfile.mkdtemp(prefix="pondtiller-soak-"))
        only = tuple(filter(None, (self.option("faults") or "").split(",")))
        unknown = sorted(set(only) - set(NAMED_KINDS))
        if unknown:
            return bad_option(
                self, "faults", f"{','.join(unknown)}: not of {', '.join(NAMED_KINDS)}"
            )
        report = play(
            int(seed.ok_value), minutes.ok_value * 60.0, folder, only, bool(self.option("together"))
        )
        self._print(report, folder)
        return EXIT_VIOLATION if report.breaches else EXIT_OK

    def _print(self, report: SoakReport, folder: Path) -> None:
        if self.option("json"):
            self.line(json.dumps(report._asdict()))
            return
        for breach in report.breaches:
            self.line(f"broken: {breach.promise}: {breach.detail}")
        verdict = "broken" if report.breaches else "held"
        self.line(
            f"seed={report.seed} faults={len(report.schedule)} steps={report.steps} "
            f"results={report.results} answers={report.answers} overlaps={report.overlaps} "
            f"longest_overlap={report.longest_overlap} "
            f"rated={report.rated} homed={report.homed} ended={report.ended} "
            f"cancelled={report.cancelled} "
            f"own_ends={','.join(report.own_ends) or 'none'} promises={verdict} logs={folder}"
        )
