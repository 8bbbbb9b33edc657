"""Zones from which nothing answers: their engines are not tried first. No I/O.

Each attempt to connect to an engine that is cut off takes its whole limit, and one caller after
the other would pay it, an engine each. So engines of one zone that keep silent tell of the others.

Owns what was met in each zone; lost at a restart. Never forbids a zone: `engine_choice` puts it
last.
"""

from dataclasses import dataclass, field

SILENT_ENGINES = 2
"""Different engines of a zone that kept silent, with none heard between: one may have failed."""
SILENT_SECONDS = 0.8
"""How long a silent zone's engines come last; then one attempt tells whether it is back. A zone
that has healed is used again within a second."""


@dataclass
class _Silence:
    engines: set[str] = field(default_factory=set)
    until: float = 0.0


class SilentZones:
    """What one daemon knows of the zones that it sends to.

    Parameters
    ----------
    own_zone
        Never taken for silent: there is no nearer one to use in its stead.
    """

    def __init__(self, own_zone: str) -> None:
        self._own_zone = own_zone
        self._zones: dict[str, _Silence] = {}

    def is_silent(self, zone: str, now: float) -> bool:
        """Return whether engines of a zone are to be tried only where there are no others."""
        silence = self._zones.get(zone)
        return silence is not None and now < silence.until

    def note_silent(self, zone: str, engine: str, now: float) -> bool:
        """Take that an engine could not be connected to in time.

        Returns
        -------
        bool
            Whether its zone is now taken for silent, and was not before.
        """
        if zone == self._own_zone:
            return False
        silence = self._zones.setdefault(zone, _Silence())
        silence.engines.add(engine)
        if len(silence.engines) < SILENT_ENGINES:
            return False
        was_silent = silence.until > 0.0
        silence.until = now + SILENT_SECONDS
        return not was_silent

    def note_heard(self, zone: str) -> bool:
        """Take that something of a zone answered; return whether it was taken for silent."""
        silence = self._zones.pop(zone, None)
        return silence is not None and silence.until > 0.0
