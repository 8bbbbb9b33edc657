"""A mirror returns the store's contents under its revisions, and never an older state."""

from pondtiller.platform.mirror import (
    MAX_CHANGES,
    MirroredKind,
    MirrorStatus,
    read_changes,
    read_listing,
)
from pondtiller.platform.object_client import StoreChange, StoreObject
from pondtiller.wire.steplog import MirrorPage


def put(name: str, revision: int, spec: object = None) -> StoreChange:
    return StoreChange(StoreObject(name, revision, spec), False)


def gone(name: str, revision: int) -> StoreChange:
    return StoreChange(StoreObject(name, revision, None), True)


def told(page: MirrorPage) -> list[tuple[str, int, bool]]:
    page = MirrorPage().parse(bytes(page))
    return [
        (each.object.name, each.object.revision, each.is_gone)
        for each in read_changes(page).changes
    ]


def test_a_listing_and_the_changes_after_it_make_the_same_objects() -> None:
    kind = MirroredKind()
    kind.replace([StoreObject("a", 3, {"x": [1]}), StoreObject("b", 4, None)], 10)
    listing = read_listing(MirrorPage().parse(bytes(kind.listing())))
    assert (listing.objects, listing.at) == (tuple(kind.objects.values()), 10)
    kind.change([put("c", 11), gone("a", 3)], 12)
    assert told(kind.since(10)) == [("c", 11, False), ("a", 3, True)]
    assert kind.since(10).at == 12
    assert set(kind.objects) == {"b", "c"}


def test_a_newer_reader_gets_nothing_older() -> None:
    kind = MirroredKind()
    kind.replace([], 10)
    kind.change([put("a", 11), put("a", 14), gone("b", 9)], 15)
    assert told(kind.since(12)) == [("a", 14, False), ("b", 9, True)]
    assert told(kind.since(15)) == []
    ahead = kind.since(40)
    assert (told(ahead), ahead.at) == ([], 40)


def test_a_reader_from_before_the_kept_changes_must_list_again() -> None:
    kind = MirroredKind()
    kind.replace([], 10)
    assert kind.since(9).status == MirrorStatus.HISTORY_GONE
    for number in range(MAX_CHANGES + 5):
        kind.change([put(f"e{number}", 11 + number)], 11 + number)
    assert kind.since(12).status == MirrorStatus.HISTORY_GONE
    assert len(told(kind.since(kind.oldest))) == MAX_CHANGES
    assert len(read_listing(kind.listing()).objects) == MAX_CHANGES + 5
