"""Tells which zones this gateway can reach, by what its attempts met there.

Keeps no state of its own: `SilentZones` does, for the choice of engines. Says in the log when a
zone falls silent and when it is heard again.
"""

from pondtiller.gateway.engines.engine_pool import SilentEngineError
from pondtiller.httpio.client import NotSentError
from pondtiller.process import clock, logs
from pondtiller.routes.engines import Engine
from pondtiller.routes.silent_zones import SilentZones

SILENT_ANSWER_SECONDS = 0.5
"""An engine that was left, or broke off, without a word for as long as a connection may take, on
one that was kept: its zone may be cut off."""


class ZoneReach:
    """Takes what attempts met."""

    def __init__(self, silent_zones: SilentZones) -> None:
        self._silent_zones = silent_zones

    def note_unreachable(self, engine: Engine, error: NotSentError) -> None:
        """Take that an engine could not be connected to: others of its zone may be cut off too."""
        if isinstance(error, SilentEngineError):
            self._note_silent(engine)

    def note_unanswered(self, engine: Engine, seconds: float) -> None:
        """Take that an attempt ended without a word of the engine, which got it.

        Parameters
        ----------
        seconds
            Since its connection was asked for, less those in which this process stood still.
        """
        if seconds >= SILENT_ANSWER_SECONDS:
            self._note_silent(engine)

    def note_heard(self, engine: Engine) -> None:
        """Take that an engine answered: its zone can be reached."""
        if self._silent_zones.note_answer(engine.entry.zone):
            logs.decision("zone_heard", zone=engine.entry.zone, engine=engine.identifier)

    def _note_silent(self, engine: Engine) -> None:
        zone, now = engine.entry.zone, clock.monotonic()
        if self._silent_zones.note_silent(zone, engine.identifier, now):
            logs.decision("zone_silent", zone=zone, engine=engine.identifier)
