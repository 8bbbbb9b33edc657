"""Executes a run of a sample at an engine, or a request to a scorer.

Stateless: connections belong to the pool, and events to the `ExecutedRun` or the leader. Relies on
`SendGate` for whether the engine may still get a sample. Does not choose engines for samples and
does not retry: the leader does (`rollouts/samples.py`).
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import NamedTuple

from pondtiller.address import Address
from pondtiller.errors import Failure
from pondtiller.gateway.callers.forward import Forwarder
from pondtiller.gateway.callers.request import ForwardedRequest
from pondtiller.gateway.callers.sending import EngineSender
from pondtiller.gateway.callers.table_in_force import TableReading
from pondtiller.gateway.engines.cold_sends import ColdSends
from pondtiller.gateway.engines.engine_pool import (
    AnswerHead,
    EngineConnection,
    EnginePool,
    SendBlockedError,
)
from pondtiller.hashing import content_digest
from pondtiller.httpio.bodies import discard
from pondtiller.httpio.client_errors import BrokenError, NotSentError
from pondtiller.platform import engine_answers
from pondtiller.platform.events import EventReader, StreamEvent, is_text
from pondtiller.platform.headers import Headers, sample_headers, scorer_headers
from pondtiller.process import clock, logs
from pondtiller.rollouts.sample_work import NO_RUN, RunEnd, RunName, ScoreEnd
from pondtiller.routes.live_attempts import AttemptEnd, end_of_answer, scorer_plan
from pondtiller.routes.quarantine import UNCOUNTED_CONTENT
from pondtiller.routes.send_gate import BlockReason, SendGate
from pondtiller.routes.table import RouteTable
from pondtiller.wire.steplog import Sample, Scorer

MAX_RUN_BYTES = 2 * 1024 * 1024
"""Longest stream of a run, in bytes. Longer than any text (`MAX_TEXT_SIZE`), so that a leader drops
the text before the run ends; the news of a longer one would keep both for a second."""
FAILED_STATUS = 500
"""Status of an engine that failed at a request; no other failure of a scorer counts against its
sample."""

EventSink = Callable[[int, int, str, int, float], bool]


class RunOrder(NamedTuple):
    """Order to run a sample on an engine.

    Attributes
    ----------
    run
        Number given by the leader.
    engine, address
        The engine's identifier and address, as known to the leader.
    host
        Name of the service as callers know it.
    last_event
        The run continues after this event; 0 if it starts from the beginning.
    expected_version
        Version that must make the rest; None for any.
    content
        The encoded `Sample`.
    tenant
        Tenant of the sample; empty if the step has none.
    is_cold
        Whether the leader considers the engine cold.
    sample
        Name under which the sample's unfinished text is stored.
    held
        Name of a run in progress that the runner offered; `NO_RUN` if a new one is started.
    text_by
        Run that made the last event of the text.
    is_wanted
        False if a run that its runner kept is only to be ended.
    table_version
        Version of the table by which the engine was chosen; 0 if not stated.
    step_path
        Path of the sample's step.
    """

    run: int
    engine: str
    address: Address
    host: str
    priority: int
    last_event: int
    expected_version: int | None
    content: bytes
    tenant: str = ""
    is_cold: bool = False
    sample: str = ""
    held: RunName = NO_RUN
    text_by: RunName = NO_RUN
    is_wanted: bool = True
    table_version: int = 0
    step_path: str = ""


@dataclass(frozen=True, slots=True)
class RunOutcome:
    """Outcome of a run, with the HTTP status if the engine answered."""

    end: RunEnd
    detail: str


@dataclass(frozen=True, slots=True)
class ScoreOutcome:
    """Outcome of a scorer's request.

    Attributes
    ----------
    attempts
        Number of failures after which the sample is given up.
    request
        Identifier of the scorer's request; empty if none was needed.
    """

    end: ScoreEnd
    score: str
    detail: str
    attempts: int = 1
    request: str = ""


SCORE_CANCELLED = ScoreOutcome(ScoreEnd.LOST, "", "cancelled")


class SampleRunner:
    """Sends samples to engines and finished texts to scorers.

    Parameters
    ----------
    find_table
        Returns the table in force.
    gate
        Checked right before a sample is sent.
    cold
        Waits for a share of a cold engine's rate; None if no engine is ever cold.

    Attributes
    ----------
    scores
        Number of scorers' requests in progress here.
    """

    def __init__(
        self,
        gate: SendGate,
        pool: EnginePool,
        forwarder: Forwarder,
        find_table: Callable[[], RouteTable | None],
        cold: ColdSends | None = None,
    ) -> None:
        self._gate = gate
        self._cold = cold
        self._pool = pool
        self._sender = EngineSender(pool, gate, forwarder.suspects, cold)
        self._forwarder = forwarder
        self._find_table = find_table
        self.scores = 0

    async def run(self, order: RunOrder, take: EventSink) -> RunOutcome:
        """Run a sample on an engine; `take` receives each event and returns whether to continue."""
        if self._gate.engines.has_left(order.engine, clock.monotonic()):
            return RunOutcome(RunEnd.REFUSED, BlockReason.LEAVING.value)
        connection: EngineConnection | None = None
        await self._prepare(order)
        try:
            # The leader limits the duration of a run, so there is no deadline here.
            connection = await self._sender.take(
                order.engine, order.address, UNCOUNTED_CONTENT, math.inf
            )
            if self._is_excluded_by_newer_table(order):
                await self._pool.give_back_unused(connection)
                connection = None
                return RunOutcome(RunEnd.REFUSED, BlockReason.OLD_TABLE.value)
            outcome = await self._stream(order, connection, take)
            if outcome.end is not RunEnd.STALE:
                await self._pool.give_back(connection)
                connection = None
            return outcome
        except SendBlockedError as error:
            return RunOutcome(RunEnd.REFUSED, error.reason.value)
        except NotSentError as error:
            return RunOutcome(RunEnd.BROKEN, f"unreachable({error})")
        except BrokenError as error:
            await self._forwarder.ends.confirm(
                order.engine, order.address, order.sample, UNCOUNTED_CONTENT
            )
            return RunOutcome(RunEnd.BROKEN, str(error))
        finally:
            if connection is not None:
                await connection.abort()

    def _is_excluded_by_newer_table(self, order: RunOrder) -> bool:
        """Return whether a table newer than the leader's excludes the engine for the sample."""
        table = self._find_table()
        engine = self._gate.engines.engines.get(order.engine)
        if table is None or engine is None or not 0 < order.table_version < table.version:
            return False
        row = table.find_for(order.host, order.step_path, order.tenant)
        return row is None or engine.entry.service not in row.services()

    async def _prepare(self, order: RunOrder) -> None:
        if self._cold is not None and order.is_cold:
            self._cold.note_cold_report(order.engine)
        await self._sender.prepare(order.engine, math.inf)

    async def _stream(
        self, order: RunOrder, connection: EngineConnection, take: EventSink
    ) -> RunOutcome:
        sample = Sample().parse(order.content)
        headers = sample_headers(
            sample,
            order.host,
            order.engine,
            order.last_event,
            order.expected_version,
            order.priority,
            order.tenant,
        )
        await connection.send_plain("POST", sample.path, sample.body, headers)
        head = await connection.read_answer(sample.id)
        facts = engine_answers.answer_facts(head.status, head.headers)
        end = end_of_answer(facts)
        if end is AttemptEnd.UNSIGNED:
            return RunOutcome(RunEnd.BROKEN, f"unsigned({head.status})")
        if end is not AttemptEnd.ANSWERED or not facts.is_success:
            await discard(connection.read_body())
            return _refusal(head.status, head.headers)
        return await self._read_events(order, connection, head, take)

    async def _read_events(
        self, order: RunOrder, connection: EngineConnection, head: AnswerHead, take: EventSink
    ) -> RunOutcome:
        """Read a stream to its end; raises `BrokenError` if it can't be a sample's text."""
        version = engine_answers.answer_version(head.headers)
        reader = EventReader()
        due, length = order.last_event + 1, 0
        async for piece in connection.read_body():
            for event in reader.feed(piece):
                _check_event(event, due)
                due += 1
                length += len(event.raw)
                if length > MAX_RUN_BYTES:
                    raise BrokenError(f"the run is longer than {MAX_RUN_BYTES} bytes")
                version = event.version if event.version is not None else version
                if not take(order.run, event.number, event.data, version, clock.monotonic()):
                    return RunOutcome(RunEnd.STALE, f"event={event.number} version={version}")
        if reader.has_rest:
            raise BrokenError("the stream ended within an event")
        return RunOutcome(RunEnd.WHOLE, str(head.status))

    async def score(
        self, run: int, content: bytes, longest_seconds: float = math.inf
    ) -> ScoreOutcome:
        """Have a finished sample scored; without a scorer it succeeds without a score.

        Parameters
        ----------
        run
            The leader's number, for logs.
        longest_seconds
            Time after which nobody waits for the score.
        """
        sample = Sample().parse(content)
        scorer = sample.scorer
        if not scorer.id:
            return ScoreOutcome(ScoreEnd.SCORED, "", "no scorer")
        began = clock.monotonic()
        self.scores += 1
        outcome = SCORE_CANCELLED
        try:
            outcome = replace(await self._ask_scorer(scorer, longest_seconds), request=scorer.id)
            return outcome
        finally:
            self.scores -= 1
            logs.decision(
                "score_ended",
                sample=sample.id,
                request=scorer.id,
                run=run,
                seconds=clock.monotonic() - began,
                outcome=outcome.end.value,
                detail=outcome.detail,
            )

    async def _ask_scorer(self, scorer: Scorer, longest_seconds: float) -> ScoreOutcome:
        """Send one request, hedged like a caller's."""
        table = self._find_table()
        route = table.find(scorer.host, scorer.path) if table is not None else None
        if table is None or route is None:
            return ScoreOutcome(ScoreEnd.LOST, "", "no route")
        service = route.choose_service(scorer.id)
        if not self._forwarder.has_room(service, route.homes):
            return ScoreOutcome(ScoreEnd.LOST, "", "no room")
        plan = scorer_plan(self._forwarder.usual_seconds(service), route.attempts)
        request = ForwardedRequest(
            identifier=scorer.id,
            method="POST",
            target=scorer.path,
            headers=scorer_headers(scorer.id, scorer.host, scorer.body),
            body=scorer.body,
            content=content_digest(scorer.host.encode(), scorer.path.encode(), scorer.body),
            deadline=clock.monotonic() + min(plan.seconds, longest_seconds),
            decided_by=TableReading(table.version),
            is_owed=True,
        )
        answer = await self._forwarder.whole(request, replace(route, attempts=plan.engines))
        if isinstance(answer, Failure):
            return ScoreOutcome(ScoreEnd.LOST, "", answer.kind.value, route.attempts)
        signature = engine_answers.signature(answer.headers)
        if 200 <= answer.status < 300 and signature is not None:
            return ScoreOutcome(ScoreEnd.SCORED, signature, str(answer.status))
        end = ScoreEnd.FAILED if answer.status == FAILED_STATUS else ScoreEnd.LOST
        return ScoreOutcome(end, "", str(answer.status), route.attempts)


def _check_event(event: StreamEvent, due: int) -> None:
    """Raise `BrokenError` unless an event may be part of a sample's text."""
    if event.number != due:
        raise BrokenError(f"event {event.number} where {due} is due")
    if not is_text(event.data):
        raise BrokenError(f"event {event.number} is not UTF-8")


def _refusal(status: int, headers: Headers) -> RunOutcome:
    if engine_answers.is_not_run(status, headers):
        return RunOutcome(RunEnd.REFUSED, str(status))
    if status == 422:
        return RunOutcome(RunEnd.IMPOSSIBLE, str(status))
    if status == FAILED_STATUS:
        return RunOutcome(RunEnd.FAILED, str(status))
    return RunOutcome(RunEnd.BROKEN, str(status))
