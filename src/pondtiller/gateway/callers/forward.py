"""Sends requests with whole answers to engines, for callers and for the leader's scorers.

Holds the requests in progress, the queues of waiting requests, and the observed answer times of
services; all of it is lost at a restart. This module does the I/O and sequences the steps; the
rules are in `routes.engine_choice`, `routes.live_attempts`, `routes.live_queue` and
`routes.retry_after`.

Relies on `EngineSender` to send an attempt, and on `SuspectContents` for quarantined contents. Does
not check keys, rates or homes (`front`), and does not handle streams (`streams`).
"""

import random
from dataclasses import replace

import curio

from pondtiller.errors import Failure, Ran
from pondtiller.gateway.callers.attempts import EndedAttempt, RequestAttempts, WholeAnswer
from pondtiller.gateway.callers.content_trials import ContentTrials
from pondtiller.gateway.callers.request import ForwardedRequest, WholeRequest
from pondtiller.gateway.callers.sending import EngineSender
from pondtiller.gateway.callers.waiting import WaitingQueue, WaitingQueues
from pondtiller.gateway.engines.cold_sends import ColdSends
from pondtiller.gateway.engines.engine_ends import EngineEnds
from pondtiller.gateway.engines.engine_pool import EngineConnection, EnginePool, SendBlockedError
from pondtiller.gateway.engines.suspects import SuspectContents
from pondtiller.gateway.engines.zone_reach import ZoneReach
from pondtiller.gateway.metrics import GatewayMetrics
from pondtiller.httpio.client_errors import BrokenError, NotSentError
from pondtiller.platform import engine_answers
from pondtiller.process import clock, logs
from pondtiller.process.stalls import StallWatch
from pondtiller.routes.engine_choice import EngineChoice
from pondtiller.routes.engines import Engine, EngineDirectory
from pondtiller.routes.live_attempts import (
    AttemptEnd,
    NextStep,
    end_of_answer,
    error_without_engines,
    error_without_time,
    is_overdue,
    judge,
    may_hedge,
    may_wait,
)
from pondtiller.routes.live_queue import LiveQueue, Ticket
from pondtiller.routes.planned_stop import PlannedStop, answer_due, error_of_stop
from pondtiller.routes.quarantine import abbreviate_content
from pondtiller.routes.send_gate import BlockReason, SendGate
from pondtiller.routes.service_times import ServiceTimes
from pondtiller.routes.table import RequestKind, RouteRow


class Forwarder:
    """Sends requests to engines on behalf of callers and of the leader's scorers.

    Parameters
    ----------
    zone
        Zone of this gateway; its engines are preferred.
    gate
        Checked right before an attempt is sent.
    cold
        Which engines are cold, and this gateway's shares of their rates; None if none ever is.
    stalls
        Measures pauses of this process, which are excluded from the engines' answer times.

    Attributes
    ----------
    suspects
        Contents under which engines crashed.
    ends
        Tells whether an engine has ended at which a request broke off.
    trials
        Allows single requests of quarantined contents.
    choice
        Chooses engines, also for streams.
    zones
        Records which zones respond.
    cold
        As the parameter.
    stop
        Times of the planned stop in progress; None if there is none.
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
        stalls: StallWatch | None = None,
    ) -> None:
        self._engines = engines
        self._pool = pool
        self._metrics = metrics
        self._times = ServiceTimes(engines)
        rng = random.Random(f"{zone}/{clock.new_incarnation()}")
        self._lines = WaitingQueues(rng)
        self.cold = cold
        self.stop: PlannedStop | None = None
        self.suspects = suspects or SuspectContents(metrics)
        self.ends = EngineEnds(engines, pool, metrics, self.suspects)
        self.trials = ContentTrials(engines, self.ends, self.suspects)
        self.choice = EngineChoice(zone, engines, pool.has_kept, cold, rng)
        self.zones = ZoneReach(self.choice.silent_zones)
        self._sender = EngineSender(pool, gate, self.suspects, cold)
        self._stalls = stalls or StallWatch()

    def has_room(self, service: str, homes: frozenset[str]) -> bool:
        """Return whether an engine in the homes would soon start a request, by own load alone."""
        return self.choice.has_room(service, homes, clock.monotonic())

    def usual_seconds(self, service: str) -> float:
        """Return the time within which nearly all answers of a service arrive here."""
        return self._times.usual_seconds(service)

    async def whole(self, request: ForwardedRequest, route: RouteRow) -> WholeAnswer | Failure:
        """Return an engine's whole answer, or the reason why there is none.

        If the first engine takes longer than nearly all answers do, a repeatable request is also
        sent to a second one. The first good answer counts, and the other attempt is cancelled.
        """
        service = route.choose_service(request.identifier)
        is_trial = await self.trials.try_start(request, service, route.homes)
        if is_trial:
            route = replace(route, attempts=1)
        whole = WholeRequest(request, route, service, is_trial)
        async with self._stalls:
            try:
                self.trials.begin(whole)
                answer = await self._run(whole)
            finally:
                await whole.tasks.cancel_all()
                whole.attempts.leave_reserved()
                await self.trials.follow(whole)
        self._log(whole, answer)
        return answer

    async def _run(self, whole: WholeRequest) -> WholeAnswer | Failure:
        request, route, attempts = whole.request, whole.route, whole.attempts
        while True:
            now = clock.monotonic()
            if now >= request.deadline and whole.ended.empty():
                return self._late(route, attempts)
            if not attempts.running:
                if self._may_outlast_stop(whole):
                    return self._stops(attempts)
                if self.suspects.is_quarantined(whole.checked_content):
                    return self.suspects.refuse(request.content, attempts.ran)
                failure = await self._begin_or_wait(whole)
                if failure is not None:
                    return failure
            patience = request.deadline - now
            usual = self.usual_seconds(whole.service)
            if self._may_hedge(whole):
                patience = min(patience, usual)
            ended = await _next_end(whole, patience)
            if ended is None:
                await self._stalls.read_first(request.deadline - clock.monotonic())
                if whole.ended.empty():
                    await self._hedge(whole, usual)
                continue
            attempts.running -= 1
            answer = self._judge(ended, route, attempts)
            if answer is not None:
                return answer

    async def begin_stop(self, stop: PlannedStop) -> None:
        """Reject requests that may outlast a planned stop, also those that wait."""
        self.stop = stop
        await self._lines.wake_all()

    def _may_outlast_stop(self, whole: WholeRequest) -> bool:
        if self.stop is None:
            return False
        usual = self.usual_seconds(whole.service)
        deadline, may_repeat = whole.request.deadline, whole.route.may_repeat
        return self.stop.is_too_late(answer_due(deadline, clock.monotonic(), usual, may_repeat))

    def _stops(self, attempts: RequestAttempts) -> WholeAnswer | Failure:
        """Return the answer to a request that is not passed on since the process stops."""
        return attempts.last_failure or Failure(error_of_stop(attempts.ran))

    def _may_hedge(self, whole: WholeRequest) -> bool:
        is_suspect = self.suspects.is_suspect(whole.request.content)
        return may_hedge(whole.attempts.hedge_inputs(whole.route, is_suspect))

    async def _hedge(self, whole: WholeRequest, usual_seconds: float) -> None:
        """Start a second attempt if the first is overdue, or if an engine has enough free slots."""
        now = clock.monotonic()
        if now >= whole.request.deadline:
            return
        attempts = whole.attempts
        if is_overdue(attempts.last_began, usual_seconds, now) or self.choice.has_spare(
            attempts.constraints(whole.service, whole.route), now
        ):
            await self._begin(whole)

    async def _begin(self, whole: WholeRequest) -> bool:
        """Start an attempt at another engine; return False if none may get the request now."""
        if self.suspects.is_quarantined(whole.checked_content):
            return False
        now = clock.monotonic()
        engine = self.choice.choose_available(
            whole.attempts.constraints(whole.service, whole.route), now
        )
        if engine is None:
            return False
        self.choice.note_attempt(whole.service, engine, now)
        whole.attempts.begin(engine.identifier, now)
        whole.attempts.stalled_before = self._stalls.stalled_seconds()
        # Reserved before the attempt's task runs: other requests that wake now must see it.
        whole.attempts.reserve(engine)
        await whole.tasks.spawn(self._attempt, engine, whole)
        return True

    async def _begin_or_wait(self, whole: WholeRequest) -> WholeAnswer | Failure | None:
        """Start an attempt after more urgent requests; return a failure if none was started."""
        line = self._lines.of(whole.service, whole.route.homes)
        if not line.queue and await self._begin(whole):
            return None
        if not self._may_wait(whole):
            return self._exhausted(whole, line.queue)
        ticket = self._enter(whole, line)
        if ticket is None:
            # It would be late behind the others, but is not rejected while an engine has capacity.
            if line.queue and await self._begin(whole):
                return None
            return self._exhausted(whole, line.queue)
        try:
            while clock.monotonic() < ticket.leave_by:
                await line.wait_for_turn(ticket)
                if self._may_outlast_stop(whole):
                    return self._stops(whole.attempts)
                if self.suspects.is_quarantined(whole.checked_content):
                    return self.suspects.refuse(whole.request.content, whole.attempts.ran)
                whole.attempts.allow_again(whole.route.may_repeat)
                if line.queue.first is ticket and await self._begin(whole):
                    return None
        finally:
            line.queue.remove(ticket)
            await line.turn.set()
        return self._exhausted(whole, line.queue)

    def _may_wait(self, whole: WholeRequest) -> bool:
        usable = self._engines.usable(whole.service, clock.monotonic(), whole.route.homes)
        return may_wait(whole.attempts.wait_inputs(whole.route, bool(usable)))

    def _enter(self, whole: WholeRequest, line: WaitingQueue) -> Ticket | None:
        request, route, attempts = whole.request, whole.route, whole.attempts
        if attempts.ticket is not None:
            line.queue.requeue(attempts.ticket)
            return attempts.ticket
        now = clock.monotonic()
        pace = self._times.pace(route, whole.service, now)
        attempts.ticket = line.queue.enqueue(route.priority, request.deadline, now, pace)
        if attempts.ticket is not None:
            attempts.details.append("waits")
        return attempts.ticket

    async def _attempt(self, engine: Engine, whole: WholeRequest) -> None:
        """Make one attempt, and put its outcome into the request's queue."""
        request, attempts, ended = whole.request, whole.attempts, whole.ended
        attempts.reserved.remove(engine)
        began = self._stalls.running_seconds()
        try:
            answer = await self._send(engine, whole)
            seconds = self._stalls.running_seconds() - began
            facts = engine_answers.answer_facts(answer.status, answer.headers)
            end = end_of_answer(facts)
            await ended.put(EndedAttempt(engine, end, answer, seconds=seconds))
        except SendBlockedError as error:
            attempts.note_blocked(engine, error.reason)
            await ended.put(EndedAttempt(engine, AttemptEnd.HELD_BACK))
        except NotSentError as error:
            self.zones.note_unreachable(engine, error)
            attempts.unreachable(engine)
            detail = f"{engine.identifier}:unreachable"
            await ended.put(EndedAttempt(engine, AttemptEnd.UNREACHABLE, detail=detail))
        except BrokenError as error:
            # Waiting requests need not wait for the confirmation.
            await self._lines.wake(engine.entry.service)
            has_ended = await self.ends.confirm(
                engine.identifier, engine.entry.address, request.identifier, request.content
            )
            how = "ended" if has_ended else "broken"
            detail = f"{engine.identifier}:{how}({error})"
            await ended.put(EndedAttempt(engine, AttemptEnd.BROKEN, detail=detail))
        finally:
            # After the answer, which may be due soon: waking the others takes up the event loop.
            await self._lines.wake(engine.entry.service)

    async def _send(self, engine: Engine, whole: WholeRequest) -> WholeAnswer:
        """Return an engine's answer, and release the reserved slot.

        Raises `SendBlockedError`, `NotSentError`, `BrokenError`.
        """
        request, attempts = whole.request, whole.attempts
        self._metrics.attempts += 1
        began = self._stalls.running_seconds()
        is_answered = is_unanswered = False
        connection: EngineConnection | None = None
        try:
            await self._sender.prepare(engine.identifier, request.deadline)
            began = self._stalls.running_seconds()
            connection = await self._sender.take(
                engine.identifier, engine.entry.address, whole.checked_content, self._send_by(whole)
            )
            if self._may_outlast_stop(whole):
                raise SendBlockedError(BlockReason.STOPS)
            request.beginning.note_sent(clock.monotonic())
            is_unanswered = True
            head = await self._sender.send(connection, engine.identifier, request, attempts)
            is_unanswered = False
            self.zones.note_answer(engine)
            body = await self._pool.bodies.read_whole(connection.read_body())
            answer = WholeAnswer(engine.identifier, head.status, head.headers, body)
            facts = engine_answers.answer_facts(head.status, head.headers)
            end = end_of_answer(facts)
            if end is AttemptEnd.REFUSED:
                attempts.sent -= 1
                request.beginning.note_not_started()
            elif end is not AttemptEnd.UNSIGNED:
                await self.suspects.note_answer(request.content)
            is_answered = end is AttemptEnd.ANSWERED and facts.is_success
            await self._pool.give_back(connection)
            connection = None
            return answer
        finally:
            seconds = self._stalls.running_seconds() - began
            self._times.note_attempt(engine, seconds, is_answered, clock.monotonic())
            if is_unanswered:
                self.zones.note_unanswered(engine, seconds)
            engine.end_work()
            attempts.seconds_left_when_sent.pop(engine.identifier, None)
            if connection is not None:
                await connection.abort()

    def _send_by(self, whole: WholeRequest) -> float:
        """Return when an attempt must have been sent to be answered in time, at the row's pace."""
        pace = self._times.pace(whole.route, whole.service, clock.monotonic())
        return whole.request.deadline - pace.own_seconds

    def _judge(
        self, ended: EndedAttempt, route: RouteRow, attempts: RequestAttempts
    ) -> WholeAnswer | Failure | None:
        """Return an answer to give back, or None if another engine may get the request."""
        verdict = judge(ended.end, route.may_repeat)
        self._note_end(ended, route, attempts)
        if verdict.step is NextStep.ANSWER:
            return ended.answer
        if ended.end is AttemptEnd.FAILED and ended.answer is not None:
            attempts.last_failure = ended.answer
            attempts.details.append(f"{ended.engine.identifier}:failed({ended.answer.status})")
        return Failure(verdict.error) if verdict.error is not None else None

    def _note_end(self, ended: EndedAttempt, route: RouteRow, attempts: RequestAttempts) -> None:
        """Record an attempt's outcome for its engine and for the log line."""
        engine, now = ended.engine, clock.monotonic()
        if ended.end is AttemptEnd.HELD_BACK:
            return
        if ended.answer is None:
            engine.note_failure(now)
            attempts.details.append(ended.detail)
        elif ended.end is AttemptEnd.REFUSED:
            self._note_full(engine, ended.answer, route)
            attempts.refused.add(engine.identifier)
            attempts.details.append(f"{engine.identifier}:refused({ended.answer.status})")
        elif ended.end is AttemptEnd.UNSIGNED:
            attempts.details.append(f"{engine.identifier}:unsigned")
        else:
            engine.note_success()
            self._times.note_answer(engine, route, ended.seconds, now)

    def _note_full(self, engine: Engine, answer: WholeAnswer, route: RouteRow) -> None:
        """Record a refusal; one that names another incarnation does not mean a full queue."""
        now = clock.monotonic()
        engine.note_refusal(now)
        if answer.status != engine_answers.MISDIRECTED:
            engine.limit.note_late(engine.running + 1, route.objective_seconds, now)

    def _exhausted(self, whole: WholeRequest, queue: LiveQueue) -> WholeAnswer | Failure:
        """Return the answer to a request for which no engine is left."""
        attempts = whole.attempts
        if attempts.last_failure is not None:
            return attempts.last_failure
        kind = error_without_engines(attempts.ran)
        if attempts.ran is not Ran.NO:
            return Failure(kind)
        now = clock.monotonic()
        pace = self._times.pace(whole.route, whole.service, now)
        pause = queue.seconds_to_retry(whole.request.deadline - now, pace)
        return Failure(kind, retry_after_seconds=pause)

    def _late(self, route: RouteRow, attempts: RequestAttempts) -> Failure:
        """Return the answer to a request whose deadline has passed."""
        now = clock.monotonic()
        # An answer that arrived during a pause may still be unread; the engine was not late then.
        has_stalled = self._stalls.stalled_seconds() > attempts.stalled_before
        for name in attempts.engines:
            engine = self._engines.engines.get(name)
            if engine is not None and attempts.running and not has_stalled:
                engine.limit.note_late(engine.running, route.objective_seconds, now)
        attempts.note_unanswered()
        return Failure(error_without_time(attempts.ran))

    def _log(self, whole: WholeRequest, answer: WholeAnswer | Failure) -> None:
        request, attempts = whole.request, whole.attempts
        is_failure = isinstance(answer, Failure)
        outcome = answer.kind.value if isinstance(answer, Failure) else str(answer.status)
        logs.decision(
            "request_failed" if is_failure else "request_answered",
            request=request.identifier,
            content=abbreviate_content(request.content),
            route=whole.route.name,
            service=whole.service,
            table_version=request.decided_by.version,
            table_age=request.decided_by.age_seconds,
            engines_revision=self._engines.revision,
            engine="" if isinstance(answer, Failure) else answer.engine,
            tried=";".join(attempts.details),
            left=request.deadline - clock.monotonic(),
            outcome=outcome,
            ran=attempts.ran.value,
        )


async def _next_end(whole: WholeRequest, patience: float) -> EndedAttempt | None:
    """Return the next attempt that has ended; None if there is none within so many seconds."""
    ended: EndedAttempt
    try:
        if whole.ended.empty():
            ended = await curio.timeout_after(patience, whole.ended.get)
        else:
            ended = await whole.ended.get()
    except curio.TaskTimeout:
        return None
    return ended


def is_streamed(route: RouteRow) -> bool:
    """Return whether a route's answers are event streams."""
    return route.kind is RequestKind.STREAM
