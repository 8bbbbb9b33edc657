"""Parts of one gateway, created from its settings and connected; nothing runs yet.

Holds every part for the life of the process. A part that depends on a later one is given a function
that returns it. `process` starts, reloads and stops the parts; no rules are implemented here.
"""

from betterproto import Message

from pondtiller.address import to_address
from pondtiller.coordination.agreed_clock import AgreedClock
from pondtiller.coordination.rate_shares import RateTerms
from pondtiller.gateway.callers.forward import Forwarder
from pondtiller.gateway.callers.front import Front
from pondtiller.gateway.callers.key_freshness import KeyFreshness
from pondtiller.gateway.callers.streams import StreamForwarder
from pondtiller.gateway.callers.tenant_rates import TenantRates
from pondtiller.gateway.engines.cold_sends import ColdSends
from pondtiller.gateway.engines.engine_pool import EnginePool
from pondtiller.gateway.engines.orders import EngineOrders
from pondtiller.gateway.engines.suspect_sharing import SuspectSharing
from pondtiller.gateway.engines.suspects import SuspectContents
from pondtiller.gateway.leader.duties import LeaderDuties
from pondtiller.gateway.leader.duty_parts import DutyParts
from pondtiller.gateway.leader.duty_settings import (
    operator_client,
    scaling_settings,
    usage_settings,
)
from pondtiller.gateway.leader.first_group import StoredFirstGroup
from pondtiller.gateway.leader.leader_watches import LeaderWatches
from pondtiller.gateway.leader.leadership import Leadership
from pondtiller.gateway.metrics import GatewayMetrics
from pondtiller.gateway.pages.figure_sources import FigureSources
from pondtiller.gateway.runs.leaderless_runs import LeaderlessRuns
from pondtiller.gateway.runs.run_host import RunHost
from pondtiller.gateway.runs.sample_runner import SampleRunner
from pondtiller.gateway.sockets import GatewaySockets
from pondtiller.gateway.stale_configuration import StaleConfigurationLog
from pondtiller.gateway.watches import ENGINES_REST_SECONDS, GatewayWatches
from pondtiller.httpio.bodies import BodyBuffer
from pondtiller.httpio.client import HttpClient
from pondtiller.peers.leader_age import leader_age
from pondtiller.peers.leader_client import LeaderClient
from pondtiller.peers.share_asker import ShareAsker
from pondtiller.peers.usage_sender import UsageSender
from pondtiller.platform import names
from pondtiller.platform.object_client import MAX_REST_SECONDS, ObjectClient
from pondtiller.process.stalls import StallWatch
from pondtiller.routes.cold import SUBJECT_PREFIX as COLD_PREFIX
from pondtiller.routes.cold import ColdBound, ColdEngines
from pondtiller.routes.engines import EngineDirectory
from pondtiller.routes.rates import SUBJECT_PREFIX as TENANT_PREFIX
from pondtiller.routes.send_gate import SendGate
from pondtiller.routes.table import RouteTable
from pondtiller.routes.topology import Topology
from pondtiller.settings import GatewaySettings
from pondtiller.steplog.fault_tolerance import GroupRules
from pondtiller.store.change_delays import change_delays
from pondtiller.store.evacuation_watch import EvacuationWatch
from pondtiller.store.mirrored_store import MirroredStore
from pondtiller.store.store_watch import StoreHealth
from pondtiller.usage.meter import UseMeter
from pondtiller.wire.steplog import Subscribe


class GatewayParts:
    """Parts of a gateway.

    Attributes
    ----------
    is_stopping
        Whether it accepts no new callers and does not campaign.
    """

    def __init__(self, settings: GatewaySettings) -> None:
        self.settings = settings
        self.is_stopping = False
        self.metrics = GatewayMetrics()
        self.topology = Topology(settings.regions)
        self.engines = EngineDirectory(self.topology)
        self.store = ObjectClient(to_address(settings.store), HttpClient(MAX_REST_SECONDS))
        self._health = StoreHealth()
        self._make_sending()
        self._make_leadership()
        self._make_front()
        self._make_runs()
        self._make_store_readers()
        self._make_duties()
        self._make_watches()
        self._make_pages()

    def _make_sending(self) -> None:
        """Create the parts that send requests to engines, and that block them."""
        settings = self.settings
        self.gate = SendGate(self.engines)
        self.stalls = StallWatch(lambda: self.run_host.runs > 0 or self.duties.term is not None)
        self.bodies = BodyBuffer()
        self.pool = EnginePool(self.stalls, self.bodies)
        bound = ColdBound(settings.cold.excess, settings.cold.slack)
        self._cold_engines = ColdEngines(self.engines, bound, self._table)
        self.shares = ShareAsker(
            settings.name,
            lambda message, seconds: self.steps.ask_shares(message, seconds),
            lambda: self.leadership.leader(),
        )
        self.cold = ColdSends(self._cold_engines, self.shares, self.metrics)
        self.gate.rules.append(self.cold.rule)
        self.gate.unknown_rule = self.cold.unknown_rule
        self.suspects = SuspectContents(self.metrics)
        self.forwarder = Forwarder(
            settings.zone,
            self.engines,
            self.pool,
            self.metrics,
            self.gate,
            self.cold,
            self.suspects,
            self.stalls,
        )

    def _make_leadership(self) -> None:
        """Create the parts for leader election, and the client of the current leader."""
        settings = self.settings
        self.sockets = GatewaySockets(settings)
        rules = GroupRules(settings.tolerance, self.topology)
        self.leadership = Leadership(
            settings.name,
            self.sockets.reached_at,
            settings.processor.speed,
            settings.wanted_replicas,
            StoredFirstGroup(self.store, settings.wanted_replicas, rules),
            self.metrics,
            settings.zone,
            rules,
            self.stalls,
        )
        self.steps = LeaderClient(settings.name, self.leadership.leader, self)

    def _make_front(self) -> None:
        """Create the parts that answer callers and trainers, and count usage by tenant."""
        settings = self.settings
        streams = StreamForwarder(self.forwarder, self.pool, self.gate)
        self.agreed = AgreedClock()
        usage = usage_settings(settings)
        meter = UseMeter(usage.window_seconds if usage is not None else 0.0)
        self._keys = KeyFreshness(settings.keys, lambda: self.watches.configuration.last_answer_at)
        self.rates = TenantRates(settings.rate_excess, self.shares, self._table, self.metrics)
        self.front = Front(
            self.forwarder,
            streams,
            self.steps,
            self.metrics,
            meter,
            self._keys.is_fresh,
            self.rates,
            self.topology,
        )
        self.usage_sender: UsageSender | None = None
        if usage is not None:
            self.usage_sender = UsageSender(
                settings.name, meter, self.agreed, self.steps, self.leadership.leader
            )

    def _make_runs(self) -> None:
        """Create the parts that run samples here for a leader."""
        self._runner = SampleRunner(self.gate, self.pool, self.forwarder, self._table, self.cold)
        self.run_host = RunHost(
            self._runner,
            lambda: self.leadership.replicas.highest_epoch,
            self._make_leaderless_runs(),
            self.stalls,
        )
        self.leadership.replicas.subscription = self._subscription()

    def _make_store_readers(self) -> None:
        """Create the parts that read the store through mirrors, and the leader's watches."""
        self.mirrored_store = MirroredStore(
            self.settings.name,
            self.settings.zone,
            self.store,
            self.leadership.replicas,
            self._is_leading,
            self.topology,
            self._news_bounds(),
        )
        self.leader_watches = LeaderWatches(
            self.store, self.mirrored_store.relayed, self._health, self.leadership.replicas
        )
        self.leader_watches.follow_members(self._is_group_member)

    def _news_bounds(self) -> dict[str, float]:
        """Return within how many seconds changes must be known, by kind of objects."""
        settings = self.settings
        bounds = {
            names.CONFIGURATIONS: settings.news.configuration,
            names.ENGINES: settings.news.engines + ENGINES_REST_SECONDS,
        }
        if settings.evacuation.within:
            bounds[names.EVACUATIONS] = settings.evacuation.within
        return bounds

    def _make_duties(self) -> None:
        """Create the duties of this gateway while it is the leader."""
        settings = self.settings
        parts = DutyParts(
            leadership=self.leadership,
            engines=self.engines,
            in_force=self.front.in_force,
            runner=self._runner,
            orders=EngineOrders(settings.name, self.engines, HttpClient(bodies=self.bodies)),
            watches=self.leader_watches,
            metrics=self.metrics,
            stalls=self.stalls,
            lease_seconds=settings.durations.lease,
            keep_seconds=settings.durations.keep_steps,
            agreed=self.agreed,
            usage=usage_settings(settings),
            operator=operator_client(settings),
            cold=self._cold_engines,
            find_terms=self._rate_terms,
            scaling=scaling_settings(settings),
        )
        self.duties = LeaderDuties(parts)
        self.leadership.serve(self.duties)

    def _make_watches(self) -> None:
        """Create the watches that every gateway runs on the store."""
        settings = self.settings
        self.watches = GatewayWatches(
            self.mirrored_store,
            self._health,
            self.engines,
            self.front.in_force,
            self._view_changed,
            self._is_leading,
            lambda: self.mirrored_store.follows_mirrors,
            self._keys.times(change_delays(settings.news.configuration)),
            change_delays(settings.news.engines),
        )
        self.stale_configuration = StaleConfigurationLog(
            self.front.in_force,
            settings.news.configuration,
            lambda: self.mirrored_store.reader.get(names.CONFIGURATIONS, ""),
        )
        self.suspect_sharing = SuspectSharing(
            self.suspects,
            self.store,
            self.mirrored_store,
            self._health,
            self._view_changed,
            self._is_leading,
            self.watches.longest_retry,
        )
        self.suspects.take_trial = self.suspect_sharing.take_trial
        self.suspects.return_trial = self.suspect_sharing.return_trial
        self.evacuations: EvacuationWatch | None = None
        if settings.evacuation.within:
            self.evacuations = EvacuationWatch(
                self.mirrored_store,
                self._health,
                self.engines,
                {settings.zone, *settings.regions},
                self._view_changed,
                self.watches.longest_retry,
            )

    def _make_pages(self) -> None:
        """Create the source of the figures that are exported."""
        self.sources = FigureSources(
            name=self.settings.name,
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

    def _table(self) -> RouteTable | None:
        return self.front.table

    def _is_leading(self) -> bool:
        return self.leadership.log.is_leading

    def _subscription(self) -> Subscribe:
        """Return this gateway's registration at replicas, by which a leader finds it."""
        place = self.sockets.reached_at
        return Subscribe(
            daemon=self.settings.name,
            zone=self.settings.zone,
            host=place.host,
            port=place.port,
            cores=self.settings.processor.speed,
        )

    def _make_leaderless_runs(self) -> LeaderlessRuns:
        replicas = self.leadership.replicas

        def leader_epoch() -> int | None:
            leader = self.leadership.leader()
            return leader.epoch if leader is not None else None

        return LeaderlessRuns(
            lambda: replicas.subscription,
            leader_epoch,
            replicas.has_quorum_contact,
            lambda epoch: leader_age(replicas, epoch),
            self.steps.offer_runs,
            self.stalls,
        )

    def _rate_terms(self, subject: str) -> RateTerms | None:
        """Return how this gateway, as the leader, grants shares of a rate."""
        if subject.startswith(COLD_PREFIX):
            return self.cold.terms(subject.removeprefix(COLD_PREFIX))
        if subject.startswith(TENANT_PREFIX):
            return self.rates.terms(subject.removeprefix(TENANT_PREFIX))
        return None

    async def _view_changed(self) -> None:
        """Handle a change of the engines or of the table."""
        if not self.leadership.may_campaign and self.is_ready():
            self.leadership.may_campaign = True
            await self.leadership.wake_up()
        await self.duties.engines_changed()

    async def answer(self, message: Message) -> Message:
        """Answer a step call as the leader."""
        return await self.duties.answer(message)

    def _is_group_member(self, name: str) -> bool:
        """Return whether a replica belongs to the group, or may while that is unknown."""
        log = self.leadership.log
        if not log.is_leading or log.next_group is not None:
            return True
        return any(member.name == name for member in log.group.members)

    def is_ready(self) -> bool:
        """Return whether this gateway may get callers and campaign."""
        if self.is_stopping or self.engines.awaits_evacuations:
            return False
        return self.front.table is not None and self.engines.is_known
