"""Zones whose engines do not respond; their engines are tried last. No I/O.

A connection attempt to an unreachable engine takes its whole time limit, and without this module
every caller would pay it for every engine of the zone. Several unresponsive engines therefore
count for their whole zone.

Holds the observations per zone, lost at a restart. Never excludes a zone: `engine_choice` puts it
last.
"""

from dataclasses import dataclass, field

MIN_SILENT_ENGINES = 2
"""Distinct unresponsive engines of a zone, without an answer in between, that mark the zone; a
single engine may have failed by itself."""
SILENT_SECONDS = 0.8
"""How long a marked zone comes last; after that one attempt tests it. A zone that has recovered is
used again within a second."""


@dataclass
class _Silence:
    engines: set[str] = field(default_factory=set)
    until: float = 0.0


class SilentZones:
    """Unresponsive zones, as observed by one daemon.

    Parameters
    ----------
    own_zone
        Zone of this daemon; never marked, since there is no nearer one to use instead.
    """

    def __init__(self, own_zone: str) -> None:
        self._own_zone = own_zone
        self._zones: dict[str, _Silence] = {}

    def is_silent(self, zone: str, now: float) -> bool:
        """Return whether a zone's engines should be tried only if there are no others."""
        silence = self._zones.get(zone)
        return silence is not None and now < silence.until

    def note_silent(self, zone: str, engine: str, now: float) -> bool:
        """Record that a connection to an engine timed out.

        Returns
        -------
        bool
            Whether its zone became marked by this.
        """
        if zone == self._own_zone:
            return False
        silence = self._zones.setdefault(zone, _Silence())
        silence.engines.add(engine)
        if len(silence.engines) < MIN_SILENT_ENGINES:
            return False
        was_silent = silence.until > 0.0
        silence.until = now + SILENT_SECONDS
        return not was_silent

    def note_answer(self, zone: str) -> bool:
        """Record that something in a zone answered; return whether the zone was marked."""
        silence = self._zones.pop(zone, None)
        return silence is not None and silence.until > 0.0
