"""Latest known incarnation of each engine, and which incarnations have ended. No I/O.

An engine may restart under its name; each incarnation has its own identifier. This is the view of
one gateway, lost at its restart. The engines themselves are kept by `engines.EngineDirectory`,
which decides from their entries which incarnation is later.
"""

REMEMBER_LEFT_SECONDS = 30.0
"""How long an ended incarnation is remembered, so that late instructions to use it are rejected."""


class EngineIncarnations:
    """Identifiers of incarnations by engine name; times are on the monotonic clock."""

    def __init__(self) -> None:
        self._latest: dict[str, str] = {}
        self._left_at: dict[str, float] = {}
        self._superseded: set[str] = set()

    def latest(self, name: str) -> str:
        """Return the latest known incarnation of an engine; its name if none is known."""
        return self._latest.get(name, name)

    def has_left(self, identifier: str) -> bool:
        """Return whether an incarnation is known to have ended recently."""
        return identifier in self._left_at

    def is_superseded(self, identifier: str) -> bool:
        """Return whether a later incarnation of the same engine is known."""
        return identifier in self._superseded

    def note_entry(self, name: str, identifier: str) -> None:
        """Record an incarnation's entry: it is the latest one and has not ended."""
        self._latest[name] = identifier
        self._left_at.pop(identifier, None)

    def note_left(self, identifier: str, now: float) -> None:
        """Record that an incarnation's entry was removed."""
        self._left_at[identifier] = now

    def note_superseded(self, identifier: str, now: float) -> None:
        """Record that the engine restarted, so this incarnation has ended."""
        self._left_at[identifier] = now
        self._superseded.add(identifier)

    def forget(self, name: str, identifier: str) -> None:
        """Forget the latest incarnation; that it has ended is remembered for a while."""
        if self._latest.get(name) == identifier:
            del self._latest[name]

    def drop_expired(self, now: float) -> None:
        """Remove ended incarnations that no late instruction can refer to any more."""
        for identifier, left_at in list(self._left_at.items()):
            if now > left_at + REMEMBER_LEFT_SECONDS:
                del self._left_at[identifier]
                self._superseded.discard(identifier)
