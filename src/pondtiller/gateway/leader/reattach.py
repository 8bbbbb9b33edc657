"""Reconnects to the runner of a run whose link ended while the leader continues.

A lost link does not mean that the runner has failed: it keeps its runs, and their engines continue.
The leader therefore reconnects and asks for the run by name. Holds the deadline of these attempts
for one run; the links are kept by `runner_directory.py`.
"""

import curio

from pondtiller.gateway.leader.run_links import RUNNER_SILENT_SECONDS, RunnerLink
from pondtiller.gateway.leader.runner_directory import RECONNECT_PAUSE_SECONDS, RunnerDirectory
from pondtiller.process.stalls import StallWatch


class RunnerSearch:
    """Reconnects to the runner of one run each time that their link ends.

    Parameters
    ----------
    stalls
        Measures pauses of this process: a connection opened during one is not late.
    """

    def __init__(self, runners: RunnerDirectory, stalls: StallWatch) -> None:
        self._runners = runners
        self._stalls = stalls
        self._give_up_at: float | None = None

    async def find(self, lost: RunnerLink) -> RunnerLink | None:
        """Return a new link to the gateway of a lost one; None if it has ended its runs.

        A gateway that refuses connections has ended. One that does not answer, or whose links end
        without a message, ends its runs because it has lost its leader (`LEADER_SILENT_SECONDS`).
        """
        if lost.was_given_up:
            return None
        if lost.has_received or self._give_up_at is None:
            self._give_up_at = self._silent_at(lost)
        elif self._stalls.running_seconds() >= self._give_up_at:
            return None
        else:
            await curio.sleep(RECONNECT_PAUSE_SECONDS)
        return await self._runners.reconnect_to(lost.daemon, self._give_up_at)

    def _silent_at(self, lost: RunnerLink) -> float:
        """Return when a gateway counts as silent, in running time of this process."""
        return max(self._stalls.running_seconds(), lost.last_message_at + RUNNER_SILENT_SECONDS)
