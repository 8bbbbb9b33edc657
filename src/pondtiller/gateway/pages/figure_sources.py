"""Collects a gateway's figures from its parts when a page is requested.

The counters and gauges are exported under these names with the prefix `pondtiller_`;
docs/OPERATIONS.md describes each.
"""

from typing import NamedTuple

from pondtiller.coordination.agreed_clock import AgreedClock
from pondtiller.gateway.callers.front import Front
from pondtiller.gateway.engines.cold_sends import ColdSends
from pondtiller.gateway.engines.engine_pool import EnginePool
from pondtiller.gateway.leader.duties import LeaderDuties
from pondtiller.gateway.leader.leadership import Leadership
from pondtiller.gateway.metrics import GatewayMetrics
from pondtiller.gateway.pages.figures import GatewayFigures
from pondtiller.gateway.runs.run_host import RunHost
from pondtiller.gateway.watches import GatewayWatches
from pondtiller.peers.result_cache import ResultCache
from pondtiller.platform.object_client import ObjectClient
from pondtiller.routes.engines import EngineDirectory
from pondtiller.store.mirrored_store import MirroredStore


class FigureSources(NamedTuple):
    """Parts of one gateway whose figures its pages show."""

    name: str
    metrics: GatewayMetrics
    front: Front
    engines: EngineDirectory
    pool: EnginePool
    cold: ColdSends
    store: ObjectClient
    mirrored_store: MirroredStore
    watches: GatewayWatches
    leadership: Leadership
    duties: LeaderDuties
    run_host: RunHost
    cache: ResultCache
    agreed: AgreedClock

    def figures(self, now: float) -> GatewayFigures:
        """Return the figures at a monotonic time."""
        leader = self.leadership.leader()
        return GatewayFigures(
            name=self.name,
            metrics=self.metrics,
            table=self.front.table,
            engines=tuple(self.engines.engines.values()),
            leader=leader.name if leader is not None else "",
            readers=dict(self.mirrored_store.reader),
            store_calls=dict(self.store.calls),
            counters=self._counters(),
            gauges=self._gauges(now),
            evacuated=tuple(sorted(self.engines.evacuated)),
            configuration_age_seconds=now - self.watches.configuration.last_answer_at,
            engines_age_seconds=now - self.watches.engines.last_answer_at,
        )

    def _counters(self) -> dict[str, int]:
        metrics = self.metrics
        return {
            "attempts": metrics.attempts,
            "engine_connections": self.pool.opened,
            "results_from_cache": self.cache.hits,
            "samples_listed": metrics.samples_listed,
            "samples_given_up": metrics.samples_given_up,
            "runs_started": metrics.runs_started,
            "runs_taken_over": metrics.runs_taken_over,
            "orders": metrics.orders,
            "takeovers": metrics.takeovers,
            "use_reports": metrics.use_reports,
            "use_reports_failed": metrics.use_reports_failed,
            "cold_sends": metrics.cold_sends,
            "held_cold": metrics.held_cold,
            "rate_admitted": metrics.rate_admitted,
            "rate_refused": metrics.rate_refused,
            "ends_seen": metrics.ends_seen,
            "entries_unread": self.watches.entries_unread,
            "store_objects_unread": self.store.unread,
            "engines_started_again": self.engines.restarts,
            "held_contents": metrics.held_contents,
            "scale_orders": metrics.scale_orders,
            "scale_orders_failed": metrics.scale_orders_failed,
        }

    def _gauges(self, now: float) -> dict[str, float]:
        table, term = self.front.table, self.duties.term
        return {
            "table_version": float(table.version if table is not None else 0),
            "engines": float(len(self.engines.engines)),
            "engines_cold": float(self.cold.count),
            "leads": float(self.leadership.log.holds_lease(now)),
            "replicas": float(len(self.leadership.replicas.views())),
            "group_shortfall": float(self.leadership.shortfall),
            "open_requests": float(self.front.open_exchanges),
            "samples_open": float(len(term.scheduler.work) if term is not None else 0),
            "runs": float(len(term.scheduler.runs) if term is not None else 0),
            "runners": float(len(term.runners.links) if term is not None else 0),
            "hosted_runs": float(self.run_host.runs),
            "hosted_scores": float(self.run_host.runner.scores),
            "evacuated_zones": float(len(self.engines.evacuated)),
            "evacuated_running": float(self._evacuated_running()),
            "clock_spread_seconds": self.agreed.spread_seconds(now),
        }

    def _evacuated_running(self) -> int:
        """Return the number of this gateway's requests at engines of evacuated zones."""
        engines = self.engines
        return sum(each.running for each in engines.engines.values() if engines.is_evacuated(each))
