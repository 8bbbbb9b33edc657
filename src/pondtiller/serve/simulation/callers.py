"""Callers of a simulated cluster: open-loop traffic, each checks its own answers.

Owns the tries under way. A caller retries as an error allows it, at other daemons; all tries go
into `Truth`, which `checks` judges.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from pondtiller.errors import ErrorKind, Ran
from pondtiller.hashing import digest
from pondtiller.serve.core.entities import RequestSpec
from pondtiller.serve.core.events import RequestArrived
from pondtiller.serve.core.instructions import FailAnswer, FinishAnswer, SendText
from pondtiller.serve.deployment import Deployment, Traffic
from pondtiller.serve.simulation.daemon import CallerAnswer, DaemonNode
from pondtiller.serve.simulation.scheduler import Scheduler
from pondtiller.serve.simulation.truth import BrokenConnection, CallerRequest, CallerTry, Truth
from pondtiller.table.sheet import RowKind

MAXIMUM_TRIES = 4
"""Of one request. Modelled."""
RETRY_SECONDS = 0.5
"""Largest part of the pause before another try. Modelled."""
CONNECT_FAILURE_SECONDS = 0.05
"""After which a refused connection is known. Modelled."""
GIVE_UP_SECONDS = 45.0
"""Time after which a caller leaves. Modelled: above the default deadline."""
BURST_PERIOD_SECONDS = 60.0
"""From one burst to the next. Modelled."""
BURST_SHARE = 0.25
"""Part of the period with more traffic. Modelled."""


@dataclass(slots=True)
class _OpenTry:
    request: CallerRequest
    daemon: DaemonNode
    sent_at: float
    parts: list[str] = field(default_factory=list)


@dataclass(slots=True)
class Callers:
    """All callers of a cluster."""

    deployment: Deployment
    scheduler: Scheduler
    source: random.Random
    truth: Truth
    daemons: Callable[[], list[DaemonNode]]
    worth: dict[str, float]
    until: float = 0.0
    _sequence: int = 0
    _open: dict[str, _OpenTry] = field(default_factory=dict)

    def start(self, start: float, until: float) -> None:
        """Send traffic from `start` to `until`."""
        self.until = until
        for traffic in self.deployment.traffic:
            self.scheduler.after(start, partial(self._next, traffic))

    def _rate(self, traffic: Traffic) -> float:
        """Return requests a second now; a burst comes once a period."""
        position = (self.scheduler.now % BURST_PERIOD_SECONDS) / BURST_PERIOD_SECONDS
        factor = traffic.burst_factor if position < BURST_SHARE else 1.0
        return traffic.requests_a_second * factor

    def _next(self, traffic: Traffic) -> None:
        if self.scheduler.now >= self.until:
            return
        self._new_request(traffic)
        delay = self.source.expovariate(self._rate(traffic))
        self.scheduler.after(delay, lambda: self._next(traffic))

    def _new_request(self, traffic: Traffic) -> None:
        self._sequence += 1
        worth = self.worth.get(traffic.caller, 1.0)
        once = self.source.random() < traffic.once_share
        request = CallerRequest.of(traffic, self._sequence, worth, once, self.scheduler.now)
        self.truth.callers.append(request)
        self._try(request, self.source.random() < traffic.stream_share, exclude="")

    def _try(self, request: CallerRequest, stream: bool, exclude: str) -> None:
        choices = [node for node in self.daemons() if node.name != exclude]
        node = self.source.choice(choices or self.daemons())
        now = self.scheduler.now
        if not node.accepts_connections():
            request.tries.append(CallerTry(node.name, now, now, None, None, None))
            again = CONNECT_FAILURE_SECONDS
            self.scheduler.after(again, lambda: self._retry(request, stream, node.name))
            return
        request_id = f"call-{len(request.tries)}-{digest(request.prompt)}"
        spec = RequestSpec(
            request_id=request_id,
            row=f"{RowKind.SERVICE.value}/{request.service}",
            caller=request.caller,
            model=self._model(request.service),
            prompt=request.prompt,
            maximum_tokens=request.maximum_tokens,
            stream=stream,
            once=request.once,
            idempotency_key=digest(request.prompt) if request.once else "",
            fingerprint=digest(request.prompt),
        )
        self._open[request_id] = _OpenTry(request, node, now)
        delay = self.deployment.latencies.clients_seconds

        def send() -> None:
            if not node.accepts_connections():
                self.broken(request_id, planned=False, counts=False)
                return
            node.request(RequestArrived(spec), lambda answer: self._answer(request_id, answer))

        self.scheduler.after(delay, send)
        self.scheduler.after(GIVE_UP_SECONDS, lambda: self._give_up(request_id))

    def _model(self, service: str) -> str:
        for row in self.deployment.table:
            if row.kind is RowKind.SERVICE and row.name == service and row.model:
                return row.model
        return service

    def _answer(self, request_id: str, answer: CallerAnswer) -> None:
        opened = self._open.get(request_id)
        if opened is None:
            return
        if isinstance(answer, SendText):
            opened.parts.append(answer.text)
            return
        del self._open[request_id]
        if isinstance(answer, FinishAnswer):
            # A streaming caller has only the pieces that were sent to it.
            text = "".join(opened.parts) if opened.parts else answer.text
            self._note(opened, text, None, None)
            return
        self._note(opened, None, answer.failure.kind, answer.failure.answer.ran)
        if _tries_again(opened.request, answer):
            stream = False
            delay = RETRY_SECONDS * (1 + self.source.random())
            node = opened.daemon.name
            self.scheduler.after(delay, lambda: self._retry(opened.request, stream, node))

    def _note(
        self, opened: _OpenTry, text: str | None, error: ErrorKind | None, ran: Ran | None
    ) -> None:
        now = self.scheduler.now
        opened.request.tries.append(
            CallerTry(opened.daemon.name, opened.sent_at, now, text, error, ran)
        )

    def broken(self, request_id: str, planned: bool, counts: bool = True) -> None:
        """A connection ended without an answer."""
        opened = self._open.pop(request_id, None)
        if opened is None:
            return
        now = self.scheduler.now
        if counts:
            self.truth.broken.append(BrokenConnection(opened.daemon.name, now, planned))
        self._note(opened, None, None, None)
        if opened.request.once:
            delay = RETRY_SECONDS * self.source.random()
            node = opened.daemon.name
            self.scheduler.after(delay, lambda: self._retry(opened.request, False, node))

    def _give_up(self, request_id: str) -> None:
        opened = self._open.pop(request_id, None)
        if opened is not None:
            self._note(opened, None, None, None)
            opened.daemon.leave(request_id)

    def _retry(self, request: CallerRequest, stream: bool, exclude: str) -> None:
        if len(request.tries) < MAXIMUM_TRIES:
            self._try(request, stream, exclude)


def _tries_again(request: CallerRequest, answer: FailAnswer) -> bool:
    return request.once or answer.failure.answer.ran is Ran.NO
