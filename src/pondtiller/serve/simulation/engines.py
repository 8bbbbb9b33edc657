"""Engines of a simulated cluster: the emulator's model on the virtual clock.

Owns an engine's open streams and whether it is alive. Chunks pass the modelled network and may come
doubled or overtaken; what the engine really made goes into `Truth`.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from pondtiller.errors import Ran
from pondtiller.serve.core.events import (
    AttemptFailed,
    ChunkArrived,
    EnginePollFailed,
    EngineReported,
    Event,
    OrderAnswered,
    OrderResult,
    VersionReport,
)
from pondtiller.serve.core.instructions import EngineOrder, EngineRequest
from pondtiller.serve.core.tokens import Chunk
from pondtiller.serve.emulator.engine import (
    ChunkOutput,
    EngineModel,
    EngineOutput,
    Submission,
)
from pondtiller.serve.simulation.network import Deliver, Network
from pondtiller.serve.simulation.scheduler import Scheduler
from pondtiller.serve.simulation.truth import EngineStart, OrderSeen, TokenRun, Truth

CONNECT_TIMEOUT_SECONDS = 2.0
"""After which a caller of an engine that cannot be reached knows it. Modelled."""


@dataclass(slots=True)
class _Stream:
    """An open answer from an engine to a daemon."""

    request: EngineRequest
    daemon_zone: str
    deliver: Deliver
    is_open: Callable[[], bool]
    last_at: float = 0.0


@dataclass(slots=True)
class EngineNode:
    """One engine process.

    Attributes
    ----------
    disorder
        Probability that a chunk is delivered twice or is overtaken by the next.
    """

    model: EngineModel
    scheduler: Scheduler
    network: Network
    truth: Truth
    alive: bool = True
    disorder: float = 0.0
    _streams: dict[str, _Stream] = field(default_factory=dict)
    _orders: dict[str, Callable[[str], None]] = field(default_factory=dict)
    _wakeup: float | None = None
    _life: int = 0

    @property
    def zone(self) -> str:
        """Zone of the engine."""
        return self.model.settings.zone

    @property
    def name(self) -> str:
        """Name of the engine."""
        return self.model.settings.name

    def attempt(
        self,
        attempt_id: str,
        request: EngineRequest,
        daemon_zone: str,
        deliver: Deliver,
        is_open: Callable[[], bool],
    ) -> None:
        """A daemon sends a request; `deliver` takes the events that come back."""
        given_at = self.scheduler.now
        if self.network.is_cut(daemon_zone, self.zone):
            failure = AttemptFailed(attempt_id, Ran.NO, "connection timed out")
            self.scheduler.after(CONNECT_TIMEOUT_SECONDS, lambda: deliver(failure))
            return
        stream = _Stream(request, daemon_zone, deliver, is_open)
        delay = self.network.latency(daemon_zone, self.zone)
        self.scheduler.after(delay, lambda: self._receive(attempt_id, stream, given_at))

    def _receive(self, attempt_id: str, stream: _Stream, given_at: float) -> None:
        now = self.scheduler.now
        if not self.alive:
            self._reply(stream, AttemptFailed(attempt_id, Ran.NO, "connection refused"))
            return
        if not stream.is_open():
            return
        submission = self.model.submit(stream.request, now)
        if submission is not Submission.ACCEPTED:
            self._refuse(attempt_id, stream, submission)
            return
        request = stream.request
        self.truth.starts.append(
            EngineStart(self.name, attempt_id, request.prompt, request.priority, given_at, now)
        )
        self._streams[attempt_id] = stream
        self._arm()

    def _refuse(self, attempt_id: str, stream: _Stream, submission: Submission) -> None:
        failure = AttemptFailed(
            attempt_id,
            Ran.NO,
            f"engine refused: {submission.value}",
            engine_leaving=submission is Submission.LEAVING,
            engine_busy=submission in (Submission.BUSY, Submission.OLD_WEIGHTS),
        )
        self._reply(stream, failure)

    def _reply(self, stream: _Stream, event: Event) -> None:
        """Send an event back in order; a cut breaks the stream."""
        if self.network.is_cut(self.zone, stream.daemon_zone):
            return
        at = self.scheduler.now + self.network.latency(self.zone, stream.daemon_zone)
        stream.last_at = max(stream.last_at, at)
        self.scheduler.after(stream.last_at - self.scheduler.now, lambda: stream.deliver(event))

    def cancel(self, attempt_id: str, daemon_zone: str) -> None:
        """A daemon closed the connection of an attempt."""
        delay = self.network.latency(daemon_zone, self.zone)
        self.scheduler.after(delay, lambda: self._drop(attempt_id))

    def _drop(self, attempt_id: str) -> None:
        if self._streams.pop(attempt_id, None) is not None:
            self.model.cancel(attempt_id, self.scheduler.now)
            self._arm()

    def drop_streams_of(self, is_lost: Callable[[str], bool]) -> None:
        """Close the streams of a daemon that died."""
        for attempt_id in [each for each in self._streams if is_lost(each)]:
            self._drop(attempt_id)

    def poll(self, daemon_zone: str, deliver: Deliver) -> None:
        """A daemon asks for load and versions."""
        blocked = self.network.is_cut(daemon_zone, self.zone) or self.network.is_cut(
            self.zone, daemon_zone
        )
        if blocked or not self.alive:
            failure = EnginePollFailed(self.name)
            self.scheduler.after(1.0 if blocked else 0.01, lambda: deliver(failure))
            return
        load = self.model.load(self.scheduler.now)
        report = EngineReported(
            engine=self.name,
            running=load.running,
            urgent=load.urgent,
            leaving=self.model.leaving,
            broken=self.model.broken,
            versions=tuple(
                VersionReport(model, version) for model, version in self.model.versions.items()
            ),
        )
        delay = 2 * self.network.latency(daemon_zone, self.zone)
        self.scheduler.after(delay, lambda: deliver(report))

    def order(self, order: EngineOrder, steward: str, zone: str, deliver: Deliver) -> None:
        """A steward gives a fenced order."""
        life = self._life

        def answer(result: str) -> None:
            if self.network.is_cut(self.zone, zone):
                result = OrderResult.NO_ANSWER
            deliver(OrderAnswered(self.name, order.order_id, result))

        if self.network.is_cut(zone, self.zone) or not self.alive:
            self.scheduler.after(CONNECT_TIMEOUT_SECONDS, lambda: answer(OrderResult.NO_ANSWER))
            return

        def receive() -> None:
            if life != self._life or not self.alive:
                answer(OrderResult.NO_ANSWER)
                return
            now = self.scheduler.now
            result = self.model.order(order, now)
            if result is not None:
                answer(result)
                return
            self.truth.orders.append(OrderSeen(self.name, order.fence, steward, now))
            self._orders[order.order_id] = answer
            self._arm()

        self.scheduler.after(self.network.latency(zone, self.zone), receive)

    def count_prompts(self, beginning: str) -> int:
        """Return how many running requests' prompts begin so."""
        streams = self._streams.values()
        return sum(1 for stream in streams if stream.request.prompt.startswith(beginning))

    def crash(self) -> None:
        """End the process at once; its streams break."""
        self.alive = False
        self._life += 1
        self.model.crash()
        self._wakeup = None
        streams, self._streams = self._streams, {}
        orders, self._orders = self._orders, {}
        for attempt_id, stream in streams.items():
            self._reply(stream, AttemptFailed(attempt_id, Ran.UNKNOWN, "stream broke"))
        for answer in orders.values():
            answer(OrderResult.NO_ANSWER)

    def restart(self) -> None:
        """Start the process again with the weights on its disk."""
        self.alive = True

    def _arm(self) -> None:
        due = self.model.next_wakeup()
        if due is None or (self._wakeup is not None and self._wakeup <= due):
            return
        self._wakeup = due
        life = self._life
        self.scheduler.after(due - self.scheduler.now, lambda: self._wake(due, life))

    def _wake(self, due: float, life: int) -> None:
        if life != self._life or self._wakeup != due:
            return
        self._wakeup = None
        for output in self.model.advance(self.scheduler.now):
            self._emit(output)
        self._arm()

    def _emit(self, output: EngineOutput) -> None:
        if not isinstance(output, ChunkOutput):
            answer = self._orders.pop(output.order_id, None)
            if answer is not None:
                answer(output.result)
            return
        stream = self._streams.get(output.request_id)
        if stream is None:
            return
        chunk = output.chunk
        if chunk.token_count:
            last_token = chunk.first_token + chunk.token_count - 1
            runs = self.truth.tokens.setdefault(stream.request.prompt, [])
            runs.append(TokenRun(chunk.first_token, last_token, chunk.version))
        self._send_chunk(output.request_id, stream, chunk)
        if chunk.finish_reason:
            del self._streams[output.request_id]

    def _send_chunk(self, attempt_id: str, stream: _Stream, chunk: Chunk) -> None:
        event = ChunkArrived(attempt_id, chunk)
        if self.disorder and self.network.source.random() < self.disorder:
            # Overtaken by what follows: delivered late, and the next one in its place.
            delay = 20 * self.network.latency(self.zone, stream.daemon_zone) + 0.3
            self.scheduler.after(delay, lambda: stream.deliver(event))
            return
        self._reply(stream, event)
