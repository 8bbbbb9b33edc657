"""Dispatches messages of other gateways.

Run messages go to the run host, unfinished texts to the replicas, and calls about steps and shared
state to the leader's duties.
"""

from betterproto import Message

from pondtiller.gateway.leader.duties import LeaderDuties
from pondtiller.gateway.runs.run_host import RUN_MESSAGES, RunHost
from pondtiller.links.link import Link
from pondtiller.peers.replicas import ReplicaDirectory
from pondtiller.process.spawner import Spawner
from pondtiller.wire.steplog import SaveProgress, ScoreSample


class LinkService:
    """Serves the links of other gateways: runs for a leader, texts for replicas, step calls."""

    def __init__(self, run_host: RunHost, replicas: ReplicaDirectory, duties: LeaderDuties) -> None:
        self._run_host = run_host
        self._replicas = replicas
        self._duties = duties

    async def serve(self, link: Link) -> None:
        """Serve one link until it ends."""
        async with Spawner() as group:

            async def take(_link: Link, call: int, message: Message) -> None:
                if isinstance(message, RUN_MESSAGES):
                    await self._run_host.handle(link, message)
                elif isinstance(message, ScoreSample) and message.run:
                    await self._run_host.begin_score(link, call, message)
                elif isinstance(message, SaveProgress):
                    await self._replicas.send_to_members(message)
                else:
                    await group.spawn(self._answer, link, call, message)

            try:
                await link.run(take)
            finally:
                await self._run_host.lost(link)

    async def _answer(self, link: Link, call: int, message: Message) -> None:
        if isinstance(message, ScoreSample):
            # Of a leader of an earlier release, which neither keeps nor cancels it.
            await link.reply(call, await self._run_host.score(message))
            return
        answer = await self._duties.answer(message)
        await link.reply(call, answer)
