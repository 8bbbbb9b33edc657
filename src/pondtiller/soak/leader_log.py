"""Who leads, as the gateways' logs tell."""

import re
from pathlib import Path

CHANGE = re.compile(r"t=(\d+\.\d+) event=(leader_won|leader_ended)\b")


class LeaderLog:
    """Follows the logs of the gateways.

    Parameters
    ----------
    logs
        Files by the gateways' names.
    """

    def __init__(self, logs: dict[str, Path]) -> None:
        self._logs = logs
        self._read = dict.fromkeys(logs, 0)
        self._changes: dict[str, tuple[float, str]] = {}

    def leader(self) -> str:
        """Return the gateway that won last and has not ended its term; empty where none has.

        One that was killed wrote no end; it counts until another one wins.
        """
        for name, path in self._logs.items():
            self._follow(name, path)
        if not self._changes:
            return ""
        won = {name: at for name, (at, event) in self._changes.items() if event == "leader_won"}
        return max(won, key=won.__getitem__, default="")

    def _follow(self, name: str, path: Path) -> None:
        if not path.exists():
            return
        with path.open("rb") as log:
            log.seek(self._read[name])
            new = log.read()
        # A line that is not whole yet is read the next time.
        new = new[: new.rfind(b"\n") + 1]
        self._read[name] += len(new)
        for at, event in CHANGE.findall(new.decode(errors="replace")):
            self._changes[name] = (float(at), event)
