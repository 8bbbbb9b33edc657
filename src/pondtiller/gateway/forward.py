"""Sends callers' requests to engines: choice, attempts, and the truth about what ran."""

import random
from dataclasses import dataclass, field
from typing import Any

import curio

from pondtiller.daemon import clock, logs
from pondtiller.daemon.spawner import Spawner
from pondtiller.errors import ErrorKind, Failure, Ran
from pondtiller.gateway.cold_sends import ColdSends
from pondtiller.gateway.engine_pool import (
    AnswerHead,
    EngineConnection,
    EnginePool,
    HeldBackError,
    SilentEngineError,
)
from pondtiller.gateway.metrics import GatewayMetrics
from pondtiller.httpio.client import BrokenError, NotSentError
from pondtiller.platform import engine_format
from pondtiller.platform.engine_format import Headers
from pondtiller.routes.answer_times import AnswerTimes
from pondtiller.routes.engines import Engine, EngineDirectory
from pondtiller.routes.places import Distance
from pondtiller.routes.send_gate import Held, SendGate
from pondtiller.routes.silent_zones import SilentZones
from pondtiller.routes.table import RequestKind, RouteRow
from pondtiller.usage.meter import Beginning

OVERDUE_TIMES = 2.0
"""A request that waits for twice the usual time is taken to be at an engine that is gone."""
HEDGE_FILL = 0.5
QUEUE_FILL = 2.0
ZONE_COST = 0.15
"""An engine in another zone, against a full one. Load: live requests; 3 ms there and back, and
bytes between zones."""
REGION_COST = 0.6
"""An engine in another region, against a full one. Load: live requests; 40 ms there and back is as
long as most of them take, and bytes between regions cost more. Near engines come first until more
than half of their places are taken by this daemon's own requests."""
SILENT_ANSWER_SECONDS = 0.5
"""An engine that was left, or broke off, without a word for as long as a connection may take, on
one that was kept: its zone may be cut off."""
DISTANCE_COSTS = {
    Distance.SAME_ZONE: 0.0,
    Distance.SAME_REGION: ZONE_COST,
    Distance.OTHER_REGION: REGION_COST,
}
CONNECTION_COST = 0.3
JITTER = 0.1
SLOWER_THAN_USUAL = 2.0
MOST_SLOWNESS_COST = 1.0


@dataclass(frozen=True, slots=True)
class ForwardedRequest:
    """A request as it is sent on.

    Attributes
    ----------
    deadline
        When the answer is due, on the steady clock.
    beginning
        Whose request it is, and when an engine began it.
    """

    identifier: str
    method: str
    target: str
    headers: Headers
    body: bytes
    deadline: float
    beginning: Beginning = field(default_factory=Beginning)


@dataclass(frozen=True, slots=True)
class WholeAnswer:
    """An engine's answer, read to its end."""

    engine: str
    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class Attempt:
    """How one attempt ended: an answer, or what went wrong.

    Attributes
    ----------
    is_held
        Whether it did not leave, since the engine may get nothing now: the engine did not fail.
    """

    engine: Engine
    answer: WholeAnswer | None
    detail: str = ""
    may_have_run: bool = False
    is_held: bool = False


@dataclass
class Tries:
    """What was tried for one request.

    Attributes
    ----------
    engines
        Those that it was sent to, or is to be sent to.
    held_back
        Those that it did not leave for, since they may get nothing now; they are no attempts.
    running
        Attempts that have not ended.
    last_began
        When the last attempt began.
    sent
        Attempts that left, less those that an engine refused as not run.
    """

    engines: set[str] = field(default_factory=set)
    held_back: set[str] = field(default_factory=set)
    running: int = 0
    sent: int = 0
    last_began: float = 0.0
    last_failure: WholeAnswer | None = None
    details: list[str] = field(default_factory=list)

    @property
    def passed_over(self) -> set[str]:
        """Engines that are not to be chosen again."""
        return self.engines | self.held_back

    def hold_back(self, engine: Engine, reason: Held) -> None:
        """Take that a request did not leave for an engine that was chosen."""
        self.engines.discard(engine.identifier)
        self.held_back.add(engine.identifier)
        self.details.append(f"{engine.identifier}:held({reason.value})")

    @property
    def ran(self) -> Ran:
        """Whether an engine may have begun to work on it: sent, and not refused as not run."""
        return Ran.UNKNOWN if self.sent else Ran.NO


class Forwarder:
    """Sends requests to engines on behalf of callers and of the leader's scorers.

    Parameters
    ----------
    zone
        Zone of this daemon; engines in it are preferred.
    gate
        Asked right before a request leaves.
    cold
        Which engines are cold, and this daemon's shares of them; None where none ever is.
    """

    def __init__(
        self,
        zone: str,
        engines: EngineDirectory,
        pool: EnginePool,
        metrics: GatewayMetrics,
        gate: SendGate,
        cold: ColdSends | None = None,
    ) -> None:
        self._zone = zone
        self._silent_zones = SilentZones(zone)
        self._cold = cold
        self._engines = engines
        self._gate = gate
        self._pool = pool
        self._metrics = metrics
        self._times: dict[str, AnswerTimes] = {}
        self._random = random.Random(f"{zone}/{clock.new_incarnation()}")

    def choose(
        self, service: str, tried: set[str], homes: frozenset[str] = frozenset()
    ) -> Engine | None:
        """Return the engine with the least work, preferring near ones and open connections.

        Engines of zones from which nothing answers, and those that failed just now, come last.
        """
        now = clock.monotonic()
        usable = self._engines.usable(service, now, homes)
        fresh = [each for each in usable if each.identifier not in tried]
        if self._cold is not None:
            fresh = self._cold.preferred(fresh, now)
        heard = [
            each for each in fresh if not self._silent_zones.is_silent(each.entry.zone, now)
        ] or fresh
        rested = [each for each in heard if now >= each.not_before] or heard
        usual = min((each.answer_seconds for each in rested if each.answer_seconds), default=0.0)
        return min(rested, key=lambda each: self._cost(each, usual), default=None)

    def _cost(self, engine: Engine, usual: float) -> float:
        cost = engine.running / engine.entry.slots + self._random.random() * JITTER
        if usual and engine.answer_seconds > usual * SLOWER_THAN_USUAL:
            cost += min(MOST_SLOWNESS_COST, engine.answer_seconds / usual - SLOWER_THAN_USUAL)
        cost += DISTANCE_COSTS[self._engines.places.distance(self._zone, engine.entry.zone)]
        cost += 0.0 if self._pool.has_kept(engine.identifier) else CONNECTION_COST
        return cost

    async def whole(self, request: ForwardedRequest, route: RouteRow) -> WholeAnswer | Failure:
        """Return an engine's whole answer, or why there is none.

        What may be repeated goes to a second engine too when the first is silent for longer than
        nearly all answers take; the first good answer counts, and the other engine is left.
        """
        tries = Tries()
        service = route.choose_service(request.identifier)
        ended = curio.Queue()
        attempts = Spawner()
        try:
            answer = await self._race(request, route, service, tries, ended, attempts)
        finally:
            await attempts.cancel_all()
        self._log(request, route, service, tries, answer)
        return answer

    async def _race(
        self,
        request: ForwardedRequest,
        route: RouteRow,
        service: str,
        tries: Tries,
        ended: Any,
        attempts: Spawner,
    ) -> WholeAnswer | Failure:
        while True:
            now = clock.monotonic()
            if now >= request.deadline:
                return self._late(tries)
            if not tries.running:
                begun = await self._start(request, route, service, tries, ended, attempts)
                if not begun:
                    return self._exhausted(tries)
            patience = request.deadline - now
            usual = self.usual_seconds(service)
            if self._may_hedge(route, tries):
                patience = min(patience, usual)
            try:
                attempt = await curio.timeout_after(patience, ended.get)
            except curio.TaskTimeout:
                now = clock.monotonic()
                is_overdue = now >= tries.last_began + OVERDUE_TIMES * usual
                if now < request.deadline and (
                    is_overdue or self._has_spare(route, service, tries)
                ):
                    await self._start(request, route, service, tries, ended, attempts)
                continue
            tries.running -= 1
            answer = self._judge(attempt, route, tries)
            if answer is not None:
                return answer

    def _has_spare(self, route: RouteRow, service: str, tries: Tries) -> bool:
        """Return whether another engine is free enough for an early second try.

        Where engines are slow because they are full, second tries only fill them more. A
        request that is overdue gets its second try all the same: its engine may be gone.
        """
        engine = self.choose(service, tries.passed_over, route.homes)
        return engine is not None and engine.running < engine.entry.slots * HEDGE_FILL

    def usual_seconds(self, service: str) -> float:
        """Return the time within which nearly all answers of a service came here."""
        return self._times.setdefault(service, AnswerTimes()).usual_seconds

    def has_room(self, service: str, homes: frozenset[str]) -> bool:
        """Return whether an engine in the homes would begin a request soon, by own work."""
        engine = self.choose(service, set(), homes)
        return engine is not None and engine.running < engine.entry.slots * QUEUE_FILL

    def _may_hedge(self, route: RouteRow, tries: Tries) -> bool:
        return route.may_repeat and len(tries.engines) < route.attempts

    async def _start(
        self,
        request: ForwardedRequest,
        route: RouteRow,
        service: str,
        tries: Tries,
        ended: Any,
        attempts: Spawner,
    ) -> bool:
        """Begin an attempt at another engine; False where there is none left."""
        if len(tries.engines) >= route.attempts:
            return False
        engine = self.choose(service, tries.passed_over, route.homes)
        if engine is None:
            return False
        if tries.engines:
            tries.details.append("next")
        tries.engines.add(engine.identifier)
        tries.running += 1
        tries.last_began = clock.monotonic()
        await attempts.spawn(self._try, engine, request, tries, ended)
        return True

    async def _try(
        self, engine: Engine, request: ForwardedRequest, tries: Tries, ended: Any
    ) -> None:
        try:
            answer = await self._attempt(engine, request, tries)
            await ended.put(Attempt(engine, answer))
        except HeldBackError as error:
            tries.hold_back(engine, error.reason)
            await ended.put(Attempt(engine, None, is_held=True))
        except NotSentError as error:
            self.note_unreachable(engine, error)
            await ended.put(Attempt(engine, None, f"{engine.identifier}:unreachable"))
        except BrokenError as error:
            broken = f"{engine.identifier}:broken({error})"
            await ended.put(Attempt(engine, None, broken, may_have_run=True))

    def _judge(
        self, attempt: Attempt, route: RouteRow, tries: Tries
    ) -> WholeAnswer | Failure | None:
        """Return an answer that goes back, or None to try another engine."""
        engine, answer = attempt.engine, attempt.answer
        if attempt.is_held:
            return None
        if answer is None:
            engine.note_failure(clock.monotonic())
            tries.details.append(attempt.detail)
            is_over = attempt.may_have_run and not route.may_repeat
            return Failure(ErrorKind.OUTCOME_UNKNOWN) if is_over else None
        if engine_format.is_not_run(answer.status, answer.headers):
            engine.note_refusal(clock.monotonic())
            tries.details.append(f"{engine.identifier}:refused({answer.status})")
            return None
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
        began = clock.monotonic()
        is_answered = is_silent = False
        connection: EngineConnection | None = None
        try:
            await self.prepare(engine, request)
            began = clock.monotonic()
            connection = await self._pool.take_to_send(
                engine.identifier, engine.entry.address, self._gate
            )
            tries.sent += 1
            request.beginning.sent(clock.monotonic())
            is_silent = True
            head = await self._send(connection, engine, request)
            is_silent = False
            self.note_heard(engine)
            body = b"".join([piece async for piece in connection.read_body()])
            if engine_format.is_not_run(head.status, head.headers):
                tries.sent -= 1
                request.beginning.refused()
            is_answered = 200 <= head.status < 300
            await self._pool.give_back(connection)
            connection = None
            return WholeAnswer(engine.identifier, head.status, head.headers, body)
        finally:
            self._note_time(engine, began, is_answered)
            if is_silent and clock.monotonic() >= began + SILENT_ANSWER_SECONDS:
                self._note_silent(engine)
            engine.end_work()
            if connection is not None:
                await connection.close()

    def note_unreachable(self, engine: Engine, error: NotSentError) -> None:
        """Take that an engine could not be connected to: others of its zone may be cut off too."""
        if isinstance(error, SilentEngineError):
            self._note_silent(engine)

    def _note_silent(self, engine: Engine) -> None:
        zone, now = engine.entry.zone, clock.monotonic()
        if self._silent_zones.note_silent(zone, engine.identifier, now):
            logs.decision("zone_silent", zone=zone, engine=engine.identifier)

    def note_heard(self, engine: Engine) -> None:
        """Take that an engine answered: its zone can be reached."""
        if self._silent_zones.note_heard(engine.entry.zone):
            logs.decision("zone_heard", zone=engine.entry.zone, engine=engine.identifier)

    async def prepare(self, engine: Engine, request: ForwardedRequest) -> None:
        """Wait for what an engine's gate will ask for, before a connection is held."""
        if self._cold is not None:
            await self._cold.prepare(engine.identifier, request.deadline)

    def _note_time(self, engine: Engine, began: float, is_answered: bool) -> None:
        """Learn how fast an engine is; one that was left tells only that it took so long."""
        now = clock.monotonic()
        seconds = now - began
        if is_answered or seconds > engine.answer_seconds > 0:
            engine.note_answer(seconds, now)
        if is_answered or seconds > self.usual_seconds(engine.entry.service):
            self._times[engine.entry.service].note(seconds)

    async def _send(
        self, connection: EngineConnection, engine: Engine, request: ForwardedRequest
    ) -> AnswerHead:
        seconds_left = request.deadline - clock.monotonic()
        headers = engine_format.forwarded_headers(request.headers, engine.identifier, seconds_left)
        await connection.send_plain(request.method, request.target, request.body, headers)
        return await connection.read_answer(request.identifier)

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
