"""Watches: resumed after a failure, listed again after lost history, robust against silence."""

import time
from collections.abc import Awaitable, Callable

import curio
import pytest

from pondtiller.platform.object_client import (
    HistoryGoneError,
    StoreCallError,
    StoreChange,
    StoreChanges,
    StoreListing,
    StoreObject,
)
from pondtiller.process import clock
from pondtiller.store import store_watch
from pondtiller.store.store_watch import StoreHealth, Watch

LOOKS = 30
"""Checks of a result, 0.01 s apart: 0.3 s of running time, however often the process is paused."""


class ScriptedStore:
    """Answers each watch with the next item of its script."""

    def __init__(self, script: list[object]) -> None:
        self.script = script
        self.lists = 0
        self.asked: list[int] = []

    async def list_all(self, _kind: str) -> StoreListing:
        self.lists += 1
        return StoreListing((StoreObject(f"listed{self.lists}", 1, None),), self.lists * 100)

    async def watch(self, _kind: str, at: int, _seconds: float) -> StoreChanges:
        self.asked.append(at)
        step = self.script.pop(0) if self.script else "hang"
        if step == "hang":
            await curio.sleep(1000.0)
        if isinstance(step, Exception):
            raise step
        name = str(step)
        changes = (StoreChange(StoreObject(name, at + 1, None), False),) if name else ()
        return StoreChanges(changes, at + 1)


class Recorder:
    """Records what a watch reports."""

    def __init__(self) -> None:
        self.told: list[str] = []

    async def replace(self, found: tuple[StoreObject, ...]) -> None:
        self.told += [each.name for each in found]

    async def change(self, change: StoreChange) -> None:
        self.told.append(change.object.name)


def play(
    script: list[object],
    act: Callable[[StoreHealth], Awaitable[None]] | None = None,
    rest: Callable[[], float] | None = None,
):
    store, recorder, health = ScriptedStore(script), Recorder(), StoreHealth()

    async def main() -> None:
        watch = Watch(store, health, "kind", recorder.replace, recorder.change, rest)
        task = await curio.spawn(watch.run)
        await curio.sleep(0.05)
        if act is not None:
            await act(health)
        await curio.sleep(0.6)
        await task.cancel()

    curio.run(main)
    return store, recorder


def test_changes_are_followed_from_where_the_last_answer_ended() -> None:
    store, recorder = play(["a", "", "b"])
    assert recorder.told == ["listed1", "a", "b"]
    assert store.asked == [100, 101, 102, 103]


def test_lost_history_is_listed_again() -> None:
    store, recorder = play(["a", HistoryGoneError(), "b"])
    assert recorder.told == ["listed1", "a", "listed2", "b"]
    assert store.lists == 2


def test_a_failed_watch_resumes_at_the_same_revision() -> None:
    store, recorder = play([StoreCallError("down"), "a"])
    assert recorder.told == ["listed1", "a"]
    assert store.asked[:2] == [100, 100]


def test_a_hanging_watch_calls_again_when_the_store_recovers() -> None:
    async def regained(health: StoreHealth) -> None:
        health.note_failure("other", StoreCallError("down"))
        await health.note_answer("other", 7)

    store, recorder = play(["hang", "a"], regained)
    assert recorder.told == ["listed1", "a"]
    assert store.asked[:2] == [100, 100]


def test_a_hanging_watch_calls_again_when_another_one_learns_of_lost_history() -> None:
    """A call sent while the store lost its history got no answer for 6 s."""

    async def main() -> list[int]:
        health = StoreHealth()
        hanging, other = ScriptedStore(["hang", "a"]), ScriptedStore(["", HistoryGoneError()])
        recorder = Recorder()
        tasks = []
        for store in (hanging, other):
            watch = Watch(store, health, "kind", recorder.replace, recorder.change)
            tasks.append(await curio.spawn(watch.run))
        # The hanging call ends in time only because of what the other watch learned.
        looks = 0
        while "a" not in recorder.told and looks < LOOKS:
            looks += 1
            await curio.sleep(0.01)
        for task in tasks:
            await task.cancel()
        assert "a" in recorder.told
        return hanging.asked

    assert curio.run(main)[:2] == [100, 100]


def test_a_store_that_refuses_at_once_is_not_asked_without_a_pause() -> None:
    """Guards against a daemon that spent its processor on a store resetting each connection."""
    store, _ = play([StoreCallError("reset")] * 1000)
    assert len(store.asked) < 6


class VirtualTime:
    """`curio` with sleeps that only advance its own time, up to an end."""

    def __init__(self, end: float) -> None:
        self.seconds = 0.0
        self.end = end

    def __getattr__(self, name: str) -> object:
        return getattr(curio, name)

    async def sleep(self, seconds: float) -> None:
        self.seconds += seconds
        await curio.sleep(0 if self.seconds < self.end else 1000.0)


def test_a_watch_that_rests_after_a_change_gathers_the_next_ones(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a call of each gateway for each change."""
    own = VirtualTime(0.65)
    monkeypatch.setattr(store_watch, "curio", own)
    store, recorder = ScriptedStore(["a", "b"] + ["c"] * 100), Recorder()

    async def main() -> None:
        watch = Watch(store, StoreHealth(), "kind", recorder.replace, recorder.change, lambda: 0.25)
        task = await curio.spawn(watch.run)
        while own.seconds < own.end:
            await curio.sleep(0)
        await task.cancel()

    curio.run(main)
    assert recorder.told[:3] == ["listed1", "a", "b"]
    assert len(store.asked) <= 4


def test_a_watch_that_rests_asks_no_more_often_after_a_pause() -> None:
    async def pause(_health: StoreHealth) -> None:
        time.sleep(0.5)

    store, recorder = play(["a", "b"] + ["c"] * 100, pause, rest=lambda: 0.25)
    assert recorder.told[:2] == ["listed1", "a"]
    assert len(store.asked) <= 6


def test_a_pausing_watch_resumes_once_another_one_is_answered() -> None:
    """The watches of two daemons fail in one process; the pause of the second is cut short."""

    async def main() -> float:
        health = StoreHealth()
        store, recorder = ScriptedStore([StoreCallError("status 429")] * 4 + ["late"]), Recorder()
        watch = Watch(
            store,
            health,
            "servers",
            recorder.replace,
            recorder.change,
            wait_seconds=0.01,
            longest_retry=lambda: 30.0,
        )
        task = await curio.spawn(watch.run, daemon=True)
        while len(store.asked) < 3:
            await curio.sleep(0.01)
        watch._retry_seconds = 30.0
        while len(store.asked) < 4:
            await curio.sleep(0.01)
        await curio.sleep(0.05)
        began = clock.monotonic()
        await health.note_answer("config", 7)
        while "late" not in recorder.told:
            await curio.sleep(0.01)
        await task.cancel()
        return clock.monotonic() - began

    assert curio.run(curio.timeout_after, 10.0, main) < 0.5
