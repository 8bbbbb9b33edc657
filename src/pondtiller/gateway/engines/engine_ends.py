"""Distinguishes an engine that has ended from a broken connection.

A reset connection, a lost answer and an ended engine look the same to the request that waits. The
engine's port tells them apart: it refuses connections once nothing listens there.

Holds which engines ended within the last second. What happens to the request is decided in
`routes.live_attempts`.
"""

from typing import NamedTuple

import curio

from pondtiller.address import Address
from pondtiller.gateway.engines.engine_pool import (
    EngineConnection,
    EnginePool,
    SilentEngineError,
)
from pondtiller.gateway.engines.suspects import SuspectContents
from pondtiller.gateway.metrics import GatewayMetrics
from pondtiller.httpio.client_errors import NotSentError
from pondtiller.process import clock, logs
from pondtiller.process.spawner import Spawner
from pondtiller.routes.engines import EngineDirectory
from pondtiller.routes.quarantine import abbreviate_content

PORT_CHECK_SECONDS = 0.15
"""Time limit of a connection attempt to the port: a refusal takes one round trip, 0.04 s between
regions. It delays a request's next attempt by this much at most."""
ENDED_CACHE_SECONDS = 1.0
"""How long a refusal of the port is reused for other requests that broke off there. An engine that
ended takes longer to restart."""
RECHECK_SECONDS = 0.1
"""Delay until a port that accepted a connection is checked again: a program may close its
connections some time before it ends. The request's next attempt does not wait for this."""


class BrokenOff(NamedTuple):
    """A request that broke off at an engine.

    Attributes
    ----------
    is_planned
        Whether the engine was leaving, so that its end is not a crash.
    """

    engine: str
    address: Address
    request: str
    content: str
    is_planned: bool


class EngineEnds:
    """Checks the ports of engines at which requests broke off.

    Parameters
    ----------
    pool
        Keeps the connection to an engine that still listens, for a later request.
    suspects
        Records contents under which an engine crashed.
    """

    def __init__(
        self,
        engines: EngineDirectory,
        pool: EnginePool,
        metrics: GatewayMetrics,
        suspects: SuspectContents,
    ) -> None:
        self._engines = engines
        self._pool = pool
        self._metrics = metrics
        self._suspects = suspects
        self._ended_at: dict[str, float] = {}
        self._checks = Spawner()

    async def close(self) -> None:
        """End the checks that are in progress; called when no request is."""
        await self._checks.cancel_all()

    async def confirm(self, engine: str, address: Address, request: str, content: str) -> bool:
        """Return whether an engine has crashed, after a request broke off there.

        An engine that was leaving, or whose entry was removed, ends as planned and does not count.
        One that closes a connection some time before its port counts once the port refuses too.
        """
        known = self._engines.engines.get(engine)
        # An engine unknown here has just started and is known to the leader that sent a run there:
        # its crash counts.
        has_gone = known is not None and known.gone_at is not None
        is_planned = has_gone or self._engines.has_left(engine, clock.monotonic())
        broken = BrokenOff(engine, address, request, content, is_planned)
        connection = await self._ask(engine, address)
        if connection is not None:
            await self._checks.spawn(self._check_again, broken, connection)
        return await self._note(broken, self._has_ended(engine))

    async def still_runs_at(self, engine: str, until: float) -> bool:
        """Return whether an engine's incarnation runs until a time, by a connection that lasts.

        The port alone is not sufficient: the next incarnation may listen there a moment later.

        Parameters
        ----------
        until
            Monotonic time.
        """
        known = self._engines.engines.get(engine)
        if known is None:
            return False
        connection = await self._ask(engine, known.entry.address)
        if connection is None:
            return False
        await curio.sleep(max(0.0, until - clock.monotonic()))
        if not connection.is_clean():
            await connection.close()
            return False
        await self._pool.give_back_unused(connection)
        return True

    async def _check_again(self, broken: BrokenOff, connection: EngineConnection) -> None:
        """Keep a connection that lasts; check the port again if it does not."""
        await curio.sleep(RECHECK_SECONDS)
        if connection.is_clean():
            await self._pool.give_back_unused(connection)
            return
        await connection.close()
        again = await self._ask(broken.engine, broken.address)
        if again is not None:
            await self._pool.give_back_unused(again)
        elif self._has_ended(broken.engine):
            await self._note(broken, True)

    async def _note(self, broken: BrokenOff, has_ended: bool) -> bool:
        known = self._engines.engines.get(broken.engine)
        logs.decision(
            "request_broke_off",
            request=broken.request,
            content=abbreviate_content(broken.content),
            engine=broken.engine,
            has_ended=has_ended,
            is_planned=broken.is_planned,
            running=known.running if known is not None else 0,
        )
        if not has_ended or broken.is_planned:
            return False
        self._metrics.ends_seen += 1
        await self._suspects.note_crash(broken.content, broken.engine)
        return True

    async def _ask(self, engine: str, address: Address) -> EngineConnection | None:
        """Return a connection to an engine; None if its port refuses or does not respond."""
        self._forget(clock.monotonic())
        if self._has_ended(engine):
            return None
        try:
            return await self._pool.open(engine, address, PORT_CHECK_SECONDS)
        except SilentEngineError:
            return None
        except NotSentError:
            self._ended_at[engine] = clock.monotonic()
            return None

    def _has_ended(self, engine: str) -> bool:
        return engine in self._ended_at

    def _forget(self, now: float) -> None:
        for engine in [
            each for each, at in self._ended_at.items() if now > at + ENDED_CACHE_SECONDS
        ]:
            del self._ended_at[engine]
