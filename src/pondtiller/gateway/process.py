"""One gateway process: its sockets, its parts, its start, reload and stop."""

from typing import Any

import curio
from betterproto import Message

from pondtiller.coordination.agreed_clock import AgreedClock
from pondtiller.coordination.rate_shares import RateTerms
from pondtiller.core.entities import Address
from pondtiller.daemon import clock, logs
from pondtiller.daemon.spawner import Spawner
from pondtiller.daemon.supervise import keep_running
from pondtiller.gateway.cold_sends import ColdSends
from pondtiller.gateway.duties import LeaderDuties
from pondtiller.gateway.engine_pool import EnginePool
from pondtiller.gateway.evacuation_watch import EvacuationWatch
from pondtiller.gateway.figure_sources import FigureSources
from pondtiller.gateway.first_group import StoredFirstGroup
from pondtiller.gateway.forward import Forwarder
from pondtiller.gateway.front import Front
from pondtiller.gateway.key_freshness import KeyFreshness
from pondtiller.gateway.leader_watches import LeaderWatches
from pondtiller.gateway.leadership import Leadership
from pondtiller.gateway.metrics import GatewayMetrics
from pondtiller.gateway.metrics_server import CONTENT_TYPE, METRICS_PATH, MetricsServer
from pondtiller.gateway.mirrored_store import MirroredStore
from pondtiller.gateway.orders import EngineOrders
from pondtiller.gateway.run_host import RUN_MESSAGES, RunHost
from pondtiller.gateway.sample_runner import SampleRunner
from pondtiller.gateway.scaling_duty import ScalingSettings
from pondtiller.gateway.settings import GatewaySettings, to_address
from pondtiller.gateway.share_asker import ShareAsker
from pondtiller.gateway.step_client import StepClient
from pondtiller.gateway.store_watch import StoreHealth
from pondtiller.gateway.streams import StreamForwarder
from pondtiller.gateway.tenant_rates import TenantRates
from pondtiller.gateway.term import DutyParts
from pondtiller.gateway.usage_duty import UsageSettings
from pondtiller.gateway.usage_teller import UsageTeller
from pondtiller.gateway.watches import GatewayWatches
from pondtiller.httpio.client import HttpClient
from pondtiller.httpio.messages import HttpResponse
from pondtiller.httpio.server import Exchange, bind_tcp, serve_http
from pondtiller.links.link import Link, serve_links
from pondtiller.platform import names
from pondtiller.platform.object_client import ObjectClient, StoreCallError
from pondtiller.platform.operator_api import OperatorClient, wants_scaling, wants_use
from pondtiller.rollouts.scaling import PolicyName
from pondtiller.routes.cold import SUBJECT_PREFIX as COLD_PREFIX
from pondtiller.routes.cold import ColdBound, ColdEngines
from pondtiller.routes.engines import EngineDirectory
from pondtiller.routes.places import Places
from pondtiller.routes.rates import SUBJECT_PREFIX as TENANT_PREFIX
from pondtiller.routes.send_gate import SendGate
from pondtiller.steplog.fault_tolerance import PlaceRules
from pondtiller.usage.meter import UseMeter
from pondtiller.wire.steplog import SaveProgress, ScoreSample, Subscribe

TABLE_PATH = "/table"
HOUSEKEEPING_SECONDS = 0.5
NO_REPLICA_SECONDS = 2.5
SEARCH_SECONDS = 1.0
LONGEST_SEARCH_SECONDS = 4.0
"""Searches are calls to the store; one that finds nothing new is repeated later each time."""
NOT_READY_SECONDS = 3.0
STOP_MARGIN_SECONDS = 0.7
LAST_USE_SECONDS = 0.4
"""Of the margin before a stopping process is ended."""


class GatewaySockets:
    """A gateway's listeners, bound before it starts so that others can know its ports."""

    def __init__(self, settings: GatewaySettings) -> None:
        self.callers = self._bind(settings.callers)
        self.readiness = self._bind(settings.readiness)
        self.links = self._bind(settings.links)
        self._announced = settings.announced_links

    @property
    def reached_at(self) -> Address:
        """Where the other daemons reach this one."""
        return to_address(self._announced) if self._announced else self.address(self.links)

    def address(self, listener: Any) -> Address:
        """Return where a listener is bound."""
        host, port = listener.getsockname()
        return Address(host, port)

    def _bind(self, text: str) -> Any:
        place = to_address(text)
        return bind_tcp(place.host, place.port)


class GatewayProcess:
    """A gateway with all its parts."""

    def __init__(self, settings: GatewaySettings) -> None:
        self.settings = settings
        self.is_stopping = False
        self.metrics = GatewayMetrics()
        self.places = Places(settings.regions)
        self.engines = EngineDirectory(self.places)
        self.gate = SendGate(self.engines)
        self.pool = EnginePool()
        client = HttpClient()
        self.store = ObjectClient(to_address(settings.store), client)
        health = StoreHealth()
        bound = ColdBound(settings.cold.excess, settings.cold.slack)
        cold = ColdEngines(self.engines, bound, lambda: self.front.table)
        self.shares = ShareAsker(
            settings.name,
            lambda message, seconds: self.steps.ask_shares(message, seconds),
            lambda: self.leadership.leader(),
        )
        self.cold = ColdSends(cold, self.shares, self.metrics)
        self.gate.rules.append(self.cold.rule)
        self.gate.unknown_rule = self.cold.unknown_rule
        forwarder = self.forwarder = Forwarder(
            settings.zone, self.engines, self.pool, self.metrics, self.gate, self.cold
        )
        self.sockets = GatewaySockets(settings)
        rules = PlaceRules(settings.tolerance, self.places)
        self.leadership = Leadership(
            settings.name,
            self.sockets.reached_at,
            settings.processor.speed,
            settings.wanted_replicas,
            StoredFirstGroup(self.store, settings.wanted_replicas, rules),
            self.metrics,
            settings.zone,
            rules,
        )
        self.steps = StepClient(settings.name, self.leadership.leader, self)
        streams = StreamForwarder(forwarder, self.pool, self.gate)
        self.agreed = AgreedClock()
        usage = _usage_settings(settings)
        meter = UseMeter(usage.window_seconds if usage is not None else 0.0)
        keys = KeyFreshness(settings.keys, lambda: self.watches.configuration.heard_at)
        self.rates = TenantRates(
            settings.rate_excess, self.shares, lambda: self.front.table, self.metrics
        )
        self.front = Front(
            forwarder,
            streams,
            self.steps,
            self.metrics,
            meter,
            keys.is_fresh,
            self.rates,
            self.places,
        )
        self.teller: UsageTeller | None = None
        if usage is not None:
            self.teller = UsageTeller(
                settings.name, meter, self.agreed, self.steps, self.leadership.leader
            )
        runner = SampleRunner(self.gate, self.pool, forwarder, lambda: self.front.table, self.cold)
        self.run_host = RunHost(runner, lambda: self.leadership.replicas.highest_epoch)
        self.leadership.replicas.subscription = self._subscription()
        self.mirrored_store = MirroredStore(
            settings.name,
            settings.zone,
            self.store,
            self.leadership.replicas,
            lambda: self.leadership.log.is_leading,
            self.places,
        )
        self._leader_watches = LeaderWatches(
            self.store, self.mirrored_store.for_leader, health, self.leadership.replicas
        )
        self._leader_watches.follow_members(self._is_group_member)
        parts = DutyParts(
            leadership=self.leadership,
            engines=self.engines,
            front=self.front,
            runner=runner,
            orders=EngineOrders(settings.name, self.engines, HttpClient()),
            watches=self._leader_watches,
            metrics=self.metrics,
            lease_seconds=settings.durations.lease,
            keep_seconds=settings.durations.keep_steps,
            agreed=self.agreed,
            usage=usage,
            operator=_operator(settings),
            cold=cold,
            find_terms=self._rate_terms,
            scaling=_scaling_settings(settings),
        )
        self.duties = LeaderDuties(parts)
        self.leadership.serve(self.duties)
        self.watches = GatewayWatches(
            self.mirrored_store,
            health,
            self.engines,
            self.front,
            self._view_changed,
            lambda: self.leadership.log.is_leading,
            lambda: self.mirrored_store.follows_mirrors,
            keys.wait_seconds,
        )
        self.evacuations: EvacuationWatch | None = None
        if settings.evacuation.within:
            self.evacuations = EvacuationWatch(
                self.mirrored_store,
                health,
                self.engines,
                {settings.zone, *settings.regions},
                self._view_changed,
                self.watches.longest_retry,
            )
        self.sources = FigureSources(
            name=settings.name,
            metrics=self.metrics,
            front=self.front,
            engines=self.engines,
            pool=self.pool,
            cold=self.cold,
            store=self.store,
            mirrored_store=self.mirrored_store,
            watches=self.watches,
            leadership=self.leadership,
            duties=self.duties,
            run_host=self.run_host,
            cache=self.steps.cache,
            agreed=self.agreed,
        )
        self._stopped = curio.Event()
        self.metrics_server = (
            MetricsServer(settings.metrics, self.render_metrics) if settings.metrics else None
        )

    def _subscription(self) -> Subscribe:
        """Return what replicas are told of this daemon, for a leader to find it."""
        place = self.sockets.reached_at
        return Subscribe(
            daemon=self.settings.name,
            zone=self.settings.zone,
            host=place.host,
            port=place.port,
            cores=self.settings.processor.speed,
        )

    def _rate_terms(self, subject: str) -> RateTerms | None:
        """Return how this daemon, where it leads, grants shares of a rate."""
        if subject.startswith(COLD_PREFIX):
            return self.cold.terms(subject.removeprefix(COLD_PREFIX))
        if subject.startswith(TENANT_PREFIX):
            return self.rates.terms(subject.removeprefix(TENANT_PREFIX))
        return None

    def render_metrics(self) -> bytes:
        """Return this gateway's figures as Prometheus text."""
        from pondtiller.gateway.metrics_text import render

        return render(self.sources.figures(clock.monotonic()))

    async def _view_changed(self) -> None:
        """Take a change of the engines or the table."""
        if not self.leadership.may_stand and self._is_ready():
            self.leadership.may_stand = True
            await self.leadership.wake_up()
        await self.duties.engines_changed()

    async def answer(self, message: Message) -> Message:
        """Answer a step call as the leader."""
        return await self.duties.answer(message)

    async def run(self) -> None:
        """Serve until stopped."""
        settings = self.settings
        sockets = self.sockets
        logs.decision(
            "started",
            daemon=settings.name,
            zone=settings.zone,
            callers=_text(sockets.address(sockets.callers)),
            readiness=_text(sockets.address(sockets.readiness)),
            links=_text(sockets.address(sockets.links)),
            store=settings.store,
        )
        group = Spawner()
        try:
            await group.spawn(
                keep_running,
                "callers",
                serve_http,
                sockets.callers,
                self.front.handle,
                self._is_stopping,
            )
            await group.spawn(
                keep_running, "readiness", serve_http, sockets.readiness, self._answer_readiness
            )
            await group.spawn(keep_running, "links", serve_links, sockets.links, self._serve_link)
            await group.spawn(keep_running, "configuration", self.watches.configuration.run)
            await group.spawn(keep_running, "engines", self.watches.engines.run)
            if self.evacuations is not None:
                await group.spawn(keep_running, "evacuations", self.evacuations.watch.run)
            await group.spawn(keep_running, "leadership", self.leadership.run)
            await group.spawn(keep_running, "housekeeping", self._keep_house)
            await group.spawn(keep_running, "shares", self.shares.run)
            if self.teller is not None:
                await group.spawn(keep_running, "use", self.teller.run)
            if self.metrics_server is not None:
                await group.spawn(keep_running, "metrics", self.metrics_server.run)
            await self._stopped.wait()
        finally:
            await self.leadership.replicas.close()
            await self.duties.end("the process ends")
            await group.cancel_all()
        logs.decision("stopped", daemon=settings.name, open=self.front.open_exchanges)

    async def stop(self) -> None:
        """Stop as planned: no new callers, a successor for the leader, answers to the end."""
        if self.is_stopping:
            return
        self.is_stopping = True
        logs.decision("stopping", daemon=self.settings.name, open=self.front.open_exchanges)
        began = clock.monotonic()
        await self.leadership.replicas.take_no_runs()
        await self.run_host.stop()
        await self.duties.save_progress()
        await self.leadership.resign()
        end = began + self.settings.durations.stop - STOP_MARGIN_SECONDS
        while clock.monotonic() < end:
            is_quiet = self.front.open_exchanges == 0
            if is_quiet and clock.monotonic() >= began + NOT_READY_SECONDS:
                break
            await curio.sleep(0.05)
        await self._tell_last_use()
        await self._stopped.set()

    async def _tell_last_use(self) -> None:
        """Tell what was counted since the last time; nobody else knows it."""
        leader = self.leadership.leader()
        if self.teller is not None and leader is not None:
            await curio.ignore_after(LAST_USE_SECONDS, self.teller.tell, leader.epoch)

    def reload(self, settings: GatewaySettings) -> None:
        """Take changed settings; addresses and names stay until the next start."""
        logs.decision("reloaded", daemon=settings.name, changed=settings != self.settings)
        self.settings = settings

    def _is_stopping(self) -> bool:
        return self.is_stopping

    def _is_group_member(self, name: str) -> bool:
        """Return whether a replica belongs to the group, or may while it is not known."""
        log = self.leadership.log
        if not log.is_leading or log.next_group is not None:
            return True
        return any(member.name == name for member in log.group.members)

    async def _answer_readiness(self, exchange: Exchange) -> None:
        request = exchange.request
        if request.path == names.READY_PATH:
            is_ready = self._is_ready()
            await exchange.respond(HttpResponse(200 if is_ready else 503))
        elif request.path == METRICS_PATH:
            await exchange.respond(HttpResponse(200, self.render_metrics(), CONTENT_TYPE))
        elif request.path == TABLE_PATH:
            from pondtiller.gateway import table_view

            await exchange.respond(
                HttpResponse(
                    200, table_view.render(self.sources.figures(clock.monotonic())), "text/plain"
                )
            )
        else:
            await exchange.respond(HttpResponse(404))

    def _is_ready(self) -> bool:
        if self.is_stopping or self.engines.awaits_evacuations:
            return False
        return self.front.table is not None and self.engines.is_known

    async def _serve_link(self, link: Link) -> None:
        async with Spawner() as group:

            async def take(_link: Link, call: int, message: Message) -> None:
                if isinstance(message, RUN_MESSAGES):
                    await self.run_host.take(link, message)
                elif isinstance(message, SaveProgress):
                    await self.leadership.replicas.send_to_members(message)
                else:
                    await group.spawn(self._answer_call, link, call, message)

            try:
                await link.run(take)
            finally:
                await self.run_host.lost(link)

    async def _answer_call(self, link: Link, call: int, message: Message) -> None:
        if isinstance(message, ScoreSample):
            await link.reply(call, await self.run_host.score(message))
            return
        answer = await self.duties.answer(message)
        await link.reply(call, answer)

    async def _keep_house(self) -> None:
        """Find replicas when none is heard, forget engines that are gone."""
        next_search, pause = 0.0, SEARCH_SECONDS
        while True:
            now = clock.monotonic()
            if not self._lacks_replicas(now):
                pause = SEARCH_SECONDS
            elif now >= next_search:
                next_search = now + pause
                pause = min(2 * pause, LONGEST_SEARCH_SECONDS)
                await self._find_replicas()
            self.leadership.may_stand = self._is_ready()
            self.engines.keep_house(now)
            self.cold.look(now)
            await self.pool.forget(set(self.engines.engines))
            await curio.sleep(HOUSEKEEPING_SECONDS)

    def _lacks_replicas(self, now: float) -> bool:
        """Return whether to look for replicas: none is heard, or too few for a first group.

        Once there is a group, one replica that is heard names the others.
        """
        replicas = self.leadership.replicas
        if now > replicas.last_heard() + NO_REPLICA_SECONDS:
            return True
        views = replicas.views()
        has_group = any(view.group.generation for view in views)
        return not has_group and len(views) < self.settings.wanted_replicas

    async def _find_replicas(self) -> None:
        try:
            listing = await self.store.list_all(names.REPLICAS)
        except StoreCallError:
            return
        await self._leader_watches.take_replicas(listing.objects)


def _usage_settings(settings: GatewaySettings) -> UsageSettings | None:
    """Return what use is to be reported; None where none is."""
    usage, operator = settings.usage, settings.operator
    if not usage.window or not operator.address or not wants_use(operator.duties):
        return None
    return UsageSettings(usage.window, usage.late, settings.durations.lease)


def _scaling_settings(settings: GatewaySettings) -> ScalingSettings | None:
    """Return by what engines are ordered; None where none are."""
    operator, policy = settings.operator, settings.scaling.policy
    if policy is PolicyName.LEAVE or not operator.address or not wants_scaling(operator.duties):
        return None
    return ScalingSettings(policy, settings.durations.lease)


def _operator(settings: GatewaySettings) -> OperatorClient | None:
    address = settings.operator.address
    if not address:
        return None
    return OperatorClient(to_address(address), settings.name, HttpClient())


def _text(address: Address) -> str:
    return f"{address.host}:{address.port}"
