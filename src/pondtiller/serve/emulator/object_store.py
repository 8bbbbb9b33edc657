"""The platform's object service: objects with versions, compare-and-swap, list, watch.

Owns the objects and their latest changes, in memory. Outages, lost answers and old reads are made
by its callers: `emulator.platform_server` over HTTP, `simulation.platform` on the virtual clock.
"""

from dataclasses import dataclass, field
from enum import Enum

KEPT_CHANGES = 1000
"""Changes that a watch may still ask for. Modelled: an older revision is expired."""


@dataclass(frozen=True, slots=True)
class StoredBody:
    """One object: its revision, body, and time of its last write in seconds."""

    name: str
    revision: int
    body: bytes
    written_at: float


class PutStatus(Enum):
    """How a write ended."""

    WRITTEN = "written"
    CONFLICT = "conflict"


@dataclass(frozen=True, slots=True)
class PutResult:
    """Outcome of a write with the object's revision after it."""

    status: PutStatus
    revision: int


@dataclass(frozen=True, slots=True)
class Listing:
    """All objects with the service-wide revision at which they were read."""

    objects: tuple[StoredBody, ...]
    revision: int


@dataclass(slots=True)
class ObjectStore:
    """Objects under one service-wide revision counter."""

    revision: int = 0
    objects: dict[str, StoredBody] = field(default_factory=dict)
    _changes: list[StoredBody] = field(default_factory=list)
    _oldest_change: int = 0

    def put(self, name: str, expected: int | None, body: bytes, now: float) -> PutResult:
        """Write where the object has the `expected` revision; 0 creates, None overwrites."""
        known = self.objects.get(name)
        revision = known.revision if known is not None else 0
        if expected is not None and expected != revision:
            return PutResult(PutStatus.CONFLICT, revision)
        self.revision += 1
        written = StoredBody(name, self.revision, body, now)
        self.objects[name] = written
        self._changes.append(written)
        if len(self._changes) > KEPT_CHANGES:
            self._oldest_change = self._changes.pop(0).revision
        return PutResult(PutStatus.WRITTEN, self.revision)

    def get(self, name: str) -> StoredBody | None:
        """Return one object, or None where there is none."""
        return self.objects.get(name)

    def list_all(self) -> Listing:
        """Return all objects."""
        return Listing(tuple(self.objects.values()), self.revision)

    def changes_since(self, revision: int) -> Listing | None:
        """Return the latest change of each object after `revision`; None where that expired."""
        if revision < self._oldest_change or revision > self.revision:
            return None
        latest = {change.name: change for change in self._changes if change.revision > revision}
        return Listing(tuple(latest.values()), self.revision)
