"""Holds requests back from cold engines, beyond what this gateway's shares allow.

Owns which engines were cold at the last look, for the log. Which engines are cold, and what they
bear, is `routes.cold`; shares are asked for by `ShareAsker` and granted by the leader.
"""

from pondtiller.coordination.rate_shares import RateTerms
from pondtiller.gateway.metrics import GatewayMetrics
from pondtiller.peers.share_asker import ShareAsker
from pondtiller.process import clock, logs
from pondtiller.routes.cold import LEASE_SECONDS, ColdEngines, subject_of
from pondtiller.routes.engines import Engine
from pondtiller.routes.send_gate import BlockReason

WAIT_SECONDS = 0.3
"""Longest wait for a share: a leader in another region answers within 0.05 s, and a run that is
silent for 0.7 s is moved."""
UNKNOWN_TERMS = RateTerms(1_000_000, 1_000_000, LEASE_SECONDS)
"""Of an engine that this daemon does not know yet: what the leader grants counts."""
NAMED_ENGINES = 12
"""Most engines that one log line names."""


class ColdSends:
    """What one daemon sends to cold engines."""

    def __init__(self, cold: ColdEngines, shares: ShareAsker, metrics: GatewayMetrics) -> None:
        self._cold = cold
        self._shares = shares
        self._metrics = metrics
        self._known: frozenset[str] = frozenset()

    def rule(self, engine: Engine, now: float) -> BlockReason | None:
        """Count a request that is about to leave; the last rule of the gate."""
        return self._take(engine.identifier, now) if self._cold.is_cold(engine, now) else None

    def unknown_rule(self, identifier: str, now: float) -> BlockReason | None:
        """As `rule`, for an engine that this daemon does not know yet."""
        return self._take(identifier, now) if self._cold.is_cold_name(identifier, now) else None

    def _take(self, identifier: str, now: float) -> BlockReason | None:
        if self._shares.take(subject_of(identifier), now):
            self._metrics.cold_sends += 1
            return None
        self._metrics.held_cold += 1
        return BlockReason.COLD

    def told(self, identifier: str) -> None:
        """Take that the leader takes an engine for cold."""
        self._cold.note_cold_report(identifier, clock.monotonic())

    async def prepare(self, identifier: str, deadline: float) -> None:
        """Wait a moment for a share where an engine is cold; the gate decides afterwards."""
        now = clock.monotonic()
        if self._cold.is_cold_name(identifier, now):
            until = min(deadline, now + WAIT_SECONDS)
            terms = self._cold.terms(identifier) or UNKNOWN_TERMS
            await self._shares.wait(subject_of(identifier), terms, until)

    def preferred(self, engines: list[Engine], now: float) -> list[Engine]:
        """Return the warm engines; where there are none, cold ones that may get something now."""
        warm = [each for each in engines if not self._cold.is_cold(each, now)]
        if warm or not engines:
            return warm
        ready = [
            each for each in engines if self._shares.has_room(subject_of(each.identifier), now)
        ]
        return ready or engines

    def is_cold(self, engine: Engine, now: float) -> bool:
        """Return whether an engine is slow since it started, as far as is known."""
        return self._cold.is_cold(engine, now)

    def terms(self, identifier: str) -> RateTerms | None:
        """Return what a leader may grant of an engine's rate; None where it knows no such rate."""
        return self._cold.terms(identifier)

    def look(self, now: float) -> None:
        """Note which engines turned cold or warm: one line at a time for all of them."""
        self._cold.drop_expired(now)
        known = frozenset(each.identifier for each in self._cold.cold_engines(now))
        if known == self._known:
            return
        logs.decision(
            "engines_cold",
            cold=len(known),
            turned_cold=_some(known - self._known),
            turned_warm=_some(self._known - known),
        )
        self._known = known

    @property
    def count(self) -> int:
        """Engines that were cold at the last look."""
        return len(self._known)


def _some(engines: frozenset[str]) -> str:
    names = sorted(engines)
    more = [f"and {len(names) - NAMED_ENGINES} more"] if len(names) > NAMED_ENGINES else []
    return ",".join(names[:NAMED_ENGINES] + more)
