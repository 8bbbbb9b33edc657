"""A leader whose calls the store rejects reads through replicas, and trainers do not wait."""

from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import curio
import pytest

from pondtiller.address import Address
from pondtiller.gateway.leader.leader_watches import LeaderWatches
from pondtiller.gateway.tests.system import System, run_system
from pondtiller.peers.replicas import ReplicaDirectory
from pondtiller.platform import names
from pondtiller.platform.mirror import MirrorStatus, changes_page, listing_page
from pondtiller.platform.object_client import (
    HistoryGoneError,
    StoreCallError,
    StoreChange,
    StoreChanges,
    StoreListing,
    StoreObject,
)
from pondtiller.rollouts.versions import OrderVersion, VersionSteward
from pondtiller.routes.engines import EngineDirectory, EngineEntry, EngineState
from pondtiller.routes.topology import Topology
from pondtiller.store import relayed_store
from pondtiller.store.relayed_store import RelayedStore
from pondtiller.store.store_watch import StoreHealth
from pondtiller.wire.steplog import MirrorPage, ReadMirror

MODELS = ("a", "b", "c")


class FakeStore:
    """Holds the versions that trainers name; on command rejects this machine, or hangs."""

    def __init__(self) -> None:
        self.at = 1
        self.versions = dict.fromkeys(MODELS, 1)
        self.is_refused = False
        self.hangs = False
        self.own_calls = 0
        self.history_is_gone = False

    def name(self, model: str, version: int) -> None:
        self.at += 1
        self.versions[model] = version

    def objects(self, kind: str) -> tuple[StoreObject, ...]:
        if kind != names.VERSIONS_NAMED:
            return ()
        specs = [{"model": model, "version": each} for model, each in self.versions.items()]
        return tuple(StoreObject(each["model"], self.at, each) for each in specs)

    def listing(self, kind: str) -> StoreListing:
        return StoreListing(self.objects(kind), self.at)

    async def changes(self, kind: str, at: int, wait: float) -> StoreChanges:
        async with curio.ignore_after(wait):
            while self.at == at:
                await curio.sleep(0.01)
        changed = self.objects(kind) if self.at > at else ()
        return StoreChanges(tuple(StoreChange(each, False) for each in changed), self.at)

    async def list_all(self, kind: str) -> StoreListing:
        await self._admit()
        return self.listing(kind)

    async def watch(self, kind: str, at: int, wait: float) -> StoreChanges:
        await self._admit()
        found = await self.changes(kind, at, wait)
        if self.is_refused:
            raise StoreCallError("reset")
        return found

    async def skip_idle_connections(self) -> None:
        return

    async def _admit(self) -> None:
        self.own_calls += 1
        if self.hangs:
            await curio.sleep(1000.0)
        if self.is_refused:
            raise StoreCallError("reset")

    async def pass_on(self, message: ReadMirror) -> MirrorPage | None:
        """Answer as a replica on another machine does."""
        if self.history_is_gone and message.at:
            return MirrorPage(status=MirrorStatus.HISTORY_GONE)
        if not message.at:
            return listing_page(self.listing(message.kind))
        wait = message.wait_milliseconds / 1000.0
        return changes_page(await self.changes(message.kind, message.at, wait))


async def nobody(_message: ReadMirror) -> MirrorPage | None:
    return None


def steward_of_three() -> VersionSteward:
    """Return a steward of six engines that have three trainers' first versions."""
    engines = EngineDirectory(Topology())
    entries = [
        EngineEntry(
            f"e{number}",
            service="llm",
            address=Address("e", number),
            zone="z",
            slots=4,
            state=EngineState.READY,
            models=dict.fromkeys(MODELS, 1),
        )
        for number in range(6)
    ]
    engines.replace_entries(entries, 0.0)
    steward = VersionSteward(engines, may_order_from=0.0)
    for entry in entries:
        steward.note_report(entry.engine, dict(entry.models), 0, False)
    return steward


def ordered_models(steward: VersionSteward) -> set[str]:
    """Return the models whose newest weights engines are ordered to load, one after the other."""
    found: set[str] = set()
    for _ in MODELS:
        steward.tick(1.0)
        for order in steward.pop_instructions():
            if isinstance(order, OrderVersion):
                found.add(order.model)
                models, taken = steward.known[order.engine]
                loaded = {**models, order.model: order.version}
                steward.note_report(order.engine, loaded, taken + 1, False)
    return found


def follow(
    act: Callable[[FakeStore, VersionSteward], Awaitable[None]], may_pass_on: bool = True
) -> tuple[FakeStore, VersionSteward]:
    """Watch a store as a leader does while `act` happens."""
    store, steward = FakeStore(), steward_of_three()

    async def main() -> None:
        ask = store.pass_on if may_pass_on else nobody
        reader = RelayedStore(store, ask, {}, lambda _kind, _reader: None)
        unused: Any = None
        replicas = ReplicaDirectory("g", unused, unused, unused)
        watches = LeaderWatches(unused, reader, StoreHealth(), replicas)
        task = await curio.spawn(watches.run, steward, curio.Event())
        await curio.sleep(0.1)
        await act(store, steward)
        await task.cancel()

    curio.run(main)
    return store, steward


async def name_while_rejected(store: FakeStore, _steward: VersionSteward) -> None:
    store.is_refused = True
    for model in MODELS:
        store.name(model, 2)
    await curio.sleep(0.6)


def test_no_trainer_waits_for_weights_while_the_store_rejects_the_leader() -> None:
    _, steward = follow(name_while_rejected)
    assert steward.newest == dict.fromkeys(MODELS, 2)
    assert ordered_models(steward) == set(MODELS)


def test_without_forwarded_calls_a_leader_learns_nothing() -> None:
    """Without replicas that forward calls, the trainers' next steps have no weights."""
    _, steward = follow(name_while_rejected, may_pass_on=False)
    assert steward.newest == dict.fromkeys(MODELS, 1)
    assert ordered_models(steward) == set()


def test_a_rejecting_store_is_called_rarely_and_again_once_it_serves(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(relayed_store, "DIRECT_RETRY_SECONDS", 0.3)
    calls: list[int] = []

    async def act(store: FakeStore, steward: VersionSteward) -> None:
        await name_while_rejected(store, steward)
        calls.append(store.own_calls)
        store.name("a", 3)
        await curio.sleep(0.25)
        calls.append(store.own_calls)
        store.is_refused = False
        await curio.sleep(0.35)
        store.name("a", 4)
        await curio.sleep(1.0)
        calls.append(store.own_calls)

    _, steward = follow(act)
    assert steward.newest["a"] == 4
    # Three kinds are watched; in 0.25 s each is requested at most once more.
    assert calls[1] - calls[0] <= 3
    assert calls[2] > calls[1]


def test_a_call_that_hangs_is_left_when_another_is_refused() -> None:
    async def act(store: FakeStore, _steward: VersionSteward) -> None:
        reader = RelayedStore(store, store.pass_on, {}, lambda _kind, _reader: None)
        store.hangs = True
        hung = await curio.spawn(reader.watch, names.VERSIONS_NAMED, store.at, 6.0)
        await curio.sleep(0.05)
        store.hangs, store.is_refused = False, True
        store.name("b", 2)
        await reader.list_all(names.RETIREMENTS)
        found = await curio.timeout_after(0.5, hung.join)
        assert "b" in {each.object.name for each in found.changes}

    follow(act)


def test_history_that_is_gone_and_older_listings_are_not_hidden() -> None:
    async def act(store: FakeStore, _steward: VersionSteward) -> None:
        store.is_refused, store.history_is_gone = True, True
        known = {names.VERSIONS_NAMED: 100}
        reader = RelayedStore(store, store.pass_on, known, lambda _kind, _reader: None)
        with pytest.raises(HistoryGoneError):
            await reader.watch(names.VERSIONS_NAMED, 1, 0.1)
        with pytest.raises(StoreCallError):
            await reader.list_all(names.VERSIONS_NAMED)

    follow(act)


def test_a_step_that_needs_new_weights_runs_while_the_store_rejects_the_leader(
    tmp_path: Path,
) -> None:
    async def refused(*_given: object) -> None:
        raise StoreCallError("reset")

    async def test(system: System) -> None:
        leader = await system.until_led()
        leader.store.watch = refused  # type: ignore[method-assign]
        leader.store.list_all = refused  # type: ignore[method-assign]
        for watch in (leader.watches.engines, leader.watches.configuration):
            # Calls in progress still succeed after their wait.
            watch._wait_seconds = 1.0
        await curio.sleep(1.0)
        system.store.put("versions", "m", {"model": "m", "version": 2})
        assert await system.submit("s1", oldest=2) == 202
        term = leader.duties.term
        await system.until(lambda: term.steward.newest.get("m") == 2)
        await system.until(lambda: all(each.orders for each in system.llm))
        for engine in system.llm:
            system.store.put("servers", engine.identifier, engine.entry())
        found = await system.read_all("s1", 4)
        assert all(each["versions"] == [2] for each in found)

    run_system(tmp_path, test)
