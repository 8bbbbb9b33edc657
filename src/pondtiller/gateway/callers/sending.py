"""Sends an attempt to an engine: the single path for all requests.

Whole requests, scorers' requests, streams and runs of samples all use it. It covers the wait for a
share of a cold engine's rate, the connection, the gate, the quarantine, the deadline, and the count
of sent attempts.

Stateless. Relies on `EnginePool` for connections and on `SendGate` for conditions that forbid new
work. Does not choose an engine, read an answer's body, or decide what follows: its callers do, by
`routes.engine_choice` and `routes.live_attempts`.
"""

from pondtiller.address import Address
from pondtiller.gateway.callers.attempts import RequestAttempts
from pondtiller.gateway.callers.request import ForwardedRequest
from pondtiller.gateway.engines.cold_sends import ColdSends
from pondtiller.gateway.engines.engine_pool import (
    AnswerHead,
    EngineConnection,
    EnginePool,
    SendBlockedError,
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
        Checked right before an attempt is sent.
    suspects
        Contents under which engines crashed.
    cold
        This gateway's shares of cold engines' rates; None if no engine is ever cold.
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
        """Wait for what the gate will require for an engine, before a connection is taken.

        Parameters
        ----------
        deadline
            When the request's answer is due, in monotonic time.
        """
        if self._cold is not None:
            await self._cold.prepare(engine, deadline)

    async def take(
        self, engine: str, address: Address, content: str, send_by: float
    ) -> EngineConnection:
        """Return a connection on which an attempt must be sent at once.

        Raises `SendBlockedError` if it must not be sent, `NotSentError` if no connection could be
        opened.

        Parameters
        ----------
        send_by
            When it must have been sent to be answered in time, in monotonic time.
        """
        connection = await self._pool.take(engine, address)
        # The gate counts a cold engine's share, so it comes last.
        held = self._held(content, send_by) or self._gate.check(engine, clock.monotonic())
        if held is None:
            return connection
        await self._pool.give_back_unused(connection)
        raise SendBlockedError(held)

    def _held(self, content: str, send_by: float) -> BlockReason | None:
        """Return a reason that came up while waiting for the connection.

        Other runs of the same content may have crashed their engines meanwhile; each attempt beyond
        the limit costs another engine.
        """
        if self._suspects.is_quarantined(content):
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
            Number of the event after which a stream continues; 0 if it starts.
        """
        # Counted before sending: if the connection breaks, the engine may have received a part.
        attempts.sent += 1
        left = request.deadline - clock.monotonic()
        attempts.seconds_left_when_sent[engine] = left
        headers = forwarded_headers(request.headers, engine, left)
        if last_event:
            headers = continued(headers, last_event)
        await connection.send_plain(request.method, request.target, request.body, headers)
        return await connection.read_answer(request.identifier)
