"""Which start of each engine is known last, and which starts have ended. No I/O.

An engine may start again under its name; each start has an identifier of its own. Owns what one
gateway knows of that, lost at a restart. Does not keep the engines: `engines.EngineDirectory` does,
and decides from entries which start is the later one.
"""

REMEMBER_LEFT_SECONDS = 30.0
"""How long an engine's end is known, so that a late order to run something there is refused."""


class EngineStarts:
    """Identifiers of starts, by the engines' names; times are of the steady clock."""

    def __init__(self) -> None:
        self._latest: dict[str, str] = {}
        self._left_at: dict[str, float] = {}
        self._superseded: set[str] = set()

    def latest(self, name: str) -> str:
        """Return the start of an engine that is known last; its name where none is."""
        return self._latest.get(name, name)

    def has_left(self, identifier: str) -> bool:
        """Return whether a start is known to have ended within the last seconds."""
        return identifier in self._left_at

    def is_superseded(self, identifier: str) -> bool:
        """Return whether a later start of the same engine is known."""
        return identifier in self._superseded

    def note_entry(self, name: str, identifier: str) -> None:
        """Take an entry of a start: it is the latest one, and has not ended."""
        self._latest[name] = identifier
        self._left_at.pop(identifier, None)

    def note_left(self, identifier: str, now: float) -> None:
        """Take that a start's entry has gone."""
        self._left_at[identifier] = now

    def note_superseded(self, identifier: str, now: float) -> None:
        """Take that the engine has started again: this start has ended."""
        self._left_at[identifier] = now
        self._superseded.add(identifier)

    def forget(self, name: str, identifier: str) -> None:
        """Take that a start is kept no longer; that it has ended stays known for a while."""
        if self._latest.get(name) == identifier:
            del self._latest[name]

    def keep_house(self, now: float) -> None:
        """Drop ends that no late order can concern any more."""
        for identifier, left_at in list(self._left_at.items()):
            if now > left_at + REMEMBER_LEFT_SECONDS:
                del self._left_at[identifier]
                self._superseded.discard(identifier)
