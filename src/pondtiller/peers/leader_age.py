"""Asks the replica group how long ago it received the leader's last message.

Whether a run continues after the answer is decided in `rollouts/run_holding.py`.
"""

import curio

from pondtiller.links.link import Link, LinkLostError
from pondtiller.peers.replicas import ReplicaDirectory
from pondtiller.process.spawner import Spawner
from pondtiller.wire.steplog import LeaseAge, ReadLease

ANSWER_SECONDS = 0.15
"""Time limit of the answers; a round trip between regions is 40 ms."""


async def leader_age(replicas: ReplicaDirectory, epoch: int) -> float | None:
    """Return the seconds since any member received the last message of an epoch's leader.

    Returns
    -------
    float or None
        Infinite if no member follows that leader any more; None if no majority answered.
    """
    links = replicas.member_links()
    found: list[LeaseAge] = []
    done = curio.Event()

    async def ask(link: Link) -> None:
        try:
            answer = await link.call(ReadLease(), ANSWER_SECONDS)
        except LinkLostError:
            return
        if isinstance(answer, LeaseAge):
            found.append(answer)
        if len(found) == len(links):
            await done.set()

    async with Spawner() as calls:
        for link in links:
            await calls.spawn(ask, link)
        await curio.ignore_after(ANSWER_SECONDS, done.wait)
    if 2 * len(found) <= len(replicas.group.members):
        return None
    ages = [each.milliseconds / 1000.0 for each in found if each.epoch == epoch]
    return min(ages, default=float("inf"))
