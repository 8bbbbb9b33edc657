"""The one way in which an attempt leaves for an engine.

Whole requests, scorers' requests, streams and samples' runs all pass here: the wait for a share of
a cold engine, the connection, the gate, held-back contents, the deadline, and the count of what was
sent.

Owns no state. Relies on `EnginePool` for connections and on `SendGate` for what forbids an engine
new work. Does not choose an engine, read an answer's body, or decide what comes after: the callers
do, by `routes.engine_choice` and `routes.live_attempts`.
"""

from pondtiller.address import Address
from pondtiller.gateway.callers.attempts import RequestAttempts
from pondtiller.gateway.callers.request import ForwardedRequest
from pondtiller.gateway.engines.cold_sends import ColdSends
from pondtiller.gateway.engines.engine_pool import (
    AnswerHead,
    EngineConnection,
    EnginePool,
    HeldBackError,
)
from pondtiller.gateway.engines.suspects import SuspectContents
from pondtiller.platform.headers import continued, forwarded_headers
from pondtiller.process import clock
from pondtiller.routes.send_gate import BlockReason, SendGate


class EngineSender:
    """Sends attempts.

    Parameters
    ----------
    gate
        Asked right before an attempt leaves.
    suspects
        Contents under which engines ended.
    cold
        This gateway's shares of cold engines; None where no engine is ever cold.
    """

    def __init__(
        self,
        pool: EnginePool,
        gate: SendGate,
        suspects: SuspectContents,
        cold: ColdSends | None,
    ) -> None:
        self._pool = pool
        self._gate = gate
        self._suspects = suspects
        self._cold = cold

    async def prepare(self, engine: str, deadline: float) -> None:
        """Wait for what an engine's gate will ask for, before a connection is held.

        Parameters
        ----------
        deadline
            When the request's answer is due, on the steady clock.
        """
        if self._cold is not None:
            await self._cold.prepare(engine, deadline)

    async def take(
        self, engine: str, address: Address, content: str, send_by: float
    ) -> EngineConnection:
        """Return a connection on which an attempt is to leave at once.

        Raises `HeldBackError` where it must not leave, and `NotSentError` where no connection came
        up.

        Parameters
        ----------
        send_by
            When it must have left to be answered in time, on the steady clock.
        """
        connection = await self._pool.take(engine, address)
        # The gate counts a cold engine's share, so it is asked last.
        held = self._held(content, send_by) or self._gate.check(engine, clock.monotonic())
        if held is None:
            return connection
        await self._pool.give_back_unused(connection)
        raise HeldBackError(held)

    def _held(self, content: str, send_by: float) -> BlockReason | None:
        """Return what came up while the connection was awaited.

        Other runs of the same content may have ended their engines meanwhile: each attempt after
        the last end that is allowed costs an engine.
        """
        if self._suspects.is_held(content):
            return BlockReason.ENDS_ENGINES
        return BlockReason.LATE if clock.monotonic() >= send_by else None

    async def send(
        self,
        connection: EngineConnection,
        engine: str,
        request: ForwardedRequest,
        attempts: RequestAttempts,
        last_event: int = 0,
    ) -> AnswerHead:
        """Send a request and return the head of its answer; raises `BrokenError`.

        Parameters
        ----------
        last_event
            Number of the event after which a stream goes on; 0 where it begins.
        """
        # Counted first: a connection that breaks meanwhile may have brought a part to the engine.
        attempts.sent += 1
        left = request.deadline - clock.monotonic()
        attempts.left_when_sent[engine] = left
        headers = forwarded_headers(request.headers, engine, left)
        if last_event:
            headers = continued(headers, last_event)
        await connection.send_plain(request.method, request.target, request.body, headers)
        return await connection.read_answer(request.identifier)
