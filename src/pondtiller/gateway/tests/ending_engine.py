"""An engine that ends under some requests and starts again a moment later."""

from typing import Any, NamedTuple

import curio

from pondtiller.address import Address
from pondtiller.gateway.tests.system import System
from pondtiller.httpio.server import ConnectionLostError, Exchange, bind_tcp, serve_http
from pondtiller.platform.standins import StandInEngine, StandInStore
from pondtiller.process import clock
from pondtiller.process.spawner import Spawner

ENDING = b"ends what runs it"
WORK_SECONDS = 0.02
DOWN_SECONDS = 0.3
FIRST_START_MS = 1_700_000_000_000


class EndingRun(NamedTuple):
    """A run of a request under which the engine ends."""

    engine: str
    at: float


class EndingEngine(StandInEngine):
    """Ends when it runs a request whose body is `ENDING`; is back at its address as another start.

    Parameters
    ----------
    keeps_name
        Whether it starts again under its name, with a later time of its start.

    Attributes
    ----------
    lingers_seconds
        How much later than the connection of the request its port closes.
    runs
        Of requests under which it ended, on the steady clock.
    """

    def __init__(
        self, identifier: str, service: str, store: StandInStore, keeps_name: bool = False
    ) -> None:
        super().__init__(identifier, service)
        self.born = FIRST_START_MS
        self.down_seconds = DOWN_SECONDS
        self.lingers_seconds = 0.0
        self._keeps_name = keeps_name
        self.runs: list[EndingRun] = []
        self._store = store
        self._first_name = identifier
        self._starts = 1
        self._over = curio.Event()

    async def serve(self) -> None:
        """Answer, end and start again until cancelled."""
        while True:
            async with Spawner() as group:
                task = await group.spawn(serve_http, self.listener, self._handle)
                await self._over.wait()
                await task.cancel()
            await self._start_again()

    async def _start_again(self) -> None:
        address = Address(*self.listener.getsockname())
        await self.listener.close()
        await curio.sleep(self.down_seconds)
        self.listener = bind_tcp(address.host, address.port)
        self._over.clear()
        self._starts += 1
        self.orders.clear()
        if self._keeps_name:
            self.born += 1000
        else:
            self._store.remove("servers", self.identifier)
            self.identifier = f"{self._first_name}-{self._starts}"
        self._store.put("servers", self.identifier, self.entry())

    async def whole(self, exchange: Exchange) -> None:
        """Answer, or end."""
        await self._end_under(exchange)
        await super().whole(exchange)

    async def stream(self, exchange: Exchange, stop_after: int = 1_000_000) -> None:
        """Stream, or end before the first event."""
        await self._end_under(exchange)
        await super().stream(exchange, stop_after)

    def entry(self, state: str = "ready") -> dict[str, Any]:
        """Return what it writes about itself, with the time of its start."""
        own = {"born": self.born} if self._keeps_name else {}
        return {**super().entry(state), **own}

    async def end(self) -> None:
        """End now, whatever it runs."""
        await self._over.set()

    async def _end_under(self, exchange: Exchange) -> None:
        if exchange.request.body != ENDING:
            return
        self.runs.append(EndingRun(self.identifier, clock.monotonic()))
        await curio.sleep(WORK_SECONDS)
        if self.lingers_seconds:
            await curio.spawn(self._end_later, daemon=True)
        else:
            await self._over.set()
        raise ConnectionLostError("the engine ends")

    async def _end_later(self) -> None:
        await curio.sleep(self.lingers_seconds)
        await self._over.set()


async def replace_engines(
    system: System, service: str, count: int, keeps_name: bool = False
) -> list[EndingEngine]:
    """Put engines that end in place of a service's."""
    for engine in (*system.app, *system.llm):
        if engine.service == service:
            system.store.remove("servers", engine.identifier)
    engines = [
        EndingEngine(f"x{number}", service, system.store, keeps_name) for number in range(count)
    ]
    for engine in engines:
        if service == "llm":
            engine.models = ["m"]
        await system.group.spawn(engine.serve)
        system.store.put("servers", engine.identifier, engine.entry())
    names = {engine.identifier for engine in engines}
    await system.until(
        lambda: all(
            each.engines.current(name) is not None for each in system.gateways for name in names
        )
    )
    return engines
