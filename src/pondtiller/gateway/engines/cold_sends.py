"""Limits requests to cold engines to this gateway's shares of their rates.

Holds which engines were cold at the last check, for the log. Which engines are cold, and at which
rate, is decided in `routes.cold`; `ShareAsker` requests shares, and the leader grants them.
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
"""Terms for an engine that this daemon does not know yet: only the leader's grant limits it."""
NAMED_ENGINES = 12
"""Largest number of engines named in one log line."""


class ColdSends:
    """Requests of one daemon to cold engines."""

    def __init__(self, cold: ColdEngines, shares: ShareAsker, metrics: GatewayMetrics) -> None:
        self._cold = cold
        self._shares = shares
        self._metrics = metrics
        self._known: frozenset[str] = frozenset()

    def rule(self, engine: Engine, now: float) -> BlockReason | None:
        """Count a request that is about to be sent to a cold engine; the last rule of the gate."""
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

    def note_cold_report(self, identifier: str) -> None:
        """Record that the leader reports an engine as cold."""
        self._cold.note_cold_report(identifier, clock.monotonic())

    async def prepare(self, identifier: str, deadline: float) -> None:
        """Wait a moment for a share if an engine is cold; the gate decides afterwards."""
        now = clock.monotonic()
        if self._cold.is_cold_name(identifier, now):
            until = min(deadline, now + WAIT_SECONDS)
            terms = self._cold.terms(identifier) or UNKNOWN_TERMS
            await self._shares.wait(subject_of(identifier), terms, until)

    def preferred(self, engines: list[Engine], now: float) -> list[Engine]:
        """Return the warm engines; if there are none, cold ones that may get a request now."""
        warm = [each for each in engines if not self._cold.is_cold(each, now)]
        if warm or not engines:
            return warm
        ready = [
            each for each in engines if self._shares.has_room(subject_of(each.identifier), now)
        ]
        return ready or engines

    def is_cold(self, engine: Engine, now: float) -> bool:
        """Return whether an engine is still slow after its start, as far as is known."""
        return self._cold.is_cold(engine, now)

    def terms(self, identifier: str) -> RateTerms | None:
        """Return how much of an engine's rate a leader may grant; None if it knows no such rate."""
        return self._cold.terms(identifier)

    def log_changes(self, now: float) -> None:
        """Log which engines became cold or warm, in one line for all of them."""
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
        """Number of engines that were cold at the last check."""
        return len(self._known)


def _some(engines: frozenset[str]) -> str:
    names = sorted(engines)
    more = [f"and {len(names) - NAMED_ENGINES} more"] if len(names) > NAMED_ENGINES else []
    return ",".join(names[:NAMED_ENGINES] + more)
