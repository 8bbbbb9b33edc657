"""Hollow daemons beside real ones in one process, on loopback sockets.

A hollow daemon is a whole daemon but for its callers: it binds its sockets, gossips,
holds registers, polls engines and gives orders; nobody sends it requests. The stand-ins
run on a thread of their own, so the daemons' thread time is the daemons' cost alone.
"""

import threading
import time
from dataclasses import dataclass

import curio
from pydantic import BaseModel, ConfigDict

from pondtiller.core.entities import Address
from pondtiller.daemon.process import BoundSockets, DaemonProcess
from pondtiller.daemon.settings import DaemonSettings, PeerSettings, PlatformSettings
from pondtiller.daemon.spawner import Spawner
from pondtiller.emulator.server import Emulator, build_emulator
from pondtiller.scale.memory import resident_bytes
from pondtiller.scale.simulated import ZONES, scale_deployment

HOST = "127.0.0.1"
READY_SECONDS = 120.0
CHECK_SECONDS = 0.2
SETTLE_SECONDS = 20.0
SEEDS = 5


class SocketRun(BaseModel):
    """What one size cost; figures are for each daemon, on average over all of them.

    Attributes
    ----------
    processor_share
        Share of one core by the daemons' thread, system calls and polls included.
    bytes_a_second
        Peer letters only; polls of engines are HTTP and not counted.
    memory_bytes
        Growth of the process by the daemons, after the stand-ins were up.
    ready_seconds
        From the start until all daemons were ready.
    """

    model_config = ConfigDict(frozen=True)

    members: int
    real: int
    engines: int
    messages_a_second: float
    bytes_a_second: float
    ticks_a_second: float
    processor_share: float
    memory_bytes: int
    ready_seconds: float


@dataclass(frozen=True, slots=True)
class SocketSettings:
    """One size to measure.

    Attributes
    ----------
    members
        Daemons altogether.
    real
        Daemons among them that also serve HTTP.
    seconds
        Length of the measurement.
    """

    members: int
    real: int
    engines: int
    rows: int
    seconds: float


def run_sockets(settings: SocketSettings) -> SocketRun:
    """Measure one size."""
    deployment = scale_deployment(settings.members, settings.engines, settings.rows)
    emulator = build_emulator(deployment, 1, HOST, 0)
    stop = curio.UniversalEvent()
    thread = threading.Thread(target=curio.run, args=(_serve, emulator, stop), daemon=True)
    thread.start()
    try:
        run: SocketRun = curio.run(_measure, settings, emulator.platform.address)
        return run
    finally:
        stop.set()
        thread.join()


async def _serve(emulator: Emulator, stop: curio.UniversalEvent) -> None:
    task = await curio.spawn(emulator.run)
    await stop.wait()
    await task.cancel()


def build_members(settings: SocketSettings, platform: Address) -> list[DaemonProcess]:
    """Bind and build all daemons of a size."""
    sockets = [BoundSockets(HOST, 0, 0) for _ in range(settings.members)]
    peers = tuple(
        PeerSettings(
            name=f"member-{number}",
            zone=ZONES[number % len(ZONES)],
            host=HOST,
            peer_port=bound.peer_port,
            http_port=bound.http_port,
        )
        for number, bound in enumerate(sockets)
    )
    place = PlatformSettings(
        host=platform.host,
        port=platform.port,
        scorer_host=platform.host,
        scorer_port=platform.port,
    )
    return [
        DaemonProcess(
            DaemonSettings(name=peer.name, zone=peer.zone, platform=place, peers=peers[:SEEDS]),
            bound,
        )
        for peer, bound in zip(peers, sockets, strict=True)
    ]


async def _measure(settings: SocketSettings, platform: Address) -> SocketRun:
    before = resident_bytes()
    daemons = build_members(settings, platform)
    started = time.monotonic()
    async with Spawner() as spawner:
        for number, daemon in enumerate(daemons):
            start = daemon.run if number < settings.real else daemon.run_hollow
            await spawner.spawn(start)
        async with curio.timeout_after(READY_SECONDS):
            while not all(daemon.world.ready for daemon in daemons):
                await curio.sleep(CHECK_SECONDS)
        ready_seconds = time.monotonic() - started
        await curio.sleep(SETTLE_SECONDS)
        first = [_Counts.of(daemon) for daemon in daemons]
        processor, clock = time.thread_time(), time.monotonic()
        await curio.sleep(settings.seconds)
        processor, clock = time.thread_time() - processor, time.monotonic() - clock
        last = [_Counts.of(daemon) for daemon in daemons]
        memory = resident_bytes() - before
    total = _Counts.sum(last).minus(_Counts.sum(first))
    share = 1 / (settings.members * clock)
    return SocketRun(
        members=settings.members,
        real=settings.real,
        engines=settings.engines,
        messages_a_second=round(total.messages * share, 2),
        bytes_a_second=round(total.sent * share, 1),
        ticks_a_second=round(total.ticks * share, 2),
        processor_share=round(processor * share, 6),
        memory_bytes=memory // settings.members,
        ready_seconds=round(ready_seconds, 2),
    )


@dataclass(frozen=True, slots=True)
class _Counts:
    messages: int
    sent: int
    ticks: int

    @classmethod
    def of(cls, daemon: DaemonProcess) -> "_Counts":
        peers = daemon.peers
        return cls(peers.sent_messages, peers.sent_bytes, daemon.runtime.ticks)

    @classmethod
    def sum(cls, counts: "list[_Counts]") -> "_Counts":
        return cls(
            sum(each.messages for each in counts),
            sum(each.sent for each in counts),
            sum(each.ticks for each in counts),
        )

    def minus(self, other: "_Counts") -> "_Counts":
        return _Counts(
            self.messages - other.messages, self.sent - other.sent, self.ticks - other.ticks
        )
