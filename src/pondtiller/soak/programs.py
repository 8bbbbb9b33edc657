"""The programs under test: started, stopped and signalled by the ids of their processes."""

import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import NamedTuple

from pondtiller.process import clock

RUNNER = Path(__file__).resolve().parents[3] / "deploy" / "run.py"
"""What starts a program on the users' machines; the soak starts it the same way."""


class ProgramSpec(NamedTuple):
    """How one program is started.

    Attributes
    ----------
    role
        `gateway` or `replica`.
    settings
        Text of its settings file.
    zone
        Where it stands.
    """

    name: str
    role: str
    settings: str
    zone: str


class Program:
    """One program's process; started again after it ended, with the same settings.

    Attributes
    ----------
    ends
        Times that it ended without a signal from the soak.
    kills
        Times that it was ended at once.
    started_at
        When it was started last, on the steady clock.
    acts_since
        When it went on after it was held up last, on the steady clock; infinite while it is.
    connected_since
        When it was last connected again after it had been cut off from most others, the same.
    """

    def __init__(self, spec: ProgramSpec, folder: Path) -> None:
        self.spec = spec
        self.ends = self.kills = 0
        self.acts_since = self.connected_since = float("-inf")
        self.started_at = float("-inf")
        self._folder = folder
        self._process: subprocess.Popen[bytes] | None = None
        self._is_meant_to_run = False
        self._is_stopped = False

    @property
    def log(self) -> Path:
        """File that holds what it writes, over all its starts."""
        return self._folder / f"{self.spec.name}.log"

    def start(self) -> None:
        """Start it."""
        settings = self._folder / f"{self.spec.name}.toml"
        settings.write_text(self.spec.settings)
        with self.log.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, str(RUNNER), self.spec.role],
                env={**os.environ, "PONDTILLER_SETTINGS": str(settings)},
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self._is_meant_to_run = True
        self._is_stopped = False
        self.acts_since = float("-inf")
        self.started_at = clock.monotonic()

    @property
    def process_id(self) -> int | None:
        """Id of its process; None where it never started."""
        return self._process.pid if self._process is not None else None

    def is_running(self) -> bool:
        """Return whether its process is there."""
        return self._process is not None and self._process.poll() is None

    def kill(self) -> None:
        """End it at once."""
        self.kills += 1
        self._is_meant_to_run = False
        self._signal(signal.SIGKILL)

    def terminate(self) -> None:
        """Have it end as planned."""
        self._is_meant_to_run = False
        self._signal(signal.SIGTERM)

    def pause(self) -> None:
        """Hold it up, as a machine does that freezes."""
        self._is_stopped = True
        self.acts_since = float("inf")
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let it go on."""
        if self._is_stopped:
            self._is_stopped = False
            self.acts_since = clock.monotonic()
            self._signal(signal.SIGCONT)

    def revive(self) -> None:
        """Start it again where it is not running; note an end that nobody asked for."""
        if self.is_running():
            return
        if self._is_meant_to_run:
            self.ends += 1
        self.start()

    def close(self) -> None:
        """End it and wait; nothing is left."""
        self.kill()
        if self._process is not None:
            self._process.wait()

    def _signal(self, number: signal.Signals) -> None:
        if self._process is not None and self.is_running():
            self._process.send_signal(number)
