"""Odd objects that other writers left: the others are read, and the list is followed further."""

from collections.abc import Awaitable, Callable

import curio
import logbook
import pytest

from pondtiller.address import to_address
from pondtiller.httpio.client import HttpClient
from pondtiller.platform import names
from pondtiller.platform.json_values import MAX_DEPTH, read_json
from pondtiller.platform.mirror import MirroredKind, read_changes, read_listing
from pondtiller.platform.object_client import ObjectClient, StoreCallError, _page
from pondtiller.standins.store import StandInStore
from pondtiller.wire.steplog import MirrorPage


def nested(depth: int) -> str:
    return "[" * depth + "]" * depth


def nested_objects(depth: int) -> str:
    return '{"a":' * depth + "1" + "}" * depth


ODD_TEXTS = {
    "too_deep": nested(MAX_DEPTH + 1),
    "deep_for_a_writer": nested(960),
    "deep_for_a_reader": nested(5_000),
    "very_deep": nested(500_000),
    "deep_objects": nested_objects(100_000),
    "deep_within": '{"address":"127.0.0.1:1","x":[' + nested(3_000) + "]}",
    "deep_with_brackets_in_text": '{"x":"]]}}\\"[[","y":' + nested(3_000) + "}",
    "infinite": '{"x":1e400}',
    "named_infinity": '{"x":-Infinity}',
    "not_a_number": '{"x":NaN}',
    "beyond_64_bits": '{"x":18446744073709551616}',
    "beyond_a_float": '{"x":1' + "0" * 400 + "}",
    "beyond_the_parser": '{"x":-1' + "0" * 5_000 + "}",
    "half_a_surrogate": '{"x":"\\ud800"}',
}
SOUND_TEXTS = {
    "deepest": nested(MAX_DEPTH - 2),
    "largest": '{"x":9223372036854775807,"y":-1.5e300}',
    "brackets_in_text": '{"x":"[[[{{{\\\\","y":"\\"]"}',
    "surrogates": '{"x":"\\ud83d\\ude00"}',
    "long": '"' + "x" * 1_000_000 + '"',
}


def run(test: Callable[[StandInStore, ObjectClient], Awaitable[None]]) -> None:
    async def main() -> None:
        store = StandInStore()
        client = ObjectClient(to_address(store.address), HttpClient())
        serving = await curio.spawn(store.serve)
        try:
            await test(store, client)
        finally:
            await serving.cancel()

    curio.run(main)


@pytest.mark.parametrize("kind", [names.ENGINES, names.CONFIGURATIONS])
@pytest.mark.parametrize("text", ODD_TEXTS.values(), ids=ODD_TEXTS)
def test_one_odd_object_takes_no_other_with_it(text: str, kind: str) -> None:
    """Guards against one odd entry after which no list, watch or read is understood."""

    async def test(store: StandInStore, client: ObjectClient) -> None:
        store.put(kind, "a", {"n": 1})
        before = store.revision
        store.put_text(kind, "odd", text)
        store.put(kind, "z", {"n": 2})
        wanted = [("a", {"n": 1}), ("odd", None), ("z", {"n": 2})]
        listing = await client.list_all(kind)
        assert [(each.name, each.spec) for each in listing.objects] == wanted
        found = await client.watch(kind, before, 0.0)
        assert [(each.object.name, each.object.spec) for each in found.changes] == wanted[1:]
        assert found.at == store.revision
        read = await client.read(kind, "odd")
        assert read is not None and read.spec is None
        assert client.unread == 3

    with logbook.TestHandler(bubble=True) as handler:
        run(test)
    lines = [each.message for each in handler.records if "object_unreadable" in each.message]
    assert len(lines) == 1
    assert f"kind={kind} name=odd reason=" in lines[0]


@pytest.mark.parametrize("text", SOUND_TEXTS.values(), ids=SOUND_TEXTS)
def test_a_large_but_sound_object_is_read_beside_an_odd_one(text: str) -> None:
    """Guards against limits that leave out sound contents."""

    async def test(store: StandInStore, client: ObjectClient) -> None:
        store.put_text("kind", "sound", text)
        (alone,) = (await client.list_all("kind")).objects
        store.put_text("kind", "odd", nested(5_000))
        listing = await client.list_all("kind")
        assert alone.spec is not None
        assert [each.spec for each in listing.objects] == [None, alone.spec]

    run(test)


@pytest.mark.parametrize("text", ODD_TEXTS.values(), ids=ODD_TEXTS)
def test_a_mirror_passes_on_what_stands_beside_an_odd_object(text: str) -> None:
    """Guards against a replica that can't write its page."""

    async def test(store: StandInStore, client: ObjectClient) -> None:
        store.put_text("kind", "odd", text)
        store.put("kind", "z", {"n": 2})
        listing, mirror = await client.list_all("kind"), MirroredKind()
        mirror.replace(listing.objects, listing.at)
        assert read_listing(sent(mirror.listing())).objects == listing.objects
        store.put_text("kind", "odd", text)
        found = await client.watch("kind", listing.at, 0.0)
        mirror.change(found.changes, found.at)
        assert read_changes(sent(mirror.since(listing.at))).changes == found.changes

    run(test)


def sent(page: MirrorPage) -> MirrorPage:
    return MirrorPage().parse(bytes(page))


@pytest.mark.parametrize("part", ["name", "revision", "status"])
@pytest.mark.parametrize(
    "text",
    ["null", "true", "[]", "1e400", "NaN", "-1", "1" + "0" * 400, '"\\ud800"', nested(3_000)],
)
def test_odd_metadata_takes_no_other_object_with_it(part: str, text: str) -> None:
    """Guards against a name or revision that ends the reader, or spoils a mirror's page."""

    async def test(store: StandInStore, client: ObjectClient) -> None:
        store.put("kind", "a", {"n": 1})
        store.put_text("kind", "odd", "0")
        odd = store.kinds["kind"]["odd"]
        odd["spec"], value = {"n": 2}, odd["spec"]
        (odd if part == "status" else odd["metadata"])[part] = value
        store.texts[0] = text.encode()
        store.put("kind", "z", {"n": 3})
        listing = await client.list_all("kind")
        found = {each.name: each.spec for each in listing.objects}
        assert (found["a"], found["z"]) == ({"n": 1}, {"n": 3})
        mirror = MirroredKind()
        mirror.replace(listing.objects, listing.at)
        assert len(read_listing(sent(mirror.listing())).objects) == len(found)

    run(test)


@pytest.mark.parametrize(
    "at", ["1e400", "NaN", "-1", "1" + "0" * 400, "null", "18446744073709551616"]
)
def test_an_odd_revision_of_the_store_is_a_failed_call(at: str) -> None:
    """Guards against a reader that ends."""
    with pytest.raises(StoreCallError):
        _page(_read('{"requests":[],"at":' + at + "}"), "requests")


def _read(text: str) -> object:
    return read_json(text.encode())


@pytest.mark.parametrize("text", ["", "[", "{]", nested(5_000)[:-1], '"[[[', '{"a":"\\'])
def test_an_answer_that_is_no_json_is_refused(text: str) -> None:
    """Guards against an error of another type."""
    with pytest.raises(ValueError):
        _read(text)
