"""Final check before a request is sent to an engine. No I/O.

An engine is chosen some time before the request is sent: a connection is opened in between, or the
request waits. All conditions that forbid new work for an engine are therefore checked again here,
for everything that is sent to engines: callers' whole requests and streams, hedges, resumed
streams, samples and scorers' requests. Health checks and instructions are exempt.

Holds the list of rules, filled once at start-up. Does not choose an engine.
"""

from collections.abc import Callable
from enum import StrEnum

from pondtiller.routes.engines import Engine, EngineDirectory


class BlockReason(StrEnum):
    """Reason why a request must not be sent to an engine now."""

    LEAVING = "leaving"
    EVACUATED = "evacuated"
    COLD = "cold"
    ENDS_ENGINES = "ends_engines"
    LATE = "late"
    OLD_TABLE = "old_table"
    STOPS = "stops"


Rule = Callable[[Engine, float], BlockReason | None]
"""Takes an engine and the monotonic time; returns None if the request may be sent.

A rule that counts the requests it allows comes last, so that no request is counted that a later
rule blocks.
"""


UnknownRule = Callable[[str, float], BlockReason | None]
"""As `Rule`, for an engine of which only the identifier is known."""


class SendGate:
    """Checks all rules that are in force at this daemon.

    Attributes
    ----------
    unknown_rule
        Rule for engines that are not in the directory; None if they are always allowed.
    """

    def __init__(self, engines: EngineDirectory) -> None:
        self.engines = engines
        self.rules: list[Rule] = [self._leaving, self._evacuated]
        self.unknown_rule: UnknownRule | None = None

    def check(self, identifier: str, now: float) -> BlockReason | None:
        """Return why a request must not be sent to an engine, or None if it may be sent now.

        An engine that is not in the directory is allowed, since its sender knows it from elsewhere;
        but not while any zone is evacuated, as the engine may be in that zone.
        """
        engine = self.engines.engines.get(identifier)
        if engine is None:
            return self._check_unknown(identifier, now)
        for rule in self.rules:
            held = rule(engine, now)
            if held is not None:
                return held
        return None

    def _check_unknown(self, identifier: str, now: float) -> BlockReason | None:
        if self.engines.has_left(identifier, now):
            return BlockReason.LEAVING
        if self.engines.awaits_evacuations or self.engines.evacuated:
            return BlockReason.EVACUATED
        return self.unknown_rule(identifier, now) if self.unknown_rule is not None else None

    def _leaving(self, engine: Engine, now: float) -> BlockReason | None:
        return BlockReason.LEAVING if self.engines.has_left(engine.identifier, now) else None

    def _evacuated(self, engine: Engine, _now: float) -> BlockReason | None:
        return BlockReason.EVACUATED if self.engines.is_evacuated(engine) else None
