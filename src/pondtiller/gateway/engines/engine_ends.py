"""Tells an engine that has ended from a connection that broke off alone.

A reset connection, a lost answer and an engine that ended look alike to the request that waited
there. The engine's port tells them apart: it refuses once nothing listens there.

Owns which engines ended within the last second. Does not say what becomes of the request that broke
off: `routes.live_attempts` does.
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
from pondtiller.httpio.client import NotSentError
from pondtiller.process import clock, logs
from pondtiller.routes.engines import EngineDirectory
from pondtiller.routes.quarantine import abbreviate_content

ASK_SECONDS = 0.15
"""How long a port is asked: a refusal takes one way there and back, 0.04 s between regions. A
request waits so long for its next attempt at most."""
KNOWN_SECONDS = 1.0
"""How long an answer of a port holds for the other requests that broke off there with it. An engine
that ended takes longer to start again."""
RECHECK_SECONDS = 0.1
"""From an answer of the port until it is looked at again: a program may close its connections some
time before it ends. The request's next attempt does not wait for it."""


class BrokenOff(NamedTuple):
    """A request that broke off at an engine.

    Attributes
    ----------
    is_planned
        Whether the engine was to leave, so that its end is nobody's fault.
    """

    engine: str
    address: Address
    request: str
    content: str
    is_planned: bool


class EngineEnds:
    """Asks the ports of engines at which requests broke off.

    Parameters
    ----------
    pool
        Keeps the connection of an engine that still listens, for a request to come.
    suspects
        Told of contents under which an engine ended.
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

    async def confirm(self, engine: str, address: Address, request: str, content: str) -> bool:
        """Return whether an engine has ended, after a request broke off there.

        One that was leaving, or whose entry had gone, ends as planned, and is not counted. One that
        closes a connection some time before its port counts once that refuses too.
        """
        known = self._engines.engines.get(engine)
        # One that is not known here yet is known to the leader that sent a run there, and has just
        # started: its end counts.
        has_gone = known is not None and known.gone_at is not None
        is_planned = has_gone or self._engines.has_left(engine, clock.monotonic())
        broken = BrokenOff(engine, address, request, content, is_planned)
        connection = await self._ask(engine, address)
        if connection is not None:
            await curio.spawn(self._look_again, broken, connection, daemon=True)
        return await self._note(broken, self._has_ended(engine))

    async def outlasts(self, engine: str, until: float) -> bool:
        """Return whether a start of an engine goes on until a time, by a connection that lasts.

        Its port alone does not tell: the next start may listen there a moment later.

        Parameters
        ----------
        until
            On the steady clock.
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

    async def _look_again(self, broken: BrokenOff, connection: EngineConnection) -> None:
        """Keep a connection that lasts; ask the port again where it does not."""
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
        """Return a connection to an engine; None where its port refuses or is silent."""
        self._forget(clock.monotonic())
        if self._has_ended(engine):
            return None
        try:
            return await self._pool.open(engine, address, ASK_SECONDS)
        except SilentEngineError:
            return None
        except NotSentError:
            self._ended_at[engine] = clock.monotonic()
            return None

    def _has_ended(self, engine: str) -> bool:
        return engine in self._ended_at

    def _forget(self, now: float) -> None:
        for engine in [each for each, at in self._ended_at.items() if now > at + KNOWN_SECONDS]:
            del self._ended_at[engine]
