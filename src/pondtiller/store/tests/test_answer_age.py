"""The age of known state counts from the store's answer, however late a paused process reads it."""

from typing import Any

import curio
import pytest

from pondtiller.address import Address
from pondtiller.httpio.messages import HttpResponse, json_response
from pondtiller.platform import names
from pondtiller.platform.mirror import MirrorStatus
from pondtiller.platform.object_client import ObjectClient, StoreChanges, StoreListing
from pondtiller.process import clock
from pondtiller.store import store_watch
from pondtiller.store.mirror import WAIT_SECONDS, StoreMirror
from pondtiller.wire.steplog import ReadMirror

PAUSE_SECONDS = 5.0


class PausedClient:
    """Answers at once; the process is paused before it reads the answer."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self._monkeypatch = monkeypatch

    async def request(self, *_given: object) -> HttpResponse:
        now = clock.monotonic() + PAUSE_SECONDS
        self._monkeypatch.setattr(clock, "monotonic", lambda: now)
        return json_response(200, {"events": [], "requests": [], "at": 7})


def test_an_answer_unread_during_a_pause_is_as_old_as_the_pause(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(clock, "monotonic", lambda: 100.0)
    client: Any = PausedClient(monkeypatch)
    store = ObjectClient(Address("127.0.0.1", 1), client)
    found = curio.run(store.watch, "config", 5, 0.8)
    assert found.age_seconds == pytest.approx(PAUSE_SECONDS - 0.8)
    listing = curio.run(store.list_all, "config")
    assert listing.age_seconds == pytest.approx(PAUSE_SECONDS)


class StoreReadLate:
    """A store whose answers are read late from the first call for changes on."""

    async def list_all(self, _kind: str) -> StoreListing:
        return StoreListing((), 5)

    async def watch(self, _kind: str, at: int, wait_seconds: float) -> StoreChanges:
        await curio.sleep(wait_seconds)
        return StoreChanges((), at, PAUSE_SECONDS)


def test_a_mirror_does_not_report_late_data_as_fresh(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(store_watch, "MIN_FIRST_WATCH_SECONDS", WAIT_SECONDS)

    async def main() -> None:
        mirror = StoreMirror(StoreReadLate(), lambda: 10.0)
        task = await curio.spawn(mirror.run)
        listing = ReadMirror(kind=names.CONFIGURATIONS)
        await curio.sleep(0.5)
        page = await mirror.answer(listing)
        assert page.status == MirrorStatus.OK
        assert 400 < page.age_milliseconds < 1000
        await curio.sleep(1.5)
        assert (await mirror.answer(listing)).status == MirrorStatus.UNAVAILABLE
        await task.cancel()

    curio.run(main)
