"""Sends callers' requests to engines: choice, attempts, and the truth about what ran."""

import random
from dataclasses import dataclass, field

import curio

from pondtiller.daemon import clock, logs
from pondtiller.errors import ErrorKind, Failure, Ran
from pondtiller.gateway.engine_pool import AnswerHead, EngineConnection, EnginePool
from pondtiller.gateway.metrics import GatewayMetrics
from pondtiller.httpio.client import BrokenError, NotSentError
from pondtiller.platform import engine_format
from pondtiller.platform.engine_format import Headers
from pondtiller.routes.engines import Engine, EngineDirectory
from pondtiller.routes.table import RequestKind, RouteRow

PATIENCE_OBJECTIVES = 1.2
SHORTEST_PATIENCE_SECONDS = 0.25
REFUSED_ROUND_SECONDS = 0.02
ZONE_COST = 0.15
CONNECTION_COST = 0.15
JITTER = 0.1
LARGEST_WHOLE_BODY = 64 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class ForwardedRequest:
    """A request as it is sent on.

    Attributes
    ----------
    deadline
        When the answer is due, on the steady clock.
    """

    identifier: str
    method: str
    target: str
    headers: Headers
    body: bytes
    deadline: float


@dataclass(frozen=True, slots=True)
class WholeAnswer:
    """An engine's answer, read to its end."""

    engine: str
    status: int
    headers: Headers
    body: bytes


@dataclass
class Tries:
    """What was tried for one request."""

    engines: set[str] = field(default_factory=set)
    ran: Ran = Ran.NO
    last_failure: WholeAnswer | None = None
    details: list[str] = field(default_factory=list)

    def may_have_run(self) -> None:
        """Note that an engine may have begun to work on it."""
        self.ran = Ran.UNKNOWN


class Forwarder:
    """Sends requests to engines on behalf of callers and of the leader's scorers.

    Parameters
    ----------
    zone
        Zone of this daemon; engines in it are preferred.
    """

    def __init__(
        self, zone: str, engines: EngineDirectory, pool: EnginePool, metrics: GatewayMetrics
    ) -> None:
        self._zone = zone
        self._engines = engines
        self._pool = pool
        self._metrics = metrics
        self._random = random.Random(f"{zone}/{clock.new_incarnation()}")

    def choose(self, service: str, tried: set[str]) -> Engine | None:
        """Return the engine with the least work, preferring this zone and open connections."""
        now = clock.monotonic()
        usable = self._engines.usable(service, now)
        fresh = [each for each in usable if each.identifier not in tried]
        rested = [each for each in fresh if now >= each.not_before] or fresh
        return min(rested, key=self._cost, default=None)

    def _cost(self, engine: Engine) -> float:
        cost = engine.running / engine.entry.slots + self._random.random() * JITTER
        cost += 0.0 if engine.entry.zone == self._zone else ZONE_COST
        cost += 0.0 if self._pool.has_kept(engine.identifier) else CONNECTION_COST
        return cost

    async def whole(self, request: ForwardedRequest, route: RouteRow) -> WholeAnswer | Failure:
        """Return an engine's whole answer, or why there is none."""
        tries = Tries()
        service = route.choose_service(request.identifier)
        while True:
            answer = await self._next_try(request, route, service, tries)
            if answer is not None:
                self._log(request, route, service, tries, answer)
                return answer

    async def _next_try(
        self, request: ForwardedRequest, route: RouteRow, service: str, tries: Tries
    ) -> WholeAnswer | Failure | None:
        now = clock.monotonic()
        if now >= request.deadline:
            return self._late(tries)
        engine = self.choose(service, tries.engines)
        if engine is None or len(tries.engines) >= route.attempts:
            return self._exhausted(tries)
        tries.engines.add(engine.identifier)
        is_last = len(tries.engines) >= route.attempts
        patience = request.deadline - now
        if route.may_repeat and not is_last:
            wanted = route.objective_seconds * PATIENCE_OBJECTIVES
            patience = min(patience, max(SHORTEST_PATIENCE_SECONDS, wanted))
        try:
            answer = await curio.timeout_after(patience, self._attempt, engine, request, tries)
        except curio.TaskTimeout:
            tries.details.append(f"{engine.identifier}:silent")
            return None if route.may_repeat else self._late(tries)
        except NotSentError:
            engine.note_failure(clock.monotonic())
            tries.details.append(f"{engine.identifier}:unreachable")
            return None
        except BrokenError as error:
            engine.note_failure(clock.monotonic())
            tries.details.append(f"{engine.identifier}:broken({error})")
            return None if route.may_repeat else Failure(ErrorKind.OUTCOME_UNKNOWN)
        return self._judge(engine, answer, route, tries)

    def _judge(
        self, engine: Engine, answer: WholeAnswer, route: RouteRow, tries: Tries
    ) -> WholeAnswer | Failure | None:
        """Return an answer that goes back, or None to try another engine."""
        if engine_format.is_not_run(answer.status, answer.headers):
            engine.note_refusal(clock.monotonic())
            tries.details.append(f"{engine.identifier}:refused({answer.status})")
            return None
        tries.may_have_run()
        is_success = 200 <= answer.status < 300
        if is_success and engine_format.signature(answer.headers) is None:
            tries.details.append(f"{engine.identifier}:unsigned")
            return None if route.may_repeat else Failure(ErrorKind.OUTCOME_UNKNOWN)
        engine.note_success()
        if answer.status >= 500 and route.may_repeat:
            tries.last_failure = answer
            tries.details.append(f"{engine.identifier}:failed({answer.status})")
            return None
        return answer

    def _exhausted(self, tries: Tries) -> WholeAnswer | Failure:
        if tries.last_failure is not None:
            return tries.last_failure
        if tries.ran is Ran.NO:
            return Failure(ErrorKind.NO_ENGINE)
        return Failure(ErrorKind.ENGINE_FAILED)

    def _late(self, tries: Tries) -> WholeAnswer | Failure:
        if tries.ran is Ran.NO:
            return Failure(ErrorKind.EXPIRED_IN_QUEUE)
        return Failure(ErrorKind.DEADLINE_EXCEEDED)

    async def _attempt(
        self, engine: Engine, request: ForwardedRequest, tries: Tries
    ) -> WholeAnswer:
        engine.running += 1
        self._metrics.attempts += 1
        connection: EngineConnection | None = None
        try:
            connection = await self._pool.take(engine.identifier, engine.entry.address)
            before, tries.ran = tries.ran, Ran.UNKNOWN
            head = await self._send(connection, engine, request)
            body = b"".join([piece async for piece in connection.read_body()])
            if engine_format.is_not_run(head.status, head.headers):
                tries.ran = before
            await self._pool.give_back(connection)
            connection = None
            return WholeAnswer(engine.identifier, head.status, head.headers, body)
        finally:
            engine.running = max(0, engine.running - 1)
            if connection is not None:
                await connection.close()

    async def _send(
        self, connection: EngineConnection, engine: Engine, request: ForwardedRequest
    ) -> AnswerHead:
        seconds_left = request.deadline - clock.monotonic()
        headers = engine_format.forwarded_headers(request.headers, engine.identifier, seconds_left)
        await connection.send(request.method, request.target, headers, request.body)
        return await connection.read_head(request.identifier)

    def _log(
        self,
        request: ForwardedRequest,
        route: RouteRow,
        service: str,
        tries: Tries,
        answer: WholeAnswer | Failure,
    ) -> None:
        is_failure = isinstance(answer, Failure)
        outcome = answer.kind.value if isinstance(answer, Failure) else str(answer.status)
        logs.decision(
            "request_failed" if is_failure else "request_answered",
            request=request.identifier,
            route=route.name,
            service=service,
            engines_revision=self._engines.revision,
            engine="" if isinstance(answer, Failure) else answer.engine,
            tried=";".join(tries.details),
            left=request.deadline - clock.monotonic(),
            outcome=outcome,
            ran=tries.ran.value,
        )


def is_streamed(route: RouteRow) -> bool:
    """Return whether a route's answers are streams of events."""
    return route.kind is RequestKind.STREAM
