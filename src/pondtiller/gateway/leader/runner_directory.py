"""Discovery of gateways that run samples, and links to as many of them as the engines need.

Holds the links of one term. Relies on the replica group, which knows the gateways that run samples.
How many an engine needs, and which one serves it, is decided in `rollouts/runner_choice.py`.
"""

from collections.abc import Awaitable, Callable

import curio
from betterproto import Message

from pondtiller.address import Address
from pondtiller.gateway.leader.run_links import Runner, RunnerLink
from pondtiller.links.link import (
    CONNECT_SECONDS,
    Link,
    LinkLostError,
    LinkRefusedError,
    open_link,
)
from pondtiller.process import logs
from pondtiller.process.spawner import Spawner
from pondtiller.process.stalls import StallWatch
from pondtiller.rollouts.runner_choice import Daemon, EngineRunners, wanted_runners
from pondtiller.routes.engines import EngineDirectory
from pondtiller.wire.steplog import DaemonList, ReadDaemons

DISCOVERY_INTERVAL_SECONDS = 1.0
"""Interval of the discovery. A lost or new gateway is noticed at most this late, and until then
others or the leader itself run its engines' samples. The list is sent only if it has changed."""
CONNECT_CHECK_SECONDS = 0.01
"""Interval at which a waiting caller checks for a connection; within a zone it takes 3 ms."""
RECONNECT_PAUSE_SECONDS = 0.05
"""Pause between two attempts to reach a runner whose link ended."""
DAEMONS_CALL_SECONDS = 0.5
"""Time limit of a replica's answer with the gateways, after which the next replica is asked: ten
times an answer from another region, and half of `DISCOVERY_INTERVAL_SECONDS`."""

AskMember = Callable[[Message, float], Awaitable[Message | None]]


class RunnerDirectory:
    """Links to gateways that run samples, by name.

    Parameters
    ----------
    name
        This gateway, which is the leader and runs samples only while no other gateway does.
    ask_member
        Calls a replica of the group; returns None if none answers.
    zone
        Zone of this gateway.
    checked, runner_stalled, stalls, holds_lease
        See `RunnerLink`.
    """

    def __init__(
        self,
        name: str,
        epoch: int,
        engines: EngineDirectory,
        local: Runner,
        ask_member: AskMember,
        checked: Callable[[list[int], float], None],
        zone: str = "",
        runner_stalled: Callable[[list[int], float, float], None] | None = None,
        stalls: StallWatch | None = None,
        holds_lease: Callable[[], bool] = lambda: True,
    ) -> None:
        self.links: dict[str, RunnerLink] = {}
        self._name = name
        self._epoch = epoch
        self._engines = engines
        self._local = local
        self._ask_member = ask_member
        self._checked = checked
        self._runner_stalled = runner_stalled
        self._stalls = stalls or StallWatch()
        self._holds_lease = holds_lease
        self._chosen = EngineRunners(engines.topology, zone)
        self._daemons: tuple[Daemon, ...] = ()
        self._revision = 0
        self._connecting: set[str] = set()
        self._refused: set[str] = set()
        self._is_closed = False
        self._group = Spawner()

    def runner_for(self, engine: str) -> tuple[str, Runner]:
        """Return who serves an engine now, and its name: a connected gateway, or this one."""
        known = self._engines.engines.get(engine)
        connected = {
            name: each.daemon
            for name, each in self.links.items()
            if not each.link.is_lost and name != self._name
        }
        name = self._chosen.choose(known, connected) if known is not None else None
        if name is None:
            return self._name, self._local
        return name, self.links[name]

    async def connect_to(self, daemon: Daemon) -> RunnerLink | None:
        """Return the link to a gateway that has runs for this leader; None if it cannot be opened.

        This gateway itself may be one, if it ran samples for the previous leader.
        """
        if self._connected(daemon.name) is None and daemon.name not in self._connecting:
            await self._begin_connect(daemon)
        while daemon.name in self._connecting:
            await curio.sleep(CONNECT_CHECK_SECONDS)
        return self._connected(daemon.name)

    async def reconnect_to(self, daemon: Daemon, give_up_at: float) -> RunnerLink | None:
        """Return a link to a gateway whose last link ended; None if it is considered gone.

        A gateway that refuses connections has ended, and its runs with it. One that does not answer
        is retried until `give_up_at`, at least once.

        Parameters
        ----------
        give_up_at
            In running time of this process (`StallWatch.running_seconds`).
        """
        while not self._is_closed:
            found = await self.connect_to(daemon)
            if found is not None:
                return found
            if daemon.name in self._refused or self._stalls.running_seconds() >= give_up_at:
                return None
            await curio.sleep(RECONNECT_PAUSE_SECONDS)
        return None

    def _connected(self, name: str) -> RunnerLink | None:
        found = self.links.get(name)
        return found if found is not None and not found.link.is_lost else None

    def relays(self, most: int) -> list[Link]:
        """Return the links of some connected gateways, from different zones if possible."""
        by_zone = {each.daemon.zone: each for each in self.links.values()}
        ordered = [*by_zone.values(), *self.links.values()]
        chosen = {each.daemon.name: each.link for each in ordered if not each.link.is_lost}
        chosen.pop(self._name, None)
        return list(chosen.values())[:most]

    async def run(self) -> None:
        """Discover gateways and connect to them, until cancelled."""
        try:
            while True:
                await self._read_daemons()
                await self._connect_wanted()
                self._chosen.forget(self._engines.engines)
                await curio.sleep(DISCOVERY_INTERVAL_SECONDS)
        finally:
            await self._group.__aexit__()

    async def close(self) -> None:
        """Close all links: the runners hold their runs for the next leader, or end them."""
        self._is_closed = True
        for each in list(self.links.values()):
            await each.link.drop()
        await self._group.__aexit__()

    async def _read_daemons(self) -> None:
        answer = await self._ask_member(ReadDaemons(self._revision), DAEMONS_CALL_SECONDS)
        if not isinstance(answer, DaemonList) or answer.revision == self._revision:
            return
        self._revision = answer.revision
        columns = zip(
            answer.names, answer.zones, answer.hosts, answer.ports, answer.cores, strict=True
        )
        found = {
            name: Daemon(name, zone, Address(host, port), cores)
            for name, zone, host, port, cores in columns
            if name != self._name and cores > 0
        }
        self._daemons = tuple(found.values())

    async def _connect_wanted(self) -> None:
        connected = frozenset(self.links)
        for daemon in wanted_runners(self._daemons, self._engines.engines.values(), connected):
            if daemon.name not in self.links and daemon.name not in self._connecting:
                await self._begin_connect(daemon)

    async def _begin_connect(self, daemon: Daemon) -> None:
        self._connecting.add(daemon.name)
        self._refused.discard(daemon.name)
        await self._group.spawn(self._connect, daemon)

    async def _connect(self, daemon: Daemon) -> None:
        try:
            link = await self._stalls.call(CONNECT_SECONDS, open_link, daemon.address)
            if link is None:
                raise LinkLostError("no connection in time")
        except LinkLostError as error:
            if isinstance(error, LinkRefusedError):
                self._refused.add(daemon.name)
            logs.decision("runner_unreachable", runner=daemon.name, reason=str(error))
            return
        finally:
            self._connecting.discard(daemon.name)
        runner = RunnerLink(
            daemon,
            link,
            self._epoch,
            self._checked,
            self._runner_stalled,
            self._stalls,
            self._holds_lease,
        )
        self.links[daemon.name] = runner
        logs.decision("runner_found", runner=daemon.name, zone=daemon.zone, cores=daemon.cores)
        try:
            await runner.serve()
        finally:
            if self.links.get(daemon.name) is runner:
                del self.links[daemon.name]
            logs.decision("runner_lost", runner=daemon.name, runs=len(runner.runs))
