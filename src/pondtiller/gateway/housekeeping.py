"""Periodic tasks of a gateway: discovery of replicas, removal of gone engines and of unusable
connections, stale table.

Holds only the times of the next search and check. Relies on the store to discover replicas; a
gateway that is connected to one replica learns of the others from it.
"""

import curio

from pondtiller.gateway.parts import GatewayParts
from pondtiller.platform import names
from pondtiller.platform.object_client import StoreCallError
from pondtiller.process import clock

HOUSEKEEPING_SECONDS = 0.5
"""Interval of the periodic tasks. Connections to an engine that is gone are kept at most this much
longer; nothing is sent on them, since the engine is not chosen any more."""
KEPT_CHECK_SECONDS = 5.0
"""Interval at which kept connections to engines are checked, each with a system call."""
NO_REPLICA_SECONDS = 2.5
"""How long no message of any replica must have arrived before the store is searched for replicas:
as long as a silent link is kept (`peers.replicas.SILENT_SECONDS`)."""
SEARCH_SECONDS = 1.0
"""Interval between the first two searches for replicas, which finds those that start later together
with the system."""
MAX_SEARCH_SECONDS = 4.0
"""Upper bound of the growing interval between searches, each of which is a call to the store. With
1 s throughout, searches were 294 of 4,032 calls in a day."""


class Housekeeping:
    """Discovers replicas while none responds, and forgets engines that are gone."""

    def __init__(self, parts: GatewayParts) -> None:
        self._parts = parts

    async def run(self) -> None:
        """Run the periodic tasks until cancelled."""
        parts = self._parts
        next_search, pause = 0.0, SEARCH_SECONDS
        next_check = clock.monotonic() + KEPT_CHECK_SECONDS
        while True:
            now = clock.monotonic()
            if not self._lacks_replicas(now):
                pause = SEARCH_SECONDS
            elif now >= next_search:
                next_search = now + pause
                pause = min(2 * pause, MAX_SEARCH_SECONDS)
                await self._find_replicas()
            parts.leadership.may_campaign = parts.is_ready()
            parts.engines.drop_expired(now)
            parts.cold.log_changes(now)
            parts.stale_configuration.check()
            await parts.pool.forget(set(parts.engines.engines))
            if now >= next_check:
                next_check = now + KEPT_CHECK_SECONDS
                await parts.pool.close_unusable()
            await curio.sleep(HOUSEKEEPING_SECONDS)

    def _lacks_replicas(self, now: float) -> bool:
        """Return whether to search: no replica responds, or too few exist for a first group.

        Once there is a group, one replica that responds names the others.
        """
        replicas = self._parts.leadership.replicas
        if now > replicas.last_message_at() + NO_REPLICA_SECONDS:
            return True
        views = replicas.views()
        has_group = any(view.group.generation for view in views)
        return not has_group and len(views) < self._parts.settings.wanted_replicas

    async def _find_replicas(self) -> None:
        try:
            listing = await self._parts.store.list_all(names.REPLICAS)
        except StoreCallError:
            return
        await self._parts.leader_watches.take_replicas(listing.objects)
