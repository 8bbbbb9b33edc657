"""Follows the zone evacuations that the operator requests.

An object represents each evacuated zone, and its deletion revokes the evacuation. The known state
stays in force while the store is unreachable. Until the first listing no request may reach any
engine.

Holds the evacuated zones with the revisions of their objects, in memory; a restart lists them
again. Uses `MirroredStore`. Does not hold back requests itself: `routes.send_gate` does.
"""

from collections.abc import Awaitable, Callable, Collection

from pondtiller.platform import names
from pondtiller.platform.object_client import StoreChange, StoreObject
from pondtiller.process import logs
from pondtiller.routes.engines import EngineDirectory
from pondtiller.store.evacuation_bounds import DIRECT_WAIT_SECONDS
from pondtiller.store.store_watch import StoreHealth, StoreReader, Watch


class EvacuationWatch:
    """Keeps the evacuated zones in the engine directory up to date.

    Parameters
    ----------
    zones
        Zones named in the settings.
    changed
        Called when engines become usable, or stop being usable.
    longest_retry
        Longest pause between two calls, as for the other watches.

    Attributes
    ----------
    is_known
        Whether the evacuations in force were listed once.
    """

    def __init__(
        self,
        store: StoreReader,
        health: StoreHealth,
        engines: EngineDirectory,
        zones: Collection[str],
        changed: Callable[[], Awaitable[None]],
        longest_retry: Callable[[], float],
    ) -> None:
        self.is_known = False
        self._engines = engines
        self._zones = zones
        self._changed = changed
        self._in_force: dict[str, int] = {}
        self._ended: dict[str, int] = {}
        engines.awaits_evacuations = True
        self.watch = Watch(
            store,
            health,
            names.EVACUATIONS,
            self._replace,
            self._change,
            wait_seconds=DIRECT_WAIT_SECONDS,
            longest_retry=longest_retry,
        )

    async def _replace(self, found: tuple[StoreObject, ...]) -> None:
        """Apply a listing: evacuations that are not listed were revoked."""
        listed = {each.name for each in found}
        for zone in [each for each in self._in_force if each not in listed]:
            self._end(zone, self._in_force[zone])
        for each in found:
            self._begin(each)
        if not self.is_known:
            self.is_known = True
            self._engines.awaits_evacuations = False
            logs.decision("evacuations_listed", zones=",".join(sorted(listed)))
        await self._changed()

    async def _change(self, change: StoreChange) -> None:
        if change.is_gone:
            self._end(change.object.name, change.object.revision)
        else:
            self._begin(change.object)
        await self._changed()

    def _begin(self, found: StoreObject) -> None:
        zone, revision = found.name, found.revision
        known = max(self._in_force.get(zone, -1), self._ended.get(zone, -1))
        if revision <= known:
            return
        is_new = zone not in self._in_force
        self._in_force[zone] = revision
        self._publish()
        if not is_new:
            return
        reason = self._describe_anomaly(found)
        if reason:
            logs.decision("evacuation_odd", zone=zone, revision=revision, reason=reason)
        logs.decision("zone_evacuated", zone=zone, revision=revision, engines=self._count(zone))

    def _end(self, zone: str, revision: int) -> None:
        """Record a revocation; an evacuation that began later stays in force."""
        begun = self._in_force.get(zone)
        self._ended[zone] = max(revision, self._ended.get(zone, -1))
        if begun is None or revision < begun:
            return
        del self._in_force[zone]
        self._publish()
        logs.decision("zone_returned", zone=zone, revision=revision, engines=self._count(zone))

    def _publish(self) -> None:
        self._engines.evacuated = frozenset(self._in_force)

    def _count(self, zone: str) -> int:
        return sum(each.entry.zone == zone for each in self._engines.engines.values())

    def _describe_anomaly(self, found: StoreObject) -> str:
        """Return what is unusual about an evacuation, which is in force nevertheless."""
        if found.spec != {}:
            return "its content is not empty"
        if found.name not in self._zones and not self._count(found.name):
            return "neither settings nor engines know the zone"
        return ""
