"""Sends requests that are answered whole to engines, for callers and for the leader's scorers.

Owns the requests on their way, the lines of those that wait, and what this gateway learned of its
services; all of it is lost at a restart. I/O and the order of steps stand here; the rules are in
`routes.engine_choice`, `routes.live_attempts`, `routes.live_queue` and `routes.retry_after`.

Relies on `EngineSender` for how an attempt leaves, and on `SuspectContents` for contents that no
engine may get. Does not look at keys, rates or homes (`front`), and passes no streams (`streams`).
"""

import random
from dataclasses import replace

import curio

from pondtiller.errors import Failure, Ran
from pondtiller.gateway.callers.attempts import EndedAttempt, RequestAttempts, WholeAnswer
from pondtiller.gateway.callers.content_trials import ContentTrials
from pondtiller.gateway.callers.request import ForwardedRequest, WholeRequest
from pondtiller.gateway.callers.sending import EngineSender
from pondtiller.gateway.callers.waiting import WaitingLine, WaitingLines
from pondtiller.gateway.engines.cold_sends import ColdSends
from pondtiller.gateway.engines.engine_ends import EngineEnds
from pondtiller.gateway.engines.engine_pool import EngineConnection, EnginePool, HeldBackError
from pondtiller.gateway.engines.suspects import SuspectContents
from pondtiller.gateway.engines.zone_reach import ZoneReach
from pondtiller.gateway.metrics import GatewayMetrics
from pondtiller.httpio.client import BrokenError, NotSentError
from pondtiller.platform import engine_answers
from pondtiller.process import clock, logs
from pondtiller.process.stalls import StallWatch
from pondtiller.routes.engine_choice import EngineChoice
from pondtiller.routes.engines import Engine, EngineDirectory
from pondtiller.routes.live_attempts import (
    AnswerFacts,
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
from pondtiller.routes.quarantine import abbreviate_content
from pondtiller.routes.send_gate import SendGate
from pondtiller.routes.service_times import ServiceTimes
from pondtiller.routes.table import RequestKind, RouteRow


class Forwarder:
    """Sends requests to engines on behalf of callers and of the leader's scorers.

    Parameters
    ----------
    zone
        Zone of this gateway; engines in it are preferred.
    gate
        Asked right before an attempt leaves.
    cold
        Which engines are cold, and this gateway's shares of them; None where none ever is.
    stalls
        Knows how long this process stood still, which is no time of an engine.

    Attributes
    ----------
    suspects
        Contents under which engines ended.
    ends
        Asked whether an engine has ended at which a request broke off.
    trials
        Lets single requests of held contents through.
    choice
        Chooses engines, for streams too.
    zones
        Takes which zones answer.
    cold
        As given.
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
        self._lines = WaitingLines(rng)
        self.cold = cold
        self.suspects = suspects or SuspectContents(metrics)
        self.ends = EngineEnds(engines, pool, metrics, self.suspects)
        self.trials = ContentTrials(engines, self.ends, self.suspects)
        self.choice = EngineChoice(zone, engines, pool.has_kept, cold, rng)
        self.zones = ZoneReach(self.choice.silent_zones)
        self._sender = EngineSender(pool, gate, self.suspects, cold)
        self._stalls = stalls or StallWatch()

    def has_room(self, service: str, homes: frozenset[str]) -> bool:
        """Return whether an engine in the homes would begin a request soon, by own work."""
        return self.choice.has_room(service, homes, clock.monotonic())

    def usual_seconds(self, service: str) -> float:
        """Return the time within which nearly all answers of a service came here."""
        return self._times.usual_seconds(service)

    async def whole(self, request: ForwardedRequest, route: RouteRow) -> WholeAnswer | Failure:
        """Return an engine's whole answer, or why there is none.

        What may be repeated goes to a second engine too when the first is silent for longer than
        nearly all answers take; the first good answer counts, and the other engine is left.
        """
        service = route.choose_service(request.identifier)
        is_trial = await self.trials.take(request, service, route.homes)
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
                if self.suspects.is_held(whole.checked_content):
                    return self.suspects.refuse(request.content, attempts.ran)
                failure = await self._begin_in_turn(whole)
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

    def _may_hedge(self, whole: WholeRequest) -> bool:
        is_suspect = self.suspects.is_suspect(whole.request.content)
        return may_hedge(whole.attempts.hedge_inputs(whole.route, is_suspect))

    async def _hedge(self, whole: WholeRequest, usual_seconds: float) -> None:
        """Begin an attempt beside those that run, where one is overdue or an engine is free."""
        now = clock.monotonic()
        if now >= whole.request.deadline:
            return
        attempts = whole.attempts
        if is_overdue(attempts.last_began, usual_seconds, now) or self.choice.has_spare(
            attempts.wanted(whole.service, whole.route), now
        ):
            await self._begin(whole)

    async def _begin(self, whole: WholeRequest) -> bool:
        """Begin an attempt at another engine; False where none may get the request now."""
        if self.suspects.is_held(whole.checked_content):
            return False
        now = clock.monotonic()
        engine = self.choice.choose_available(
            whole.attempts.wanted(whole.service, whole.route), now
        )
        if engine is None:
            return False
        self.choice.note_attempt(whole.service, engine, now)
        whole.attempts.begin(engine.identifier, now)
        whole.attempts.stalled_before = self._stalls.stalled_seconds()
        # Counted before the attempt's task runs: others that are woken now must see it.
        whole.attempts.reserve(engine)
        await whole.tasks.spawn(self._attempt, engine, whole)
        return True

    async def _begin_in_turn(self, whole: WholeRequest) -> WholeAnswer | Failure | None:
        """Begin an attempt, after those that are more urgent; return a failure where none began."""
        line = self._lines.of(whole.service, whole.route.homes)
        if not line.queue and await self._begin(whole):
            return None
        if not self._may_wait(whole):
            return self._exhausted(whole, line.queue)
        ticket = self._enter(whole, line)
        if ticket is None:
            # It would be late behind the others, but it is not refused while a place is free.
            if line.queue and await self._begin(whole):
                return None
            return self._exhausted(whole, line.queue)
        try:
            while clock.monotonic() < ticket.leave_by:
                await line.wait_turn(ticket)
                if self.suspects.is_held(whole.checked_content):
                    return self.suspects.refuse(whole.request.content, whole.attempts.ran)
                whole.attempts.look_again(whole.route.may_repeat)
                if line.queue.first is ticket and await self._begin(whole):
                    return None
        finally:
            line.queue.remove(ticket)
            await line.turn.set()
        return self._exhausted(whole, line.queue)

    def _may_wait(self, whole: WholeRequest) -> bool:
        usable = self._engines.usable(whole.service, clock.monotonic(), whole.route.homes)
        return may_wait(whole.attempts.wait_inputs(whole.route, bool(usable)))

    def _enter(self, whole: WholeRequest, line: WaitingLine) -> Ticket | None:
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
        """Make one attempt, and say in the request's queue how it ended."""
        request, attempts, ended = whole.request, whole.attempts, whole.ended
        attempts.reserved.remove(engine)
        began = self._stalls.running_seconds()
        try:
            answer = await self._send(engine, whole)
            seconds = self._stalls.running_seconds() - began
            end = end_of_answer(_facts(answer))
            await ended.put(EndedAttempt(engine, end, answer, seconds=seconds))
        except HeldBackError as error:
            attempts.hold_back(engine, error.reason)
            await ended.put(EndedAttempt(engine, AttemptEnd.HELD_BACK))
        except NotSentError as error:
            self.zones.note_unreachable(engine, error)
            attempts.unreachable(engine)
            detail = f"{engine.identifier}:unreachable"
            await ended.put(EndedAttempt(engine, AttemptEnd.UNREACHABLE, detail=detail))
        except BrokenError as error:
            # Those that wait need not wait for the confirmation.
            await self._lines.call(engine.entry.service)
            has_ended = await self.ends.confirm(
                engine.identifier, engine.entry.address, request.identifier, request.content
            )
            how = "ended" if has_ended else "broken"
            detail = f"{engine.identifier}:{how}({error})"
            await ended.put(EndedAttempt(engine, AttemptEnd.BROKEN, detail=detail))
        finally:
            # After the answer, which may be due soon: those that wait take the loop for a while.
            await self._lines.call(engine.entry.service)

    async def _send(self, engine: Engine, whole: WholeRequest) -> WholeAnswer:
        """Return an engine's answer, and free the place that was reserved there.

        Raises `HeldBackError`, `NotSentError`, `BrokenError`.
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
            request.beginning.sent(clock.monotonic())
            is_unanswered = True
            head = await self._sender.send(connection, engine.identifier, request, attempts)
            is_unanswered = False
            self.zones.note_heard(engine)
            body = b"".join([piece async for piece in connection.read_body()])
            if engine_answers.is_not_run(head.status, head.headers):
                attempts.sent -= 1
                request.beginning.refused()
            else:
                await self.suspects.note_answer(request.content)
            is_answered = 200 <= head.status < 300
            await self._pool.give_back(connection)
            connection = None
            return WholeAnswer(engine.identifier, head.status, head.headers, body)
        finally:
            seconds = self._stalls.running_seconds() - began
            self._times.note_attempt(engine, seconds, is_answered, clock.monotonic())
            if is_unanswered:
                self.zones.note_unanswered(engine, seconds)
            engine.end_work()
            attempts.left_when_sent.pop(engine.identifier, None)
            if connection is not None:
                await connection.close()

    def _send_by(self, whole: WholeRequest) -> float:
        """Return when an attempt must have left to be answered in time, at the row's pace."""
        pace = self._times.pace(whole.route, whole.service, clock.monotonic())
        return whole.request.deadline - pace.own_seconds

    def _judge(
        self, ended: EndedAttempt, route: RouteRow, attempts: RequestAttempts
    ) -> WholeAnswer | Failure | None:
        """Return an answer that goes back, or None where another engine may get it."""
        verdict = judge(ended.end, route.may_repeat)
        self._note_end(ended, route, attempts)
        if verdict.step is NextStep.ANSWER:
            return ended.answer
        if ended.end is AttemptEnd.FAILED and ended.answer is not None:
            attempts.last_failure = ended.answer
            attempts.details.append(f"{ended.engine.identifier}:failed({ended.answer.status})")
        return Failure(verdict.error) if verdict.error is not None else None

    def _note_end(self, ended: EndedAttempt, route: RouteRow, attempts: RequestAttempts) -> None:
        """Take for the engine, and for the log line, how an attempt ended."""
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
        """Take a refusal; one that says that the engine is another start tells nothing of room."""
        now = clock.monotonic()
        engine.note_refusal(now)
        if answer.status != engine_answers.MISDIRECTED:
            engine.limit.note_late(engine.running + 1, route.objective_seconds, now)

    def _exhausted(self, whole: WholeRequest, queue: LiveQueue) -> WholeAnswer | Failure:
        """Return what a request is answered that no engine is left for."""
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
        """Return what a request is answered whose deadline passed."""
        now = clock.monotonic()
        # An answer that came in a standstill may lie unread: that is not the engine's lateness.
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
    """Return the next attempt that ends, or has ended; None where none does in so many seconds."""
    ended: EndedAttempt
    try:
        if whole.ended.empty():
            ended = await curio.timeout_after(patience, whole.ended.get)
        else:
            ended = await whole.ended.get()
    except curio.TaskTimeout:
        return None
    return ended


def _facts(answer: WholeAnswer) -> AnswerFacts:
    return AnswerFacts(
        status=answer.status,
        is_not_run=engine_answers.is_not_run(answer.status, answer.headers),
        is_signed=engine_answers.signature(answer.headers) is not None,
    )


def is_streamed(route: RouteRow) -> bool:
    """Return whether a route's answers are streams of events."""
    return route.kind is RequestKind.STREAM
