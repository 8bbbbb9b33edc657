"""Sends callers' requests to engines: choice, attempts, and the truth about what ran."""

import random

import curio

from pondtiller.errors import ErrorKind, Failure, Ran
from pondtiller.gateway.callers.race import ForwardedRequest, Race
from pondtiller.gateway.callers.tries import Attempt, Tries, WholeAnswer
from pondtiller.gateway.callers.waiting import LOOK_AGAIN_SECONDS, WaitingLine, WaitingLines
from pondtiller.gateway.engines.cold_sends import ColdSends
from pondtiller.gateway.engines.engine_ends import EngineEnds
from pondtiller.gateway.engines.engine_pool import (
    AnswerHead,
    EngineConnection,
    EnginePool,
    HeldBackError,
    SilentEngineError,
)
from pondtiller.gateway.engines.suspects import SuspectContents
from pondtiller.gateway.metrics import GatewayMetrics
from pondtiller.hashing import DIGEST_SHOWN
from pondtiller.httpio.client import BrokenError, NotSentError
from pondtiller.platform import engine_format
from pondtiller.process import clock, logs
from pondtiller.routes.answer_times import AnswerTimes, SmoothedTime
from pondtiller.routes.engines import Engine, EngineDirectory
from pondtiller.routes.live_queue import LiveQueue, Pace, Ticket, may_get, pace_of
from pondtiller.routes.places import Distance
from pondtiller.routes.send_gate import Held, SendGate
from pondtiller.routes.silent_zones import SilentZones
from pondtiller.routes.table import RequestKind, RouteRow

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

    Attributes
    ----------
    suspects
        Contents under which engines ended.
    ends
        Asked whether an engine has ended at which a request broke off.
    """

    def __init__(
        self,
        zone: str,
        engines: EngineDirectory,
        pool: EnginePool,
        metrics: GatewayMetrics,
        gate: SendGate,
        cold: ColdSends | None = None,
        suspects: SuspectContents | None = None,
    ) -> None:
        self._zone = zone
        self._silent_zones = SilentZones(zone)
        self._cold = cold
        self._engines = engines
        self.suspects = suspects or SuspectContents(metrics)
        self.ends = EngineEnds(engines, pool, metrics, self.suspects)
        self._gate = gate
        self._pool = pool
        self._metrics = metrics
        self._times: dict[str, AnswerTimes] = {}
        self._row_times: dict[str, SmoothedTime] = {}
        self._probed_at: dict[str, float] = {}
        self._random = random.Random(f"{zone}/{clock.new_incarnation()}")
        self._lines = WaitingLines(self._random)

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
        race = Race(request, route, route.choose_service(request.identifier))
        try:
            answer = await self._race(race)
        finally:
            await race.attempts.cancel_all()
        self._log(race, answer)
        return answer

    async def _race(self, race: Race) -> WholeAnswer | Failure:
        request, route, tries = race.request, race.route, race.tries
        while True:
            now = clock.monotonic()
            if now >= request.deadline:
                return self._late(route, tries)
            if not tries.running:
                if self.suspects.is_held(request.content):
                    return self.suspects.refuse(request.content, tries.ran)
                failure = await self._start_in_turn(race)
                if failure is not None:
                    return failure
            patience = request.deadline - now
            usual = self.usual_seconds(race.service)
            if self._may_hedge(race):
                patience = min(patience, usual)
            try:
                attempt = await curio.timeout_after(patience, race.ended.get)
            except curio.TaskTimeout:
                now = clock.monotonic()
                is_overdue = now >= tries.last_began + OVERDUE_TIMES * usual
                if now < request.deadline and (is_overdue or self._has_spare(race)):
                    await self._start(race)
                continue
            tries.running -= 1
            answer = self._judge(attempt, route, tries)
            if answer is not None:
                return answer

    def _has_spare(self, race: Race) -> bool:
        """Return whether another engine is free enough for an early second try.

        Where engines are slow because they are full, second tries only fill them more. A
        request that is overdue gets its second try all the same: its engine may be gone.
        """
        engine = self._choose_with_room(race)
        return engine is not None and engine.running < engine.entry.slots * HEDGE_FILL

    def usual_seconds(self, service: str) -> float:
        """Return the time within which nearly all answers of a service came here."""
        return self._times.setdefault(service, AnswerTimes()).usual_seconds

    def has_room(self, service: str, homes: frozenset[str]) -> bool:
        """Return whether an engine in the homes would begin a request soon, by own work."""
        engine = self.choose(service, set(), homes)
        return engine is not None and engine.running < engine.entry.slots * QUEUE_FILL

    def _may_hedge(self, race: Race) -> bool:
        """Return whether a second engine may get it too: not where an engine ended under it."""
        if self.suspects.is_suspect(race.request.content):
            return False
        return race.route.may_repeat and len(race.tries.engines) < race.route.attempts

    async def _start(self, race: Race) -> bool:
        """Begin an attempt at another engine; False where none may get the request now."""
        if self.suspects.is_held(race.request.content):
            return False
        engine = self._choose_with_room(race)
        if engine is None:
            return False
        now = clock.monotonic()
        if engine.failures and now < engine.not_before:
            self._probed_at[race.service] = now
        race.tries.begin(engine.identifier, now)
        await race.attempts.spawn(self._try, engine, race)
        return True

    def _choose_with_room(self, race: Race) -> Engine | None:
        """Return the best engine that may get a request now.

        Where others are only full, one that failed just now does not get it, since waiting for
        room costs less than waiting for a connection that does not come up; nor does a cold one.
        """
        now = clock.monotonic()
        route, tries = race.route, race.tries
        excluded = tries.passed_over
        some_full = False
        while True:
            engine = self.choose(race.service, excluded, route.homes)
            if engine is None or (some_full and self._is_last_resort(engine, now)):
                return None
            if not self._may_probe(engine, now):
                return None
            if tries.may_reach(engine.identifier, route.attempts):
                if may_get(engine, now):
                    return engine
                some_full = True
            excluded = excluded | {engine.identifier}

    def _may_probe(self, engine: Engine, now: float) -> bool:
        """Return whether an engine that failed just now may be tried before its pause ends.

        Load: all engines of a service are gone and many requests wait. One try now and then finds
        out for all of them when an engine is back.
        """
        if engine.failures == 0 or now >= engine.not_before:
            return True
        return now >= self._probed_at.get(engine.entry.service, 0.0) + LOOK_AGAIN_SECONDS

    def _is_last_resort(self, engine: Engine, now: float) -> bool:
        is_cold = self._cold is not None and self._cold.is_cold(engine, now)
        return is_cold or now < engine.not_before

    async def _start_in_turn(self, race: Race) -> WholeAnswer | Failure | None:
        """Begin an attempt, after those that are more urgent; return a failure where none began."""
        line = self._lines.of(race.service, race.route.homes)
        if not line.queue and await self._start(race):
            return None
        if not self._may_wait(race):
            return self._exhausted(race, line.queue)
        ticket = self._enter(race, line)
        if ticket is None:
            # It would be late behind the others, but it is not refused while a place is free.
            if line.queue and await self._start(race):
                return None
            return self._exhausted(race, line.queue)
        try:
            while clock.monotonic() < ticket.leave_by:
                await line.wait_turn(ticket)
                if self.suspects.is_held(race.request.content):
                    return self.suspects.refuse(race.request.content, race.tries.ran)
                race.tries.look_again(race.route.may_repeat)
                if line.queue.first is ticket and await self._start(race):
                    return None
        finally:
            line.queue.leave(ticket)
            await line.turn.set()
        return self._exhausted(race, line.queue)

    def _enter(self, race: Race, line: WaitingLine) -> Ticket | None:
        request, route, tries = race.request, race.route, race.tries
        if tries.ticket is not None:
            line.queue.enter_again(tries.ticket)
            return tries.ticket
        now, pace = clock.monotonic(), self._pace(route, race.service)
        tries.ticket = line.queue.enter(route.priority, request.deadline, now, pace)
        if tries.ticket is not None:
            tries.details.append("waits")
        return tries.ticket

    def _may_wait(self, race: Race) -> bool:
        """Return whether an engine that is known may get the request later."""
        route, tries = race.route, race.tries
        if not self._engines.usable(race.service, clock.monotonic(), route.homes):
            return False
        may_go_again = route.may_repeat and bool(tries.refused | tries.again)
        return len(tries.engines) < route.attempts or may_go_again

    def _pace(self, route: RouteRow, service: str) -> Pace:
        now = clock.monotonic()
        own = self._row_times.get(route.name)
        usable = self._engines.usable(service, now, route.homes)
        return pace_of(usable, own.seconds(now) if own is not None else 0.0)

    async def _try(self, engine: Engine, race: Race) -> None:
        request, tries, ended = race.request, race.tries, race.ended
        began = clock.monotonic()
        try:
            answer = await self._attempt(engine, request, tries)
            seconds = clock.monotonic() - began
            await ended.put(Attempt(engine, answer, seconds=seconds))
        except HeldBackError as error:
            tries.hold_back(engine, error.reason)
            await ended.put(Attempt(engine, None, is_held=True))
        except NotSentError as error:
            self.note_unreachable(engine, error)
            tries.unreachable(engine)
            await ended.put(Attempt(engine, None, f"{engine.identifier}:unreachable"))
        except BrokenError as error:
            has_ended = await self.ends.confirm(
                engine.identifier, engine.entry.address, request.identifier, request.content
            )
            how = "ended" if has_ended else "broken"
            broken = f"{engine.identifier}:{how}({error})"
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
            self._note_full(engine, answer, route)
            tries.refused.add(engine.identifier)
            tries.details.append(f"{engine.identifier}:refused({answer.status})")
            return None
        is_success = 200 <= answer.status < 300
        if is_success and engine_format.signature(answer.headers) is None:
            tries.details.append(f"{engine.identifier}:unsigned")
            return None if route.may_repeat else Failure(ErrorKind.OUTCOME_UNKNOWN)
        engine.note_success()
        self._note_in_time(engine, attempt.seconds, route)
        if answer.status >= 500 and route.may_repeat:
            tries.last_failure = answer
            tries.details.append(f"{engine.identifier}:failed({answer.status})")
            return None
        return answer

    def _note_in_time(self, engine: Engine, seconds: float, route: RouteRow) -> None:
        """Take how long an answer took, for its engine's limit and for its row's pace."""
        now = clock.monotonic()
        self._row_times.setdefault(route.name, SmoothedTime()).note(seconds, now)
        running = engine.running + 1
        engine.limit.note_answer(running, engine.entry.slots, seconds, route.objective_seconds, now)

    def _note_full(self, engine: Engine, answer: WholeAnswer, route: RouteRow) -> None:
        """Take a refusal; one that says that the engine is another start tells nothing of room."""
        now = clock.monotonic()
        engine.note_refusal(now)
        if answer.status != engine_format.MISDIRECTED:
            engine.limit.note_late(engine.running + 1, route.objective_seconds, now)

    def _exhausted(self, race: Race, queue: LiveQueue) -> WholeAnswer | Failure:
        tries = race.tries
        if tries.last_failure is not None:
            return tries.last_failure
        if tries.ran is not Ran.NO:
            return Failure(ErrorKind.ENGINE_FAILED)
        left = race.request.deadline - clock.monotonic()
        pause = queue.return_seconds(left, self._pace(race.route, race.service))
        return Failure(ErrorKind.NO_ENGINE, retry_after_seconds=pause)

    def _late(self, route: RouteRow, tries: Tries) -> WholeAnswer | Failure:
        now = clock.monotonic()
        for name in tries.engines:
            engine = self._engines.engines.get(name)
            if engine is not None and tries.running:
                engine.limit.note_late(engine.running, route.objective_seconds, now)
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
            # Other runs of the same content may have ended their engines while this one waited for
            # a connection: each send after the last end that is allowed costs an engine.
            if self.suspects.is_held(request.content):
                await self._pool.give_back_unused(connection)
                connection = None
                raise HeldBackError(Held.ENDS_ENGINES)
            if clock.monotonic() >= request.deadline:
                await self._pool.give_back_unused(connection)
                connection = None
                raise HeldBackError(Held.LATE)
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
            else:
                await self.suspects.note_answer(request.content)
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
            await self._lines.call(engine.entry.service)

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

    def _log(self, race: Race, answer: WholeAnswer | Failure) -> None:
        request, tries = race.request, race.tries
        is_failure = isinstance(answer, Failure)
        outcome = answer.kind.value if isinstance(answer, Failure) else str(answer.status)
        logs.decision(
            "request_failed" if is_failure else "request_answered",
            request=request.identifier,
            content=request.content[:DIGEST_SHOWN],
            route=race.route.name,
            service=race.service,
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
