"""Streams of events from an engine to a caller, continued on another engine where allowed."""

import curio

from pondtiller.errors import ErrorKind, Failure
from pondtiller.gateway.callers.forward import Forwarder
from pondtiller.gateway.callers.race import ForwardedRequest
from pondtiller.gateway.callers.tries import Tries
from pondtiller.gateway.engines.engine_pool import (
    AnswerHead,
    EngineConnection,
    EnginePool,
    HeldBackError,
)
from pondtiller.hashing import DIGEST_SHOWN
from pondtiller.httpio.client import BrokenError, NotSentError
from pondtiller.httpio.messages import HttpResponse
from pondtiller.httpio.server import ConnectionLostError, Exchange, failure_response
from pondtiller.platform import engine_format
from pondtiller.platform.engine_format import EventReader
from pondtiller.process import clock, logs
from pondtiller.routes.engines import Engine
from pondtiller.routes.send_gate import SendGate
from pondtiller.routes.table import RouteRow


class StreamState:
    """What the caller has of one stream."""

    def __init__(self) -> None:
        self.is_begun = False
        self.last_event = 0
        self.tries = Tries()


class StreamForwarder:
    """Passes streams on, event by event."""

    def __init__(self, forwarder: Forwarder, pool: EnginePool, gate: SendGate) -> None:
        self._forwarder = forwarder
        self._pool = pool
        self._gate = gate

    async def forward(self, exchange: Exchange, request: ForwardedRequest, route: RouteRow) -> None:
        """Answer a request with a stream; the caller's leaving ends the engine's work."""
        state = StreamState()
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._run, exchange, request, route, state)
            await group.spawn(exchange.wait_closed)
        logs.decision(
            "stream_ended",
            request=request.identifier,
            content=request.content[:DIGEST_SHOWN],
            route=route.name,
            last_event=state.last_event,
            tried=";".join(state.tries.details),
        )

    async def _run(
        self, exchange: Exchange, request: ForwardedRequest, route: RouteRow, state: StreamState
    ) -> None:
        service = route.choose_service(request.identifier)
        while True:
            failure = await self._next_try(exchange, request, route, service, state)
            if failure is None:
                return
            is_over = failure is not RETRY
            if is_over and not state.is_begun:
                await exchange.respond(failure_response(failure))
                return
            if is_over:
                # The caller must not take what it has for the whole.
                raise ConnectionLostError("the stream could not be continued")

    async def _next_try(
        self,
        exchange: Exchange,
        request: ForwardedRequest,
        route: RouteRow,
        service: str,
        state: StreamState,
    ) -> Failure | None:
        tries = state.tries
        if self._forwarder.suspects.is_held(request.content):
            return self._forwarder.suspects.refuse(request.content, tries.ran)
        engine = self._forwarder.choose(service, tries.passed_over, route.homes)
        if engine is None or len(tries.engines) >= route.attempts:
            return Failure(
                ErrorKind.ENGINE_FAILED if tries.ran.value != "no" else ErrorKind.NO_ENGINE
            )
        if clock.monotonic() >= request.deadline:
            return Failure(ErrorKind.DEADLINE_EXCEEDED)
        tries.engines.add(engine.identifier)
        engine.running += 1
        connection: EngineConnection | None = None
        try:
            await self._forwarder.prepare(engine, request)
            connection = await self._pool.take_to_send(
                engine.identifier, engine.entry.address, self._gate
            )
            is_late = clock.monotonic() >= request.deadline
            if is_late or self._forwarder.suspects.is_held(request.content):
                return RETRY
            return await self._pass_on(exchange, request, route, engine, connection, state)
        except HeldBackError as error:
            tries.hold_back(engine, error.reason)
            return RETRY
        except NotSentError as error:
            self._forwarder.note_unreachable(engine, error)
            engine.note_failure(clock.monotonic())
            tries.details.append(f"{engine.identifier}:unreachable")
            return RETRY
        except BrokenError as error:
            engine.note_failure(clock.monotonic())
            has_ended = await self._forwarder.ends.confirm(
                engine.identifier, engine.entry.address, request.identifier, request.content
            )
            how = "ended" if has_ended else "broken"
            tries.details.append(f"{engine.identifier}:{how}({error})")
            return RETRY if route.may_resume else Failure(ErrorKind.OUTCOME_UNKNOWN)
        finally:
            engine.end_work()
            if connection is not None:
                await self._pool.give_back(connection)

    async def _pass_on(
        self,
        exchange: Exchange,
        request: ForwardedRequest,
        route: RouteRow,
        engine: Engine,
        connection: EngineConnection,
        state: StreamState,
    ) -> Failure | None:
        left = request.deadline - clock.monotonic()
        headers = engine_format.forwarded_headers(request.headers, engine.identifier, left)
        if state.last_event:
            headers = engine_format.continued(headers, state.last_event)
        # Counted first: a connection that breaks meanwhile may have brought a part to the engine.
        state.tries.sent += 1
        await connection.send_plain(request.method, request.target, request.body, headers)
        head = await connection.read_answer(request.identifier)
        self._forwarder.note_heard(engine)
        if not 200 <= head.status < 300:
            return await self._refused(exchange, request, connection, head, route, state)
        if not state.is_begun:
            state.is_begun = True
            await exchange.start_response(head.status, engine_format.returned_headers(head.headers))
        await self._pass_events(exchange, request, connection, state)
        await self._forwarder.suspects.note_answer(request.content)
        await exchange.end_stream()
        return None

    async def _refused(
        self,
        exchange: Exchange,
        request: ForwardedRequest,
        connection: EngineConnection,
        head: AnswerHead,
        route: RouteRow,
        state: StreamState,
    ) -> Failure | None:
        body = b"".join([piece async for piece in connection.read_body()])
        state.tries.details.append(f"{connection.engine}:status({head.status})")
        if engine_format.is_not_run(head.status, head.headers):
            state.tries.sent -= 1
            return RETRY
        await self._forwarder.suspects.note_answer(request.content)
        if route.may_resume or state.is_begun:
            return RETRY if route.may_resume else Failure(ErrorKind.ENGINE_FAILED)
        headers = engine_format.returned_headers(head.headers)
        await exchange.respond(HttpResponse(head.status, body, "", headers))
        return None

    async def _pass_events(
        self,
        exchange: Exchange,
        request: ForwardedRequest,
        connection: EngineConnection,
        state: StreamState,
    ) -> None:
        """Pass whole events on; a part of one is held until the rest has come."""
        reader = EventReader()
        held = b""
        async for piece in connection.read_body():
            held += piece
            for event in reader.feed(piece):
                request.beginning.first_token(clock.monotonic())
                state.last_event = max(state.last_event, event.number)
            whole, separator, rest = held.rpartition(b"\n\n")
            if separator:
                held = rest
                await exchange.send_piece(whole + separator)
        if held:
            raise BrokenError("the stream ended within an event")


RETRY = Failure(ErrorKind.INTERNAL, "try another engine")
