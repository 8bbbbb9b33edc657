"""Starts `pondtiller gateway` or `pondtiller replica` from a checkout, loading only these."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from cleo.application import Application

from pondtiller.cli.deployed import GatewayCommand, ReplicaCommand


def main() -> None:
    """Run one of the two programs."""
    application = Application("pondtiller", "0.1.0")
    application.add(GatewayCommand())
    application.add(ReplicaCommand())
    application.run()


if __name__ == "__main__":
    main()
