"""Store watches of a leader: named versions, retirements and new replicas.

Holds the retirements that were read. Their consequences are decided in `steplog/group_policy.py`,
those of versions in `rollouts/versions.py`.
"""

from collections.abc import Callable

import curio

from pondtiller.address import Address
from pondtiller.peers.replicas import ReplicaDirectory
from pondtiller.platform import names, objects
from pondtiller.platform.object_client import (
    ObjectClient,
    StoreCallError,
    StoreChange,
    StoreObject,
)
from pondtiller.platform.values import address
from pondtiller.process import logs
from pondtiller.process.supervise import keep_running
from pondtiller.rollouts.versions import VersionSteward
from pondtiller.store.store_watch import RETRY_SECONDS, StoreHealth, StoreReader, Watch


class LeaderWatches:
    """Watches named versions, retirements of replicas, and new replicas.

    Parameters
    ----------
    reader
        Reads the store for a leader, even if the store rejects this machine's calls.
    """

    def __init__(
        self,
        store: ObjectClient,
        reader: StoreReader,
        health: StoreHealth,
        replicas: ReplicaDirectory,
    ) -> None:
        self._store = store
        self._reader = reader
        self._health = health
        self._replicas = replicas
        self._retirements: dict[str, StoreObject] = {}
        self._is_member: Callable[[str], bool] = _may_be_member

    def follow_members(self, is_member: Callable[[str], bool]) -> None:
        """Set the function that tells whether a replica still belongs to the group."""
        self._is_member = is_member

    def retiring(self) -> frozenset[str]:
        """Return the names of the replicas that are to be drained or already are."""
        return frozenset(self._retirements)

    async def run(self, steward: VersionSteward, wake: curio.Event) -> None:
        """Watch until cancelled."""

        async def take_version(found: StoreObject) -> None:
            named = objects.named_version(found)
            if named is not None:
                steward.note_version(named.model, named.version)
                logs.decision("version_named", model=named.model, version=named.version)
                await wake.set()

        async def take_versions(found: tuple[StoreObject, ...]) -> None:
            for each in found:
                await take_version(each)

        async def version_changed(change: StoreChange) -> None:
            if not change.is_gone:
                await take_version(change.object)

        versions = Watch(
            self._reader, self._health, names.VERSIONS_NAMED, take_versions, version_changed
        )
        retirements = Watch(
            self._reader,
            self._health,
            names.RETIREMENTS,
            self._take_retirements,
            self._retirement_changed,
        )
        replicas = Watch(
            self._reader, self._health, names.REPLICAS, self.take_replicas, self._replica_changed
        )
        async with curio.TaskGroup() as group:
            # The group does not raise if one of its tasks fails.
            await group.spawn(keep_running, "named versions", versions.run)
            await group.spawn(keep_running, "retirements", retirements.run)
            await group.spawn(keep_running, "new replicas", replicas.run)
            await group.spawn(keep_running, "retired marks", self._mark_retired)

    async def _take_retirements(self, found: tuple[StoreObject, ...]) -> None:
        self._retirements = {each.name: each for each in found}

    async def _retirement_changed(self, change: StoreChange) -> None:
        if change.is_gone:
            self._retirements.pop(change.object.name, None)
            return
        self._retirements[change.object.name] = change.object
        logs.decision("retirement", replica=change.object.name, status=change.object.status)

    async def _mark_retired(self) -> None:
        """Mark each retirement whose replica has left the group as done."""
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
        """Connect to the listed replicas."""
        for each in found:
            await self._add_replica(each)

    async def _replica_changed(self, change: StoreChange) -> None:
        if not change.is_gone:
            await self._add_replica(change.object)

    async def _add_replica(self, found: StoreObject) -> None:
        try:
            place: Address = address(found.spec["address"])
        except (KeyError, TypeError, ValueError):
            return
        await self._replicas.add(place)


def _may_be_member(_name: str) -> bool:
    return True
