"""A model engine: continuous batching, priorities, fenced orders of weights.

Owns the requests on the engine and the versions that it serves; a crash loses all but the weights
that it fetched. Does no I/O: `engine_server` and the simulation call it with their time. The draws
that decide whether an activation fails come from the given source only.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from pondtiller.hashing import digest
from pondtiller.serve.core.events import OrderResult
from pondtiller.serve.core.instructions import EngineOrder, EngineRequest
from pondtiller.serve.core.tokens import Chunk
from pondtiller.serve.emulator.load_history import EngineLoad, LoadHistory
from pondtiller.serve.emulator.prefix_cache import PrefixCache
from pondtiller.serve.emulator.text import answer_length, pattern, text_between
from pondtiller.serve.emulator.weights import WeightStore

KEEP_ALIVE_SECONDS = 3.0
"""Time since the last piece of an answer after which an empty one is sent. Modelled."""
QUEUE_FACTOR = 2
"""Requests that may wait, by places; more are refused. Modelled."""


@dataclass(frozen=True, slots=True)
class EngineSettings:
    """Speed and size of one engine.

    Attributes
    ----------
    slots
        Requests batched at a time.
    step_seconds, step_seconds_a_request
        Time of one decoding step: fixed part, and part for each request in the batch.
    chunk_tokens
        Tokens that the engine sends at a time.
    prefill_tokens_a_second
        Speed at which uncached prompt tokens are read.
    cache_tokens
        Prompt tokens that the prefix cache holds.
    swap_seconds
        Time for which decoding stands still while new weights are activated.
    report_lag_seconds
        Age of the load that a report shows.
    """

    name: str
    zone: str
    models: tuple[str, ...]
    slots: int = 32
    step_seconds: float = 0.012
    step_seconds_a_request: float = 0.0002
    chunk_tokens: int = 16
    prefill_tokens_a_second: float = 20_000.0
    cache_tokens: int = 100_000
    swap_seconds: float = 0.3
    report_lag_seconds: float = 0.5


class Submission(StrEnum):
    """An engine's answer to a new request."""

    ACCEPTED = "accepted"
    BUSY = "busy"
    LEAVING = "leaving"
    BROKEN = "broken"
    OLD_WEIGHTS = "old_weights"
    UNKNOWN_MODEL = "unknown_model"


@dataclass(frozen=True, slots=True)
class ChunkOutput:
    """A piece of an answer, ready to be sent."""

    request_id: str
    chunk: Chunk


@dataclass(frozen=True, slots=True)
class OrderOutput:
    """An order that came to its end."""

    order_id: str
    result: str


EngineOutput = ChunkOutput | OrderOutput


@dataclass(slots=True)
class _Work:
    request: EngineRequest
    pattern: str
    length: int
    generated: int
    arrival: int
    prefilled: bool = False
    last_sent_at: float = 0.0


@dataclass(slots=True)
class _PendingOrder:
    order: EngineOrder
    done_at: float


Observer = Callable[[EngineRequest, float], None]
VersionMap = dict[str, int]


@dataclass(slots=True)
class EngineModel:
    """One engine; `advance` must be called when `next_wakeup` has come.

    Attributes
    ----------
    swap_failure
        Probability that an activation fails partway and leaves the engine broken.
    """

    settings: EngineSettings
    weights: WeightStore
    source: random.Random
    urgent_priority: int = 5
    leaving: bool = False
    broken: bool = False
    swap_failure: float = 0.0
    versions: VersionMap = field(default_factory=dict)
    accepted: int = 0
    observe_start: Observer | None = None
    _prefetched: VersionMap = field(default_factory=dict)
    _highest_fence: int = 0
    _running: dict[str, _Work] = field(default_factory=dict)
    _waiting: list[_Work] = field(default_factory=list)
    _arrivals: int = 0
    _step_at: float | None = None
    _in_step: set[str] = field(default_factory=set)
    _unread_tokens: int = 0
    _orders: list[_PendingOrder] = field(default_factory=list)
    _paused_until: float = 0.0
    _cache: PrefixCache = field(init=False)
    _loads: LoadHistory = field(init=False)

    def __post_init__(self) -> None:
        self._cache = PrefixCache(self.settings.cache_tokens)
        self._loads = LoadHistory(self.settings.report_lag_seconds)

    def submit(self, request: EngineRequest, now: float) -> Submission:
        """Take a request, or refuse it before anything of it runs."""
        refusal = self._refusal(request)
        if refusal is not None:
            return refusal
        self._arrivals += 1
        self.accepted += 1
        if self.observe_start is not None:
            self.observe_start(request, now)
        length = answer_length(request.prompt, request.maximum_tokens)
        work = _Work(
            request, pattern(request.prompt), length, request.resume_tokens, self._arrivals
        )
        work.last_sent_at = now
        self._waiting.append(work)
        self._waiting.sort(key=lambda each: (-each.request.priority, each.arrival))
        self._admit(now)
        self._note_load(now)
        return Submission.ACCEPTED

    def _refusal(self, request: EngineRequest) -> Submission | None:
        if self.leaving:
            return Submission.LEAVING
        if self.broken:
            return Submission.BROKEN
        if request.model not in self.settings.models:
            return Submission.UNKNOWN_MODEL
        if self.versions.get(request.model, 0) < request.minimum_version:
            return Submission.OLD_WEIGHTS
        if self._queued_before(request) >= self.settings.slots * QUEUE_FACTOR:
            return Submission.BUSY
        return None

    def _queued_before(self, request: EngineRequest) -> int:
        """Return how many waiting requests are at least as urgent."""
        return sum(1 for work in self._waiting if work.request.priority >= request.priority)

    def cancel(self, request_id: str, now: float) -> None:
        """Drop a request; an unknown one is no error."""
        self._running.pop(request_id, None)
        self._waiting = [work for work in self._waiting if work.request.request_id != request_id]
        self._admit(now)
        self._note_load(now)

    def order(self, order: EngineOrder, now: float) -> str | None:
        """Begin a fenced order; return its result at once where it is refused."""
        if order.fence < self._highest_fence:
            return OrderResult.STALE_FENCE
        self._highest_fence = order.fence
        if order.kind == "prefetch":
            done_at = self.weights.fetch(now)
        elif self._prefetched.get(order.model, 0) < order.version:
            return OrderResult.FAILED
        else:
            done_at = now + self.settings.swap_seconds
            self._paused_until = max(self._paused_until, done_at)
        self._orders.append(_PendingOrder(order, done_at))
        return None

    def crash(self) -> None:
        """Lose everything but the weights on the engine's own disk."""
        self._running.clear()
        self._waiting.clear()
        self._orders.clear()
        self._cache.clear()
        self._step_at = None
        self._loads.clear()

    def load(self, now: float) -> EngineLoad:
        """Return the load as it was some time ago."""
        return self._loads.at(now)

    def next_wakeup(self) -> float | None:
        """Return when `advance` must be called next."""
        times = [pending.done_at for pending in self._orders]
        if self._step_at is not None:
            times.append(self._step_at)
        return min(times, default=None)

    def advance(self, now: float) -> list[EngineOutput]:
        """Return what the engine produced up to `now`."""
        outputs: list[EngineOutput] = []
        for pending in [each for each in self._orders if each.done_at <= now]:
            self._orders.remove(pending)
            outputs.append(self._finish_order(pending.order))
        if self._step_at is not None and self._step_at <= now:
            outputs.extend(self._step(now))
        return outputs

    def _finish_order(self, order: EngineOrder) -> OrderOutput:
        if order.kind == "prefetch":
            self._prefetched[order.model] = max(order.version, self._prefetched.get(order.model, 0))
            return OrderOutput(order.order_id, OrderResult.DONE)
        if self.source.random() < self.swap_failure:
            self.broken = True
            return OrderOutput(order.order_id, OrderResult.FAILED)
        self.broken = False
        self.versions[order.model] = max(order.version, self.versions.get(order.model, 0))
        return OrderOutput(order.order_id, OrderResult.DONE)

    def _admit(self, now: float) -> None:
        """Fill the batch by priority; an urgent request pushes out the least urgent one."""
        while self._waiting:
            first = self._waiting[0]
            if len(self._running) >= self.settings.slots and not self._preempt_for(first):
                break
            self._waiting.remove(first)
            self._start(first)
        self._begin_step(now)

    def _begin_step(self, now: float) -> None:
        """Begin a step with all that run now; who comes later joins the next one."""
        if not self._running or self._step_at is not None:
            return
        reading = self._unread_tokens / self.settings.prefill_tokens_a_second
        self._unread_tokens = 0
        self._in_step = set(self._running)
        self._step_at = now + self._step_length() + reading

    def _preempt_for(self, work: _Work) -> bool:
        victim = min(
            self._running.values(), key=lambda each: (each.request.priority, -each.arrival)
        )
        if victim.request.priority >= work.request.priority:
            return False
        del self._running[victim.request.request_id]
        self._waiting.append(victim)
        self._waiting.sort(key=lambda each: (-each.request.priority, each.arrival))
        return True

    def _start(self, work: _Work) -> None:
        self._running[work.request.request_id] = work
        if not work.prefilled:
            work.prefilled = True
            self._unread_tokens += self._cache.read(work.request.prompt) + work.generated

    def _step_length(self) -> float:
        a_token = self.settings.step_seconds + self.settings.step_seconds_a_request * len(
            self._running
        )
        return a_token * self.settings.chunk_tokens

    def _step(self, now: float) -> list[EngineOutput]:
        self._step_at = None
        outputs: list[EngineOutput] = []
        if now >= self._paused_until and not self.broken:
            for work in list(self._running.values()):
                if work.request.request_id in self._in_step:
                    outputs.append(self._generate(work, now))
        outputs.extend(self._keep_alive(now))
        self._admit(now)
        self._note_load(now)
        return outputs

    def _generate(self, work: _Work, now: float) -> ChunkOutput:
        request = work.request
        count = min(self.settings.chunk_tokens, max(0, work.length - work.generated))
        first = work.generated
        work.generated += count
        work.last_sent_at = now
        finish_reason, whole_digest = "", ""
        if work.generated >= work.length:
            finish_reason = "length" if work.length == request.maximum_tokens else "stop"
            whole_digest = digest(text_between(work.pattern, 0, work.length))
            del self._running[request.request_id]
        chunk = Chunk(
            first_token=first,
            token_count=count,
            text=text_between(work.pattern, first, count),
            version=self.versions.get(request.model, 0),
            finish_reason=finish_reason,
            digest=whole_digest,
        )
        return ChunkOutput(request.request_id, chunk)

    def _keep_alive(self, now: float) -> list[EngineOutput]:
        """Tell callers whose requests wait that they are not forgotten."""
        outputs: list[EngineOutput] = []
        for work in [*self._waiting, *self._running.values()]:
            if now - work.last_sent_at >= KEEP_ALIVE_SECONDS:
                work.last_sent_at = now
                chunk = Chunk(work.generated, 0, "", self.versions.get(work.request.model, 0))
                outputs.append(ChunkOutput(work.request.request_id, chunk))
        return outputs

    def _note_load(self, now: float) -> None:
        everything = [*self._waiting, *self._running.values()]
        urgent = sum(1 for work in everything if work.request.priority >= self.urgent_priority)
        self._loads.note(now, EngineLoad(len(everything), urgent))
