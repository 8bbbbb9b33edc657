"""A mirror answers only for kinds that it follows successfully."""

import curio
import pytest

from pondtiller.platform import names
from pondtiller.platform.mirror import MirrorStatus
from pondtiller.platform.object_client import StoreCallError, StoreChanges, StoreListing
from pondtiller.store.mirror import FRESH_SECONDS, FollowTimes, StoreMirror
from pondtiller.wire.steplog import ReadMirror


class Store:
    """A store that stops answering calls for one kind once it was listed."""

    def __init__(self, hanging: str) -> None:
        self.hanging = hanging

    async def list_all(self, _kind: str) -> StoreListing:
        return StoreListing((), 5)

    async def watch(self, kind: str, at: int, wait_seconds: float) -> StoreChanges:
        await curio.sleep(1000.0 if kind == self.hanging else wait_seconds)
        return StoreChanges((), at)


@pytest.mark.parametrize("hanging", ["", names.CONFIGURATIONS, names.ENGINES])
def test_one_stale_required_kind_stops_all_answers_of_the_mirror(hanging: str) -> None:
    """A configuration was 5 s late while the engines' calls were answered."""

    async def main() -> None:
        mirror = StoreMirror(Store(hanging), lambda: 10.0)
        task = await curio.spawn(mirror.run)
        await curio.sleep(0.5)
        listing = ReadMirror(kind=names.CONFIGURATIONS)
        assert (await mirror.answer(listing)).status == MirrorStatus.OK
        await curio.sleep(FRESH_SECONDS + 0.3)
        wanted = MirrorStatus.UNAVAILABLE if hanging else MirrorStatus.OK
        assert (await mirror.answer(listing)).status == wanted
        await task.cancel()

    curio.run(main)


@pytest.mark.parametrize("hanging", [names.EVACUATIONS, names.ENGINES])
def test_an_additional_kind_is_checked_alone(hanging: str) -> None:
    """Its calls wait longer, so it may be older than the engines, and must not block them."""
    times = FollowTimes(wait_seconds=1.7, fresh_seconds=2.0)

    async def main() -> None:
        mirror = StoreMirror(Store(hanging), lambda: 10.0, {names.EVACUATIONS: times})
        task = await curio.spawn(mirror.run)
        await curio.sleep(0.5)
        for kind in (names.EVACUATIONS, names.ENGINES):
            assert (await mirror.answer(ReadMirror(kind=kind))).status == MirrorStatus.OK
        await curio.sleep(1.9)
        for kind in (names.EVACUATIONS, names.ENGINES):
            wanted = MirrorStatus.UNAVAILABLE if kind == hanging else MirrorStatus.OK
            assert (await mirror.answer(ReadMirror(kind=kind))).status == wanted
        await task.cancel()

    curio.run(main)


def test_a_kind_that_is_not_followed_is_not_answered() -> None:
    async def main() -> None:
        mirror = StoreMirror(Store(""), lambda: 10.0)
        task = await curio.spawn(mirror.run)
        await curio.sleep(0.5)
        answer = await mirror.answer(ReadMirror(kind=names.EVACUATIONS))
        assert answer.status == MirrorStatus.UNAVAILABLE
        await task.cancel()

    curio.run(main)


def test_a_failed_store_is_asked_once_for_all_relayed_calls() -> None:
    asked: list[str] = []

    class Refusing:
        async def list_all(self, _kind: str) -> StoreListing:
            raise AssertionError

        async def watch(self, kind: str, _at: int, _wait_seconds: float) -> StoreChanges:
            asked.append(kind)
            raise StoreCallError("status 503")

    async def main() -> None:
        mirror = StoreMirror(Refusing(), lambda: 0.0)
        for _gateway in range(5):
            page = await mirror.answer(ReadMirror("config", 5, 0, passes_on=True))
            assert page.status == MirrorStatus.UNAVAILABLE

    curio.run(main)
    assert asked == ["config"]
