"""Counters and histograms of a gateway; formatted by prometheus-client only when scraped.

Plain numbers in memory, reset at each start. Each part updates its own; `pages` reads them.
"""

from bisect import bisect_left
from dataclasses import dataclass, field

LATENCY_BOUNDS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)
"""Upper bounds of the buckets, in seconds; doubling, with finer steps where commits lie."""


@dataclass
class Latencies:
    """Counts of durations by upper bound, in seconds."""

    counts: list[int] = field(default_factory=lambda: [0] * (len(LATENCY_BOUNDS) + 1))
    total_seconds: float = 0.0

    def add(self, seconds: float) -> None:
        """Count one duration."""
        self.counts[bisect_left(LATENCY_BOUNDS, seconds)] += 1
        self.total_seconds += seconds


@dataclass
class GatewayMetrics:
    """Counters of one gateway.

    Attributes
    ----------
    answered
        Requests by route and outcome.
    commit_seconds
        From a write to the log until it is on a quorum of disks.
    cold_sends, held_cold
        Requests sent to cold engines, and requests not sent since no share was held.
    rate_admitted, rate_refused
        Requests of tenants that have a rate.
    ends_seen
        Requests that broke off at an engine that had crashed.
    held_contents
        Requests rejected since their content is quarantined.
    runs_taken_over
        Runs of an earlier leader that this one continued.
    """

    attempts: int = 0
    answered: dict[tuple[str, str], int] = field(default_factory=dict)
    request_seconds: Latencies = field(default_factory=Latencies)
    commit_seconds: Latencies = field(default_factory=Latencies)
    samples_listed: int = 0
    samples_given_up: int = 0
    runs_started: int = 0
    runs_taken_over: int = 0
    orders: int = 0
    takeovers: int = 0
    use_reports: int = 0
    use_reports_failed: int = 0
    cold_sends: int = 0
    held_cold: int = 0
    rate_admitted: int = 0
    rate_refused: int = 0
    ends_seen: int = 0
    held_contents: int = 0
    scale_orders: int = 0
    scale_orders_failed: int = 0

    def count(self, route: str, outcome: str) -> None:
        """Count a request's outcome."""
        key = (route, outcome)
        self.answered[key] = self.answered.get(key, 0) + 1
