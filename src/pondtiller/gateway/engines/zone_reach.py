"""Reports which zones respond, from the outcomes of this gateway's attempts.

`SilentZones` keeps the state for the choice of engines. Logs when a zone stops responding and when
it responds again.
"""

from pondtiller.gateway.engines.engine_pool import SilentEngineError
from pondtiller.httpio.client_errors import NotSentError
from pondtiller.process import clock, logs
from pondtiller.routes.engines import Engine
from pondtiller.routes.silent_zones import SilentZones

SILENT_ANSWER_SECONDS = 0.5
"""An engine that gave no answer on a kept connection for as long as a connection attempt may take,
until the attempt was cancelled or broke off: its zone may be unreachable."""


class ZoneReach:
    """Evaluates the outcomes of attempts."""

    def __init__(self, silent_zones: SilentZones) -> None:
        self._silent_zones = silent_zones

    def note_unreachable(self, engine: Engine, error: NotSentError) -> None:
        """Record that a connection to an engine failed: others of its zone may be unreachable."""
        if isinstance(error, SilentEngineError):
            self._note_silent(engine)

    def note_unanswered(self, engine: Engine, seconds: float) -> None:
        """Record that an attempt ended without an answer of the engine, which received it.

        Parameters
        ----------
        seconds
            Time since its connection was requested, without pauses of this process.
        """
        if seconds >= SILENT_ANSWER_SECONDS:
            self._note_silent(engine)

    def note_answer(self, engine: Engine) -> None:
        """Record that an engine answered: its zone can be reached."""
        if self._silent_zones.note_answer(engine.entry.zone):
            logs.decision("zone_heard", zone=engine.entry.zone, engine=engine.identifier)

    def _note_silent(self, engine: Engine) -> None:
        zone, now = engine.entry.zone, clock.monotonic()
        if self._silent_zones.note_silent(zone, engine.identifier, now):
            logs.decision("zone_silent", zone=zone, engine=engine.identifier)
