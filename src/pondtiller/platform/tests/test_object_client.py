"""Listings of the store that consist of several pages."""

from collections.abc import Callable

import curio

from pondtiller.address import to_address
from pondtiller.httpio.client import HttpClient
from pondtiller.httpio.messages import HttpResponse
from pondtiller.platform.object_client import ObjectClient, StoreListing
from pondtiller.standins.store import StandInStore


class StoreChangedBetweenPages(StandInStore):
    """A store that changes right after answering the first page of a listing."""

    def __init__(self, change: Callable[[StandInStore], None]) -> None:
        super().__init__()
        self._change = change

    def _read(self, kind: str, name: str, after: str) -> HttpResponse:
        answer = super()._read(kind, name, after)
        if not after:
            self._change(self)
        return answer


def listed(change: Callable[[StandInStore], None]) -> tuple[StoreListing, ObjectClient]:
    """Return a listing of three objects in two pages, with a change between them."""
    store = StoreChangedBetweenPages(change)
    client = ObjectClient(to_address(store.address), HttpClient())
    for name in "abc":
        store.put("kind", name, "old")

    async def main() -> StoreListing:
        serving = await curio.spawn(store.serve)
        listing = await client.list_all("kind")
        await serving.cancel()
        return listing

    return curio.run(main), client


def contents(listing: StoreListing) -> dict[str, object]:
    return {each.name: each.spec for each in listing.objects}


def test_a_change_between_two_pages_of_a_listing_is_not_lost() -> None:
    listing, _client = listed(lambda store: store.put("kind", "a", "new"))
    assert contents(listing) == {"a": "new", "b": "old", "c": "old"}


def test_an_object_removed_between_two_pages_of_a_listing_is_not_listed() -> None:
    listing, _client = listed(lambda store: store.remove("kind", "b"))
    assert contents(listing) == {"a": "old", "c": "old"}


def test_a_listing_without_changes_between_its_pages_takes_no_further_call() -> None:
    listing, client = listed(lambda _store: None)
    assert contents(listing) == {"a": "old", "b": "old", "c": "old"}
    assert client.calls == {"list": 2}
