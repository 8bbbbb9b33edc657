"""An engine that ends under some requests and starts again a moment later."""

from typing import NamedTuple

import curio

from pondtiller.address import Address
from pondtiller.httpio.server import ConnectionLostError, Exchange, bind_tcp, serve_http
from pondtiller.platform import names
from pondtiller.process import clock
from pondtiller.process.spawner import Spawner
from pondtiller.standins.engine import FIRST_START_MS, NEVER, StandInEngine
from pondtiller.standins.store import StandInStore

ENDING = b"ends what runs it"
"""What the body of a request begins with under which an engine ends."""
WORK_SECONDS = 0.02
"""How long a request runs before the engine ends under it, in seconds."""
DOWN_SECONDS = 0.3
"""From an end until the next start, in seconds; chosen short, so that tests are."""


def ends_engine(content: bytes) -> bool:
    """Return whether an engine ends under a request with this body."""
    return content.startswith(ENDING)


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
        self.started_ms = FIRST_START_MS if keeps_name else None
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
        self.begin_next_start()
        if not self._keeps_name:
            self._store.remove(names.ENGINES, self.identifier)
            self.identifier = f"{self._first_name}-{self._starts}"
        self._store.put(names.ENGINES, self.identifier, self.entry())

    async def whole(self, exchange: Exchange) -> None:
        """Answer, or end."""
        await self._end_under(exchange)
        await super().whole(exchange)

    async def stream(self, exchange: Exchange, stop_after: int = NEVER) -> None:
        """Stream, or end before the first event."""
        await self._end_under(exchange)
        await super().stream(exchange, stop_after)

    async def end(self) -> None:
        """End now, whatever it runs."""
        await self._over.set()

    async def _end_under(self, exchange: Exchange) -> None:
        if not ends_engine(exchange.request.body):
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
