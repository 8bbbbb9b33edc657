"""The last look before a request leaves for an engine. No I/O.

An engine was chosen some time before: a connection was opened meanwhile, or the request waited.
Whatever forbids new work to an engine is asked here again, by all that send requests to
engines: callers' whole requests and streams, hedges, resumed streams, samples, and scorers'
requests. Health checks and orders do not pass here.

Owns the list of rules, filled once at the start. Does not choose an engine.
"""

from collections.abc import Callable
from enum import StrEnum

from pondtiller.routes.engines import Engine, EngineDirectory


class Held(StrEnum):
    """Why a request must not leave for an engine now."""

    LEAVING = "leaving"
    EVACUATED = "evacuated"
    COLD = "cold"
    ENDS_ENGINES = "ends_engines"
    LATE = "late"
    OLD_TABLE = "old_table"


Rule = Callable[[Engine, float], Held | None]
"""Takes an engine and the steady time; None where the request may leave.

A rule that counts what it lets through is asked last, so that nothing is counted in vain.
"""


UnknownRule = Callable[[str, float], Held | None]
"""As `Rule`, for an engine that is known by its identifier alone."""


class SendGate:
    """Asks all rules that are in force at this daemon.

    Attributes
    ----------
    unknown_rule
        Asked for engines that are not known here; None where they pass.
    """

    def __init__(self, engines: EngineDirectory) -> None:
        self.engines = engines
        self.rules: list[Rule] = [self._leaving, self._evacuated]
        self.unknown_rule: UnknownRule | None = None

    def check(self, identifier: str, now: float) -> Held | None:
        """Return why a request must not leave for an engine, or None where it may leave now.

        An engine that is not known here passes, since its sender knows it from elsewhere; but not
        while a zone is evacuated, which may be that engine's.
        """
        engine = self.engines.engines.get(identifier)
        if engine is None:
            return self._check_unknown(identifier, now)
        for rule in self.rules:
            held = rule(engine, now)
            if held is not None:
                return held
        return None

    def _check_unknown(self, identifier: str, now: float) -> Held | None:
        if self.engines.has_left(identifier, now):
            return Held.LEAVING
        if self.engines.awaits_evacuations or self.engines.evacuated:
            return Held.EVACUATED
        return self.unknown_rule(identifier, now) if self.unknown_rule is not None else None

    def _leaving(self, engine: Engine, now: float) -> Held | None:
        return Held.LEAVING if self.engines.has_left(engine.identifier, now) else None

    def _evacuated(self, engine: Engine, _now: float) -> Held | None:
        return Held.EVACUATED if self.engines.is_evacuated(engine) else None
