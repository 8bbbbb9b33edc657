"""The platform beside the programs: engines that tell what they ran, over the tests' stand-ins."""

from collections.abc import Callable
from functools import partial
from typing import Any, NamedTuple

import curio

from pondtiller.address import to_address
from pondtiller.httpio.messages import HttpResponse
from pondtiller.httpio.server import ConnectionLostError, Exchange
from pondtiller.platform import names
from pondtiller.process import clock
from pondtiller.soak.caller_rules import RateRule
from pondtiller.soak.cancelled_steps import CancelledSteps, EngineRequest
from pondtiller.soak.cancelling_trainer import is_cancelled
from pondtiller.soak.ending_rules import EndingRule, EndingRun
from pondtiller.soak.engine_rules import NEWS_SECONDS, EngineRules
from pondtiller.soak.owners import Owners
from pondtiller.soak.promises import Promises
from pondtiller.soak.proxy import Proxy
from pondtiller.soak.sample_runs import SampleRun, SampleRuns
from pondtiller.standins.ending_engine import ends_engine
from pondtiller.standins.engine import FIRST_START_MS, NEVER, StandInEngine
from pondtiller.standins.store import StandInStore

ENDED_SECONDS = 1.0
"""How long an engine is away that ended under a request, in seconds. Chosen, not measured: long
enough that gateways see its port refuse."""
ONCE_PATH = "/list/"
WHOLE_SECONDS = 0.02
"""How long a whole request runs, in seconds. Chosen, not measured: little beside the rows'
objective of 200 ms."""
SHORT_EVENT_SECONDS = 0.05
"""Between two events of a short sample, in seconds: with 12 events it takes 0.6 s, less than most
faults last. Chosen, not measured."""
LONG_EVENT_SECONDS = 0.3
"""With 12 events a long sample is at work through a change of leader."""
LONG_EVERY = 4
"""Of so many samples of a step, one is long."""


class Platform(NamedTuple):
    """What all engines of a soak share.

    Attributes
    ----------
    can_act_since
        Returns since when the program of a name has run and been connected, on the steady clock.
    ending
        Takes runs of contents that end engines.
    could_know_since
        Returns since when the program of a name has run and reached the store.
    cancelled
        Takes requests of steps that their trainer ends early.
    """

    promises: Promises
    sample_runs: SampleRuns
    rate: RateRule
    store: StandInStore
    owners: Owners
    can_act_since: Callable[[str], float]
    ending: EndingRule
    could_know_since: Callable[[str], float]
    cancelled: CancelledSteps


class SoakEngine(StandInEngine):
    """An engine behind a proxy, whose events say which version made them.

    Attributes
    ----------
    refused
        Requests that must not run: their callers were answered so, or show no key.
    zone
        Where it stands.
    rules
        What it may get.
    """

    def __init__(
        self,
        identifier: str,
        service: str,
        platform: Platform,
        events: int,
        zone: str = "z0",
    ) -> None:
        super().__init__(identifier, service, events)
        self.zone = zone
        self.rules = EngineRules(identifier, platform.promises)
        self.store = platform.store
        self.proxy = Proxy(to_address(self.address), platform.owners)
        self.promises = platform.promises
        self.sample_runs = platform.sample_runs
        self.rate = platform.rate
        self._can_act_since = platform.can_act_since
        self.refused: set[str] = set()
        self.begun: set[str] = set()
        self.started_ms = FIRST_START_MS
        self.ending = platform.ending
        self._could_know_since = platform.could_know_since
        self._cancelled = platform.cancelled

    def end(self) -> None:
        """End, whatever it runs."""
        self.proxy.is_ended = True

    def start_again(self) -> None:
        """Start again under its name: it counts its orders anew, and has the version that it
        had.
        """
        if self.proxy.is_ended:
            self.proxy.is_ended = False
            self.begin_next_start()
            self.publish()

    async def _end_under(self, exchange: Exchange) -> None:
        opener = self._opener(exchange)
        run = EndingRun(self.identifier, opener, self._could_know_since(opener), clock.monotonic())
        self.ending.ran(exchange.request.body, run)
        await curio.sleep(WHOLE_SECONDS)
        self.end()
        await curio.spawn(self._come_back, daemon=True)
        # As with a process that ends, its port refuses by the time that its connections break off.
        await exchange.wait_closed()
        raise ConnectionLostError("the engine ends")

    async def _come_back(self) -> None:
        await curio.sleep(ENDED_SECONDS)
        self.start_again()

    def entry(self, state: str = "ready") -> dict[str, object]:
        """Return its list entry, with the proxy's address."""
        cold = max(0.0, self.rules.cold_until - clock.monotonic())
        own = {"address": self.proxy.address, "zone": self.zone}
        return {**super().entry(state), **own, "cold_left_ms": int(cold * 1000)}

    def turn_cold(self) -> None:
        """Be slow from now on."""
        self.rules.turn_cold(clock.monotonic())
        self.publish()

    def _check_rules(self, identifier: str, opener: str) -> None:
        # A program that was held up learns within this time of what happened meanwhile.
        is_back = clock.monotonic() < self._can_act_since(opener) + NEWS_SECONDS
        if not is_back and not self.proxy.holds_up(opener):
            self.rules.began(identifier, clock.monotonic())

    def _opener(self, exchange: Exchange) -> str:
        """Return which program sent a request; empty where that is not known."""
        try:
            return self.proxy.openers.get(exchange.peer_port, "")
        except OSError:
            return ""

    def _acts_since(self, opener: str) -> float:
        """Return since when a program has run and reached this engine."""
        if self.proxy.is_held(opener):
            return float("inf")
        return max(self.proxy.healed_at, self._can_act_since(opener))

    def publish(self) -> None:
        """Write its list entry into the store."""
        self.store.put(names.ENGINES, self.identifier, self.entry())

    def _order(self, order: dict[str, Any]) -> HttpResponse:
        answer = super()._order(order)
        self.publish()
        return answer

    async def whole(self, exchange: Exchange) -> None:
        """Answer like a sound engine, and count the run."""
        if ends_engine(exchange.request.body):
            await self._end_under(exchange)
        identifier = exchange.request.headers[names.REQUEST_ID]
        self.begun.add(identifier)
        is_once = exchange.request.path.startswith(ONCE_PATH)
        self._check_rules(identifier, self._opener(exchange))
        self.rate.began(identifier, clock.monotonic())
        self.promises.began(identifier, is_once, identifier in self.refused)
        await curio.sleep(WHOLE_SECONDS)
        if is_cancelled(identifier):
            await self._score_never(exchange, identifier)
        else:
            await super().whole(exchange)

    async def _score_never(self, exchange: Exchange, identifier: str) -> None:
        """Fail, refuse or hold a scorer's request, by the number of its sample."""
        request = self._engine_request(exchange, identifier)
        self._cancelled.began(request, clock.monotonic())
        own = (names.REQUEST_ID, identifier)
        match int(identifier.split("-")[1]) % 3:
            case 0:
                signature = (names.SIGNATURE, f"sig-{identifier}")
                await exchange.respond(HttpResponse(504, headers=(own, signature)))
            case 1:
                await exchange.respond(HttpResponse(503, headers=(own, (names.NOT_RUN, "1"))))
            case _:
                await exchange.wait_closed()
                self._cancelled.left(request, clock.monotonic())
                raise ConnectionLostError("its sender left")

    def _engine_request(self, exchange: Exchange, identifier: str) -> EngineRequest:
        opener = self._opener(exchange)
        return EngineRequest(identifier, opener, partial(self._acts_since, opener))

    async def stream(self, exchange: Exchange, stop_after: int = NEVER) -> None:
        """Stream a sample's events, each with the version that made it."""
        identifier = exchange.request.headers[names.REQUEST_ID]
        opener = self._opener(exchange)
        self._check_rules(identifier, opener)
        acts_since = partial(self._acts_since, opener)
        self._cancelled.began(self._engine_request(exchange, identifier), clock.monotonic())
        run = SampleRun(identifier, self.identifier, opener, acts_since, clock.monotonic())
        self.sample_runs.began(run)
        watch = await curio.spawn(self._end_when_left, exchange, run)
        try:
            await super().stream(exchange, stop_after)
        finally:
            self.sample_runs.ended(run, clock.monotonic())
            await watch.cancel()

    async def _end_when_left(self, exchange: Exchange, run: SampleRun) -> None:
        await exchange.wait_closed()
        self.sample_runs.ended(run, clock.monotonic())

    def seconds_to_event(self, sample: str) -> float:
        """Return the time between two events of a sample, whose name ends with its number."""
        is_long = int(sample.rpartition("-")[2]) % LONG_EVERY == 0
        return LONG_EVENT_SECONDS if is_long else SHORT_EVENT_SECONDS

    def event_data(self, sample: str, number: int) -> str:
        """Return what an event holds, with the version that made it."""
        return f"{sample}/{number}@{self.version}"
