"""Watches on the platform's store: what every daemon follows, and what a leader follows."""

import random
from collections.abc import Awaitable, Callable
from typing import Any

import curio
from result import Err

from pondtiller.core.entities import Address
from pondtiller.daemon import clock, logs
from pondtiller.daemon.race import run_until
from pondtiller.gateway.front import Front
from pondtiller.gateway.leadership import FirstGroupSource
from pondtiller.gateway.replicas import ReplicaDirectory
from pondtiller.platform import configuration, engine_format, names, objects
from pondtiller.platform.object_client import (
    HistoryGoneError,
    ObjectClient,
    PutOutcome,
    StoreCallError,
    StoreChange,
    StoreChanges,
    StoreObject,
)
from pondtiller.rollouts.versions import VersionSteward
from pondtiller.routes.engines import EngineDirectory, EngineEntry
from pondtiller.steplog.group_policy import first_members
from pondtiller.wire.steplog import Group, GroupMember

WATCH_SECONDS = 6.0
SHORTEST_FIRST_WATCH_SECONDS = 1.0
RETRY_SECONDS = 0.25
ENGINES_REST_SECONDS = 1.2

Replace = Callable[[tuple[StoreObject, ...]], Awaitable[None]]
Change = Callable[[StoreChange], Awaitable[None]]


class StoreHealth:
    """Whether the store answers, as all watches of a process see it together.

    A watch that waits cannot tell a quiet store from one that is gone. Once the store answers
    again after a failure, all waiting watches ask anew, so each is right within moments while
    a quiet one may wait long.
    """

    def __init__(self) -> None:
        self._is_lost = False
        self._regained: set[Any] = set()

    def lost(self, kind: str, error: StoreCallError) -> None:
        """Take a failure."""
        if not self._is_lost:
            self._is_lost = True
            logs.decision("store_lost", kind=kind, reason=str(error))

    async def heard(self, kind: str, at: int) -> None:
        """Take an answer."""
        if not self._is_lost:
            return
        self._is_lost = False
        logs.decision("store_regained", kind=kind, at=at)
        for event in list(self._regained):
            await event.set()

    async def wait_regained(self) -> None:
        """Return when the store answers again after a failure."""
        event = curio.Event()
        self._regained.add(event)
        try:
            await event.wait()
        finally:
            self._regained.discard(event)


class Watch:
    """Lists a kind, then follows its changes, for as long as it runs.

    Parameters
    ----------
    health
        Shared by the watches of one process.
    replace, change
        Take a whole listing, and one change.
    rest
        Returns for how many seconds to gather further changes before asking for them. Each
        change is otherwise a call of each daemon.
    """

    def __init__(
        self,
        store: ObjectClient,
        health: StoreHealth,
        kind: str,
        replace: Replace,
        change: Change,
        rest: Callable[[], float] | None = None,
    ) -> None:
        self.rest = rest
        self._store = store
        self._health = health
        self._kind = kind
        self._replace = replace
        self._change = change
        self.heard_at = 0.0

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            try:
                await self._follow()
            except HistoryGoneError:
                logs.decision("history_gone", kind=self._kind)
            except StoreCallError as error:
                self._health.lost(self._kind, error)
                await curio.sleep(RETRY_SECONDS)

    async def _follow(self) -> None:
        listing = await self._store.list_all(self._kind)
        await self._heard(listing.at)
        await self._replace(listing.objects)
        at = listing.at
        # The watches of a process end at different times, so one of them soon notices a loss.
        seconds = random.uniform(SHORTEST_FIRST_WATCH_SECONDS, WATCH_SECONDS)
        while True:
            try:
                found = await self._ask(at, seconds)
            except StoreCallError as error:
                self._health.lost(self._kind, error)
                await curio.sleep(RETRY_SECONDS)
                seconds = SHORTEST_FIRST_WATCH_SECONDS
                continue
            seconds = WATCH_SECONDS
            if found is None:
                continue
            await self._heard(found.at)
            at = found.at
            for change in found.changes:
                await self._change(change)
            if found.changes and self.rest is not None:
                await curio.sleep(self.rest())

    async def _ask(self, at: int, seconds: float) -> StoreChanges | None:
        """Return what changed; None where the store was lost and regained meanwhile."""
        return await run_until(
            self._health.wait_regained, self._store.watch, self._kind, at, seconds
        )

    async def _heard(self, at: int) -> None:
        self.heard_at = clock.monotonic()
        await self._health.heard(self._kind, at)


class GatewayWatches:
    """What every daemon follows: the configuration and the engines."""

    def __init__(
        self,
        store: ObjectClient,
        health: StoreHealth,
        engines: EngineDirectory,
        front: Front,
        changed: Callable[[], Awaitable[None]],
        is_leading: Callable[[], bool],
    ) -> None:
        self.is_leading = is_leading
        self._engines = engines
        self._front = front
        self._changed = changed
        self.configuration = Watch(
            store,
            health,
            names.CONFIGURATIONS,
            self._take_configurations,
            self._configuration_changed,
        )
        self.engines = Watch(
            store,
            health,
            names.ENGINES,
            self._take_engines,
            self._engine_changed,
            self._engines_rest,
        )

    def _engines_rest(self) -> float:
        """Return the pause between calls: only a leader needs each load of weights at once."""
        return 0.0 if self.is_leading() else ENGINES_REST_SECONDS

    async def _take_configurations(self, found: tuple[StoreObject, ...]) -> None:
        for each in found:
            await self._take_configuration(each)

    async def _configuration_changed(self, change: StoreChange) -> None:
        if not change.is_gone:
            await self._take_configuration(change.object)

    async def _take_configuration(self, found: StoreObject) -> None:
        read = configuration.route_table(found.spec)
        if isinstance(read, Err):
            logs.decision("table_refused", name=found.name, reason=read.err_value)
            return
        table, current = read.ok_value, self._front.table
        if current is not None and table.version <= current.version:
            return
        self._front.table = table
        logs.decision(
            "table_in_force",
            version=table.version,
            before=current.version if current is not None else 0,
            revision=found.revision,
            routes=len(table.routes),
        )
        await self._changed()

    async def _take_engines(self, found: tuple[StoreObject, ...]) -> None:
        entries = [engine_format.engine_entry(each.name, each.spec) for each in found]
        known = [entry for entry in entries if entry is not None]
        self._engines.replace(known, clock.monotonic())
        logs.decision("engines_listed", engines=len(known), revision=self._engines.revision)
        await self._changed()

    async def _engine_changed(self, change: StoreChange) -> None:
        name = change.object.name
        entry = engine_format.engine_entry(name, change.object.spec)
        if change.is_gone or entry is None:
            self._engines.gone(name, clock.monotonic())
            logs.decision("engine_gone", engine=name, revision=self._engines.revision)
        else:
            self._engines.changed(entry)
            self._log_entry(entry)
        await self._changed()

    def _log_entry(self, entry: EngineEntry) -> None:
        logs.decision(
            "engine_changed",
            engine=entry.engine,
            service=entry.service,
            state=entry.state.value,
            models=",".join(f"{name}:{version}" for name, version in entry.models.items()),
            revision=self._engines.revision,
        )


class LeaderWatches:
    """What a leader follows: named versions, retirements of replicas, new replicas."""

    def __init__(
        self, store: ObjectClient, health: StoreHealth, replicas: ReplicaDirectory
    ) -> None:
        self._store = store
        self._health = health
        self._replicas = replicas
        self._retirements: dict[str, StoreObject] = {}
        self._is_member: Callable[[str], bool] = _may_be_member

    def follow_members(self, is_member: Callable[[str], bool]) -> None:
        """Set how to tell whether a replica still belongs to the group."""
        self._is_member = is_member

    def retiring(self) -> frozenset[str]:
        """Return the names of replicas that are to be emptied, or are."""
        return frozenset(self._retirements)

    async def run(self, steward: VersionSteward, wake: Any) -> None:
        """Follow until cancelled."""

        async def take_version(found: StoreObject) -> None:
            named = objects.named_version(found)
            if named is not None:
                steward.named(named.model, named.version)
                logs.decision("version_named", model=named.model, version=named.version)
                await wake.set()

        async def take_versions(found: tuple[StoreObject, ...]) -> None:
            for each in found:
                await take_version(each)

        async def version_changed(change: StoreChange) -> None:
            if not change.is_gone:
                await take_version(change.object)

        versions = Watch(
            self._store, self._health, names.VERSIONS_NAMED, take_versions, version_changed
        )
        retirements = Watch(
            self._store,
            self._health,
            names.RETIREMENTS,
            self._take_retirements,
            self._retirement_changed,
        )
        replicas = Watch(
            self._store, self._health, names.REPLICAS, self.take_replicas, self._replica_changed
        )
        async with curio.TaskGroup() as group:
            await group.spawn(versions.run)
            await group.spawn(retirements.run)
            await group.spawn(replicas.run)
            await group.spawn(self._mark_retired)

    async def _take_retirements(self, found: tuple[StoreObject, ...]) -> None:
        self._retirements = {each.name: each for each in found}

    async def _retirement_changed(self, change: StoreChange) -> None:
        if change.is_gone:
            self._retirements.pop(change.object.name, None)
            return
        self._retirements[change.object.name] = change.object
        logs.decision("retirement", replica=change.object.name, status=change.object.status)

    async def _mark_retired(self) -> None:
        """Tell of each replica that has left the group."""
        while True:
            for name, found in list(self._retirements.items()):
                if objects.is_retired(found) or self._is_member(name):
                    continue
                await self._mark(name, found)
            await curio.sleep(RETRY_SECONDS)

    async def _mark(self, name: str, found: StoreObject) -> None:
        status = objects.retirement_status(is_done=True)
        try:
            outcome = await self._store.set_status(names.RETIREMENTS, name, found.revision, status)
            fresh = await self._store.read(names.RETIREMENTS, name)
        except StoreCallError:
            await curio.sleep(RETRY_SECONDS)
            return
        logs.decision("retirement_marked", replica=name, outcome=outcome.value)
        if fresh is not None:
            self._retirements[name] = fresh

    async def take_replicas(self, found: tuple[StoreObject, ...]) -> None:
        """Connect to the replicas that are listed."""
        for each in found:
            await self._add_replica(each)

    async def _replica_changed(self, change: StoreChange) -> None:
        if not change.is_gone:
            await self._add_replica(change.object)

    async def _add_replica(self, found: StoreObject) -> None:
        try:
            place: Address = engine_format.address(found.spec["address"])
        except (KeyError, TypeError, ValueError):
            return
        await self._replicas.add(place)


def _may_be_member(_name: str) -> bool:
    return True


class StoredFirstGroup(FirstGroupSource):
    """The first group as an object that is made once: whoever makes it, all take it."""

    def __init__(self, store: ObjectClient, wanted_size: int) -> None:
        self._store = store
        self._wanted_size = wanted_size

    async def first_group(self, candidates: tuple[GroupMember, ...]) -> Group | None:
        """Return the group, made of the candidates where there is none yet."""
        try:
            found = await self._store.read(names.GROUPS, objects.GROUP_NAME)
            if found is None:
                members = first_members(candidates, self._wanted_size)
                if members is None:
                    return None
                group = Group(generation=1, members=members)
                spec = objects.group_spec(group)
                outcome = await self._store.create(names.GROUPS, objects.GROUP_NAME, spec)
                logs.decision("first_group", outcome=outcome.value, members=len(members))
                if outcome is PutOutcome.DONE:
                    return group
                found = await self._store.read(names.GROUPS, objects.GROUP_NAME)
        except StoreCallError as error:
            logs.decision("first_group", outcome="store_lost", reason=str(error))
            return None
        return objects.read_group(found) if found is not None else None
