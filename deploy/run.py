"""Starts `pondtiller gateway` or `replica` from a checkout without the rest of the product.

The command line is left out, since every process of a deployment would pay for its memory.
"""

import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from pondtiller.platform.names import SETTINGS_VARIABLE
from pondtiller.programs import run_gateway, run_replica

EXIT_BAD_INPUT = 2
PROGRAMS = {"gateway": run_gateway, "replica": run_replica}


def main() -> int:
    """Run the program named first, with the settings that the environment names."""
    problems = PROGRAMS[sys.argv[1]](Path(os.environ[SETTINGS_VARIABLE]))
    for problem in problems:
        print(problem.describe(), file=sys.stderr)
    return EXIT_BAD_INPUT if problems else 0


if __name__ == "__main__":
    sys.exit(main())
