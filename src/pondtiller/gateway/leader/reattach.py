"""Finds the runner of a run again after their link ended while the leader lives.

The end of a link tells nothing about the runner: it keeps its runs, and their engines work on. So
the leader connects again and asks for the run by its name. Owns until when it tries, for one run;
the links are `runner_directory.py`'s.
"""

import curio

from pondtiller.gateway.leader.run_links import RUNNER_SILENT_SECONDS, RunnerLink
from pondtiller.gateway.leader.runner_directory import RECONNECT_PAUSE_SECONDS, RunnerDirectory
from pondtiller.process.stalls import StallWatch


class RunnerSearch:
    """Looks for the runner of one run, each time that a link to it has ended.

    Parameters
    ----------
    stalls
        Knows how long this process was paused: a connection that was made meanwhile is not late.
    """

    def __init__(self, runners: RunnerDirectory, stalls: StallWatch) -> None:
        self._runners = runners
        self._stalls = stalls
        self._give_up_at: float | None = None

    async def find(self, lost: RunnerLink) -> RunnerLink | None:
        """Return a new link to the gateway of a lost one; None where it has ended its runs.

        A gateway that refuses connections has ended. One that does not answer, or whose links end
        without a message, ends its runs as it does not hear its leader (`LEADER_SILENT_SECONDS`).
        """
        if lost.is_given_up:
            return None
        if lost.has_news or self._give_up_at is None:
            self._give_up_at = self._silent_at(lost)
        elif self._stalls.running_seconds() >= self._give_up_at:
            return None
        else:
            await curio.sleep(RECONNECT_PAUSE_SECONDS)
        return await self._runners.reconnect_to(lost.daemon, self._give_up_at)

    def _silent_at(self, lost: RunnerLink) -> float:
        """Return when a gateway counts as silent, in seconds in which this process ran."""
        return max(self._stalls.running_seconds(), lost.heard_at + RUNNER_SILENT_SECONDS)
