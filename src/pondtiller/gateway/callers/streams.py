"""Event streams from an engine to a caller, resumed on another engine if allowed.

Holds a stream in progress: which events the caller has, and its attempts. An attempt is sent like
all others (`sending`), the engine is chosen as for whole requests (`routes.engine_choice`), and the
meaning of an attempt's outcome is `routes.live_attempts.judge_stream`.

In contrast to a whole request, a stream has one attempt at a time, does not queue for an engine or
a free slot (a full engine queues or refuses it), and counts each engine that it was sent to or that
could not be reached.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

import curio

from pondtiller.errors import ErrorKind, Failure
from pondtiller.gateway.callers.attempts import RequestAttempts
from pondtiller.gateway.callers.forward import Forwarder
from pondtiller.gateway.callers.request import ForwardedRequest
from pondtiller.gateway.callers.sending import EngineSender
from pondtiller.gateway.engines.engine_pool import (
    AnswerHead,
    EngineConnection,
    EnginePool,
    SendBlockedError,
)
from pondtiller.httpio.client_errors import BrokenError, NotSentError
from pondtiller.httpio.messages import HttpResponse
from pondtiller.httpio.server import ConnectionLostError, Exchange, failure_response
from pondtiller.platform import engine_answers
from pondtiller.platform.events import EventReader
from pondtiller.platform.headers import returned_headers
from pondtiller.process import clock, logs
from pondtiller.routes.engines import Engine
from pondtiller.routes.live_attempts import (
    AttemptEnd,
    NextStep,
    Verdict,
    end_of_answer,
    error_without_engines,
    error_without_time,
    judge_stream,
)
from pondtiller.routes.planned_stop import error_of_stop
from pondtiller.routes.quarantine import abbreviate_content
from pondtiller.routes.send_gate import BlockReason, SendGate
from pondtiller.routes.table import RouteRow

END_GRACE_SECONDS = 0.1
"""Time after its deadline in which a stream may still end: a sound engine ends it at the deadline,
and its last bytes arrive a moment later."""
BLOCKS_ALL_ENGINES = (BlockReason.ENDS_ENGINES, BlockReason.LATE, BlockReason.STOPS)
"""Reasons that apply to all engines: the chosen one need not be excluded."""


@dataclass(eq=False)
class Stream:
    """One stream in progress.

    Attributes
    ----------
    service
        Service whose engines may get it.
    has_started
        Whether the caller has received a part of it.
    last_event
        Number of the last event received; 0 before the first.
    """

    exchange: Exchange
    request: ForwardedRequest
    route: RouteRow
    service: str
    has_started: bool = False
    last_event: int = 0
    attempts: RequestAttempts = field(default_factory=RequestAttempts)


class StreamStep(NamedTuple):
    """What follows an attempt.

    Attributes
    ----------
    failure
        Answer to the caller; None unless the stream is given up.
    """

    step: NextStep
    failure: Failure | None = None


def _step(verdict: Verdict) -> StreamStep:
    return StreamStep(verdict.step, Failure(verdict.error) if verdict.error is not None else None)


class StreamForwarder:
    """Forwards streams, event by event."""

    def __init__(self, forwarder: Forwarder, pool: EnginePool, gate: SendGate) -> None:
        self._forwarder = forwarder
        self._pool = pool
        self._sender = EngineSender(pool, gate, forwarder.suspects, forwarder.cold)

    async def forward(self, exchange: Exchange, request: ForwardedRequest, route: RouteRow) -> None:
        """Answer a request with a stream; if the caller leaves, the engine's work is cancelled."""
        stream = Stream(exchange, request, route, route.choose_service(request.identifier))
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._run, stream)
            await group.spawn(exchange.wait_closed)
        logs.decision(
            "stream_ended",
            request=request.identifier,
            content=abbreviate_content(request.content),
            route=route.name,
            table_version=request.decided_by.version,
            table_age=request.decided_by.age_seconds,
            last_event=stream.last_event,
            tried=";".join(stream.attempts.details),
        )

    async def _run(self, stream: Stream) -> None:
        left = stream.request.deadline + END_GRACE_SECONDS - clock.monotonic()
        try:
            failure = await curio.timeout_after(left, self._make_attempts, stream)
        except curio.TaskTimeout:
            stream.attempts.note_unanswered()
            failure = Failure(error_without_time(stream.attempts.ran))
        if failure is None:
            return
        if stream.has_started:
            # The caller must not mistake the received part for the whole.
            raise ConnectionLostError("the stream could not be continued")
        await stream.exchange.respond(failure_response(failure))

    async def _make_attempts(self, stream: Stream) -> Failure | None:
        """Make attempts until one is answered; return the failure if none is."""
        step, failure = NextStep.OTHER_ENGINE, None
        while step is NextStep.OTHER_ENGINE:
            step, failure = await self._next_attempt(stream)
        return failure

    async def _next_attempt(self, stream: Stream) -> StreamStep:
        """Make one more attempt if the stream is allowed one."""
        request, route, attempts = stream.request, stream.route, stream.attempts
        if self._may_outlast_stop(stream):
            return StreamStep(NextStep.GIVE_UP, Failure(error_of_stop(attempts.ran)))
        suspects = self._forwarder.suspects
        if suspects.is_quarantined(request.content):
            return StreamStep(NextStep.GIVE_UP, suspects.refuse(request.content, attempts.ran))
        now = clock.monotonic()
        choice = self._forwarder.choice
        engine = choice.choose(stream.service, attempts.excluded, route.homes, now)
        if engine is None or len(attempts.engines) >= route.attempts:
            return StreamStep(NextStep.GIVE_UP, Failure(error_without_engines(attempts.ran)))
        if now >= request.deadline:
            # Also if nothing ran: a stream does not queue, so it cannot expire in a queue.
            return StreamStep(NextStep.GIVE_UP, Failure(ErrorKind.DEADLINE_EXCEEDED))
        attempts.engines.add(engine.identifier)
        return await self._attempt(stream, engine)

    def _may_outlast_stop(self, stream: Stream) -> bool:
        """Return whether a stream may not start, since the process stops before its end."""
        stop = self._forwarder.stop
        return (
            stop is not None
            and not stream.has_started
            and stop.is_too_late(stream.request.deadline)
        )

    async def _attempt(self, stream: Stream, engine: Engine) -> StreamStep:
        request, attempts = stream.request, stream.attempts
        engine.running += 1
        connection: EngineConnection | None = None
        try:
            await self._sender.prepare(engine.identifier, request.deadline)
            connection = await self._sender.take(
                engine.identifier, engine.entry.address, request.content, request.deadline
            )
            if self._may_outlast_stop(stream):
                raise SendBlockedError(BlockReason.STOPS)
            return await self._pass_on(stream, engine, connection)
        except SendBlockedError as error:
            if error.reason not in BLOCKS_ALL_ENGINES:
                attempts.note_blocked(engine, error.reason)
            return self._judge(stream, AttemptEnd.HELD_BACK)
        except NotSentError as error:
            self._forwarder.zones.note_unreachable(engine, error)
            engine.note_failure(clock.monotonic())
            attempts.details.append(f"{engine.identifier}:unreachable")
            return self._judge(stream, AttemptEnd.UNREACHABLE)
        except BrokenError as error:
            engine.note_failure(clock.monotonic())
            has_ended = await self._forwarder.ends.confirm(
                engine.identifier, engine.entry.address, request.identifier, request.content
            )
            how = "ended" if has_ended else "broken"
            attempts.details.append(f"{engine.identifier}:{how}({error})")
            return self._judge(stream, AttemptEnd.BROKEN)
        finally:
            engine.end_work()
            if connection is not None:
                await self._pool.give_back(connection)

    def _judge(self, stream: Stream, end: AttemptEnd) -> StreamStep:
        return _step(judge_stream(end, stream.route.may_resume, stream.has_started))

    async def _pass_on(
        self, stream: Stream, engine: Engine, connection: EngineConnection
    ) -> StreamStep:
        request, exchange = stream.request, stream.exchange
        head = await self._sender.send(
            connection, engine.identifier, request, stream.attempts, stream.last_event
        )
        self._forwarder.zones.note_answer(engine)
        facts = engine_answers.answer_facts(head.status, head.headers)
        end = end_of_answer(facts)
        if end is AttemptEnd.UNSIGNED:
            stream.attempts.details.append(f"{engine.identifier}:unsigned")
            return self._judge(stream, end)
        if end is not AttemptEnd.ANSWERED or not facts.is_success:
            return await self._refused(stream, connection, head)
        if not stream.has_started:
            stream.has_started = True
            await exchange.start_response(head.status, returned_headers(head.headers))
        await self._pass_events(stream, connection)
        await self._forwarder.suspects.note_answer(request.content)
        await exchange.end_stream()
        return StreamStep(NextStep.ANSWER)

    async def _refused(
        self, stream: Stream, connection: EngineConnection, head: AnswerHead
    ) -> StreamStep:
        """Handle an answer that is no stream; it is returned if no other engine may be tried."""
        body = await self._pool.bodies.read_whole(connection.read_body())
        stream.attempts.details.append(f"{connection.engine}:status({head.status})")
        if engine_answers.is_not_run(head.status, head.headers):
            stream.attempts.sent -= 1
            return self._judge(stream, AttemptEnd.REFUSED)
        await self._forwarder.suspects.note_answer(stream.request.content)
        step = self._judge(stream, AttemptEnd.FAILED)
        if step.step is NextStep.ANSWER:
            headers = returned_headers(head.headers)
            await stream.exchange.respond(HttpResponse(head.status, body, "", headers))
        return step

    async def _pass_events(self, stream: Stream, connection: EngineConnection) -> None:
        """Forward whole events; a partial event is kept until the rest has arrived."""
        reader = EventReader()
        async for piece in connection.read_body():
            for event in reader.feed(piece):
                now = clock.monotonic()
                if now >= stream.request.deadline + END_GRACE_SECONDS:
                    # The limit of `_run` is not delivered while neither side waits.
                    raise BrokenError("the stream went on beyond its deadline")
                stream.request.beginning.note_first_token(now)
                await stream.exchange.send_piece(event.raw)
                stream.last_event = max(stream.last_event, event.number)
        if reader.has_rest:
            raise BrokenError("the stream ended within an event")
