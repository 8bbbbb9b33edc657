"""A mirror of one kind of the store's objects, and its pages on the wire. No I/O.

A mirror follows the store under the store's own revisions, so that a reader may switch between
mirrors, or to the store itself, with the revision that it has.
"""

import json
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum
from typing import NamedTuple

from pondtiller.platform.object_client import (
    HistoryGoneError,
    StoreChange,
    StoreChanges,
    StoreListing,
    StoreObject,
)
from pondtiller.wire.steplog import MirrorPage

MAX_CHANGES = 512
"""Changes that are kept for later readers; a reader from before them lists the kind again."""


class MirrorStatus(IntEnum):
    """How a mirror answers; the numbers are part of the protocol.

    UNAVAILABLE means that it may be behind the store, NOT_MIRRORED that too few gateways use it for
    it to follow the store.
    """

    OK = 1
    UNAVAILABLE = 2
    HISTORY_GONE = 3
    NOT_MIRRORED = 4


class MirroredChange(NamedTuple):
    """A change, with the store's revision up to which the answer that contained it was complete."""

    at: int
    change: StoreChange


@dataclass
class MirroredKind:
    """A mirror's copy of one kind.

    Attributes
    ----------
    at
        Revision up to which everything is known; 0 before the first listing.
    oldest
        Revision from which on all changes are kept.
    """

    at: int = 0
    oldest: int = 0
    objects: dict[str, StoreObject] = field(default_factory=dict)
    changes: deque[MirroredChange] = field(default_factory=deque)

    def replace(self, objects: Iterable[StoreObject], at: int) -> None:
        """Apply a whole listing; the individual changes before it are unknown."""
        self.objects = {each.name: each for each in objects}
        self.changes.clear()
        self.at = self.oldest = at

    def change(self, changes: Iterable[StoreChange], at: int) -> None:
        """Apply all changes up to a revision."""
        for each in changes:
            if each.is_gone:
                self.objects.pop(each.object.name, None)
            else:
                self.objects[each.object.name] = each.object
            self.changes.append(MirroredChange(at, each))
        while len(self.changes) > MAX_CHANGES:
            self.oldest = self.changes.popleft().at
        self.at = max(self.at, at)

    def listing(self) -> MirrorPage:
        """Return all objects."""
        return _page(self.at, [StoreChange(each, False) for each in self.objects.values()])

    def since(self, at: int) -> MirrorPage:
        """Return the changes after a revision.

        A reader that switched to this mirror may already have a part of an answer, which is left
        out so that no object returns to an older state.
        """
        if at < self.oldest:
            return MirrorPage(status=MirrorStatus.HISTORY_GONE)
        later = [
            each.change
            for each in self.changes
            if each.at > at and (each.change.is_gone or each.change.object.revision > at)
        ]
        return _page(max(self.at, at), later)


def _page(at: int, changes: list[StoreChange]) -> MirrorPage:
    page = MirrorPage(status=MirrorStatus.OK, at=at)
    for each in changes:
        page.names.append(each.object.name)
        page.revisions.append(each.object.revision)
        page.specs.append(json.dumps(each.object.spec).encode())
        page.gone.append(each.is_gone)
    return page


def listing_page(listing: StoreListing) -> MirrorPage:
    """Return the page of a listing from the store itself."""
    page = _page(listing.at, [StoreChange(each, False) for each in listing.objects])
    set_age(page, listing.age_seconds)
    return page


def changes_page(changes: StoreChanges) -> MirrorPage:
    """Return the page of changes from the store itself."""
    page = _page(changes.at, list(changes.changes))
    set_age(page, changes.age_seconds)
    return page


def set_age(page: MirrorPage, seconds: float) -> None:
    """Set the age of a page's contents."""
    page.age_milliseconds = int(seconds * 1000)


def age_seconds(page: MirrorPage) -> float:
    """Return the age of a page's contents when the replica answered."""
    return page.age_milliseconds / 1000.0


def read_listing(page: MirrorPage) -> StoreListing:
    """Parse a page as a listing; raises `ValueError` if it is malformed."""
    objects = tuple(each.object for each in _changes(page))
    return StoreListing(objects, page.at, age_seconds(page))


def read_changes(page: MirrorPage) -> StoreChanges:
    """Parse a page as changes; raises `ValueError` if it is malformed.

    Raises `HistoryGoneError` if the mirror does not keep all requested changes.
    """
    if page.status == MirrorStatus.HISTORY_GONE:
        raise HistoryGoneError
    return StoreChanges(tuple(_changes(page)), page.at, age_seconds(page))


def _changes(page: MirrorPage) -> Iterable[StoreChange]:
    for name, revision, spec, is_gone in zip(
        page.names, page.revisions, page.specs, page.gone, strict=True
    ):
        yield StoreChange(StoreObject(name, revision, json.loads(spec)), is_gone)
